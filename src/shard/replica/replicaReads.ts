import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import type { Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import type { BatchJob } from "../state/batchJob";
import type { LiveRequest } from "../state/liveRequest";
import type { ReplicaState } from "./replicaState";

/** Reads a replica's objects from memory or segments, and waits for changes. */
export class ReplicaReads {
  constructor(private readonly state: ReplicaState) {}

  /** Reads a batch job, open or closed; undefined if there is none. Faults: "gone" if trimmed, "disk". */
  *job(id: string): Task<Result<BatchJob | undefined>> {
    const job = this.state.data.jobs.get(id);
    return job ? Fault.ok(job) : yield* this.state.segments.readObject("lots", id);
  }
  /** Reads a live request, open or closed; undefined if there is none. Faults: "gone" if trimmed, "disk". */
  *liveRequest(id: string): Task<Result<LiveRequest | undefined>> {
    const request = this.state.data.liveRequests.get(id);
    return request ? Fault.ok(request) : yield* this.state.segments.readObject("works", id);
  }
  /**
   * Runs a read of sealed ledger entries, and repeats it if more were sealed meanwhile. So the entries in memory, which
   * the caller reads next, follow without a gap.
   */
  *readConsistently<T>(read: () => Task<Result<T>>): Task<Result<T>> {
    for (;;) {
      const before = this.state.data.segmentCounts.ledger;
      const done = yield* read();
      if (!done.ok || this.state.data.segmentCounts.ledger === before) return done;
    }
  }
  /** Waits until an entry is applied or the frontier advances, at most `ms` milliseconds. */
  *waitForChange(ms: number): Task<void> {
    const { state } = this;
    const { env, hooks } = state.context;
    const change = state.addReader();
    // The leader's frontier advances with its clock, so the time at which it passes the next unstable put is known.
    const nextTime = Math.min(...state.data.unstablePuts.map((put) => put.stamp.time));
    const dueMs = state.role === "lead" ? nextTime + Stamp.delay(hooks.bounds()) - env.wallClockMs() + 1 : Infinity;
    yield* EnvironmentTools.takeWithin(env, change, Math.min(ms, dueMs > 0 ? dueMs : Constants.statusPeriodMs));
    state.removeReader(change);
  }
}
