import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { DatagramSocket, Environment, EnvironmentTools } from "../runtime/env";
import { ClockSkew, ClockSkewEstimator } from "./clockSkew";
import { FailureDetector } from "./failureDetector";
import { MemberDiffResponse, MemberVersion } from "./gossipMessages";
import { Member, Program } from "./member";
import { MemberList } from "./memberList";
import { SwimCodec, SwimMessage } from "./swimMessages";

/** Of datagrams that are dropped, one in so many is logged. */
const LOGGED_DROP_INTERVAL = 100;
/** A member that knows so many others has joined. */
const JOINED_WITH_OTHERS = 2;

/**
 * The members of the cluster: the list of them, the failure detector that keeps it up to date over UDP, and the contact
 * to seeds. The failure detector's round trips also sample the others' clocks.
 *
 * @example
 * const membership = new Membership(env, "kiln", self, () => ["127.0.0.1:7001"], self.address);
 * yield* membership.start();
 * membership.alive("store");
 */
export class Membership {
  private readonly members: MemberList;
  private readonly detector: FailureDetector;
  private readonly skewEstimator: ClockSkewEstimator;
  private readonly startedAt: number;
  private socket!: DatagramSocket;
  /** Datagrams that were malformed, unknown or another cluster's. */
  droppedDatagramCount = 0;

  /**
   * @param seeds addresses of members that are contacted to join
   * @param bind address of the UDP socket
   */
  constructor(
    private readonly env: Environment,
    private readonly cluster: string,
    readonly self: Member,
    private readonly seeds: () => string[],
    private readonly bind: string,
  ) {
    this.startedAt = env.monotonicMs();
    this.members = new MemberList(env, self);
    this.skewEstimator = new ClockSkewEstimator(env);
    this.detector = new FailureDetector(
      env,
      self,
      this.members,
      this.skewEstimator,
      (address, message) => this.send(address, message),
      (usualMs) => this.periodMs(usualMs),
    );
  }

  /** Binds the socket and starts to probe; false if the socket can't be had. @example yield* membership.start(); */
  *start(): Task<boolean> {
    const bound = yield* this.env.bindDatagrams(this.bind);
    if (!bound.ok) {
      this.env.log(1004, { task: "bind", fault: bound.fault });
      return false;
    }
    this.socket = bound.value;
    const { scope } = this.env;
    EnvironmentTools.runSupervised(this.env, scope, "datagrams", () => this.receive());
    EnvironmentTools.runSupervised(this.env, scope, "probes", () => this.detector.probeLoop());
    EnvironmentTools.runSupervised(this.env, scope, "join", () => this.joinLoop());
    return true;
  }

  /** Pings sent. */
  get probeCount(): number {
    return this.detector.probeCount;
  }
  /** Probes without a verdict because this process itself was late. */
  get inconclusiveProbeCount(): number {
    return this.detector.inconclusiveProbeCount;
  }

  /**
   * Calls the listener after every change, with the member that it is about.
   * @example membership.onChange((changed) => rebuild(changed));
   */
  onChange(listener: (changed?: Member) => void): void {
    this.members.onChange(listener);
  }

  /** Members that are alive or suspected, by id. @example membership.alive("store") */
  alive(program?: Program): Member[] {
    return this.members.alive(program);
  }

  /** All that are remembered, the dead among them. @example membership.all() */
  all(): Member[] {
    return this.members.all();
  }

  /** A member in whatever state. @example membership.find("node-17")?.address */
  find(id: string): Member | undefined {
    return this.members.find(id);
  }

  /** The members of these ids that are known. @example membership.membersById(["agent-7"]) */
  membersById(ids: readonly string[]): Member[] {
    return this.members.byId(ids);
  }

  /** Time since the member's record changed, ms; Infinity for an unknown id. @example membership.stateAgeMs("n-17") */
  stateAgeMs(id: string): number {
    return this.members.stateAgeMs(id);
  }

