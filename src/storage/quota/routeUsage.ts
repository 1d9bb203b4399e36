import { Constants } from "../../common/constants";
import { UsageReport } from "../messages/quotaMessages";

/**
 * Upper bound of the tokens that wait on one route in each shard, kept by the owner of the count.
 *
 * @example
 * usage.add(report);
 * if (usage.total() + tokens <= limit) usage.reserve(report.shard, "lot-17", tokens);
 */
export class RouteUsage {
  private readonly reports = new Map<number, UsageReport>();
  /** `SHARD/JOB` of the granted reservations that reports may not contain yet, oldest first. */
  private readonly reservations = new Set<string>();

  /** Adds a report unless a later one of the same shard is known. */
  add(report: UsageReport): void {
    const latest = this.reports.get(report.shard);
    if (latest && isLater(latest, report)) return;
    let { tokens } = report;
    // A job whose reservation is pending counts only after its reservation was granted.
    for (const [job, pendingTokens] of Object.entries(report.asking))
      if (!this.reservations.has(`${report.shard}/${job}`)) tokens -= pendingTokens;
    this.reports.set(report.shard, { ...report, tokens, asking: {} });
  }

  /** Adds the tokens of a job to those of its shard, whose report must be known. */
  reserve(shard: number, job: string, tokens: number): void {
    const report = this.reports.get(shard)!;
    this.reports.set(shard, { ...report, tokens: report.tokens + tokens });
    this.reservations.add(`${shard}/${job}`);
    if (this.reservations.size > Constants.quotaReservationsMax)
      this.reservations.delete(this.reservations.values().next().value!);
  }

  has = (shard: number): boolean => this.reports.has(shard);

  /** Whether there is a report of every shard. */
  isComplete = (): boolean => this.reports.size >= Constants.shardCount;

  total(): number {
    let tokens = 0;
    for (const report of this.reports.values()) tokens += report.tokens;
    return tokens;
  }
}

/**
 * Whether the latest known report is later than a new one. A new report without a sequence number (-1) replaces reports
 * of its epoch.
 */
function isLater(known: UsageReport, report: UsageReport): boolean {
  if (known.epoch !== report.epoch) return known.epoch > report.epoch;
  return known.turn > report.turn && report.turn >= 0;
}
