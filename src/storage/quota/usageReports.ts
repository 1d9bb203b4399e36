import { ShardReplica } from "../../shard/shardReplica";
import { UsageReport, UsageRequest } from "../messages/quotaMessages";

/** Sequence number of a report by a replica that does not lead its shard. Any report of a leader replaces it. */
const NON_LEADER_SEQUENCE_NUMBER = -1;

/**
 * Counts the tokens that wait on a route in the shards that this node stores: tokens of the stored jobs, and of the
 * jobs that are being submitted.
 *
 * @example
 * const report = reports.reportOf(replica, "audit");
 */
export class UsageReports {
  /** The jobs that are being submitted, by shard and job id. */
  private readonly submissions = new Map<number, Map<string, { route: string; tokens: number }>>();
  private lastSequenceNumber = 0;

  constructor(private readonly replicas: ReadonlyMap<number, ShardReplica>) {}

  /** Starts to count a job that is being submitted. */
  addSubmission(shard: number, job: string, route: string, tokens: number): void {
    const submissions = this.submissions.get(shard) ?? new Map<string, { route: string; tokens: number }>();
    this.submissions.set(shard, submissions);
    submissions.set(job, { route, tokens });
  }

  /** Ends the submission of a job, which is now counted as a stored job, or is never stored. */
  removeSubmission(shard: number, job: string): void {
    this.submissions.get(shard)?.delete(job);
  }

  /** The report of one shard on a route. */
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

  /** The reports of the shards that this node leads; with `anyCopy` also of those that it only stores. */
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
