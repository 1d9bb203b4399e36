import { ShardReplica } from "../../shard/shardReplica";
import { UsageReport, UsageRequest } from "../messages/quotaMessages";

/** Sequence number of a report by a replica that doesn't lead its shard: any report of a leader replaces it. */
const NON_LEADER_SEQUENCE_NUMBER = -1;

/**
 * Counts the tokens that wait on a route in the shards that this node stores: those of the jobs in the shard, and those
 * of jobs that are being submitted.
 *
 * @example
 * const report = reports.reportOf(replica, "audit");
 */
export class UsageReports {
  /** By shard that this node leads: the jobs that are being submitted, by their ids. */
  private readonly submissions = new Map<number, Map<string, { route: string; tokens: number }>>();
  private lastSequenceNumber = 0;

  constructor(private readonly replicas: ReadonlyMap<number, ShardReplica>) {}

  /** Counts a job that is being submitted from now on. */
  addSubmission(shard: number, job: string, route: string, tokens: number): void {
    const submissions = this.submissions.get(shard) ?? new Map<string, { route: string; tokens: number }>();
    this.submissions.set(shard, submissions);
    submissions.set(job, { route, tokens });
  }

  /** The job is counted as one of its shard from now on, or will never be stored. */
  removeSubmission(shard: number, job: string): void {
    this.submissions.get(shard)?.delete(job);
  }

  /** What waits on a route in one shard. */
  reportOf(replica: ShardReplica, route: string): UsageReport {
    let tokens = 0;
    for (const job of replica.data.jobs.values())
      if (job.binding === route && job.open > 0) tokens += job.tokensWaiting ?? 0;
    const asking: Record<string, number> = {};
    for (const [job, submission] of this.submissions.get(replica.shard) ?? []) {
      if (submission.route !== route || replica.data.jobs.has(job)) continue;
      asking[job] = submission.tokens;
      tokens += submission.tokens;
    }
    this.lastSequenceNumber += 1;
    return { shard: replica.shard, epoch: replica.view?.epoch ?? 0, turn: this.lastSequenceNumber, tokens, asking };
  }

  /** Reports of those of the shards that this node leads, or stores if any replica will do. */
  reports({ binding: route, shards, anyCopy: anyReplica }: UsageRequest): UsageReport[] {
    return shards.flatMap((shard) => {
      const replica = this.replicas.get(shard);
      if (replica?.holdsLease()) return [this.reportOf(replica, route)];
      return anyReplica && replica?.exists
        ? [{ ...this.reportOf(replica, route), turn: NON_LEADER_SEQUENCE_NUMBER }]
        : [];
    });
  }
}
