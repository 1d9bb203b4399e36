import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import type { Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import type { BatchJob } from "../state/batchJob";
import type { LiveRequest } from "../state/liveRequest";
import type { ReplicaState } from "./replicaState";

/** Reads of a replica's objects, in memory or in segments, and waits for changes. */
export class ReplicaReads {
  constructor(private readonly state: ReplicaState) {}

  /** A batch job, open or closed; undefined if there is none. Faults: "gone" if trimmed, "disk". @example const job = yield* reads.job("lot-17"); */
  *job(id: string): Task<Result<BatchJob | undefined>> {
    const job = this.state.data.jobs.get(id);
    return job ? Fault.ok(job) : yield* this.state.segments.readObject("lots", id);
  }
  /** A live request, open or closed; undefined if there is none. Faults: "gone" if trimmed, "disk". @example const request = yield* reads.liveRequest("req-1"); */
  *liveRequest(id: string): Task<Result<LiveRequest | undefined>> {
    const request = this.state.data.liveRequests.get(id);
    return request ? Fault.ok(request) : yield* this.state.segments.readObject("works", id);
  }
  /**
   * Runs a read of sealed ledger entries; repeated if further ones were sealed meanwhile, so that what is read next in
   * memory follows without a gap.
   * @example const sealed = yield* reads.readConsistently(() => segments.ledger.after(stamp, 100));
   */
  *readConsistently<T>(read: () => Task<Result<T>>): Task<Result<T>> {
    for (;;) {
      const before = this.state.data.segmentCounts.ledger;
      const done = yield* read();
      if (!done.ok || this.state.data.segmentCounts.ledger === before) return done;
    }
  }
  /** Waits until something was applied or became stable, at most so many ms. @example yield* reads.waitForChange(800); */
  *waitForChange(ms: number): Task<void> {
    const { state } = this;
    const { env, hooks } = state.context;
    const change = state.addReader();
    // At the leader the frontier moves with the time itself: it passes the next put that isn't stable yet by then.
    const nextTime = Math.min(...state.data.unstablePuts.map((put) => put.stamp.time));
    const dueMs = state.role === "lead" ? nextTime + Stamp.delay(hooks.bounds()) - env.wallClockMs() + 1 : Infinity;
    yield* EnvironmentTools.takeWithin(env, change, Math.min(ms, dueMs > 0 ? dueMs : Constants.statusPeriodMs));
    state.removeReader(change);
  }
}
