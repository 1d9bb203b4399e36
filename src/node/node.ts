import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { Bounds, Stamp } from "../common/stamp";
import { Gossip } from "../membership/gossip";
import { Member, Program } from "../membership/member";
import { Membership } from "../membership/membership";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { DataFolder } from "../runtime/dataFolder";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ClockWatch } from "./clockWatch";
import { ClusterSnapshot } from "./clusterSnapshot";
import { ClusterSnapshotCache } from "./clusterSnapshotCache";
import { GracefulShutdown, ShutdownSteps } from "./gracefulShutdown";
import { ReadIndex, ReadIndexConfirmation } from "./readIndexConfirmation";
import { RecentConfirmation } from "./recentConfirmation";

/** Number of members to exchange digests with after a freeze; a single one may have been frozen as well. */
const EXCHANGES_AFTER_FREEZE = 2;
/** Pause after a failed exchange of digests. */
const EXCHANGE_RETRY_MS = 50;
/** Delay before a node without requests in flight leaves, so that others learn that it is unready. */
const IDLE_DRAIN_MS = 300;
/** Delay between the announcement that a node leaves and its end, so that the datagrams are sent. */
const LEAVE_GRACE_MS = 100;
/** One in this many requests for a read index goes to any member instead of a control member. */
const ANY_MEMBER_INTERVAL = 3;

/** Returns the id of the node: the one in its data folder, or a new one. */
function* openIdentity(env: Environment, settings: Settings, program: Program): Task<Result<string>> {
  const newId = EnvironmentTools.randomId(env, program);
  if (!settings.data) return Fault.ok(newId);
  const identity = { id: newId, cluster: settings.cluster, program };
  return yield* DataFolder.open(env, settings.data, settings.address, identity);
}

/**
 * Common part of all members of a cluster: identity, RPC, membership, gossip, and the cluster snapshot on which they
 * base their decisions.
 *
 * @example
 * const started = yield* Node.start(env, settings, "store");
 * if (started.ok) started.value.snapshot().members;
 */
export class Node {
  /** Whether the node is shutting down; it then accepts no new requests. */
  stopping = false;
  /** Number of times that the process was frozen. */
  freezeCount = 0;
  /** Confirmation of the configuration by the control leader since the start or the last freeze. */
  readonly confirmation: ReadIndexConfirmation;
  /** Whether the control leader has confirmed the configuration recently. */
  readonly recentConfirmation: RecentConfirmation;
  /** Returns the node's own read index if it is the control leader; set by a control member. */
  readIndex: () => ReadIndex | undefined = () => undefined;
  /** Returns the address of the control leader if it is known; set by a control member. */
  leaderAddress: () => string | undefined = () => undefined;
  private readonly snapshots: ClusterSnapshotCache;
  private readonly clockWatch: ClockWatch;
  private readonly freezeListeners: (() => void)[] = [];
  /** False from a freeze until digests have been exchanged. */
  private isSynchronized = true;
  /** Time at which unused connections were closed last, monotonic ms. */
  private connectionsCheckedAt: number;

  private constructor(
    readonly env: Environment,
    readonly settings: Settings,
    readonly self: Member,
    readonly rpc: Rpc,
    readonly membership: Membership,
    readonly gossip: Gossip,
  ) {
    this.connectionsCheckedAt = env.monotonicMs();
    this.clockWatch = new ClockWatch(env, {
      checking: (now) => this.closeUnusedConnections(now),
      maxWallStepMs: () => this.clockBounds().deltaMs,
      wallClockStepped: () => membership.discardClockSamples(),
      frozen: (forMs) => this.onFreezeEnd(forMs),
      suspended: () => this.confirmation.invalidate(),
    });
    this.confirmation = new ReadIndexConfirmation(env, rpc, {
      own: () => this.readIndex(),
      source: (attempt) => this.readIndexSource(attempt),
      configuration: () => gossip.snapshot,
      announced: (address, index) => gossip.snapshotAnnounced(address, index),
    });
    this.recentConfirmation = new RecentConfirmation(env, this.confirmation);
    this.snapshots = new ClusterSnapshotCache(env, gossip, membership, {
      isCurrent: () => this.isCurrent(),
      isClockTrusted: () => membership.isClockTrusted(this.clockBounds().deltaMs),
    });
  }

  /** Starts a node: opens its data folder, listens, and joins the cluster. */
  static *start(env: Environment, settings: Settings, program: Program): Task<Result<Node>> {
    const opened = yield* openIdentity(env, settings, program);
    if (!opened.ok) return opened;
    const id = opened.value;
    const self: Member = {
      id,
      program,
      ...(settings.name ? { name: settings.name } : {}),
      district: settings.district,
      address: settings.address,
      http: settings.http,
      incarnation: Math.floor(env.wallClockMs()),
      state: "alive",
    };
    const bind = settings.bind ?? settings.address;
    const rpc = new Rpc(env, settings.cluster, id);
    const membership = new Membership(env, settings.cluster, self, () => settings.seeds ?? [], bind);
    const gossip = new Gossip(env, rpc, membership);
    const node = new Node(env, settings, self, rpc, membership, gossip);
    const served = yield* rpc.serve(bind);
    if (!served.ok) return served;
    if (!(yield* membership.start()))
      return Fault.fail("internal", "bind", settings.address, "datagram socket not to be had");
    gossip.start();
    node.watch();
    env.log(1001, { program, id, district: settings.district, address: settings.address });
    return Fault.ok(node);
  }

