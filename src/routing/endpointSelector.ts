import { Constants } from "../common/constants";
import { Env } from "../runtime/env";
import { PolicyLine } from "../control/controlState";
import { ClusterSnapshot, Endpoint } from "../node/clusterSnapshot";
import { Hash } from "../common/hash";
import { Prompt, LongPromptIsolation } from "./longPromptIsolation";

type EndpointHealth = {
  failures: number;
  coldStartAt: number;
  ejectedUntil: number;
  inFlight: number;
  startedSince: number;
  lastStartAt: number;
  seen: Endpoint | undefined;
};
export type SelectionCriteria = {
  snapshot: ClusterSnapshot;
  pool: string;
  route: string;
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
export class EndpointSelector {
  private livenesses = new Map<string, EndpointHealth>();
  private sweptAt = 0;
  hits = 0;
  misses = 0;
  private readonly startedAt: number;
  private readonly lanes: LongPromptIsolation;
  constructor(
    private readonly env: Env,
    private readonly self = "",
  ) {
    this.startedAt = env.mono();
    this.lanes = new LongPromptIsolation(env);
  }

  private of(endpoint: Endpoint): EndpointHealth {
    let known = this.livenesses.get(endpoint.key);
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
      this.livenesses.set(endpoint.key, known);
    }
    if (known.seen !== endpoint && known.seen?.active !== endpoint.active) known.startedSince = 0;
    known.seen = endpoint;
    return known;
  }
  /** Best guess of what the replica has to do now. @example chooser.load(replica) */
  load(endpoint: Endpoint): number {
    const known = this.of(endpoint);
    return Math.max(endpoint.active + endpoint.waiting + known.startedSince, known.inFlight);
  }
  private ramp(endpoint: Endpoint): number {
    // one that tells itself how long it is cold needs no guess from its age
    if (endpoint.warmAt !== undefined) return 1;
    const age = this.env.wall() - endpoint.bornAt;
    return Math.min(1, Math.max(Constants.slowStartFloor, age / Constants.slowStartMs));
  }
  /** Replicas that may get this work at all. @example chooser.eligible(wish).length */
  eligible(criteria: Omit<SelectionCriteria, "lane" | "prefix" | "exclude">): Endpoint[] {
    const control = criteria.snapshot.control;
    const release = control?.releases[criteria.pool];
    const everyone = EndpointSelector.inPool(criteria);
    const standing = everyone.filter(
      (endpoint) => release?.withdrawn === undefined || endpoint.version !== release.withdrawn,
    );
    const inPool = standing.length > 0 ? standing : everyone;
    if (!release || !inPool.some((endpoint) => endpoint.version === release.version)) return inPool;
    const share = release.overMs <= 0 ? 1 : Math.min(1, (this.env.wall() - release.startedAt) / release.overMs);
    const released = this.env.random() < share;
    const chosen = inPool.filter((endpoint) => (endpoint.version === release.version) === released);
    return chosen.length > 0 ? chosen : inPool;
  }
  /** Announced, not drained, and where the policies let work land. @example Chooser.inPool(wish).length */
  static inPool(criteria: Omit<SelectionCriteria, "lane" | "prefix" | "exclude">): Endpoint[] {
    const control = criteria.snapshot.control;
    const land = EndpointSelector.line(criteria, control?.policies.doc ?? [], (line) => !!line.land)?.land;
    return criteria.snapshot.replicas.filter(
      (endpoint) =>
        endpoint.pool === criteria.pool &&
        !control?.drained.includes(endpoint.district) &&
        (!land?.districts || land.districts.includes(endpoint.district)) &&
        !land?.avoid?.includes(endpoint.district),
    );
  }
  /** First policy line that matches and has what is asked for. @example Chooser.line(wish, policies, (line) => line.order !== undefined) */
  static line(
    criteria: { route: string; kind: string; caller: string },
    policies: PolicyLine[],
    has: (line: PolicyLine) => boolean,
  ): PolicyLine | undefined {
    return policies.find(
      (line) =>
        has(line) &&
        (line.match.binding === undefined || line.match.binding === criteria.route) &&
        (line.match.kind === undefined || line.match.kind === criteria.kind) &&
        (line.match.caller === undefined || line.match.caller === criteria.caller),
    );
  }
  /** Undefined when nothing has room. @example chooser.choose(wish)?.id */
  choose(criteria: SelectionCriteria): Endpoint | undefined {
    const now = this.env.mono();
    if (now - this.sweptAt > Constants.tombstoneMs) {
      const known = new Set(criteria.snapshot.replicas.map((endpoint) => endpoint.key));
      for (const [key, liveness] of this.livenesses)
        if (!known.has(key) && liveness.inFlight === 0) this.livenesses.delete(key);
      this.sweptAt = now;
    }
    const senders = EndpointSelector.senders(criteria.snapshot);
    const choosers = Math.max(1, senders.length);
    const pool = criteria.snapshot.control?.manifest.doc.pools?.[criteria.pool];
    const share = criteria.lane === "lot" ? 1 - Constants.reservedShare : 1;
    const everyone = this.eligible(criteria);
    const withRoom = everyone.filter((endpoint) => {
      if (criteria.exclude.has(endpoint.key)) return false;
      const known = this.of(endpoint);
      if (known.ejectedUntil > now) return false;
      if (this.cold(endpoint) && !this.coldTurn(endpoint, pool?.warmPerSecond ?? 0, senders, now)) return false;
      if (pool?.connections && known.inFlight >= EndpointSelector.connectionShare(pool.connections, choosers))
        return false;
      const ramp = this.ramp(endpoint);
      // a replica that has just started gets work at a rate that all choosers together keep small
      if (
        ramp < 1 &&
        now - known.lastStartAt < (1000 * choosers) / (endpoint.capacity * ramp * Constants.slowStartPerSecond)
      )
        return false;
      return this.load(endpoint) < Math.max(1, Math.floor(endpoint.capacity * share * ramp));
    });
    if (withRoom.length === 0) return undefined;
    const heard = withRoom.filter((endpoint) => !endpoint.quiet);
    const room = this.inLane(criteria, heard.length > 0 ? heard : withRoom, everyone);
    if (criteria.prefix === "") return this.better(room);
    const mean = room.reduce((sum, endpoint) => sum + this.load(endpoint), 0) / room.length;
    const limit = Math.ceil((mean + 1) * Constants.boundedLoad);
    const byKey = new Map(room.map((endpoint) => [endpoint.key, endpoint]));
    let first = true;
    for (const key of Hash.rendezvous(criteria.prefix, [...byKey.keys()])) {
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
  static senders(snapshot: ClusterSnapshot): string[] {
    return snapshot.members.filter((member) => member.program !== "control").map((member) => member.id);
  }
  /** A sender's part of the connections that a replica takes from all. @example Chooser.connectionShare(110, 12) // 8 */
  static connectionShare = (connections: number, senders: number): number =>
    Math.max(1, Math.floor((connections * Constants.connectionShare) / Math.max(1, senders)));
  private cold = (endpoint: Endpoint): boolean =>
    endpoint.warmAt !== undefined && endpoint.warmAt + Constants.coldMarginMs > this.env.wall();
  /** A cold replica's rate is a budget of all senders together; where it is less than one each, only some have a part. */
  private coldTurn(endpoint: Endpoint, perSecond: number, senders: string[], now: number): boolean {
    if (perSecond <= 0) return true;
    // whoever has just started doesn't know yet how many share the budget
    if (now - this.startedAt < Constants.sendersSettleMs) return false;
    const share = perSecond / Math.max(1, senders.length);
    const interval = Math.max(Constants.coldIntervalMs, 1000 / Math.max(share, 1e-6));
    if (share < 1 && Hash.rendezvous(endpoint.key, senders).indexOf(this.self) >= Math.floor(perSecond)) return false;
    return now - this.of(endpoint).coldStartAt >= Math.min(interval, 1000);
  }
  /** A prompt that will have to be read somewhere in the pool. @example chooser.saw("model", prompt, 300); */
  saw(pool: string, prompt: Prompt, gapMs: number): void {
    this.lanes.saw(pool, prompt, gapMs);
  }
  /** Live prompts keep to the replicas for their length; items of lots go anywhere. */
  private inLane(criteria: SelectionCriteria, room: Endpoint[], everyone: Endpoint[]): Endpoint[] {
    const { prompt, gapMs } = criteria;
    if (criteria.lane === "lot" || !prompt || !gapMs) return room;
    const ingresses = Math.max(1, criteria.snapshot.members.filter((member) => member.program === "agent").length);
    return this.lanes.preferred(criteria.pool, room, everyone, LongPromptIsolation.isLong(prompt, gapMs), ingresses);
  }
  private better(room: Endpoint[]): Endpoint {
    const pick = (): Endpoint => room[Math.floor(this.env.random() * room.length)];
    const [left, right] = [pick(), pick()];
    const weight = (endpoint: Endpoint): number =>
      (this.load(endpoint) + 1) / (endpoint.capacity * this.ramp(endpoint));
    return weight(left) <= weight(right) ? left : right;
  }
  /** @example chooser.begin(replica); */
  begin(endpoint: Endpoint): void {
    const known = this.of(endpoint);
    known.inFlight += 1;
    known.startedSince += 1;
    known.lastStartAt = this.env.mono();
    if (this.cold(endpoint)) known.coldStartAt = known.lastStartAt;
  }
  /** How a round ended; failures in a row eject, a plain one at once. @example chooser.end(replica, false, true); */
  end(endpoint: Endpoint, lively: boolean, plainly = false): void {
    const known = this.livenesses.get(endpoint.key);
    if (!known) return;
    known.inFlight = Math.max(0, known.inFlight - 1);
    known.startedSince = Math.max(0, known.startedSince - 1);
    if (lively) known.failures = 0;
    else {
      known.failures += 1;
      if (plainly || known.failures >= Constants.ejectFailures) {
        known.ejectedUntil = this.env.mono() + Constants.ejectMs;
        known.failures = Constants.ejectFailures - 1; // one more failure after the pause ejects again
        this.env.log(1204, { replica: endpoint.key });
      }
    }
  }
}
