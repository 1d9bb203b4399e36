import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import {
  CalendarEntry,
  CalendarEntryState,
  DrainOperation,
  ReleaseOperation,
  RetireOperation,
} from "../controlState/calendarEntry";
import { Node } from "../node/node";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { StoreRetirement } from "./storeRetirement";

/** Numbers of the log events for the states that a transition can reach. */
const STARTED_EVENT = 1501;
const FINISHED_EVENT = 1502;
const FAILED_EVENT = 1503;

function transitionEvent(state: CalendarEntryState): number {
  if (state === CalendarEntryState.started) return STARTED_EVENT;
  return state === CalendarEntryState.finished ? FINISHED_EVENT : FAILED_EVENT;
}

/**
 * Runs planned operations that are due. Each step commits a transition of the calendar entry to its next state through
 * the consensus log, so that an operation runs once and a new leader continues where the former one stopped.
 */
export class CalendarRunner {
  /** Number of operations that this node has run to their end. */
  completedCount = 0;
  private readonly running = new Set<string>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly storeRetirement: StoreRetirement,
  ) {}

  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "calendar", () => this.loop());
  }

  private *loop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(
        this.env,
        this.group.role === "leader" ? Constants.calendarPeriodMs : Constants.leaderTaskPeriodMs,
      );
      if (!this.group.hasLeaderLease()) continue;
      for (const entry of Object.values(this.group.state.calendar)) if (this.isRunnable(entry)) this.run(entry);
    }
  }

  private isRunnable({ id, due, fate: state }: CalendarEntry): boolean {
    const isDue = due <= this.env.wallClockMs();
    const isActive = state === CalendarEntryState.started || (state === CalendarEntryState.scheduled && isDue);
    return isActive && !this.running.has(id);
  }

  private run(entry: CalendarEntry): void {
    const runner = this;
    this.running.add(entry.id);
    Csp.go(this.env.scope, `planned operation ${entry.id}`, function* () {
      try {
        yield* runner.advance(entry);
      } finally {
        runner.running.delete(entry.id);
      }
    });
  }

  private *advance(entry: CalendarEntry): Task<void> {
    const { move: operation } = entry;
    switch (operation.kind) {
      case "manifest":
      case "undrain":
      case "rollback":
        return yield* this.transition(entry, CalendarEntryState.finished);
      case "drain":
        return yield* this.advanceDrain(entry, operation);
      case "release":
        return yield* this.advanceRelease(entry, operation);
      case "retire":
        return yield* this.advanceRetirement(entry, operation);
    }
  }

  /** A drain with an end time lasts until then; the entry of a drain without one finishes once the zone is idle. */
  private *advanceDrain(entry: CalendarEntry, { district: zone, until }: DrainOperation): Task<void> {
    if (entry.fate === CalendarEntryState.scheduled) return yield* this.transition(entry, CalendarEntryState.started);
    if (until !== undefined) {
      if (this.env.wallClockMs() >= until) yield* this.transition(entry, CalendarEntryState.finished, "time is up");
      return;
    }
    const isBusy = this.node.snapshot().endpoints.some((endpoint) => endpoint.district === zone && endpoint.active > 0);
    if (isBusy) yield* EnvironmentTools.sleep(this.env, Constants.drainRecheckMs);
    else yield* this.transition(entry, CalendarEntryState.finished, "no work left in the district");
  }

  private *advanceRelease(entry: CalendarEntry, { pool, version, overMs }: ReleaseOperation): Task<void> {
    if (entry.fate === CalendarEntryState.scheduled) {
      const isAnnounced = this.node
        .snapshot()
        .endpoints.some((endpoint) => endpoint.pool === pool && endpoint.version === version);
      if (isAnnounced) yield* this.transition(entry, CalendarEntryState.started);
      else
        yield* this.transition(entry, CalendarEntryState.failed, `no replica of ${pool} announces version ${version}`);
      return;
    }
    const startedAt = this.group.state.releases[pool]?.startedAt ?? 0;
    if (this.env.wallClockMs() >= startedAt + overMs)
      yield* this.transition(entry, CalendarEntryState.finished, "all new work goes to the version");
  }

  private *advanceRetirement(entry: CalendarEntry, operation: RetireOperation): Task<void> {
    if (entry.fate === CalendarEntryState.scheduled) {
      const obstacle = this.storeRetirement.retirementBlocker(operation.store);
      if (obstacle !== undefined) yield* this.transition(entry, CalendarEntryState.failed, obstacle);
      else yield* this.transition(entry, CalendarEntryState.started);
      return;
    }
    if (yield* this.storeRetirement.confirmComplete(operation))
      yield* this.transition(entry, CalendarEntryState.finished, "no copy is left on the store");
  }

  /**
   * Proposes a transition. The operation may fail when it is applied; the entry then reaches the state "failed"
   * instead.
   */
  private *transition(entry: CalendarEntry, to: CalendarEntryState, detail = ""): Task<void> {
    this.env.faultPoint(61);
    const outcome = yield* this.group.propose(
      { tag: "move", id: entry.id, from: entry.fate, to, detail, at: this.env.wallClockMs() },
      Constants.proposeTimeoutMs,
    );
    if (outcome.ok && outcome.value.tag === "done") {
      const reached = this.group.state.calendar[entry.id]?.fate ?? to;
      this.env.log(transitionEvent(reached), { move: entry.id, kind: entry.move.kind, detail });
      if (reached !== CalendarEntryState.started) this.completedCount += 1;
    }
    this.env.faultPoint(62);
  }
}
