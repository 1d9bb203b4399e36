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
import { ReadIndex, ReadIndexConfirmation } from "./readIndexConfirmation";

/** After a freeze digests are exchanged with so many members: one alone may have been frozen as well. */
const EXCHANGES_AFTER_FREEZE = 2;
const EXCHANGE_RETRY_MS = 50;
/** A node without requests in flight waits so long before it leaves, so that others learn that it is unready. */
const IDLE_DRAIN_MS = 300;
/** After it has announced that it leaves, so long until it ends, so that the datagrams get out. */
const LEAVE_GRACE_MS = 100;
/** One in so many requests for a read index goes to any member, not to a control member. */
const ANY_MEMBER_INTERVAL = 3;

/** The id of the node: from its data folder, or a new one. */
function* openIdentity(env: Environment, settings: Settings, program: Program): Task<Result<string>> {
  const newId = EnvironmentTools.randomId(env, program);
  if (!settings.data) return Fault.ok(newId);
  const identity = { id: newId, cluster: settings.cluster, program };
  return yield* DataFolder.open(env, settings.data, settings.address, identity);
}

/**
 * What all members of a cluster have in common: identity, RPC, membership, gossip, and the cluster snapshot on which they
 * base their decisions.
 *
 * @example
 * const started = yield* Node.start(env, settings, "store");
 * if (started.ok) started.value.snapshot().members;
 */
export class Node {
  /** Shutting down: takes no new work. */
  stopping = false;
  /** How often the process was frozen. */
  freezeCount = 0;
  /** Whether the control leader has confirmed the configuration since the start or the last freeze. */
  readonly confirmation: ReadIndexConfirmation;
  /** Set by a control member: its own read index while it is the leader. */
  readIndex: () => ReadIndex | undefined = () => undefined;
  /** Set by a control member: the address of the leader that it knows. */
  leaderAddress: () => string | undefined = () => undefined;
  private readonly snapshots: ClusterSnapshotCache;
  private readonly clockWatch: ClockWatch;
  private readonly freezeListeners: (() => void)[] = [];
  /** False from a freeze until digests were exchanged. */
  private isSynchronized = true;
  /** When unused connections were closed last, monotonic ms. */
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
      frozen: (forMs) => this.onThaw(forMs),
      suspended: () => this.confirmation.invalidate(),
    });
    this.confirmation = new ReadIndexConfirmation(env, rpc, {
      own: () => this.readIndex(),
      source: (attempt) => this.readIndexSource(attempt),
      configuration: () => gossip.snapshot,
      fetch: (address, index) => gossip.fetchSnapshotIfNewer(address, index),
    });
    this.snapshots = new ClusterSnapshotCache(env, gossip, membership, {
      isCurrent: () => this.isCurrent(),
      isClockTrusted: () => membership.isClockTrusted(this.clockBounds().deltaMs),
    });
  }

  /** Starts a node: opens its data folder, listens, and joins the cluster. @example yield* Node.start(env, settings, "agent") */
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

  /**
   * Graceful shutdown, on SIGTERM: becomes unready, lets `finish` complete what is in flight, and leaves the cluster.
   * @example yield* node.shutDown();
   */
  *shutDown(finish: () => Task<void> = () => EnvironmentTools.sleep(this.env, IDLE_DRAIN_MS)): Task<void> {
    this.env.log(1002);
    this.stopping = true;
    yield* finish();
    this.membership.leave();
    yield* EnvironmentTools.sleep(this.env, LEAVE_GRACE_MS);
    this.env.log(1003);
  }

  /** Calls the listener after each freeze. @example node.onFreeze(() => replica.stopLeader("frozen")); */
  onFreeze(listener: () => void): void {
    this.freezeListeners.push(listener);
  }

  /** The bounds on clocks and delays that are in force. @example Stamp.delay(node.clockBounds()) */
  clockBounds(): Bounds {
    return this.gossip.snapshot?.manifest.doc.clock ?? Stamp.defaults;
  }

  /**
   * Whether the configuration is current as far as this node can know, and digests were exchanged lately.
   * @example node.isCurrent()
   */
  isCurrent(): boolean {
    return this.isConfirmed() && this.env.monotonicMs() - this.gossip.lastExchangeAt < Constants.contactTimeoutMs;
  }

  /** Whether this node may give timestamps and hold leases. @example if (!node.mayHoldLeases()) return busy; */
  mayHoldLeases(): boolean {
    return this.isConfirmed() && this.membership.isClockTrusted(this.clockBounds().deltaMs);
  }

  /** The address of a member that hasn't left. @example node.addressOf("store-17") */
  addressOf(id: string): string | undefined {
    const member = this.membership.find(id);
    return member && member.state !== "left" ? member.address : undefined;
  }

  /** The newest snapshot; the same object until something changes. @example node.snapshot().endpoints */
  snapshot(): ClusterSnapshot {
    return this.snapshots.get();
  }

  private watch(): void {
    this.membership.onChange((changed) => {
      this.snapshots.invalidate();
      // A connection to a member that doesn't respond may be dead; a new one shows whether the member is back.
      if (changed && changed.state !== "alive" && changed.id !== this.self.id) this.rpc.closeIfIdle(changed.address);
    });
    this.gossip.onChange(() => this.snapshots.invalidate());
    this.confirmation.serve();
    this.confirmation.start();
    EnvironmentTools.runSupervised(this.env, this.env.scope, "clock watch", () => this.clockWatch.run());
  }

  private closeUnusedConnections(now: number): void {
    if (now - this.connectionsCheckedAt <= Constants.memberConnectionIdleMs) return;
    this.rpc.closeUnused(Constants.memberConnectionIdleMs);
    this.connectionsCheckedAt = now;
  }

  /** What this node knew may be outdated by now, and what others knew of it too. */
  private onThaw(frozenMs: number): void {
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

  /** Where to ask for a read index: at the leader, other control members, now and then any member. */
  private readIndexSource(attempt: number): string | undefined {
    const leader = this.leaderAddress();
    if (leader !== undefined && attempt % 2 === 0) return leader;
    const others = this.membership.alive().filter((member) => member.id !== this.self.id);
    const controls = others.filter((member) => member.program === "control");
    const isTurnOfAny = attempt % ANY_MEMBER_INTERVAL === ANY_MEMBER_INTERVAL - 1;
    const sources = controls.length === 0 || isTurnOfAny ? others : controls;
    return sources[Math.floor(this.env.random() * sources.length)]?.address;
  }

  /** Not frozen since the last exchange, and confirmed by the control leader since the start or the last freeze. */
  private isConfirmed(): boolean {
    return this.isSynchronized && !this.clockWatch.isLate() && this.confirmation.isConfirmed();
  }
}
