import { History } from "./history";

/** Returns the value at a quantile between 0 and 1 of sorted values; NaN if there are none. */
const quantileOf = (sorted: number[], quantile: number): number =>
  sorted.length === 0 ? NaN : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
/** Formats the number, the percentiles and the maximum of durations in ms. */
const formatDurations = (values: number[]): string => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted.length === 0
    ? "none"
    : `n=${sorted.length} p50=${quantileOf(sorted, 0.5).toFixed(1)} p95=${quantileOf(sorted, 0.95).toFixed(1)} p99=${quantileOf(sorted, 0.99).toFixed(1)} max=${sorted[sorted.length - 1].toFixed(1)} ms`;
};

/**
 * Formats a history as a report of rates and latencies by kind of call.
 *
 * @example
 * console.log(Report.text(history, 20_000));
 */
export const Report = {
  text(history: History, durationMs: number): string {
    const seconds = durationMs / 1000;
    const lines: string[] = [];
    const lookups = history.of("lookup");
    lines.push(
      `lookups   ${(lookups.length / seconds).toFixed(1)}/s  ${formatDurations(lookups.map((each) => each.tookMs))}`,
    );
    for (const route of new Set(history.of("streamEnd").map((each) => each.binding))) {
      const ends = history.of("streamEnd").filter((each) => each.binding === route);
      lines.push(
        `stream ${route}  ${(ends.length / seconds).toFixed(1)}/s  complete ${formatDurations(ends.map((each) => each.tookMs))}`,
      );
      lines.push(
        `stream ${route}  first chunk ${formatDurations(ends.map((each) => each.firstMs))}  resumed ${ends.filter((each) => each.resumes > 0).length}`,
      );
    }
    const singles = history.of("single");
    lines.push(
      `singles   ${(singles.length / seconds).toFixed(1)}/s  ${formatDurations(singles.map((each) => each.tookMs))}`,
    );
    const jobs = history.of("lotFinished");
    lines.push(
      `lots      ${history.of("lotAccepted").length} accepted, ${jobs.length} finished, ${history.of("lotLost").length} lost  ${formatDurations(jobs.map((each) => each.tookMs))}`,
    );
    lines.push(
      `items     ${history.of("lotResult").length} results, ${history.of("lotResult").filter((each) => each.state === "unknown").length} unknown`,
    );
    const busyResponses = history.of("busy");
    lines.push(`busy      ${busyResponses.length}  after ${formatDurations(busyResponses.map((each) => each.tookMs))}`);
    const failures = new Map<string, number>();
    for (const each of history.of("failed"))
      failures.set(`${each.kind} ${each.code}`, (failures.get(`${each.kind} ${each.code}`) ?? 0) + 1);
    lines.push(`failures  ${[...failures].map(([name, count]) => `${name}: ${count}`).join(", ") || "none"}`);
    return lines.join("\n");
  },
};
