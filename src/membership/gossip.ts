import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { Rpc } from "../rpc/rpc";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { AntiEntropy } from "./antiEntropy";
import { FactStore, GossipFact } from "./factStore";
import { ConfigurationStep, Push } from "./gossipMessages";
import { GossipPeers } from "./gossipPeers";
import { isActive } from "./member";
import { Membership } from "./membership";
import { SnapshotAnnouncements } from "./snapshotAnnouncements";
import { SnapshotTransfer } from "./snapshotTransfer";

/** The pause between digests varies by 20% in both directions, so that members do not send them in lockstep. */
const DIGEST_JITTER_LOW = 0.8;
const DIGEST_JITTER_SPREAD = 0.4;
/** Number of members that are tried for one exchange of digests. */
const DIGEST_ATTEMPTS = 2;

/**
 * Spreads facts and the control snapshot through the cluster. Changes are pushed to a few members, which push them on,
 * and anti-entropy repairs lost pushes. Only the index of the control snapshot is pushed; a member with a lower index
 * fetches the snapshot.
 *
 * @example
 * const gossip = new Gossip(env, rpc, membership);
 * gossip.start();
 * gossip.publish("replica/r1/x", { address: "127.0.0.1:9000" }, Constants.endpointLeaseMs, true);
 */
