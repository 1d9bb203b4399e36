import { Experiment } from "./experiment";
import { Point, Slope } from "./slope";

/**
 * Measures an experiment size by size, then prints how each metric grows. A run that ends early prints the sizes that it
 * measured and fits lines through these.
 *
 * @example
 * const run = new SlopeRun("members", MembershipExperiments.members, [30, 60, 120], 1, 300);
 * const complete = await run.run(console.log);
 */
export class SlopeRun {
  isInterrupted = false;
  readonly points: Record<string, Point[]> = {};
  readonly measuredSizes: number[] = [];
  constructor(
    readonly name: string,
    readonly experiment: Experiment,
    readonly sizes: number[],
    readonly seed: number,
    readonly timeLimitSeconds: number,
  ) {}
  /** Returns whether every size was measured. */
  async run(print: (text: string) => void): Promise<boolean> {
    const { unit, metrics } = this.experiment;
    const startedAt = performance.now();
    let failure = "";
    for (const size of this.sizes) {
      if (this.isInterrupted || (performance.now() - startedAt) / 1000 > this.timeLimitSeconds) break;
      let measured: Record<string, number>;
      try {
        measured = await this.experiment.measure(size, this.seed);
      } catch (error) {
        failure = `${size} ${unit}s: ${(error as Error).message}`;
        break;
      }
      if (this.isInterrupted) break; // The measurement of this size may be incomplete.
      this.measuredSizes.push(size);
      for (const [metric, value] of Object.entries(measured)) (this.points[metric] ??= []).push({ size, value });
      const formatted = Object.entries(measured).map(
        ([metric, value]) => `${metric} ${Number.isInteger(value) ? value : value.toPrecision(4)}`,
      );
      print(`${size} ${unit}s: ${formatted.join(", ")}`);
    }
    const complete = this.measuredSizes.length === this.sizes.length;
    if (failure) print(`failed at ${failure}`);
    if (!complete)
      print(
        `cut short: covered ${this.measuredSizes.length === 0 ? "nothing" : this.measuredSizes.join(", ")} of ${this.sizes.join(", ")}`,
      );
    for (const [metric, { description }] of Object.entries(metrics))
      print(this.describeMetric(metric, description, unit));
    return complete;
  }
  private describeMetric(metric: string, description: string, unit: string): string {
    const points = this.points[metric] ?? [];
    if (points.some((point) => Number.isNaN(point.value)))
      return `${this.name}.${metric}, ${description}: no slope: not reached in time at some size`;
    const fitted = Slope.fit(points);
    return fitted.ok
      ? Slope.format(`${this.name}.${metric}, ${description}`, unit, fitted.value)
      : `${this.name}.${metric}, ${description}: ${fitted.fault.detail}`;
  }
}
