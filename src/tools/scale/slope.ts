import { Fault, Result } from "../../common/fault";

export type Point = { size: number; value: number };
/**
 * A line fitted to values at `sizeCount` sizes between `from` and `to`. `deviation` is the largest distance of a point from
 * it, as a fraction of the largest absolute value.
 */
export type Slope = { perUnit: number; base: number; from: number; to: number; sizeCount: number; deviation: number };
const MIN_SIZE_COUNT = 3;

/**
 * The least squares line through measured points: how a cost grows with a size, and how well a line describes it.
 *
 * @example
 * const fitted = Slope.fit([{ size: 30, value: 310 }, { size: 60, value: 605 }, { size: 120, value: 1205 }]);
 * if (fitted.ok) Slope.valueAt(fitted.value, 780);
 */
export const Slope = {
  MIN_SIZE_COUNT,
  /** Fits a line; fails with fewer than three different sizes. */
  fit(points: Point[]): Result<Slope> {
    const sizeCount = new Set(points.map((point) => point.size)).size;
    if (sizeCount < MIN_SIZE_COUNT)
      return Fault.fail(
        "invalid",
        "fit slope",
        "points",
        `no slope: ${sizeCount} of at least ${MIN_SIZE_COUNT} sizes were measured`,
      );
    const mean = (pick: (point: Point) => number): number =>
      points.reduce((sum, point) => sum + pick(point), 0) / points.length;
    const [meanSize, meanValue] = [mean((point) => point.size), mean((point) => point.value)];
    const perUnit =
      mean((point) => (point.size - meanSize) * (point.value - meanValue)) /
      mean((point) => (point.size - meanSize) ** 2);
    const base = meanValue - perUnit * meanSize;
    const largest = Math.max(...points.map((point) => Math.abs(point.value)));
    const deviation =
      largest === 0
        ? 0
        : Math.max(...points.map((point) => Math.abs(point.value - base - perUnit * point.size))) / largest;
    const sizes = points.map((point) => point.size);
    return Fault.ok({
      perUnit,
      base,
      from: Math.min(...sizes),
      to: Math.max(...sizes),
      sizeCount,
      deviation,
    });
  },
  /** The value of the line at a size, within the measured range or beyond it. */
  valueAt: (slope: Slope, size: number): number => slope.base + slope.perUnit * size,
  /** Describes a line in one sentence, after the metric and the unit of the size. */
  format(metric: string, unit: string, slope: Slope): string {
    const short = (value: number): string => (Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3));
    return `${metric}: ${short(slope.perUnit)} a ${unit} + ${short(slope.base)}; measured from ${slope.from} to ${slope.to} (${slope.sizeCount} sizes), points off the line by at most ${(slope.deviation * 100).toFixed(1)} % of the largest`;
  },
};
