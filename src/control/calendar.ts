import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Node } from "../node/node";
import { CalendarEntry, CalendarEntryState } from "../controlState/calendarEntry";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { ShardPlacement } from "./shardPlacement";

/**
 * Runs what is due in the calendar, each move once: every step is a logged change from one fate to the next,
 * so that a new lead goes on where the old one stopped.
 *
 * @example
 * const calendar = new Calendar(env, node, group, views);
 * calendar.start();
 */
export class Calendar {
  ran = 0;
  private busy = new Set<string>();
  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly views: ShardPlacement,
  ) {}
  /** @example calendar.start(); */
  start(): void {
    EnvTools.keep(this.env, this.env.scope, "calendar", () => this.loop());
  }
  private *loop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, this.group.role === "leader" ? Constants.movePeriodMs : Constants.dutyPeriodMs);
      if (!this.group.hasLeaderLease()) continue;
      for (const entry of Object.values(this.group.state.calendar)) {
        const due = entry.due <= this.env.wall();
        if (this.busy.has(entry.id) || !(entry.fate === "started" || (entry.fate === "pencilled" && due))) continue;
        this.busy.add(entry.id);
        const calendar = this;
        Csp.go(this.env.scope, `move ${entry.id}`, function* () {
          try {
            yield* calendar.advance(entry);
          } finally {
            calendar.busy.delete(entry.id);
          }
        });
      }
    }
  }
  private *mark(entry: CalendarEntry, to: CalendarEntryState, detail: string): Task<boolean> {
    this.env.point(61);
    const outcome = yield* this.group.propose(
      { tag: "move", id: entry.id, from: entry.fate, to, detail, at: this.env.wall() },
      Constants.proposeTimeoutMs,
    );
    const done = outcome.ok && outcome.value.tag === "done";
    if (done) {
      const fate = this.group.state.calendar[entry.id]?.fate ?? to;
      this.env.log(fate === "started" ? 1501 : fate === "finished" ? 1502 : 1503, {
        move: entry.id,
        kind: entry.move.kind,
        detail,
      });
      if (fate !== "started") this.ran += 1;
    }
    this.env.point(62);
    return done;
  }
  private *advance(entry: CalendarEntry): Task<void> {
    const { move } = entry;
    const pencilled = entry.fate === "pencilled";
    switch (move.kind) {
      case "manifest":
      case "undrain":
      case "rollback":
        yield* this.mark(entry, "finished", "");
        return;
      case "drain":
        if (pencilled) yield* this.mark(entry, "started", "");
        else {
          if (move.until !== undefined && this.env.wall() < move.until) return;
          const left = this.node
            .snapshot()
            .endpoints.filter((endpoint) => endpoint.district === move.district && endpoint.active > 0);
          if (move.until === undefined && left.length === 0)
            yield* this.mark(entry, "finished", "no work left in the district");
          else if (move.until !== undefined) yield* this.mark(entry, "finished", "time is up");
          else yield* EnvTools.sleep(this.env, Constants.drainSettleMs);
        }
        return;
      case "release": {
        if (pencilled) {
          const there = this.node
            .snapshot()
            .endpoints.some((endpoint) => endpoint.pool === move.pool && endpoint.version === move.version);
          yield* this.mark(
            entry,
            there ? "started" : "failed",
            there ? "" : `no replica of ${move.pool} announces version ${move.version}`,
          );
          return;
        }
        const startedAt = this.group.state.releases[move.pool]?.startedAt ?? 0;
        if (this.env.wall() >= startedAt + move.overMs)
          yield* this.mark(entry, "finished", "all new work goes to the version");
        return;
      }
      case "retire": {
        if (pencilled) {
          const staying = this.views.staying(move.store);
          const known = this.node.membership.find(move.store);
          if (!known || known.program !== "store") yield* this.mark(entry, "failed", `no store ${move.store}`);
          else if (staying.length < this.views.replicasWanted)
            yield* this.mark(
              entry,
              "failed",
              `too few stores would stay: ${staying.length}, needed ${this.views.replicasWanted}`,
            );
          else yield* this.mark(entry, "started", "");
          return;
        }
        if (yield* this.views.confirmEmptied(move)) yield* this.mark(entry, "finished", "no copy is left on the store");
        return;
      }
      default: {
        const never: never = move;
        void never;
      }
    }
  }
}
