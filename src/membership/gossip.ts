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
import { Membership } from "./membership";
import { SnapshotTransfer } from "./snapshotTransfer";

/** Periods between digests differ by up to this share, so that members don't fall into step. */
const DIGEST_JITTER_LOW = 0.8;
const DIGEST_JITTER_SPREAD = 0.4;

/**
 * Spreads facts and the control snapshot through the cluster: changes are pushed to a few members, which push them on;
 * anti-entropy repairs what that misses. Of the control snapshot only the index is pushed, and who has less fetches it.
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
  /** There is something to push. */
  private readonly pushDue: Chan<true> = Csp.sliding(1);
  /** The push must not wait for more. */
  private readonly pushUrgent: Chan<true> = Csp.sliding(1);
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
    this.transfer = new SnapshotTransfer(env, rpc, () => {
      Csp.offer(this.pushDue, true);
      Csp.offer(this.pushUrgent, true);
      this.notifyListeners();
    });
    this.antiEntropy = new AntiEntropy(env, rpc, membership, this.facts, this.transfer);
    this.peers = new GossipPeers(env, membership);
  }

  /** The newest control snapshot known here. */
  get snapshot(): ControlSnapshot | undefined {
    return this.transfer.snapshot;
  }

  /** When digests were last exchanged with anybody, by either side, monotonic ms. */
  get lastExchangeAt(): number {
    return this.antiEntropy.lastExchangeAt;
  }

  /** @example gossip.start(); */
  start(): void {
    this.rpc.handle("news.push", (push, sender) => this.onPush(push, sender));
    this.antiEntropy.serve();
    EnvironmentTools.runSupervised(this.env, this.env.scope, "news push", () => this.pushLoop());
    EnvironmentTools.runSupervised(this.env, this.env.scope, "news digest", () => this.digestLoop());
  }

  /** Calls the listener after every change of a fact or of the snapshot. @example gossip.onChange(() => rebuild()); */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Publishes a fact. One that is not urgent goes out as a patch to its base, within `Constants.gossipFlushMs`, and the
   * next publication makes up for a lost one; an urgent one goes out in full at once, and digests repair losses.
   *
   * @param leaseMs others disregard the fact after this time without a newer version
   * @example gossip.publish("load/n1", { live: 3 }, 5000, false);
   */
  publish(key: string, value: unknown, leaseMs: number, urgent: boolean): void {
    this.facts.publish(key, value, leaseMs, urgent);
    if (urgent) Csp.offer(this.pushUrgent, true);
  }

  /** Removes a fact for good: a tombstone takes its place. @example gossip.remove("replica/r1/x"); */
  remove(key: string, value?: unknown): void {
    this.facts.remove(key, value);
    Csp.offer(this.pushUrgent, true);
  }

  /**
   * Removes facts, and returns once another member has the tombstones, or after `Constants.goodbyeToldMs`: they should
   * outlive this process.
   * @example yield* gossip.removeAndReplicate([key]);
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

  /** Facts whose lease runs, by key prefix. @example gossip.live("replica/") */
  live(prefix: string): GossipFact[] {
    return this.facts.live(prefix);
  }

  /** A fact as it is known, also expired or removed. @example gossip.find("replica/r1/x")?.value */
  find(key: string): GossipFact | undefined {
    return this.facts.find(key);
  }

  /** Whether there is a tombstone. @example gossip.isRemoved("replica/r1/x") */
  isRemoved(key: string): boolean {
    return this.facts.find(key)?.removed ?? false;
  }

  /** Time since the fact's newest version was published, ms; Infinity if there is none. @example gossip.ageMs(key) */
  ageMs(key: string): number {
    return this.facts.ageMs(key);
  }

  /** Takes in a newer control snapshot; false for one that is not. @example gossip.offerSnapshot(snapshot); */
  offerSnapshot(snapshot: ControlSnapshot, steps?: ConfigurationStep[]): boolean {
    return this.transfer.offer(snapshot, steps);
  }

  /** Fetches the snapshot of a member with a higher index. @example yield* gossip.fetchSnapshotIfNewer(address, 17) */
  fetchSnapshotIfNewer(address: string, index: number): Task<void> {
    return this.transfer.fetchIfNewer(address, index);
  }

  /** Compares and repairs with one member; false if none responded. @example yield* gossip.exchangeDigests() */
  *exchangeDigests(): Task<boolean> {
    const [address] = this.peers.next(1);
    if (!address) return false;
    return yield* this.antiEntropy.exchangeWith(address);
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
    if (address) yield* this.transfer.fetchIfNewer(address, push.frameIndex);
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
    for (;;) {
      const jitter = DIGEST_JITTER_LOW + DIGEST_JITTER_SPREAD * this.env.random();
      yield* EnvironmentTools.sleep(this.env, this.membership.periodMs(Constants.digestPeriodMs) * jitter);
      this.facts.expire();
      yield* this.exchangeDigests();
    }
  }
}
