import { History } from "./history";

const percentile = (sorted: number[], share: number): number =>
  sorted.length === 0 ? NaN : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
const spread = (values: number[]): string => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted.length === 0
    ? "none"
    : `n=${sorted.length} p50=${percentile(sorted, 0.5).toFixed(1)} p95=${percentile(sorted, 0.95).toFixed(1)} p99=${percentile(sorted, 0.99).toFixed(1)} max=${sorted[sorted.length - 1].toFixed(1)} ms`;
};

/**
 * Rates and latencies by kind, out of a history.
 *
 * @example
 * console.log(Report.text(history, 20_000));
 */
export const Report = {
  spread,
  text(history: History, forMs: number): string {
    const seconds = forMs / 1000;
    const lines: string[] = [];
    const lookups = history.of("lookup");
    lines.push(`lookups   ${(lookups.length / seconds).toFixed(1)}/s  ${spread(lookups.map((seen) => seen.tookMs))}`);
    for (const route of new Set(history.of("streamEnd").map((seen) => seen.binding))) {
      const ends = history.of("streamEnd").filter((seen) => seen.binding === route);
      lines.push(
        `stream ${route}  ${(ends.length / seconds).toFixed(1)}/s  whole ${spread(ends.map((seen) => seen.tookMs))}`,
      );
      lines.push(
        `stream ${route}  first piece ${spread(ends.map((seen) => seen.firstMs))}  resumed ${ends.filter((seen) => seen.resumes > 0).length}`,
      );
    }
    const singles = history.of("single");
    lines.push(`singles   ${(singles.length / seconds).toFixed(1)}/s  ${spread(singles.map((seen) => seen.tookMs))}`);
    const jobs = history.of("lotFinished");
    lines.push(
      `lots      ${history.of("lotAccepted").length} accepted, ${jobs.length} finished, ${history.of("lotLost").length} lost  ${spread(jobs.map((seen) => seen.tookMs))}`,
    );
    lines.push(
      `items     ${history.of("lotResult").length} results, ${history.of("lotResult").filter((seen) => seen.state === "unknown").length} unknown`,
    );
    const busies = history.of("busy");
    lines.push(`busies    ${busies.length}  told after ${spread(busies.map((seen) => seen.tookMs))}`);
    const failures = new Map<string, number>();
    for (const seen of history.of("failed"))
      failures.set(`${seen.kind} ${seen.code}`, (failures.get(`${seen.kind} ${seen.code}`) ?? 0) + 1);
    lines.push(`failures  ${[...failures].map(([name, count]) => `${name}: ${count}`).join(", ") || "none"}`);
    return lines.join("\n");
  },
};
