import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Member, Program } from "../membership/member";
import { Membership } from "../membership/membership";
import { Gossip } from "../membership/gossip";
import { Rpc } from "../rpc/rpc";
import { ReadIndexConfirmation, ReadIndex } from "./readIndexConfirmation";
import { Fault, Result } from "../common/fault";
import { DataFolder } from "../runtime/dataFolder";
import { ClusterSnapshot, Endpoint } from "./clusterSnapshot";
import { Settings } from "../common/settings";
import { Bounds, Stamp } from "../common/stamp";

/**
 * What agent, store and control have in common: identity, asks, membership, news and the frame.
 *
 * @example
 * const started = yield* Node.start(env, settings, "store");
 * if (started.ok) started.value.frame().members;
 */
export class Node {
  private cached: ClusterSnapshot | undefined;
  private cachedAt = -Infinity;
  private number = 0;
  fresh = true;
  stopping = false;
  freezeCount = 0;
  private unfreezers: (() => void)[] = [];
  private lookedAt: number;
  /** Whether the control lead has confirmed our configuration since our start or last thaw. */
  readonly confirmation: ReadIndexConfirmation;
  /** A control member's part in confirmations: its own word as the lead, else where the lead is. */
  readIndex: () => ReadIndex | undefined = () => undefined;
  leaderAddress: () => string | undefined = () => undefined;
  private constructor(
    readonly env: Env,
    readonly settings: Settings,
    readonly self: Member,
    readonly rpc: Rpc,
    readonly membership: Membership,
    readonly gossip: Gossip,
  ) {
    this.lookedAt = env.mono();
    this.confirmation = new ReadIndexConfirmation(env, rpc, {
      own: () => this.readIndex(),
      source: (attempt) => this.readIndexSource(attempt),
      configuration: () => gossip.snapshot,
      fetch: (address, index) => gossip.fetchSnapshotIfNewer(address, index),
    });
  }

  /** @example yield* Node.start(env, settings, "agent") */
  static *start(env: Env, settings: Settings, program: Program): Task<Result<Node>> {
    const drawn = EnvTools.id(env, program);
    const opened = settings.data
      ? yield* DataFolder.open(env, settings.data, settings.address, { id: drawn, cluster: settings.cluster, program })
      : Fault.ok(drawn);
    if (!opened.ok) return opened;
    const id = opened.value;
    const self: Member = {
      id,
      program,
      ...(settings.name ? { name: settings.name } : {}),
      district: settings.district,
      address: settings.address,
      http: settings.http,
      incarnation: Math.floor(env.wall()),
      state: "alive",
    };
    const rpc = new Rpc(env, settings.cluster, id);
    const membership = new Membership(
      env,
      settings.cluster,
      self,
      () => settings.seeds ?? [],
      settings.bind ?? settings.address,
    );
    const gossip = new Gossip(env, rpc, membership);
    const node = new Node(env, settings, self, rpc, membership, gossip);
    const served = yield* rpc.serve(settings.bind ?? settings.address);
    if (!served.ok) return served;
    if (!(yield* membership.start()))
      return Fault.fail("internal", "bind", settings.address, "datagram socket not to be had");
    gossip.start();
    membership.onChange((changed) => {
      node.cached = undefined;
      // a connection to who does not answer may carry nothing: a new one tells, and is made once it is there again
      if (changed && changed.state !== "alive" && changed.id !== id) rpc.closeIfIdle(changed.address);
    });
    gossip.onChange(() => (node.cached = undefined));
    node.confirmation.serve();
    node.confirmation.start();
    EnvTools.keep(env, env.scope, "clock watch", () => node.watchClock());
    env.log(1001, { program, id, district: settings.district, address: settings.address });
    return Fault.ok(node);
  }

