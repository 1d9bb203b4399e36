import { Experiment } from "./experiment";
import { Point, Slope } from "./slope";

/**
 * Measures an experiment size by size and prints what each metric grows by; a run cut short prints what it covered.
 *
 * @example
 * const complete = await new SlopeRun("members", MemberScale.members, [30, 60, 120], 1, 300).run(console.log);
 */
export class SlopeRun {
  isInterrupted = false;
  readonly points: Record<string, Point[]> = {};
  readonly covered: number[] = [];
  constructor(
    readonly name: string,
    readonly experiment: Experiment,
    readonly sizes: number[],
    readonly seed: number,
    readonly withinSeconds: number,
  ) {}
  /** Whether every size was covered. @example await run.run(say) */
  async run(say: (text: string) => void): Promise<boolean> {
    const { unit, metrics } = this.experiment;
    const from = performance.now();
    let failed = "";
    for (const size of this.sizes) {
      if (this.isInterrupted || (performance.now() - from) / 1000 > this.withinSeconds) break;
      let measured: Record<string, number>;
      try {
        measured = await this.experiment.measure(size, this.seed);
      } catch (error) {
        failed = `${size} ${unit}s: ${(error as Error).message}`;
        break;
      }
      if (this.isInterrupted) break; // what was under way when it was cut is not whole
      this.covered.push(size);
      for (const [metric, value] of Object.entries(measured)) (this.points[metric] ??= []).push({ at: size, value });
      const shown = Object.entries(measured).map(
        ([metric, value]) => `${metric} ${Number.isInteger(value) ? value : value.toPrecision(4)}`,
      );
      say(`${size} ${unit}s: ${shown.join(", ")}`);
    }
    const complete = this.covered.length === this.sizes.length;
    if (failed) say(`failed at ${failed}`);
    if (!complete)
      say(
        `cut short: covered ${this.covered.length === 0 ? "nothing" : this.covered.join(", ")} of ${this.sizes.join(", ")}`,
      );
    for (const [metric, { description: what }] of Object.entries(metrics)) say(this.line(metric, what, unit));
    return complete;
  }
  private line(metric: string, what: string, unit: string): string {
    const points = this.points[metric] ?? [];
    if (points.some((point) => Number.isNaN(point.value)))
      return `${this.name}.${metric}, ${what}: no slope: not reached in time at some size`;
    const fitted = Slope.fit(points);
    return fitted.ok
      ? Slope.text(`${this.name}.${metric}, ${what}`, unit, fitted.value)
      : `${this.name}.${metric}, ${what}: ${fitted.fault.detail}`;
  }
}
