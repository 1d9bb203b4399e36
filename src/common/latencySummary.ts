import { Constants } from "./constants";

/** Quantiles in the metrics. */
const MEDIAN = 0.5;
const HIGH_QUANTILE = 0.99;

/**
 * Keeps the newest values of a measured time and computes their quantiles.
 *
 * @example
 * const puts = new LatencySummary();
 * puts.add(3.2);
 * puts.metrics("put_ms").put_ms_p99;
 */
export class LatencySummary {
  private readonly values: number[] = [];
  private next = 0;
  private maximum = 0;

  /** Adds a measurement, ms. */
  add(value: number): void {
    if (this.values.length < Constants.summaryValuesMax) this.values.push(value);
    else this.values[this.next] = value;
    this.next = (this.next + 1) % Constants.summaryValuesMax;
    this.maximum = Math.max(this.maximum, value);
  }

  /** Returns the median and the 99th percentile of the newest values, and the maximum of all values, ms. */
  metrics(name: string): Record<string, number> {
    const sorted = [...this.values].sort((left, right) => left - right);
    const quantile = (share: number): number =>
      +(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(2);
    return {
      [`${name}_p50`]: quantile(MEDIAN),
      [`${name}_p99`]: quantile(HIGH_QUANTILE),
      [`${name}_max`]: +this.maximum.toFixed(2),
    };
  }
}
