import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { DatagramSocket, Env, EnvTools } from "../runtime/env";
import { Hash } from "../common/hash";
import { EnvelopeCodec } from "../rpc/envelopeCodec";
import { Member } from "./member";

type Datagram =
  | { tag: "ping"; n: number; to?: string; from: Member; wall: number; updates: Member[]; join?: boolean }
  | { tag: "ack"; n: number; from: Member; wall: number; echo: number; updates: Member[] }
  | { tag: "askAround"; n: number; from: Member; target: Member; updates: Member[] }
  | { tag: "vouch"; n: number; from: Member; updates: Member[] };

/** Where a member stands, as two others compare it. */
export type MemberVersion = [incarnation: number, rank: number];

const rank = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * Who is there: probes to a few members in turn, second opinions, suspicion before removal.
 * The probes also sample clocks.
 *
 * @example
 * const membership = new Membership(env, "kiln", self, () => ["127.0.0.1:7001"], self.address);
 * yield* membership.start();
 * membership.alive("store");
 */
export class Membership {
  private members = new Map<string, { info: Member; since: number; passes: number }>();
  private waiting = new Map<number, Chan<true>>();
  private offsets: { member: string; offset: number; error: number }[] = [];
  private socket!: DatagramSocket;
  private n = 0;
  private turn: string[] = [];
  private clockTrusted = true;
  private mustSample = false;
  private listeners: ((changed?: Member) => void)[] = [];
  private living: Member[] | undefined; // by id, until anything changes
  private livingSums: number[] | undefined; // of those, by range, until anything changes
  droppedDatagramCount = 0;
  probeCount = 0;
  changed = 0;
  inconclusiveProbeCount = 0; // probes that judged nobody since we were late ourselves
  private readonly startedAt: number;

  constructor(
    private readonly env: Env,
    private readonly cluster: string,
    readonly self: Member,
    private readonly seeds: () => string[],
    private readonly bind: string,
  ) {
    this.startedAt = env.mono();
    this.members.set(self.id, { info: self, since: env.mono(), passes: 0 });
  }

  /** @example yield* membership.start(); */
  *start(): Task<boolean> {
    const bound = yield* this.env.datagrams(this.bind);
    if (!bound.ok) {
      this.env.log(1004, { task: "bind", fault: bound.fault });
      return false;
    }
    this.socket = bound.value;
    const scope = this.env.scope;
    EnvTools.keep(this.env, scope, "datagrams", () => this.receive());
    EnvTools.keep(this.env, scope, "probes", () => this.probeLoop());
    EnvTools.keep(this.env, scope, "join", () => this.joinLoop());
    return true;
  }

