import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Task } from "../../runtime/csp";
import { ShardReplica } from "../../shard/shardReplica";
import { QuotaReservation } from "../messages/quotaMessages";
import { ShardClient } from "../shardClient";
import { QuotaOwner } from "./quotaOwner";
import { UsageReports } from "./usageReports";

/** Time-out of one attempt to reserve, ms. The owner may need two rounds of reports; the rest is a margin. */
const RESERVE_ATTEMPT_TIMEOUT_MS = 3 * Constants.usageReportTimeoutMs;

/**
 * Limits the tokens that wait on a route in the whole cluster. The leader that accepts a job reserves the job's tokens
 * at the owner of the route's count before it stores the job.
 *
 * @example
 * const reserved = yield* quota.reserve(replica, "audit", "lot-17", 940);
 * quota.release(replica.shard, "lot-17"); // When the job is stored, or is certain never to be stored.
 */
export class Quota {
  constructor(
    private readonly shardClient: ShardClient,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    private readonly owner: QuotaOwner,
    private readonly reports: UsageReports,
  ) {}

  /** Reserves a job's tokens. The fault "busy" has the step "quota" if they exceed the quota. */
  *reserve(replica: ShardReplica, route: string, job: string, tokens: number): Task<Result<true>> {
    if (this.owner.limitOf(route) <= 0) return Fault.ok(true as const);
    this.reports.addSubmission(replica.shard, job, route, tokens);
    const body = (): QuotaReservation => ({
      binding: route,
      lot: job,
      tokens,
      tally: this.reports.reportOf(replica, route),
    });
    const shard = this.shardClient.shardOf(`quota ${route}`);
    const ownReplica = this.replicas.get(shard);
    const reserved = ownReplica?.holdsLease()
      ? yield* this.owner.reserve(ownReplica, body())
      : yield* this.shardClient.callLeader(
          shard,
          "quota.reserve",
          body,
          Constants.jobLeaderSearchMs,
          RESERVE_ATTEMPT_TIMEOUT_MS,
        );
    if (!reserved.ok) this.reports.removeSubmission(replica.shard, job);
    return reserved;
  }

  /** Ends the submission of a job, which the shard's own count now contains, or which is never stored. */
  release(shard: number, job: string): void {
    this.reports.removeSubmission(shard, job);
  }

  /** Counters by metric name. */
  metrics(): Record<string, number> {
    return Object.fromEntries(Object.entries(this.owner.counters).map(([name, count]) => [`quota_${name}`, count]));
  }
}