  /** One checksum for each bucket of ids, over the active members. @example membership.bucketChecksums()[3] */
  bucketChecksums(): number[] {
    return this.members.bucketChecksums();
  }

  /** Versions of the members in some buckets, the dead among them. @example membership.versions([3]) */
  versions(buckets: readonly number[]): Record<string, MemberVersion> {
    return this.members.versions(buckets);
  }

  /** What another member lacks of those in some buckets, and what we lack. @example membership.diff([3], theirs).want */
  diff(buckets: readonly number[], theirs: Record<string, MemberVersion>): MemberDiffResponse {
    return this.members.diff(buckets, theirs);
  }

  /** Takes in members as another member knows them. @example membership.merge(updates); */
  merge(updates: readonly Member[]): void {
    for (const update of updates) this.members.merge(update, false);
  }

  /** Skew of our clock against the others'; undefined with too few samples. @example membership.clockSkew() */
  clockSkew(): ClockSkew | undefined {
    return this.skewEstimator.estimate();
  }

  /** Discards what is known of the skew, after a jump of the wall clock. @example membership.discardClockSamples(); */
  discardClockSamples(): void {
    this.skewEstimator.discard(this.hasJoined());
  }

  /** Whether our clock is within `deltaMs` of the others'. @example if (!membership.isClockTrusted(25)) return busy; */
  isClockTrusted(deltaMs: number): boolean {
    return this.skewEstimator.isTrusted(deltaMs);
  }

  /** A period, shortened while this member has only just started. @example membership.periodMs(500) */
  periodMs(usualMs: number): number {
    return this.hasJustStarted() ? usualMs * Constants.startupPeriodFactor : usualMs;
  }

  /** Announces that this member leaves, to all. @example membership.leave(); */
  leave(): void {
    this.members.leave();
    for (const member of this.alive())
      this.send(member.address, {
        type: "ping",
        sequence: 0,
        sender: this.self,
        sentAt: this.env.wallClockMs(),
        updates: [this.self],
      });
  }

  private hasJoined(): boolean {
    return this.alive().length - 1 >= JOINED_WITH_OTHERS;
  }

  private hasJustStarted(): boolean {
    return this.env.monotonicMs() - this.startedAt < Constants.startupPhaseMs;
  }

  private send(address: string, message: SwimMessage): void {
    this.socket.send(address, SwimCodec.encode(message, this.cluster));
  }

  private *receive(): Task<void> {
    for (;;) {
      const datagram = yield* Csp.take(this.socket.incoming);
      if (datagram === null) return;
      const message = SwimCodec.decode(datagram.data, this.cluster);
      if (!message) {
        this.droppedDatagramCount += 1;
        if (this.droppedDatagramCount % LOGGED_DROP_INTERVAL === 1)
          this.env.log(1105, { from: datagram.from, dropped: this.droppedDatagramCount });
        continue;
      }
      this.members.merge(message.sender, true);
      this.merge(message.updates);
      if (message.type === "unknown") this.droppedDatagramCount += 1;
      else this.detector.onMessage(message);
    }
  }

  /**
   * Contacts a random seed or dead member now and then, so that a healed partition is noticed. Active members needn't be
   * contacted: what differs between them is found by digests.
   */
  private *joinLoop(): Task<void> {
    for (;;) {
      const candidates = this.joinCandidates();
      const address = candidates[Math.floor(this.env.random() * candidates.length)];
      if (address !== undefined) yield* this.detector.ping({ address }, Constants.probeTimeoutMs, true);
      yield* EnvironmentTools.sleep(
        this.env,
        this.periodMs(this.hasJoined() ? Constants.rejoinPeriodMs : Constants.joinRetryMs),
      );
    }
  }

  private joinCandidates(): string[] {
    const reached = this.hasJustStarted() ? [this.self] : this.alive();
    const reachedAddresses = new Set(reached.map((member) => member.address));
    const dead = this.all().filter((member) => member.state === "dead");
    return [...this.seeds(), ...dead.map((member) => member.address)].filter(
      (address) => !reachedAddresses.has(address),
    );
  }
}