  /** Called after every change, with the member it is about. @example membership.watch((changed) => rebuild(changed)); */
  onChange(watcher: (changed?: Member) => void): void {
    this.listeners.push(watcher);
  }
  /** Members that may be worked with, suspects among them. @example membership.alive("store") */
  alive(program?: Member["program"]): Member[] {
    this.living ??= [...this.members.values()]
      .map((known) => known.info)
      .filter((info) => info.state === "alive" || info.state === "suspect")
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    return program ? this.living.filter((info) => info.program === program) : this.living.slice();
  }
  /** One sum a range of ids, over the members that live: equal where two hold the same for alive. @example membership.sums()[3] */
  bucketChecksums(): number[] {
    if (this.livingSums) return this.livingSums;
    const sums: number[] = Array(Constants.memberBuckets).fill(0);
    for (const { info } of this.members.values())
      if (rank[info.state] < 2) sums[Membership.bucketOf(info.id)] ^= Hash.number(`${info.id}|${info.incarnation}`);
    return (this.livingSums = sums);
  }
  private static bucketOf = (id: string): number => Hash.number(id) % Constants.memberBuckets;
  /** Where the members of some ranges stand, the dead that are remembered among them. @example membership.standing([3]) */
  versions(buckets: number[]): Record<string, MemberVersion> {
    const within = this.all().filter((info) => buckets.includes(Membership.bucketOf(info.id)));
    return Object.fromEntries(
      within.map((info): [string, MemberVersion] => [info.id, [info.incarnation, rank[info.state]]]),
    );
  }
  /** What another lacks of those ranges, and what we lack of it. @example membership.differ([3], standing).want */
  diff(buckets: number[], theirs: Record<string, MemberVersion>): { updates: Member[]; want: string[] } {
    const ours = this.versions(buckets);
    const newer = (left: MemberVersion, right: MemberVersion): boolean =>
      left[0] > right[0] || (left[0] === right[0] && left[1] > right[1]);
    const updates = Object.keys(ours).filter((id) => (theirs[id] ? newer(ours[id], theirs[id]) : ours[id][1] < 2));
    const want = Object.keys(theirs).filter((id) => (ours[id] ? newer(theirs[id], ours[id]) : theirs[id][1] < 2));
    return { updates: this.membersById(updates), want };
  }
  /** @example membership.infos(["agent-7"]) */
  membersById(ids: string[]): Member[] {
    return ids.flatMap((id) => this.members.get(id)?.info ?? []);
  }
  /** Takes in what another tells of members. @example membership.told(updates); */
  merge(updates: Member[]): void {
    for (const update of updates) this.learn(update, false);
  }
  /** @example membership.all().filter((member) => member.state === "dead") */
  all(): Member[] {
    return [...this.members.values()].map((known) => known.info);
  }
  /** @example membership.find("node-17")?.address */
  find(id: string): Member | undefined {
    return this.members.get(id)?.info;
  }
  /** How long the member has been in its state, ms. @example membership.stateAge("node-17") */
  stateAgeMs(id: string): number {
    const known = this.members.get(id);
    return known ? this.env.mono() - known.since : Infinity;
  }
  /** Estimated skew of our clock against the others', ms; undefined while too few were heard. @example membership.skew() */
  clockSkew(): { offset: number; error: number } | undefined {
    const latest = [...new Map(this.offsets.map((sample) => [sample.member, sample])).values()];
    if (latest.length < 2) return undefined;
    const sorted = latest.sort((left, right) => left.offset - right.offset);
    const middle = sorted[Math.floor(sorted.length / 2)];
    const second = sorted.length % 2 === 0 ? sorted[sorted.length / 2 - 1] : middle;
    return { offset: (middle.offset + second.offset) / 2, error: Math.max(middle.error, second.error) };
  }
  /** The wall clock jumped against the monotonic one: old samples are worth nothing. @example membership.clockStepped(); */
  discardClockSamples(): void {
    this.offsets = [];
    this.mustSample = this.alive().length > 2;
  }
  /** Whether this node may stamp. @example if (!membership.vouchesForClock(25)) return busy; */
  isClockTrusted(deltaMs: number): boolean {
    const skew = this.clockSkew();
    if (skew) this.mustSample = false;
    const vouches = skew ? Math.abs(skew.offset) - skew.error <= deltaMs : !this.mustSample;
    if (vouches !== this.clockTrusted)
      this.env.log(
        vouches ? 1008 : 1007,
        skew && { offsetMs: Math.round(skew.offset), errorMs: Math.round(skew.error) },
      );
    this.clockTrusted = vouches;
    return vouches;
  }
  /** Tells the others that we leave. @example membership.leave(); */
  leave(): void {
    this.self.state = "left";
    this.self.incarnation += 1;
    this.touch(this.self.id);
    for (const member of this.alive()) {
      this.send(member.address, { tag: "ping", n: 0, from: this.self, wall: this.env.wall(), updates: [this.self] });
    }
  }

  private touch(id: string): void {
    const known = this.members.get(id);
    if (known) {
      known.passes = 0;
      known.since = this.env.mono();
    }
    this.changed += 1;
    this.living = this.livingSums = undefined;
    for (const watcher of this.listeners) watcher(known?.info);
  }
  private updates(): Member[] {
    const fresh = [...this.members.values()]
      .filter((known) => known.passes < Constants.piggybackAttempts)
      .sort((left, right) => left.passes - right.passes)
      .slice(0, Constants.piggybackUpdates);
    for (const known of fresh) known.passes += 1;
    return fresh.map((known) => known.info);
  }
  private send(to: string, datagram: Datagram): void {
    this.socket.send(
      to,
      EnvelopeCodec.encode({
        kind: "datagram",
        correlationId: 0,
        cluster: this.cluster,
        method: datagram.tag,
        sender: this.self.id,
        body: datagram,
      }),
    );
  }

