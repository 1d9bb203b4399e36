import { Constants } from "../common/constants";
import { shuffle } from "../common/shuffle";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ClockSkewEstimator } from "./clockSkew";
import { isActive, Member } from "./member";
import { MemberList } from "./memberList";
import { Ack, IndirectAck, Ping, PingRequest, SwimMessage } from "./swimMessages";

/** Sends a message to an address as a datagram. */
export type SendMessage = (address: string, message: SwimMessage) => void;

/** The probe period varies by 10% in both directions, so that members do not probe in lockstep. */
const PERIOD_JITTER_LOW = 0.9;
const PERIOD_JITTER_SPREAD = 0.2;
const SHORTEST_PERIOD_MS = 20;

/**
 * The failure detector of SWIM (Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", 2002): each period one member is pinged, in random order; if it doesn't acknowledge, others
 * ping it too; if nobody gets an acknowledgement it becomes suspect, and then dead unless it refutes the suspicion in
 * time. Changes of membership are piggybacked on all datagrams.
 */
export class FailureDetector {
  /** Channels of the probes that wait for an acknowledgement, by sequence number. */
  private readonly pendingAcks = new Map<number, Chan<true>>();
  private lastSequence = 0;
  /** Ids of the members that are still to be probed in this pass over the list. */
  private remaining: string[] = [];
  /** Number of pings sent. */
  probeCount = 0;
  /** Number of probes without a result because this process's own timers fired late. */
  inconclusiveProbeCount = 0;

  /** @param periodMs converts a usual period into the one that applies now, which is shorter after the start */
  constructor(
    private readonly env: Environment,
    private readonly self: Member,
    private readonly members: MemberList,
    private readonly clockSkew: ClockSkewEstimator,
    private readonly send: SendMessage,
    private readonly periodMs: (usualMs: number) => number,
  ) {}

  /** Probes one member per period; never ends. */
  *probeLoop(): Task<void> {
    for (;;) {
      const startedAt = this.env.monotonicMs();
      yield* this.probeNext();
      this.members.expire();
      const spentMs = this.env.monotonicMs() - startedAt;
      // Suspicions of a process that was frozen prove nothing, so every suspect gets its full time to refute again.
      if (spentMs > Constants.clockJumpMs + Constants.probePeriodMs) this.members.restartSuspicions();
      const jitter = PERIOD_JITTER_LOW + PERIOD_JITTER_SPREAD * this.env.random();
      const pauseMs = this.periodMs(Constants.probePeriodMs) * jitter - spentMs;
      yield* EnvironmentTools.sleep(this.env, Math.max(SHORTEST_PERIOD_MS, pauseMs));
    }
  }

  /** Pings an address; returns true if the ping was acknowledged in time. */
  *ping(target: { address: string; id?: string }, timeoutMs: number, wantsMembers = false): Task<boolean> {
    const sequence = this.nextSequence();
    const acknowledged = this.expectAck(sequence);
    this.probeCount += 1;
    this.send(target.address, {
      type: "ping",
      sequence,
      targetId: target.id,
      sender: this.self,
      sentAt: this.env.wallClockMs(),
      updates: this.members.takeUpdates(),
      wantsMembers,
    });
    const response = yield* EnvironmentTools.takeWithin(this.env, acknowledged, timeoutMs);
    this.pendingAcks.delete(sequence);
    return response === true;
  }

  /** Handles a message from another member. The caller has already merged its updates. */
  onMessage(message: SwimMessage): void {
    switch (message.type) {
      case "ping":
        return this.onPing(message);
      case "ack":
        return this.onAck(message);
      case "pingRequest":
        return this.onPingRequest(message);
      case "indirectAck":
        return this.resolve(message);
    }
  }

