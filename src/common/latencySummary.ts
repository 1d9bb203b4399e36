import { Constants } from "./constants";

/**
 * The last thousand of a measured time, and their spread.
 *
 * @example
 * const puts = new Spread();
 * puts.add(3.2);
 * puts.metrics("put_ms").put_ms_p99;
 */
export class LatencySummary {
  private readonly kept: number[] = [];
  private next = 0;
  private greatest = 0;
  /** @example spread.add(12.5); */
  add(value: number): void {
    if (this.kept.length < Constants.spreadKept) this.kept.push(value);
    else this.kept[this.next] = value;
    this.next = (this.next + 1) % Constants.spreadKept;
    this.greatest = Math.max(this.greatest, value);
  }
  /** Median, 99th of a hundred, and the greatest ever. @example spread.metrics("relay_ms") */
  metrics(name: string): Record<string, number> {
    const sorted = [...this.kept].sort((left, right) => left - right);
    const at = (share: number): number =>
      +(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(2);
    return { [`${name}_p50`]: at(0.5), [`${name}_p99`]: at(0.99), [`${name}_max`]: +this.greatest.toFixed(2) };
  }
}
