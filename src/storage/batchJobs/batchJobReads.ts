import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { Node } from "../../node/node";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { BatchJob } from "../../shard/shardTypes";
import { KeyedLock } from "../keyedLock";
import {
  ItemBodyRequest,
  ItemBodyResponse,
  JobResultEntry,
  JobResultPage,
  JobResultsRequest,
  JobResultsResponse,
  ListJobRequest,
} from "../messages/batchJobMessages";
import { isInView, notInViewFault } from "../viewMembership";

/**
 * Temporal reads of batch jobs. Any member of a shard's view serves them from its stable prefix. For an unknown
 * job only the leader returns the fault "notFound"; `list` and `itemBody` return it only while no submission of the job
 * is in progress.
 *
 * @example
 * const page = yield* reads.list(replica, { shard: 3, id: "lot-17", from: 12, waitMs: 1000 });
 */
export class BatchJobReads {
  /** @param submissionLocks held for each job that is being submitted, by job id */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly submissionLocks: KeyedLock,
  ) {}

  /** Reads results from a position. Responds once there is one, all results are stable, or the wait has ended. */
  *list(replica: ShardReplica, { id, from, waitMs, anyAge }: ListJobRequest): Task<Result<JobResultPage>> {
    const deadline = this.env.monotonicMs() + Math.min(waitMs, Constants.readWaitMs);
    for (;;) {
      if (!isInView(this.node, replica)) return notInViewFault(this.node, "list");
      const oldest = this.env.wallClockMs() - Stamp.delay(this.node.clockBounds()) - Constants.jobListMaxLagMs;
      if (replica.frontier() < oldest && !replica.holdsLease() && !anyAge)
        return Fault.fail("notLead", "list", this.node.self.id, "our frontier lags");
      const found = yield* replica.job(id);
      if (!found.ok) return found;
      const job = found.value;
      const isTimeUp = this.env.monotonicMs() >= deadline;
      if (job) {
        if (job.positions.length > from || areAllStable(job) || isTimeUp) return Fault.ok(pageOf(job, from));
      } else if (replica.holdsLease() && !this.submissionLocks.isLocked(id))
        return Fault.fail("notFound", "list", this.node.self.id, `no lot ${id}`);
      else if (isTimeUp || !replica.holdsLease())
        return Fault.fail("notLead", "list", this.node.self.id, "not known here");
      yield* replica.waitForChange(deadline - this.env.monotonicMs());
    }
  }

  /** Reads the request body of an item. A job that was ended has no bodies. */
  *itemBody(replica: ShardReplica, { id, item }: ItemBodyRequest): Task<Result<ItemBodyResponse>> {
    if (!isInView(this.node, replica)) return notInViewFault(this.node, "item body");
    const found = yield* replica.job(id);
    if (!found.ok) return found;
    const job = found.value;
    const isUncertain = !replica.holdsLease() || this.submissionLocks.isLocked(id);
    if (!job) return Fault.fail(isUncertain ? "notLead" : "notFound", "item body", this.node.self.id, `no lot ${id}`);
    const index = job.requests?.findIndex((request) => request.id === item) ?? -1;
    const body = job.ended ? undefined : job.bodies[index];
    return body === undefined
      ? Fault.fail("notFound", "item body", this.node.self.id, `no body of ${item} in lot ${id}`)
      : Fault.ok({ body });
  }

  /** Reads results with their positions and stamps, of jobs with or without claims. */
  *results(replica: ShardReplica, body: JobResultsRequest): Task<Result<JobResultsResponse>> {
    if (!isInView(this.node, replica)) return notInViewFault(this.node, "read");
    const deadline = this.env.monotonicMs() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      const frontier = replica.frontier();
      const found = yield* replica.job(body.id);
      if (!found.ok) return found;
      const job = found.value;
      const isTimeUp = this.env.monotonicMs() >= deadline;
      if (job) {
        const response = resultsOf(job, body, frontier);
        if (response.results.length > 0 || areAllStable(job) || isTimeUp) return Fault.ok(response);
      } else if (replica.holdsLease())
        return Fault.fail("notFound", "lot results", this.node.self.id, `no lot ${body.id}`);
      else if (isTimeUp) return Fault.fail("notLead", "lot results", this.node.self.id, "not here yet");
      yield* replica.waitForChange(deadline - this.env.monotonicMs());
    }
  }
}

/** Whether no item is open and all results are in the stable prefix. */
function areAllStable(job: BatchJob): boolean {
  return job.open === 0 && job.positions.length === job.items.filter((item) => item.stamp).length;
}

/** A page with as many results as fit into one response, and with at least one if there is any. */
function pageOf(job: BatchJob, from: number): JobResultPage {
  const results: JobResultEntry[] = [];
  let bytes = 0;
  for (const index of job.positions.slice(from)) {
    const { state, result } = job.items[index];
    bytes += result.length;
    if (results.length > 0 && bytes > Constants.jobListBytes) break;
    results.push({
      id: job.requests?.[index].id ?? String(index),
      state: state === "done" ? "complete" : "abandoned",
      text: result,
    });
  }
  return { total: job.items.length, results, ended: job.ended };
}

function resultsOf(job: BatchJob, { after, limit }: JobResultsRequest, frontier: number): JobResultsResponse {
  const positions = job.positions.slice(after, after + limit);
  const results = positions.map((item, offset) => ({
    position: after + offset + 1,
    item,
    ...(job.requests ? { id: job.requests[item].id } : {}),
    state: job.items[item].state,
    result: job.items[item].result,
    stamp: Stamp.text(job.items[item].stamp!),
  }));
  const isLastPage = after + positions.length === job.positions.length;
  return { results, finished: areAllStable(job) && isLastPage, ended: job.ended, frontier };
}
