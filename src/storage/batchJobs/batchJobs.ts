import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { Node } from "../../node/node";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { KeyedLock } from "../keyedLock";
import { EndJobRequest, EndJobResponse, SubmitJobRequest, SubmitJobResponse } from "../messages/batchJobMessages";
import { ExistingObject, RefuseRequest, RefuseResponse } from "../messages/liveRequestMessages";
import { notLeaderFault } from "../notLeaderFault";
import { Quota } from "../quota/quota";
import { OpenJobs } from "./openJobs";

/** Time-out of a put at the leader, ms. It is longer than a view change. */
const JOB_PUT_TIMEOUT_MS = 1100;

/**
 * Submits, refuses and ends batch jobs whose items are whole requests, at the leader of their shard. A job is accepted
 * if it fits into its route's quota, once it is on every replica.
 */
export class BatchJobs {
  /** @param submissionLocks held for each job that is being submitted, by job id */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly quota: Quota,
    private readonly openJobs: OpenJobs,
    private readonly submissionLocks: KeyedLock,
  ) {}

  /**
   * Accepts a job; a job id is accepted at most once. The job is stored only if the response is "accepted" or "exists".
   * After the fault "busy" this submission is never stored.
   */
  *submit(replica: ShardReplica, body: SubmitJobRequest): Task<Result<SubmitJobResponse>> {
    const { id, bodyHash } = body.lot;
    yield* this.submissionLocks.waitUntilFree(id);
    if (!replica.holdsLease() || this.node.stopping || !this.node.mayHoldLeases())
      return notLeaderFault(this.node, replica, "hand in");
    const existing = findExisting(replica, id, bodyHash);
    if (existing) {
      this.openJobs.add(replica, id);
      return Fault.ok(existing);
    }
    if (!Stamp.admits(body.stamp.time, this.env.wallClockMs(), this.node.clockBounds()))
      return Fault.fail("late", "hand in", this.node.self.id, "stamp outside the bounds");
    if (replica.view!.members.length < Constants.minReplicasForJobs) return this.busy("too few copies");
    this.submissionLocks.acquire(id);
    try {
      return yield* this.reserveAndStore(replica, body);
    } finally {
      this.quota.release(replica.shard, id);
      this.submissionLocks.release(id);
    }
  }

  private *reserveAndStore(replica: ShardReplica, body: SubmitJobRequest): Task<Result<SubmitJobResponse>> {
    const { lot: job, life } = body;
    const tokens = job.requests!.reduce((sum, request) => sum + request.tokens, 0);
    const reserved = yield* this.quota.reserve(replica, job.binding, job.id, tokens);
    if (!reserved.ok) {
      if (reserved.fault.tag === "busy") return reserved;
      // Nothing was put yet, so the job is certainly not stored, whatever fault the count had.
      return this.busy(`what waits could not be counted: ${reserved.fault.detail}`);
    }
    const put = yield* replica.put(
      {
        putId: `lot-${job.id}-${life}`,
        stamp: body.stamp,
        ops: [{ op: "lot", lot: job, life }],
        cause: { ...body.cause, view: replica.view?.epoch },
      },
      JOB_PUT_TIMEOUT_MS,
    );
    if (!put.ok) return put;
    switch (put.value.tag) {
      case "done":
        this.openJobs.add(replica, job.id);
        return Fault.ok({ tag: "accepted" });
      case "exists":
        return Fault.ok(put.value);
      case "no":
        return this.busy(put.value.why); // The submission was refused before it was put.
      default: {
        const unreachable: never = put.value;
        return unreachable;
      }
    }
  }

  private busy = (why: string): Result<never> => Fault.busy("hand in", this.node.self.id, why, Constants.retryAfterMs);

  /** Ensures that no submission of a job made up to now is ever stored, unless one is stored already. */
  *refuse(replica: ShardReplica, { id, stamp }: RefuseRequest): Task<Result<RefuseResponse>> {
    if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "refuse lot");
    const putId = `refuse-lot-${id}-${Stamp.text(stamp)}`;
    const put = yield* replica.put(
      { putId, stamp, ops: [{ op: "lotRefuse", lot: id }], cause: {} },
      JOB_PUT_TIMEOUT_MS,
    );
    if (!put.ok) return put;
    this.openJobs.add(replica, id); // The job may have been stored after all.
    return Fault.ok({ refused: put.value.tag === "done" });
  }

  /** Ends a job: no further item starts, and running items are aborted. */
  *end(replica: ShardReplica, { id, stamp, by }: EndJobRequest): Task<Result<EndJobResponse>> {
    if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "end lot");
    const job = replica.data.jobs.get(id);
    const sealed = replica.segments.find("lots", id);
    if (!job && !sealed && this.submissionLocks.isLocked(id))
      return Fault.fail("notLead", "end lot", this.node.self.id, "it is being taken in");
    if (!job && !sealed) return Fault.fail("notFound", "end lot", this.node.self.id, `no lot ${id}`);
    if (sealed || job?.ended) return Fault.ok({ ended: true });
    const putId = `end-${id}-${Stamp.text(stamp)}`;
    const put = yield* replica.put(
      { putId, stamp, ops: [{ op: "lotEnd", lot: id, by }], cause: {} },
      JOB_PUT_TIMEOUT_MS,
    );
    if (!put.ok) return put;
    this.openJobs.end(id);
    return Fault.ok({ ended: true });
  }
}

/** The earlier accepted job of the same id, if there is one. */
function findExisting(replica: ShardReplica, id: string, bodyHash: string): ExistingObject | undefined {
  const sealed = replica.segments.find("lots", id);
  if (sealed) {
    const same = replica.segments.hasSameBody(sealed, bodyHash);
    return { tag: "exists", same, state: sealed.trimmed ? "trimmed" : "" };
  }
  const job = replica.data.jobs.get(id);
  return job && { tag: "exists", same: job.bodyHash === bodyHash, state: "" };
}
