/** What a sender tells the others by gossip of the endpoints that failed its requests lately. */
export interface FailureReport {
  /** Failed requests of the last `Constants.failureWindowMs`, by endpoint key. */
  failures: Record<string, number>;
}

/** Prefix of the keys of these facts. */
export const failureReportPrefix = "failures/";

/** Sums the reports of all senders by endpoint key. @example sumOfReports([{ failures: { a: 1 } }]).a // 1 */
export function sumOfReports(reports: FailureReport[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { failures } of reports)
    for (const [key, count] of Object.entries(failures)) sums[key] = (sums[key] ?? 0) + count;
  return sums;
}
