import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Node } from "../node/node";
import { Stamp } from "../common/stamp";
import { ShardReplica } from "../shard/shardReplica";
import { Cause, BatchJob, BatchJobSpec } from "../shard/shardState";
import { ItemExecution } from "./itemExecution";
import { Quota } from "./quota";

export type SubmitJobRequest = { stamp: Stamp; life: string; lot: BatchJobSpec; cause: Cause };
export type SubmitJobResponse = { tag: "accepted" } | { tag: "exists"; same: boolean; state: string };
export type JobResultEntry = { id: string; state: "complete" | "abandoned"; text: string };
export type JobResultPage = { total: number; results: JobResultEntry[]; ended: boolean };

/**
 * Lots whose items are whole requests: taken in when they stand on every copy, listed behind the frontier, ended.
 * Their items are run by ItemRuns.
 *
 * @example
 * const lots = new Lots(env, node, quota, runs, copies);
 * const accepted = yield* lots.handIn(copy, { stamp, life, lot, cause });
 */
export class BatchJobs {
  private submitting = new Map<string, Chan<true>>();
  readonly counts = { accepted: 0, again: 0, refused: 0, listed: 0 };
  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly quota: Quota,
    private readonly itemExecution: ItemExecution,
  ) {}
  private notLeader = (replica: ShardReplica, step: string): Result<never> =>
    Fault.fail("notLead", step, this.node.self.id, replica.view?.lead ?? "");
  private known(replica: ShardReplica, id: string, bodyHash: string): SubmitJobResponse | undefined {
    const sealed = replica.segments.find("lots", id);
    if (sealed)
      return {
        tag: "exists",
        same: replica.segments.hasSameBody(sealed, bodyHash),
        state: sealed.trimmed ? "trimmed" : "",
      };
    const job = replica.data.jobs.get(id);
    return job && { tag: "exists", same: job.bodyHash === bodyHash, state: "" };
  }

  /** Only "accepted" and "exists" mean that the lot is kept; after "busy" it will not be by this arrival. @example yield* lots.handIn(copy, body) */
  *submit(replica: ShardReplica, body: SubmitJobRequest): Task<Result<SubmitJobResponse>> {
    const { id } = body.lot;
    for (let busy = this.submitting.get(id); busy; busy = this.submitting.get(id)) yield* Csp.take(busy);
    if (!replica.holdsLease() || this.node.stopping || !this.node.mayHoldLeases())
      return this.notLeader(replica, "hand in");
    const known = this.known(replica, id, body.lot.bodyHash);
    if (known) {
      this.counts.again += 1;
      this.itemExecution.opened(replica, id);
      return Fault.ok(known);
    }
    if (!Stamp.admits(body.stamp.time, this.env.wall(), this.node.clockBounds()))
      return Fault.fail("late", "hand in", this.node.self.id, "stamp outside the bounds");
    if (replica.view!.members.length < Constants.minReplicasForJobs) return this.busy("too few copies");
    const done = Csp.chan<true>(1);
    this.submitting.set(id, done);
    try {
      const tokens = body.lot.requests!.reduce((sum, request) => sum + request.tokens, 0);
      const granted = yield* this.quota.take(replica, body.lot.binding, id, tokens);
      if (!granted.ok) return this.rejection(granted.fault);
      return yield* this.storeJob(replica, body);
    } finally {
      this.quota.leave(replica.shard, id);
      this.submitting.delete(id);
      done.close();
    }
  }
  /** Why a place was not granted; nothing was put, so whatever kept the count from us is no matter of fate. */
  private rejection(fault: Fault): Result<never> {
    if (fault.tag !== "busy") return this.busy(`what waits could not be counted: ${fault.detail}`);
    this.counts.refused += 1;
    return { ok: false, fault };
  }
  private busy(why: string): Result<never> {
    this.counts.refused += 1;
    return Fault.busy("hand in", this.node.self.id, why, Constants.retryAfterMs);
  }
  private *storeJob(replica: ShardReplica, body: SubmitJobRequest): Task<Result<SubmitJobResponse>> {
    const { lot: job, life } = body;
    const put = yield* replica.put(
      {
        putId: `lot-${job.id}-${life}`,
        stamp: body.stamp,
        ops: [{ op: "lot", lot: job, life }],
        cause: { ...body.cause, view: replica.view?.epoch },
      },
      1100,
    );
    if (!put.ok) return put;
    switch (put.value.tag) {
      case "done":
        this.counts.accepted += 1;
        this.itemExecution.opened(replica, job.id);
        return Fault.ok({ tag: "accepted" });
      case "exists":
        return Fault.ok(put.value);
      case "no":
        return this.busy(put.value.why); // this arrival was refused before it came here
      default: {
        const never: never = put.value;
        return never;
      }
    }
  }
  /** Makes sure that no arrival of a lot up to now is ever kept; false if one is. @example yield* lots.refuse(copy, { id, stamp }) */
  *refuse(replica: ShardReplica, body: { id: string; stamp: Stamp }): Task<Result<{ refused: boolean }>> {
    if (!replica.holdsLease()) return this.notLeader(replica, "refuse lot");
    const putId = `refuse-lot-${body.id}-${Stamp.text(body.stamp)}`;
    const put = yield* replica.put(
      { putId, stamp: body.stamp, ops: [{ op: "lotRefuse", lot: body.id }], cause: {} },
      1100,
    );
    if (!put.ok) return put;
    this.itemExecution.opened(replica, body.id); // kept after all, if it is there
    return Fault.ok({ refused: put.value.tag === "done" });
  }

  /**
   * Temporal read at any member of the view: results from a position on, behind the frontier. "notFound" is the word of
   * a lead that holds its grant and takes no such lot in just now.
   * @example yield* lots.list(copy, { id: "lot-17", from: 12, waitMs: 1000 })
   */
  *list(
    replica: ShardReplica,
    body: { id: string; from: number; waitMs: number; anyAge?: boolean },
  ): Task<Result<JobResultPage>> {
    const until = this.env.mono() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      if (!this.isMember(replica)) return Fault.fail("notLead", "list", this.node.self.id, "no member of the view");
      const oldest = this.env.wall() - Stamp.delay(this.node.clockBounds()) - Constants.jobListLagMs;
      if (replica.frontier() < oldest && !replica.holdsLease() && !body.anyAge)
        return Fault.fail("notLead", "list", this.node.self.id, "our frontier lags");
      const held = yield* replica.job(body.id);
      if (!held.ok) return held;
      const job = held.value;
      const over = this.env.mono() >= until;
      if (job) {
        const settled = job.open === 0 && job.positions.length === job.items.filter((item) => item.stamp).length;
        if (job.positions.length > body.from || settled || over) return Fault.ok(this.pageOf(job, body.from));
      } else if (replica.holdsLease() && !this.submitting.has(body.id))
        return Fault.fail("notFound", "list", this.node.self.id, `no lot ${body.id}`);
      else if (over || !replica.holdsLease()) return Fault.fail("notLead", "list", this.node.self.id, "not known here");
      yield* replica.waitForChange(until - this.env.mono());
    }
  }
  private isMember(replica: ShardReplica): boolean {
    const view = this.node.gossip.snapshot?.views[replica.shard] ?? replica.view;
    return replica.exists && !!view?.members.includes(this.node.self.id);
  }
  private pageOf(job: BatchJob, from: number): JobResultPage {
    const results: JobResultEntry[] = [];
    let bytes = 0;
    for (const at of job.positions.slice(from)) {
      const item = job.items[at];
      bytes += item.result.length;
      if (results.length > 0 && bytes > Constants.jobListBytes) break;
      results.push({
        id: job.requests?.[at].id ?? String(at),
        state: item.state === "done" ? "complete" : "abandoned",
        text: item.result,
      });
    }
    this.counts.listed += results.length;
    return { total: job.items.length, results, ended: job.ended };
  }
  /** The body, in base64, of an item that is not listed yet, of a lot not ended. @example yield* lots.itemBody(copy, { id: "lot-17", item: "i1" }) */
  *itemBody(replica: ShardReplica, body: { id: string; item: string }): Task<Result<{ body: string }>> {
    if (!this.isMember(replica)) return Fault.fail("notLead", "item body", this.node.self.id, "no member of the view");
    const held = yield* replica.job(body.id);
    if (!held.ok) return held;
    const job = held.value;
    const unsure = !replica.holdsLease() || this.submitting.has(body.id);
    if (!job) return Fault.fail(unsure ? "notLead" : "notFound", "item body", this.node.self.id, `no lot ${body.id}`);
    const at = job.requests?.findIndex(({ id }) => id === body.item) ?? -1;
    const found = job.ended ? undefined : job.bodies[at];
    return found === undefined
      ? Fault.fail("notFound", "item body", this.node.self.id, `no body of ${body.item} in lot ${body.id}`)
      : Fault.ok({ body: found });
  }
  /** Nothing of the lot starts from now on, and what runs is broken off. @example yield* lots.end(copy, { id: "lot-17", stamp, by: "caller" }) */
  *end(replica: ShardReplica, body: { id: string; stamp: Stamp; by: string }): Task<Result<{ ended: true }>> {
    if (!replica.holdsLease()) return this.notLeader(replica, "end lot");
    const job = replica.data.jobs.get(body.id);
    const sealed = replica.segments.find("lots", body.id);
    if (!job && !sealed && this.submitting.has(body.id))
      return Fault.fail("notLead", "end lot", this.node.self.id, "it is being taken in");
    if (!job && !sealed) return Fault.fail("notFound", "end lot", this.node.self.id, `no lot ${body.id}`);
    if (sealed || job?.ended) return Fault.ok({ ended: true });
    const put = yield* replica.put(
      {
        putId: `end-${body.id}-${Stamp.text(body.stamp)}`,
        stamp: body.stamp,
        ops: [{ op: "lotEnd", lot: body.id, by: body.by }],
        cause: {},
      },
      1100,
    );
    if (!put.ok) return put;
    this.itemExecution.ended(body.id);
    return Fault.ok({ ended: true });
  }
}