  private learn(told: Member, firstHand: boolean): void {
    if (typeof told?.id !== "string" || typeof told.address !== "string" || !(told.state in rank)) return;
    if (told.id === this.self.id) {
      if (told.state !== "alive" && this.self.state === "alive" && told.incarnation >= this.self.incarnation) {
        this.self.incarnation = told.incarnation + 1; // refute
        this.touch(this.self.id);
      }
      return;
    }
    const known = this.members.get(told.id);
    if (known) {
      const old = known.info;
      // who left and was started again with its folder comes back under a higher incarnation; rumours don't bring it back
      if (old.state === "left" && told.state !== "alive") return;
      const newer =
        told.incarnation > old.incarnation ||
        (told.incarnation === old.incarnation && rank[told.state] > rank[old.state]);
      // a dead member that speaks itself is not dead: it refutes by a higher incarnation once it hears of it
      if (!newer) {
        if (firstHand && old.state === "suspect" && told.state === "alive" && told.incarnation >= old.incarnation)
          known.passes = 0;
        return;
      }
      if (old.state !== told.state) this.logState(told);
      known.info = told;
    } else {
      if (told.state !== "alive" && told.state !== "suspect") {
        this.members.set(told.id, { info: told, since: this.env.mono(), passes: Constants.piggybackAttempts });
        return;
      }
      // an emptied machine comes back as a new member at the old address
      for (const other of this.members.values())
        if (other.info.address === told.address && other.info.id !== this.self.id && rank[other.info.state] < 2) {
          other.info = { ...other.info, state: "dead" };
          this.logState(other.info);
          this.touch(other.info.id);
        }
      this.members.set(told.id, { info: told, since: this.env.mono(), passes: 0 });
      this.logState(told);
    }
    this.touch(told.id);
  }
  private logState(member: Member): void {
    const event = { alive: 1101, suspect: 1102, dead: 1103, left: 1104 }[member.state];
    this.env.log(event, { member: member.id, program: member.program, address: member.address });
  }

  private *receive(): Task<void> {
    for (;;) {
      const got = yield* Csp.take(this.socket.incoming);
      if (got === null) return;
      const envelope = EnvelopeCodec.decode(got.data, this.cluster);
      const datagram = envelope?.body as Datagram | undefined;
      if (!envelope || envelope.kind !== "datagram" || !datagram?.from || !Array.isArray(datagram.updates)) {
        this.droppedDatagramCount += 1;
        if (this.droppedDatagramCount % 100 === 1)
          this.env.log(1105, { from: got.from, dropped: this.droppedDatagramCount });
        continue;
      }
      this.learn(datagram.from, true);
      for (const told of datagram.updates) this.learn(told, false);
      switch (datagram.tag) {
        case "ping": {
          if (datagram.n === 0 || (datagram.to && datagram.to !== this.self.id) || this.self.state !== "alive") break;
          const about = this.members.get(datagram.from.id)?.info;
          const updates = this.updates();
          if (about && about.state !== "alive") updates.push(about); // so that it can refute
          this.send(datagram.from.address, {
            tag: "ack",
            n: datagram.n,
            from: this.self,
            wall: this.env.wall(),
            echo: datagram.wall,
            updates,
          });
          if (datagram.join) {
            const everyone = this.alive();
            for (let at = 0; at < everyone.length; at += Constants.piggybackUpdates)
              this.send(datagram.from.address, {
                tag: "vouch",
                n: 0,
                from: this.self,
                updates: everyone.slice(at, at + Constants.piggybackUpdates),
              });
          }
          break;
        }
        case "ack": {
          const now = this.env.wall();
          const error = (now - datagram.echo) / 2;
          if (error >= 0 && error < Constants.epsilonMs) {
            this.offsets.push({ member: datagram.from.id, offset: now - error - datagram.wall, error });
            if (this.offsets.length > Constants.clockSamples) this.offsets.shift();
          }
          const waiting = this.waiting.get(datagram.n);
          if (waiting) Csp.offer(waiting, true);
          break;
        }
        case "askAround": {
          const membership = this;
          const asker = datagram.from.address;
          Csp.go(this.env.scope, "second opinion", function* () {
            const heard = yield* membership.ping(datagram.target, Constants.indirectTimeoutMs / 2);
            if (heard) membership.send(asker, { tag: "vouch", n: datagram.n, from: membership.self, updates: [] });
          });
          break;
        }
        case "vouch": {
          const waiting = this.waiting.get(datagram.n);
          if (waiting) Csp.offer(waiting, true);
          break;
        }
        default: {
          const never: never = datagram;
          void never;
          this.droppedDatagramCount += 1;
        }
      }
    }
  }

  private *ping(target: { address: string; id?: string }, withinMs: number, join = false): Task<boolean> {
    const n = (this.n += 1);
    const heard = Csp.chan<true>(1);
    this.waiting.set(n, heard);
    this.probeCount += 1;
    this.send(target.address, {
      tag: "ping",
      n,
      to: target.id,
      from: this.self,
      wall: this.env.wall(),
      updates: this.updates(),
      join,
    });
    const response = yield* EnvTools.takeWithin(this.env, heard, withinMs);
    this.waiting.delete(n);
    return response === true;
  }