  /** A replica that was started again is its newest instance only, and an address belongs to who took it last. */
  private static newest(endpoints: Endpoint[]): Endpoint[] {
    const byId = new Map<string, Endpoint>();
    for (const endpoint of endpoints)
      if ((byId.get(endpoint.id)?.bornAt ?? -1) < endpoint.bornAt) byId.set(endpoint.id, endpoint);
    const byAddress = new Map<string, Endpoint>();
    for (const endpoint of byId.values())
      if ((byAddress.get(endpoint.address)?.bornAt ?? -1) < endpoint.bornAt) byAddress.set(endpoint.address, endpoint);
    return [...byAddress.values()];
  }
  /** SIGTERM: unready, what is in flight (else a moment for the news of it), goodbye. @example yield* node.depart(); */
  *shutDown(finish: () => Task<void> = () => EnvTools.sleep(this.env, 300)): Task<void> {
    this.env.log(1002);
    this.stopping = true;
    yield* finish();
    this.membership.leave();
    yield* EnvTools.sleep(this.env, 100);
    this.env.log(1003);
  }
  /** Called when the process finds that it was frozen. @example node.whenFrozen(() => copy.stopLead("frozen")); */
  onFreeze(ender: () => void): void {
    this.unfreezers.push(ender);
  }
  /** Whether the watch of the clock is so late that we must have been frozen. */
  private frozenSinceLook = (now: number): boolean =>
    now - this.lookedAt > Constants.clockJumpMs + Constants.clockWatchMs;
  private *watchClock(): Task<void> {
    let base = this.env.wall() - this.lookedAt;
    let sweptAt = this.lookedAt;
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.clockWatchMs);
      const now = this.env.mono();
      if (now - sweptAt > Constants.linkIdleMs) {
        this.rpc.closeUnused(Constants.linkIdleMs);
        sweptAt = now;
      }
      const offset = this.env.wall() - now;
      if (Math.abs(offset - base) > this.clockBounds().deltaMs) this.membership.discardClockSamples();
      // a machine that was suspended may have had its monotonic clock stopped: then only the wall clock tells
      const suspended = offset - base > Constants.clockJumpMs;
      base = offset;
      if (this.frozenSinceLook(now)) this.thawed(now - this.lookedAt);
      else if (suspended) this.confirmation.invalidate();
      this.lookedAt = this.env.mono();
    }
  }
  /** What we knew may be old by now, and what others knew of us too. */
  private thawed(forMs: number): void {
    this.freezeCount += 1;
    this.fresh = false;
    this.cached = undefined;
    this.confirmation.invalidate();
    this.env.log(1005, { forMs: Math.round(forMs) });
    for (const ender of this.unfreezers) ender();
    const node = this;
    Csp.go(this.env.scope, "freshen", () => node.freshen());
  }
  /** Two different members are compared with: one alone may have been frozen with us. */
  private *freshen(): Task<void> {
    for (let compared = 0; compared < 2 && this.membership.alive().length > 1;) {
      if (yield* this.gossip.exchangeDigests()) compared += 1;
      else yield* EnvTools.sleep(this.env, 50);
    }
    this.fresh = true;
    this.cached = undefined;
  }
  /** Whom to ask for the control lead's word: the lead, other control members, now and then any member. */
  private readIndexSource(attempt: number): string | undefined {
    const leader = this.leaderAddress();
    if (leader !== undefined && attempt % 2 === 0) return leader;
    const others = this.membership.alive().filter((member) => member.id !== this.self.id);
    const controls = others.filter((member) => member.program === "control");
    const asked = controls.length === 0 || attempt % 3 === 2 ? others : controls;
    return asked[Math.floor(this.env.random() * asked.length)]?.address;
  }
  /** The bounds in force. @example Stamp.delay(node.bounds()) */
  clockBounds(): Bounds {
    return this.gossip.snapshot?.manifest.doc.clock ?? Stamp.defaults;
  }
  /** Whether what we hold may be acted on: not frozen since it came, and confirmed by the control lead since our start. */
  private current(): boolean {
    return this.fresh && !this.frozenSinceLook(this.env.mono()) && this.confirmation.isConfirmed();
  }
  /** Whether our configuration is current as far as we can know, and we heard from others lately. @example node.inTouch() */
  isCurrent(): boolean {
    return this.current() && this.env.mono() - this.gossip.lastExchangeAt < Constants.frameStaleMs;
  }
  /** Whether we may stamp and hold duties. @example if (!node.vouches()) return busy; */
  mayHoldLeases(): boolean {
    return this.current() && this.membership.isClockTrusted(this.clockBounds().deltaMs);
  }
  /** @example node.addressOf("store-17") */
  addressOf(id: string): string | undefined {
    const member = this.membership.find(id);
    return member && member.state !== "left" ? member.address : undefined;
  }
  /** The newest frame; the same object until something changed. @example node.frame().replicas */
  snapshot(): ClusterSnapshot {
    const now = this.env.mono();
    const vouched = this.membership.isClockTrusted(this.clockBounds().deltaMs);
    if (
      this.cached &&
      now - this.cachedAt < 250 &&
      this.cached.clockTrusted === vouched &&
      this.cached.isCurrent === this.isCurrent()
    )
      return this.cached;
    const overloaded: Record<string, boolean> = {};
    for (const fact of this.gossip.live("crowd/")) {
      if (this.gossip.ageMs(fact.key) < Constants.jobOverloadHoldMs)
        overloaded[(fact.value as { pool: string }).pool] = true;
    }
    this.cachedAt = now;
    this.cached = {
      revision: (this.number += 1),
      control: this.gossip.snapshot,
      members: this.membership.alive(),
      endpoints: Node.newest(
        this.gossip.live("replica/").map((fact) => ({
          key: fact.key,
          ...(fact.value as Omit<Endpoint, "key">),
          ...(this.gossip.ageMs(fact.key) > Constants.endpointQuietMs ? { quiet: true } : {}),
        })),
      ),
      overloadedPools: overloaded,
      isCurrent: this.isCurrent(),
      clockTrusted: vouched,
    };
    return this.cached;
  }
}
