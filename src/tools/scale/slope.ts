import { Fault, Result } from "../../common/fault";

export type Point = { at: number; value: number };
export type Slope = { perUnit: number; base: number; from: number; to: number; sizes: number; spread: number };
const leastSizes = 3;

/**
 * A line through measured points: how a cost grows with a size, and how far the points lie off it.
 *
 * @example
 * const fitted = Slope.fit([{ at: 30, value: 310 }, { at: 60, value: 605 }, { at: 120, value: 1205 }]);
 * if (fitted.ok) Slope.at(fitted.value, 780);
 */
export const Slope = {
  leastSizes,
  /** Refused with fewer than three different sizes. @example Slope.fit(points).ok */
  fit(points: Point[]): Result<Slope> {
    const sizes = new Set(points.map((point) => point.at)).size;
    if (sizes < leastSizes)
      return Fault.fail(
        "invalid",
        "fit slope",
        "points",
        `no slope: ${sizes} of at least ${leastSizes} sizes were measured`,
      );
    const mean = (pick: (point: Point) => number): number =>
      points.reduce((sum, point) => sum + pick(point), 0) / points.length;
    const [meanAt, meanValue] = [mean((point) => point.at), mean((point) => point.value)];
    const perUnit =
      mean((point) => (point.at - meanAt) * (point.value - meanValue)) / mean((point) => (point.at - meanAt) ** 2);
    const base = meanValue - perUnit * meanAt;
    const largest = Math.max(...points.map((point) => Math.abs(point.value)));
    const spread =
      largest === 0
        ? 0
        : Math.max(...points.map((point) => Math.abs(point.value - base - perUnit * point.at))) / largest;
    const ats = points.map((point) => point.at);
    return Fault.ok({ perUnit, base, from: Math.min(...ats), to: Math.max(...ats), sizes, spread });
  },
  /** The value at a size, in the range or beyond it. @example Slope.at(slope, 780) */
  at: (slope: Slope, size: number): number => slope.base + slope.perUnit * size,
  /** @example Slope.text("bytes a node a second", "replica", slope) */
  text(what: string, unit: string, slope: Slope): string {
    const short = (value: number): string => (Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3));
    return `${what}: ${short(slope.perUnit)} a ${unit} + ${short(slope.base)}; measured from ${slope.from} to ${slope.to} (${slope.sizes} sizes), points off the line by at most ${(slope.spread * 100).toFixed(1)} % of the largest`;
  },
};