  private onPing(ping: Ping): void {
    const isForUs = !ping.targetId || ping.targetId === this.self.id;
    if (ping.sequence === 0 || !isForUs || this.self.state !== "alive") return;
    const { address } = ping.sender;
    const known = this.members.find(ping.sender.id);
    const updates = this.members.takeUpdates();
    if (known && known.state !== "alive") updates.push(known); // lets the sender refute the suspicion
    this.send(address, {
      type: "ack",
      sequence: ping.sequence,
      sender: this.self,
      sentAt: this.env.wallClockMs(),
      pingSentAt: ping.sentAt,
      updates,
    });
    if (ping.wantsMembers) this.sendMembers(address);
  }

  /** Sends all active members, in as many datagrams as needed. */
  private sendMembers(address: string): void {
    const members = this.members.alive();
    for (let first = 0; first < members.length; first += Constants.piggybackMaxUpdates) {
      const updates = members.slice(first, first + Constants.piggybackMaxUpdates);
      this.send(address, { type: "indirectAck", sequence: 0, sender: this.self, updates });
    }
  }

  private onAck(ack: Ack): void {
    this.clockSkew.addRoundTrip(ack.sender.id, ack.pingSentAt, ack.sentAt);
    this.resolve(ack);
  }

  private onPingRequest(request: PingRequest): void {
    const detector = this;
    const { sequence, target } = request;
    const requesterAddress = request.sender.address;
    Csp.go(this.env.scope, "indirect probe", function* () {
      const isAlive = yield* detector.ping(target, Constants.indirectTimeoutMs / 2);
      if (isAlive)
        detector.send(requesterAddress, { type: "indirectAck", sequence, sender: detector.self, updates: [] });
    });
  }

  private resolve({ sequence }: Ack | IndirectAck): void {
    const pending = this.pendingAcks.get(sequence);
    if (pending) Csp.offer(pending, true);
  }

  private *probeNext(): Task<void> {
    const target = this.nextTarget();
    if (!target) return;
    const startedAt = this.env.monotonicMs();
    const isAlive = (yield* this.ping(target, Constants.probeTimeoutMs)) || (yield* this.probeIndirectly(target));
    if (isAlive) return this.members.resendSuspicion(target.id);
    // If this process's own timers fired late, it could not have received an acknowledgement in time either.
    const allowedMs = Constants.probeTimeoutMs + Constants.indirectTimeoutMs + Constants.maxTimerDelayMs;
    if (this.env.monotonicMs() - startedAt > allowedMs) this.inconclusiveProbeCount += 1;
    else this.members.suspect(target);
  }

  /** Asks a few random members to ping the target; returns true if one of them got an acknowledgement. */
  private *probeIndirectly(target: Member): Task<boolean> {
    const sequence = this.nextSequence();
    const acknowledged = this.expectAck(sequence);
    const helpers = this.members
      .alive()
      .filter((member) => member.id !== target.id && member.id !== this.self.id && member.state === "alive");
    for (let requestCount = 0; requestCount < Constants.indirectProbes && helpers.length > 0; requestCount += 1) {
      const [helper] = helpers.splice(Math.floor(this.env.random() * helpers.length), 1);
      this.send(helper.address, { type: "pingRequest", sequence, sender: this.self, target, updates: [] });
    }
    const response = yield* EnvironmentTools.takeWithin(this.env, acknowledged, Constants.indirectTimeoutMs);
    this.pendingAcks.delete(sequence);
    return response === true;
  }

  /**
   * Returns the member to probe next; undefined if it has died since the pass began. A pass covers every member once,
   * in random order.
   */
  private nextTarget(): Member | undefined {
    if (this.remaining.length === 0) {
      const others = this.members.alive().filter((member) => member.id !== this.self.id);
      this.remaining = shuffle(
        others.map((member) => member.id),
        () => this.env.random(),
      );
    }
    const id = this.remaining.pop();
    const target = id === undefined ? undefined : this.members.find(id);
    return target && isActive(target) ? target : undefined;
  }

  private nextSequence(): number {
    this.lastSequence += 1;
    return this.lastSequence;
  }

  private expectAck(sequence: number): Chan<true> {
    const acknowledged = Csp.chan<true>(1);
    this.pendingAcks.set(sequence, acknowledged);
    return acknowledged;
  }
}
