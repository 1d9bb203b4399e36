import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { Node } from "../../node/node";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { BatchItemState, PutOutcome } from "../../shard/shardTypes";
import { AcceptJobRequest, JobStatusRequest, JobStatusResponse } from "../messages/batchJobMessages";
import { notLeaderFault } from "../notLeaderFault";
import { ClaimedItemScheduler } from "./claimedItemScheduler";

/** Time-out of the put of a job at the leader, ms. It is longer than a view change. */
const ACCEPT_PUT_TIMEOUT_MS = 1100;

/** Accepts batch jobs whose items run under a claim, once they are on every replica, and reports the status of jobs. */
export class ClaimedItemJobs {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly scheduler: ClaimedItemScheduler,
  ) {}

  /** Accepts a job; a job id is accepted at most once. The fault "busy" means that the job was not put. */
  *accept(replica: ShardReplica, body: AcceptJobRequest): Task<Result<PutOutcome>> {
    const { lot: job, stamp, cause } = body;
    if (!replica.holdsLease() || !this.node.mayHoldLeases()) return notLeaderFault(this.node, replica, "accept lot");
    const sealed = replica.segments.find("lots", job.id);
    if (sealed) {
      const same = replica.segments.hasSameBody(sealed, job.bodyHash);
      return Fault.ok({ tag: "exists", same, state: sealed.trimmed ? "trimmed" : "" });
    }
    const existing = replica.data.jobs.get(job.id);
    if (existing) return Fault.ok({ tag: "exists", same: existing.bodyHash === job.bodyHash, state: "" });
    if (!Stamp.admits(stamp.time, this.env.wallClockMs(), this.node.clockBounds()))
      return Fault.fail("late", "accept lot", this.node.self.id, "stamp outside the bounds");
    if (replica.view!.members.length < Constants.minReplicasForJobs)
      return Fault.busy("accept lot", this.node.self.id, "too few copies", 3 * Constants.retryAfterMs);
    const put = yield* replica.put(
      {
        putId: `lot-${job.id}-${job.bodyHash}`,
        stamp,
        ops: [{ op: "lot", lot: job }],
        cause: { ...cause, view: replica.view?.epoch },
      },
      ACCEPT_PUT_TIMEOUT_MS,
    );
    if (put.ok && put.value.tag === "done") this.scheduler.addJob(job.id, replica.shard);
    return put;
  }

  /** The status of a job, whether or not its items run under a claim. */
  *status(replica: ShardReplica, { id }: JobStatusRequest): Task<Result<JobStatusResponse>> {
    if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "lot status");
    const found = yield* replica.job(id);
    if (!found.ok) return found;
    const job = found.value;
    if (!job) return Fault.fail("notFound", "lot status", this.node.self.id, `no lot ${id}`);
    const states: Partial<Record<BatchItemState, number>> = {};
    for (const item of job.items) states[item.state] = (states[item.state] ?? 0) + 1;
    return Fault.ok({
      id: job.id,
      binding: job.binding,
      items: job.items.length,
      states,
      ended: job.ended,
      open: job.open,
      accepted: Stamp.text(job.stamp),
      bodyHash: job.bodyHash,
    });
  }
}