  /** A usual period, or what it is for a member that has just started. @example membership.period(Constants.digestPeriodMs) */
  periodMs = (usualMs: number): number =>
    this.env.mono() - this.startedAt < Constants.youthMs ? usualMs * Constants.youthFactor : usualMs;
  private *probeLoop(): Task<void> {
    for (;;) {
      const startedAt = this.env.mono();
      yield* this.probeNext();
      for (const [id, known] of this.members) {
        if (known.info.state === "suspect" && this.env.mono() - known.since > Constants.suspicionMs) {
          known.info = { ...known.info, state: "dead" };
          this.logState(known.info);
          this.touch(id);
        } else if (rank[known.info.state] >= 2 && this.env.mono() - known.since > Constants.deadKeepMs)
          this.members.delete(id);
      }
      const spent = this.env.mono() - startedAt;
      // after a freeze our own suspicions are worth nothing
      if (spent > Constants.clockJumpMs + Constants.probePeriodMs)
        for (const known of this.members.values()) if (known.info.state === "suspect") known.since = this.env.mono();
      yield* EnvTools.sleep(
        this.env,
        Math.max(20, this.periodMs(Constants.probePeriodMs) * (0.9 + 0.2 * this.env.random()) - spent),
      );
    }
  }
  private *probeNext(): Task<void> {
    if (this.turn.length === 0) {
      this.turn = this.alive()
        .map((member) => member.id)
        .filter((id) => id !== this.self.id);
      for (let at = this.turn.length - 1; at > 0; at -= 1) {
        const other = Math.floor(this.env.random() * (at + 1));
        [this.turn[at], this.turn[other]] = [this.turn[other], this.turn[at]];
      }
    }
    const id = this.turn.pop();
    const target = id === undefined ? undefined : this.members.get(id);
    if (!target || rank[target.info.state] >= 2) return;
    const probed = target.info;
    const askedAt = this.env.mono();
    if (yield* this.ping(probed, Constants.probeTimeoutMs)) return this.clear(probed.id);
    const n = (this.n += 1);
    const vouched = Csp.chan<true>(1);
    this.waiting.set(n, vouched);
    const others = this.alive().filter(
      (member) => member.id !== probed.id && member.id !== this.self.id && member.state === "alive",
    );
    for (let asked = 0; asked < Constants.secondOpinions && others.length > 0; asked += 1) {
      const [thirdParty] = others.splice(Math.floor(this.env.random() * others.length), 1);
      this.send(thirdParty.address, { tag: "askAround", n, from: this.self, target: probed, updates: [] });
    }
    const heard = yield* EnvTools.takeWithin(this.env, vouched, Constants.indirectTimeoutMs);
    this.waiting.delete(n);
    if (heard === true) return this.clear(probed.id);
    // whose own timers come late was not listening either
    if (this.env.mono() - askedAt > Constants.probeTimeoutMs + Constants.indirectTimeoutMs + Constants.ownLateMs) {
      this.inconclusiveProbeCount += 1;
      return;
    }
    const known = this.members.get(probed.id);
    if (known && known.info.state === "alive" && known.info.incarnation === probed.incarnation) {
      known.info = { ...known.info, state: "suspect" };
      this.logState(known.info);
      this.touch(probed.id);
    }
  }
  private clear(id: string): void {
    const known = this.members.get(id);
    if (known && known.info.state === "suspect") known.passes = 0; // tell it again, so that it refutes
  }

  private *joinLoop(): Task<void> {
    for (;;) {
      // who is known to be there needs no asking: what passes between the living is compared by digests
      const young = this.env.mono() - this.startedAt < Constants.youthMs;
      const there = new Set((young ? [this.self] : this.alive()).map((member) => member.address));
      const lost = this.all()
        .filter((member) => member.state === "dead")
        .map((member) => member.address);
      const places = [...this.seeds(), ...lost].filter((address) => !there.has(address));
      const address = places[Math.floor(this.env.random() * places.length)];
      if (address !== undefined) yield* this.ping({ address }, Constants.probeTimeoutMs, true);
      // now and then the lost and the missing seeds are asked again, so that a healed cut is noticed
      const known = this.alive().length - 1 >= 2;
      yield* EnvTools.sleep(this.env, this.periodMs(known ? Constants.rejoinMs : Constants.joinRetryMs));
    }
  }
}