  /** Shuts down gracefully, on SIGTERM: becomes unready, hands work over, finishes requests and leaves the cluster. */
  *shutDown(handOver: ShutdownSteps["handOver"] = () => EnvironmentTools.sleep(this.env, IDLE_DRAIN_MS)): Task<void> {
    this.stopping = true;
    yield* new GracefulShutdown(this.env, this.settings).run({ handOver, leave: () => this.leaveCluster() });
  }

  /** Tells the other members that this one leaves. */
  *leaveCluster(): Task<void> {
    this.membership.leave();
    yield* EnvironmentTools.sleep(this.env, LEAVE_GRACE_MS);
  }

  /** Calls the listener after each freeze. */
  onFreeze(listener: () => void): void {
    this.freezeListeners.push(listener);
  }

  /** The bounds on clocks and delays that are in force. */
  clockBounds(): Bounds {
    return this.gossip.snapshot?.manifest.doc.clock ?? Stamp.defaults;
  }

  /** Whether the configuration is confirmed and digests were exchanged within `Constants.contactTimeoutMs`. */
  isCurrent(): boolean {
    return this.isConfirmed() && this.env.monotonicMs() - this.gossip.lastExchangeAt < Constants.contactTimeoutMs;
  }

  /** Whether this node may assign timestamps and hold leases. */
  mayHoldLeases(): boolean {
    return this.isConfirmed() && this.membership.isClockTrusted(this.clockBounds().deltaMs);
  }

  /** Returns the address of a member; undefined if it is unknown or has left. */
  addressOf(id: string): string | undefined {
    const member = this.membership.find(id);
    return member && member.state !== "left" ? member.address : undefined;
  }

  /** Returns the newest snapshot; the same object until something changes. */
  snapshot(): ClusterSnapshot {
    return this.snapshots.get();
  }

  /** Returns the values of `/metrics` that tell which configuration is in force here, by name. */
  configurationMetrics(): Record<string, number> {
    const { announcements, snapshot } = this.gossip;
    return {
      frame_index: snapshot?.index ?? 0,
      manifest_version: snapshot?.manifest.version ?? 0,
      announced_index: announcements.highestIndex,
      behind_ms: Math.round(announcements.behindMs()),
      read_index_age_ms: this.readIndexAgeMs(),
    };
  }

  /** Age of the newest read index that confirms the configuration; -1 if there is none. */
  private readIndexAgeMs(): number {
    const ageMs = this.recentConfirmation.ageMs();
    return ageMs < Infinity ? Math.round(ageMs) : -1;
  }

  private watch(): void {
    this.membership.onChange((changed) => {
      this.snapshots.invalidate();
      // A connection to a member that does not respond may be dead; a new connection shows whether the member is back.
      if (changed && changed.state !== "alive" && changed.id !== this.self.id) this.rpc.closeIfIdle(changed.address);
    });
    this.gossip.onChange(() => this.snapshots.invalidate());
    this.confirmation.serve();
    this.confirmation.start();
    this.recentConfirmation.start();
    EnvironmentTools.runSupervised(this.env, this.env.scope, "clock watch", () => this.clockWatch.run());
  }

  private closeUnusedConnections(now: number): void {
    if (now - this.connectionsCheckedAt <= Constants.memberConnectionIdleMs) return;
    this.rpc.closeUnused(Constants.memberConnectionIdleMs);
    this.connectionsCheckedAt = now;
  }

  /** After a freeze, both this node's knowledge and the others' knowledge of it may be outdated. */
  private onFreezeEnd(frozenMs: number): void {
    this.freezeCount += 1;
    this.isSynchronized = false;
    this.snapshots.invalidate();
    this.confirmation.invalidate();
    this.env.log(1005, { forMs: Math.round(frozenMs) });
    for (const listener of this.freezeListeners) listener();
    const node = this;
    Csp.go(this.env.scope, "synchronize", () => node.synchronize());
  }

  private *synchronize(): Task<void> {
    for (let exchanged = 0; exchanged < EXCHANGES_AFTER_FREEZE && this.membership.alive().length > 1;) {
      if (yield* this.gossip.exchangeDigests()) exchanged += 1;
      else yield* EnvironmentTools.sleep(this.env, EXCHANGE_RETRY_MS);
    }
    this.isSynchronized = true;
    this.snapshots.invalidate();
  }

  /** Returns the address to request a read index from: the leader, another control member, or sometimes any member. */
  private readIndexSource(attempt: number): string | undefined {
    const leader = this.leaderAddress();
    if (leader !== undefined && attempt % 2 === 0) return leader;
    const others = this.membership.alive().filter((member) => member.id !== this.self.id);
    const controls = others.filter((member) => member.program === "control");
    const isAnyMemberDue = attempt % ANY_MEMBER_INTERVAL === ANY_MEMBER_INTERVAL - 1;
    const sources = controls.length === 0 || isAnyMemberDue ? others : controls;
    return sources[Math.floor(this.env.random() * sources.length)]?.address;
  }

  /**
   * Whether digests were exchanged since the last freeze, if any, and the control leader has confirmed the configuration
   * since the start or the last freeze.
   */
  private isConfirmed(): boolean {
    return this.isSynchronized && !this.clockWatch.isLate() && this.confirmation.isConfirmed();
  }
}
