import { Constants } from "../constants";
import { Env } from "../env/env";
import { PolicyLine } from "../control/controlState";
import { Frame, Replica } from "./frame";
import { Hash } from "./hash";

type Liveness = { failures: number; ejectedUntil: number; inFlight: number; startedSince: number; lastStartAt: number; seen: Replica | undefined };
export type Wish = { frame: Frame; pool: string; binding: string; caller: string; kind: string; prefix: string; lane: "live" | "lot"; exclude: Set<string> };

/**
 * Choice of a replica: prefix affinity with bounded load, two choices where there is no prefix, slow start
 * for the new, ejection for the failing.
 *
 * @example
 * const chooser = new Chooser(env);
 * const chosenReplica = chooser.choose(wish);
 * if (chosenReplica) chooser.begin(chosenReplica);
 */
export class Chooser {
  private livenesses = new Map<string, Liveness>();
  private sweptAt = 0;
  hits = 0;
  misses = 0;
  constructor(private readonly env: Env) {}

  private of(replica: Replica): Liveness {
    let known = this.livenesses.get(replica.key);
    if (!known) {
      known = { failures: 0, ejectedUntil: 0, inFlight: 0, startedSince: 0, lastStartAt: -Infinity, seen: undefined };
      this.livenesses.set(replica.key, known);
    }
    if (known.seen !== replica && known.seen?.active !== replica.active) known.startedSince = 0;
    known.seen = replica;
    return known;
  }
  /** Best guess of what the replica has to do now. @example chooser.load(replica) */
  load(replica: Replica): number {
    const known = this.of(replica);
    return Math.max(replica.active + replica.waiting + known.startedSince, known.inFlight);
  }
  private ramp(replica: Replica): number {
    const age = this.env.wall() - replica.bornAt;
    return Math.min(1, Math.max(Constants.slowStartFloor, age / Constants.slowStartMs));
  }
  /** Replicas that may get this work at all. @example chooser.eligible(wish).length */
  eligible(wish: Omit<Wish, "lane" | "prefix" | "exclude">): Replica[] {
    const control = wish.frame.control;
    const release = control?.releases[wish.pool];
    const everyone = Chooser.inPool(wish);
    const standing = everyone.filter((replica) => release?.withdrawn === undefined || replica.version !== release.withdrawn);
    const inPool = standing.length > 0 ? standing : everyone;
    if (!release || !inPool.some((replica) => replica.version === release.version)) return inPool;
    const share = release.overMs <= 0 ? 1 : Math.min(1, (this.env.wall() - release.startedAt) / release.overMs);
    const released = this.env.random() < share;
    const chosen = inPool.filter((replica) => (replica.version === release.version) === released);
    return chosen.length > 0 ? chosen : inPool;
  }
  /** Announced, not drained, and where the policies let work land. @example Chooser.inPool(wish).length */
  static inPool(wish: Omit<Wish, "lane" | "prefix" | "exclude">): Replica[] {
    const control = wish.frame.control;
    const land = Chooser.line(wish, control?.policies.doc ?? [], (line) => !!line.land)?.land;
    return wish.frame.replicas.filter(
      (replica) =>
        replica.pool === wish.pool &&
        !control?.drained.includes(replica.district) &&
        (!land?.districts || land.districts.includes(replica.district)) &&
        !land?.avoid?.includes(replica.district),
    );
  }
  /** First policy line that matches and has what is asked for. @example Chooser.line(wish, policies, (line) => line.order !== undefined) */
  static line(wish: { binding: string; kind: string; caller: string }, policies: PolicyLine[], has: (line: PolicyLine) => boolean): PolicyLine | undefined {
    return policies.find(
      (line) =>
        has(line) &&
        (line.match.binding === undefined || line.match.binding === wish.binding) &&
        (line.match.kind === undefined || line.match.kind === wish.kind) &&
        (line.match.caller === undefined || line.match.caller === wish.caller),
    );
  }
  /** Undefined when nothing has room. @example chooser.choose(wish)?.id */
  choose(wish: Wish): Replica | undefined {
    const now = this.env.mono();
    if (now - this.sweptAt > Constants.tombstoneMs) {
      const known = new Set(wish.frame.replicas.map((replica) => replica.key));
      for (const [key, liveness] of this.livenesses) if (!known.has(key) && liveness.inFlight === 0) this.livenesses.delete(key);
      this.sweptAt = now;
    }
    const choosers = Math.max(1, wish.frame.members.filter((member) => member.program !== "control").length);
    const share = wish.lane === "lot" ? 1 - Constants.reservedShare : 1;
    const room = this.eligible(wish).filter((replica) => {
      if (wish.exclude.has(replica.key)) return false;
      const known = this.of(replica);
      if (known.ejectedUntil > now) return false;
      const ramp = this.ramp(replica);
      // a replica that has just started gets work at a rate that all choosers together keep small
      if (ramp < 1 && now - known.lastStartAt < (1000 * choosers) / (replica.capacity * ramp * Constants.slowStartPerSecond)) return false;
      return this.load(replica) < Math.max(1, Math.floor(replica.capacity * share * ramp));
    });
    if (room.length === 0) return undefined;
    if (wish.prefix === "") return this.better(room);
    const mean = room.reduce((sum, replica) => sum + this.load(replica), 0) / room.length;
    const limit = Math.ceil((mean + 1) * Constants.boundedLoad);
    const byKey = new Map(room.map((replica) => [replica.key, replica]));
    let first = true;
    for (const key of Hash.rendezvous(wish.prefix, [...byKey.keys()])) {
      const candidate = byKey.get(key)!;
      if (this.load(candidate) < limit && this.env.random() < this.ramp(candidate)) {
        if (first) this.hits += 1;
        else this.misses += 1;
        return candidate;
      }
      first = false;
    }
    this.misses += 1;
    return this.better(room);
  }
  private better(room: Replica[]): Replica {
    const pick = (): Replica => room[Math.floor(this.env.random() * room.length)];
    const [left, right] = [pick(), pick()];
    const weight = (replica: Replica): number => (this.load(replica) + 1) / (replica.capacity * this.ramp(replica));
    return weight(left) <= weight(right) ? left : right;
  }
  /** @example chooser.begin(replica); */
  begin(replica: Replica): void {
    const known = this.of(replica);
    known.inFlight += 1;
    known.startedSince += 1;
    known.lastStartAt = this.env.mono();
  }
  /** How a round ended; failures in a row eject. @example chooser.end(replica, true); */
  end(replica: Replica, lively: boolean): void {
    const known = this.livenesses.get(replica.key);
    if (!known) return;
    known.inFlight = Math.max(0, known.inFlight - 1);
    known.startedSince = Math.max(0, known.startedSince - 1);
    if (lively) known.failures = 0;
    else {
      known.failures += 1;
      if (known.failures >= Constants.ejectFailures) {
        known.ejectedUntil = this.env.mono() + Constants.ejectMs;
        known.failures = Constants.ejectFailures - 1; // one more failure after the pause ejects again
        this.env.log(1204, { replica: replica.key });
      }
    }
  }
}
