import { Constants } from "../common/constants";
import { Env } from "../runtime/env";
import { PolicyLine } from "../control/controlState";
import { Frame, Replica } from "../node/clusterSnapshot";
import { Hash } from "../common/hash";
import { Prompt, PromptLanes } from "./longPromptIsolation";

type Liveness = {
  failures: number;
  coldStartAt: number;
  ejectedUntil: number;
  inFlight: number;
  startedSince: number;
  lastStartAt: number;
  seen: Replica | undefined;
};
export type Wish = {
  frame: Frame;
  pool: string;
  binding: string;
  caller: string;
  kind: string;
  prefix: string;
  lane: "live" | "lot";
  exclude: Set<string>;
  prompt?: Prompt;
  gapMs?: number;
};

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
  private readonly startedAt: number;
  private readonly lanes: PromptLanes;
  constructor(
    private readonly env: Env,
    private readonly self = "",
  ) {
    this.startedAt = env.mono();
    this.lanes = new PromptLanes(env);
  }

  private of(replica: Replica): Liveness {
    let known = this.livenesses.get(replica.key);
    if (!known) {
      known = {
        failures: 0,
        coldStartAt: -Infinity,
        ejectedUntil: 0,
        inFlight: 0,
        startedSince: 0,
        lastStartAt: -Infinity,
        seen: undefined,
      };
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
    // one that tells itself how long it is cold needs no guess from its age
    if (replica.warmAt !== undefined) return 1;
    const age = this.env.wall() - replica.bornAt;
    return Math.min(1, Math.max(Constants.slowStartFloor, age / Constants.slowStartMs));
  }
  /** Replicas that may get this work at all. @example chooser.eligible(wish).length */
  eligible(wish: Omit<Wish, "lane" | "prefix" | "exclude">): Replica[] {
    const control = wish.frame.control;
    const release = control?.releases[wish.pool];
    const everyone = Chooser.inPool(wish);
    const standing = everyone.filter(
      (replica) => release?.withdrawn === undefined || replica.version !== release.withdrawn,
    );
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
  static line(
    wish: { binding: string; kind: string; caller: string },
    policies: PolicyLine[],
    has: (line: PolicyLine) => boolean,
  ): PolicyLine | undefined {
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
      for (const [key, liveness] of this.livenesses)
        if (!known.has(key) && liveness.inFlight === 0) this.livenesses.delete(key);
      this.sweptAt = now;
    }
    const senders = Chooser.senders(wish.frame);
    const choosers = Math.max(1, senders.length);
    const pool = wish.frame.control?.manifest.doc.pools?.[wish.pool];
    const share = wish.lane === "lot" ? 1 - Constants.reservedShare : 1;
    const everyone = this.eligible(wish);
    const withRoom = everyone.filter((replica) => {
      if (wish.exclude.has(replica.key)) return false;
      const known = this.of(replica);
      if (known.ejectedUntil > now) return false;
      if (this.cold(replica) && !this.coldTurn(replica, pool?.warmPerSecond ?? 0, senders, now)) return false;
      if (pool?.connections && known.inFlight >= Chooser.connectionShare(pool.connections, choosers)) return false;
      const ramp = this.ramp(replica);
      // a replica that has just started gets work at a rate that all choosers together keep small
      if (
        ramp < 1 &&
        now - known.lastStartAt < (1000 * choosers) / (replica.capacity * ramp * Constants.slowStartPerSecond)
      )
        return false;
      return this.load(replica) < Math.max(1, Math.floor(replica.capacity * share * ramp));
    });
    if (withRoom.length === 0) return undefined;
    const heard = withRoom.filter((replica) => !replica.quiet);
    const room = this.inLane(wish, heard.length > 0 ? heard : withRoom, everyone);
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
  /** Who may send work to replicas, ingresses (by their agents) and stores. @example Chooser.senders(frame).length */
  static senders(frame: Frame): string[] {
    return frame.members.filter((member) => member.program !== "control").map((member) => member.id);
  }
  /** A sender's part of the connections that a replica takes from all. @example Chooser.connectionShare(110, 12) // 8 */
  static connectionShare = (connections: number, senders: number): number =>
    Math.max(1, Math.floor((connections * Constants.connectionShare) / Math.max(1, senders)));
  private cold = (replica: Replica): boolean =>
    replica.warmAt !== undefined && replica.warmAt + Constants.coldMarginMs > this.env.wall();
  /** A cold replica's rate is a budget of all senders together; where it is less than one each, only some have a part. */
  private coldTurn(replica: Replica, perSecond: number, senders: string[], now: number): boolean {
    if (perSecond <= 0) return true;
    // whoever has just started doesn't know yet how many share the budget
    if (now - this.startedAt < Constants.sendersSettleMs) return false;
    const share = perSecond / Math.max(1, senders.length);
    const interval = Math.max(Constants.coldIntervalMs, 1000 / Math.max(share, 1e-6));
    if (share < 1 && Hash.rendezvous(replica.key, senders).indexOf(this.self) >= Math.floor(perSecond)) return false;
    return now - this.of(replica).coldStartAt >= Math.min(interval, 1000);
  }
  /** A prompt that will have to be read somewhere in the pool. @example chooser.saw("model", prompt, 300); */
  saw(pool: string, prompt: Prompt, gapMs: number): void {
    this.lanes.saw(pool, prompt, gapMs);
  }
  /** Live prompts keep to the replicas for their length; items of lots go anywhere. */
  private inLane(wish: Wish, room: Replica[], everyone: Replica[]): Replica[] {
    const { prompt, gapMs } = wish;
    if (wish.lane === "lot" || !prompt || !gapMs) return room;
    const ingresses = Math.max(1, wish.frame.members.filter((member) => member.program === "agent").length);
    return this.lanes.preferred(wish.pool, room, everyone, PromptLanes.isLong(prompt, gapMs), ingresses);
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
    if (this.cold(replica)) known.coldStartAt = known.lastStartAt;
  }
  /** How a round ended; failures in a row eject, a plain one at once. @example chooser.end(replica, false, true); */
  end(replica: Replica, lively: boolean, plainly = false): void {
    const known = this.livenesses.get(replica.key);
    if (!known) return;
    known.inFlight = Math.max(0, known.inFlight - 1);
    known.startedSince = Math.max(0, known.startedSince - 1);
    if (lively) known.failures = 0;
    else {
      known.failures += 1;
      if (plainly || known.failures >= Constants.ejectFailures) {
        known.ejectedUntil = this.env.mono() + Constants.ejectMs;
        known.failures = Constants.ejectFailures - 1; // one more failure after the pause ejects again
        this.env.log(1204, { replica: replica.key });
      }
    }
  }
}