export class Gossip {
  private readonly facts: FactStore;
  private readonly transfer: SnapshotTransfer;
  private readonly antiEntropy: AntiEntropy;
  private readonly peers: GossipPeers;
  /** Signals that there are changes to push. */
  private readonly pushDue: Chan<true> = Csp.sliding(1);
  /** Signals that the push must not wait for further changes. */
  private readonly pushUrgent: Chan<true> = Csp.sliding(1);
  /** Signals that the next exchange of digests must not wait for its time. */
  private readonly digestDue: Chan<true> = Csp.sliding(1);
  private readonly listeners: (() => void)[] = [];

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    private readonly membership: Membership,
  ) {
    this.facts = new FactStore(env, membership.self.id, {
      applied: () => {
        Csp.offer(this.pushDue, true);
        this.notifyListeners();
      },
      expired: () => this.notifyListeners(),
    });
    const onReplaced = (): void => {
      Csp.offer(this.pushDue, true);
      Csp.offer(this.pushUrgent, true);
      this.notifyListeners();
    };
    this.transfer = new SnapshotTransfer(env, rpc, onReplaced, () => this.requestExchange());
    this.antiEntropy = new AntiEntropy(env, rpc, membership, this.facts, this.transfer);
    this.peers = new GossipPeers(env, membership);
    membership.onChange((changed) => {
      if (changed && !isActive(changed)) this.announcements.forget(changed.address);
    });
  }

  /** The newest control snapshot known here. */
  get snapshot(): ControlSnapshot | undefined {
    return this.transfer.snapshot;
  }

  /** Time of the last exchange of digests, initiated by either side, monotonic ms. */
  get lastExchangeAt(): number {
    return this.antiEntropy.lastExchangeAt;
  }

  /** Registers the RPC handlers and starts the push and digest tasks. */
  start(): void {
    this.rpc.handle("news.push", (push, sender) => this.onPush(push, sender));
    this.antiEntropy.serve();
    this.transfer.start();
    EnvironmentTools.runSupervised(this.env, this.env.scope, "gossip push", () => this.pushLoop());
    EnvironmentTools.runSupervised(this.env, this.env.scope, "gossip digest", () => this.digestLoop());
  }

  /** Calls the listener after every change of a fact or of the snapshot. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Publishes a fact. A fact that is not urgent is sent as a patch to its base within `Constants.gossipFlushMs`; if the
   * patch is lost, the next publication replaces it. An urgent fact is sent in full at once, and anti-entropy repairs
   * losses.
   *
   * @param leaseMs others ignore the fact if it is not renewed within this time
   * @example gossip.publish("load/n1", { live: 3 }, 5000, false);
   */
  publish(key: string, value: unknown, leaseMs: number, urgent: boolean): void {
    this.facts.publish(key, value, leaseMs, urgent);
    if (urgent) Csp.offer(this.pushUrgent, true);
  }

  /** Removes a fact permanently by replacing it with a tombstone. */
  remove(key: string, value?: unknown): void {
    this.facts.remove(key, value);
    Csp.offer(this.pushUrgent, true);
  }

  /**
   * Removes facts, and returns once another member has acknowledged the tombstones or after
   * `Constants.withdrawalAckTimeoutMs`, so that the tombstones outlive this process.
   */
  *removeAndReplicate(keys: string[], value?: unknown): Task<void> {
    for (const key of keys) this.remove(key, value);
    const push: Push = { facts: this.facts.messages(keys), renewed: [], frameIndex: 0 };
    const acknowledged = Csp.chan<true>(Constants.gossipFanout);
    const { rpc } = this;
    const addresses = this.peers.next(Constants.gossipFanout);
    if (addresses.length === 0) return;
    for (const address of addresses)
      Csp.go(this.env.scope, "push tombstones", function* () {
        const response = yield* rpc.call(address, "news.push", push, Constants.withdrawalAckTimeoutMs);
        if (response.ok) Csp.offer(acknowledged, true);
      });
    yield* EnvironmentTools.takeWithin(this.env, acknowledged, Constants.withdrawalAckTimeoutMs);
  }

  /** Facts with an unexpired lease, by key prefix. @example gossip.live("replica/") */
  live(prefix: string): GossipFact[] {
    return this.facts.live(prefix);
  }

  /** The known version of a fact, even if it is expired or removed. */
  find(key: string): GossipFact | undefined {
    return this.facts.find(key);
  }

  /** Whether the fact has a tombstone. */
  isRemoved(key: string): boolean {
    return this.facts.find(key)?.removed ?? false;
  }

  /** Time since the fact's newest known version was published, ms; Infinity for an unknown key. */
  ageMs(key: string): number {
    return this.facts.ageMs(key);
  }

  /** The control snapshots that other members have announced. */
  get announcements(): SnapshotAnnouncements {
    return this.transfer.announcements;
  }

  /** Replaces the control snapshot by a newer one; returns false if it is not newer. */
  offerSnapshot(snapshot: ControlSnapshot, steps?: ConfigurationStep[]): boolean {
    return this.transfer.offer(snapshot, steps);
  }

  /** Records that a member has a control snapshot, which is fetched if it is newer than the one known here. */
  snapshotAnnounced(address: string, index: number): void {
    this.transfer.announced(address, index);
  }

  /** Runs anti-entropy with one member, or with another if that does not respond; returns false if neither did. */
  *exchangeDigests(): Task<boolean> {
    for (let attempt = 0; attempt < DIGEST_ATTEMPTS; attempt += 1) {
      const [address] = this.peers.next(1);
      if (!address) return false;
      if (yield* this.antiEntropy.exchangeWith(address)) return true;
    }
    return false;
  }

  /** Makes the next exchange of digests start soon. */
  requestExchange(): void {
    Csp.offer(this.digestDue, true);
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }

  private *onPush(push: Push, sender: string): Task<Result<true>> {
    let urgent = false;
    for (const fact of push.facts) {
      const isNew = this.facts.find(fact.key) === undefined;
      if (this.facts.applyMessage(fact) && (isNew || fact.gone)) urgent = true;
    }
    for (const renewal of push.renewed) this.facts.applyRenewal(renewal);
    if (urgent) Csp.offer(this.pushUrgent, true);
    const address = this.membership.find(sender)?.address;
    if (address) this.transfer.announced(address, push.frameIndex);
    return Fault.ok(true as const);
  }

  private *pushLoop(): Task<void> {
    let pushedIndex = 0;
    for (;;) {
      yield* Csp.take(this.pushDue);
      yield* EnvironmentTools.takeWithin(this.env, this.pushUrgent, Constants.gossipFlushMs);
      const { index, snapshot } = this.transfer;
      if (!this.facts.hasUnsent && index === pushedIndex) continue;
      const push: Push = { ...this.facts.takeUnsent(), frameIndex: index, group: snapshot?.group };
      pushedIndex = index;
      this.rpc.notify(this.peers.next(Constants.gossipFanout), "news.push", push);
    }
  }

  private *digestLoop(): Task<void> {
    const gossip = this;
    for (;;) {
      const jitter = DIGEST_JITTER_LOW + DIGEST_JITTER_SPREAD * this.env.random();
      const pauseMs = this.membership.periodMs(Constants.digestPeriodMs) * jitter;
      yield* EnvironmentTools.sleep(this.env, Math.min(pauseMs, Constants.digestPauseMinMs));
      yield* EnvironmentTools.takeWithin(this.env, this.digestDue, pauseMs - Constants.digestPauseMinMs);
      this.facts.expire();
      // The exchange runs as a task of its own, so that a silent member does not delay the next exchange.
      Csp.go(this.env.scope, "digest exchange", () => gossip.exchangeDigests());
    }
  }
}
