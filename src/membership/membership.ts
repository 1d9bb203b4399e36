import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { DatagramSocket, Environment, EnvironmentTools } from "../runtime/env";
import { ClockSkew, ClockSkewEstimator } from "./clockSkew";
import { FailureDetector } from "./failureDetector";
import { MemberDiffResponse, MemberVersion } from "./gossipMessages";
import { Member, Program } from "./member";
import { MemberList } from "./memberList";
import { SwimCodec, SwimMessage } from "./swimMessages";

/** One in this many dropped datagrams is logged. */
const LOGGED_DROP_INTERVAL = 100;
/** A member that knows at least this many others counts as joined. */
const JOINED_WITH_OTHERS = 2;

/**
 * Membership of the cluster: the list of members, the failure detector that keeps it up to date over UDP, and the
 * joining through seeds. The failure detector's round trips also give samples of the other members' clocks.
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
  /** Number of datagrams that were malformed, of an unknown type or from another cluster. */
  droppedDatagramCount = 0;

  /**
   * @param seeds returns the addresses of members that are contacted to join
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

  /** Binds the socket and starts the failure detector; returns false if the socket cannot be bound. */
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

  /** Number of pings sent. */
  get probeCount(): number {
    return this.detector.probeCount;
  }
  /** Number of probes without a result because this process's own timers fired late. */
  get inconclusiveProbeCount(): number {
    return this.detector.inconclusiveProbeCount;
  }

  /** Calls the listener with the changed member after every change. */
  onChange(listener: (changed?: Member) => void): void {
    this.members.onChange(listener);
  }

  /** Members that are alive or suspected, in the order of their ids. */
  alive(program?: Program): Member[] {
    return this.members.alive(program);
  }

  /** All known members, including those that are dead or have left. */
  all(): Member[] {
    return this.members.all();
  }

  /** The member with this id, in any state. */
  find(id: string): Member | undefined {
    return this.members.find(id);
  }

  /** The known members among these ids. */
  membersById(ids: readonly string[]): Member[] {
    return this.members.byId(ids);
  }

  /** Time since the member's record changed, ms; Infinity for an unknown id. */
  stateAgeMs(id: string): number {
    return this.members.stateAgeMs(id);
  }

  /** One checksum per bucket of ids, over the active members. */
  bucketChecksums(): number[] {
    return this.members.bucketChecksums();
  }

  /** Versions of all known members in these buckets, in any state. */
  versions(buckets: readonly number[]): Record<string, MemberVersion> {
    return this.members.versions(buckets);
  }

  /** Compares the members in these buckets: returns those that the other side lacks, and ids of those newer there. */
  diff(buckets: readonly number[], theirs: Record<string, MemberVersion>): MemberDiffResponse {
    return this.members.diff(buckets, theirs);
  }

  /** Merges member records that come from another member. */
  merge(updates: readonly Member[]): void {
    for (const update of updates) this.members.merge(update, false);
  }

  /** Skew of this process's clock against the other members'; undefined with too few samples. */
  clockSkew(): ClockSkew | undefined {
    return this.skewEstimator.estimate();
  }

  /** Discards the samples of the clock skew; called after the wall clock has jumped. */
  discardClockSamples(): void {
    this.skewEstimator.discard(this.hasJoined());
  }

  /** Whether this process's clock is within `deltaMs` of the other members' clocks. */
  isClockTrusted(deltaMs: number): boolean {
    return this.skewEstimator.isTrusted(deltaMs);
  }

  /** Returns the period to use now: the usual one, or a shorter one just after the start of this process. */
  periodMs(usualMs: number): number {
    return this.hasJustStarted() ? usualMs * Constants.startupPeriodFactor : usualMs;
  }

  /** Announces to all members that this member leaves. */
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
   * Periodically contacts a random seed or dead member, so that a healed partition is noticed. Active members need not
   * be contacted, because anti-entropy finds the differences between them.
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
    const reachable = this.hasJustStarted() ? [this.self] : this.alive();
    const reachableAddresses = new Set(reachable.map((member) => member.address));
    const dead = this.all().filter((member) => member.state === "dead");
    return [...this.seeds(), ...dead.map((member) => member.address)].filter(
      (address) => !reachableAddresses.has(address),
    );
  }
}
