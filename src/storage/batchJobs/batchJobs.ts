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

/** How long a put about a job may take at its leader, ms: longer than a view change. */
const JOB_PUT_MS = 1100;

/**
 * Batch jobs whose items are whole requests, at the leader of their shard: submitted, refused and ended. A job is
 * accepted once it is on every replica and fits into its route's quota.
 *
 * @example
 * const response = yield* jobs.submit(replica, { shard, stamp, life, lot, cause });
 */
export class BatchJobs {
  /** @param submissions locks of the jobs that are being submitted, by job id */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly quota: Quota,
    private readonly openJobs: OpenJobs,
    private readonly submissions: KeyedLock,
  ) {}

  /**
   * Accepts a job, once by its id. Only "accepted" and "exists" mean that the job is stored; after "busy" this arrival
   * of it never will be.
   */
  *submit(replica: ShardReplica, body: SubmitJobRequest): Task<Result<SubmitJobResponse>> {
    const { id, bodyHash } = body.lot;
    yield* this.submissions.whenFree(id);
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
    this.submissions.acquire(id);
    try {
      return yield* this.reserveAndStore(replica, body);
    } finally {
      this.quota.release(replica.shard, id);
      this.submissions.release(id);
    }
  }

  private *reserveAndStore(replica: ShardReplica, body: SubmitJobRequest): Task<Result<SubmitJobResponse>> {
    const { lot: job, life } = body;
    const tokens = job.requests!.reduce((sum, request) => sum + request.tokens, 0);
    const reserved = yield* this.quota.reserve(replica, job.binding, job.id, tokens);
    if (!reserved.ok) {
      if (reserved.fault.tag === "busy") return reserved;
      // nothing was put, so whatever went wrong with the count, the job is certainly not stored
      return this.busy(`what waits could not be counted: ${reserved.fault.detail}`);
    }
    const put = yield* replica.put(
      {
        putId: `lot-${job.id}-${life}`,
        stamp: body.stamp,
        ops: [{ op: "lot", lot: job, life }],
        cause: { ...body.cause, view: replica.view?.epoch },
      },
      JOB_PUT_MS,
    );
    if (!put.ok) return put;
    switch (put.value.tag) {
      case "done":
        this.openJobs.add(replica, job.id);
        return Fault.ok({ tag: "accepted" });
      case "exists":
        return Fault.ok(put.value);
      case "no":
        return this.busy(put.value.why); // this arrival was refused before it was put
      default: {
        const never: never = put.value;
        return never;
      }
    }
  }

  private busy = (why: string): Result<never> => Fault.busy("hand in", this.node.self.id, why, Constants.retryAfterMs);

  /** Makes sure that no arrival of a job up to now is ever stored, unless one is already. */
  *refuse(replica: ShardReplica, { id, stamp }: RefuseRequest): Task<Result<RefuseResponse>> {
    if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "refuse lot");
    const putId = `refuse-lot-${id}-${Stamp.text(stamp)}`;
    const put = yield* replica.put({ putId, stamp, ops: [{ op: "lotRefuse", lot: id }], cause: {} }, JOB_PUT_MS);
    if (!put.ok) return put;
    this.openJobs.add(replica, id); // if it was stored after all
    return Fault.ok({ refused: put.value.tag === "done" });
  }

  /** Ends a job: none of its items starts from now on, and what runs is aborted. */
  *end(replica: ShardReplica, { id, stamp, by }: EndJobRequest): Task<Result<EndJobResponse>> {
    if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "end lot");
    const job = replica.data.jobs.get(id);
    const sealed = replica.segments.find("lots", id);
    if (!job && !sealed && this.submissions.isLocked(id))
      return Fault.fail("notLead", "end lot", this.node.self.id, "it is being taken in");
    if (!job && !sealed) return Fault.fail("notFound", "end lot", this.node.self.id, `no lot ${id}`);
    if (sealed || job?.ended) return Fault.ok({ ended: true });
    const putId = `end-${id}-${Stamp.text(stamp)}`;
    const put = yield* replica.put({ putId, stamp, ops: [{ op: "lotEnd", lot: id, by }], cause: {} }, JOB_PUT_MS);
    if (!put.ok) return put;
    this.openJobs.end(id);
    return Fault.ok({ ended: true });
  }
}

/** The job of the same id that was accepted earlier. */
function findExisting(replica: ShardReplica, id: string, bodyHash: string): ExistingObject | undefined {
  const sealed = replica.segments.find("lots", id);
  if (sealed) {
    const same = replica.segments.hasSameBody(sealed, bodyHash);
    return { tag: "exists", same, state: sealed.trimmed ? "trimmed" : "" };
  }
  const job = replica.data.jobs.get(id);
  return job && { tag: "exists", same: job.bodyHash === bodyHash, state: "" };
}
