import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Hash } from "../common/hash";
import { Node } from "../node/node";
import { Member } from "../membership/member";
import { ShardReplicaStatus } from "../shard/shardReplica";
import { ShardView } from "../controlState/shardView";
import { ConsensusGroup } from "../consensus/consensusGroup";

type Sealed =
  { tag: "sealed"; seq: number; lastEpoch: number; tailFrom: number; grantLeftMs: number } | { tag: "stopped" };
type StoreStatus = { shards: ShardReplicaStatus[]; stopping: boolean; vouches: boolean; heardAt: number };

/**
 * The control lead's care for shards: first views, takeover after a loss, filling and joining of new copies,
 * moves off retiring stores, balance after machines were added.
 *
 * @example
 * const views = new Views(env, node, group);
 * views.start();
 */
export class ShardPlacement {
  private statuses = new Map<string, StoreStatus>();
  private busy = new Set<number>();
  private planned = new Map<number, ShardView>();
  private firstStoreAt = Infinity;
  private waitingSaid = new Set<number>();
  private lastRebalanceAt = -Infinity;
  private troubledSince = new Map<number, number>();
  private lookedAt = -Infinity; // when the last finished look began
  private readonly called = Csp.sliding<true>(1);
  changed = 0;
  /** Copies of a shard: after the loss of as many as may be lost at once, two are left. */
  readonly replicasWanted: number;
  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
  ) {
    this.replicasWanted = (node.settings.losses ?? Constants.losses) + 2;
  }

  /** @example views.start(); */
  start(): void {
    EnvTools.keep(this.env, this.env.scope, "views", () => this.loop());
  }
  private *loop(): Task<void> {
    for (;;) {
      yield* EnvTools.takeWithin(this.env, this.called, Constants.statusPeriodMs);
      if (!this.group.hasLeaderLease()) {
        this.statuses.clear();
        this.firstStoreAt = Infinity;
        continue;
      }
      yield* this.look();
      const lookedAt = this.env.mono();
      for (let shard = 0; shard < Constants.shardCount; shard += 1) this.care(shard);
      yield* EnvTools.sleep(this.env, lookedAt + Constants.lookAgainMs - this.env.mono());
    }
  }
  /** A store sees a copy in trouble: it is looked at now, not at the next turn. @example views.call(); */
  call(): void {
    Csp.offer(this.called, true);
  }
  private *look(): Task<void> {
    const startedAt = this.env.mono();
    const stores = this.node.membership.alive("store");
    const done = Csp.chan<true>(Math.max(1, stores.length));
    const views = this;
    for (const store of stores)
      Csp.go(this.env.scope, `status of ${store.id}`, function* () {
        const response = yield* views.node.rpc.call(store.address, "store.status", {}, 350);
        if (response.ok) views.statuses.set(store.id, { ...response.value, heardAt: views.env.mono() });
        Csp.offer(done, true);
      });
    // who takes longer is heard all the same, for the next look
    const until = this.env.mono() + Constants.lookWaitMs;
    for (let heard = 0; heard < stores.length && this.env.mono() < until; heard += 1)
      yield* EnvTools.takeWithin(this.env, done, until - this.env.mono());
    this.lookedAt = startedAt;
    if (stores.length > 0 && this.firstStoreAt === Infinity) this.firstStoreAt = this.env.mono();
  }
  private isUp(id: string): boolean {
    const member = this.node.membership.find(id);
    const status = this.statuses.get(id);
    return (
      !!member &&
      (member.state === "alive" || member.state === "suspect") &&
      !!status &&
      this.env.mono() - status.heardAt < Constants.statusFreshMs
    );
  }
  private isGone(id: string): boolean {
    const member = this.node.membership.find(id);
    if (!member) return this.env.mono() - this.group.leaderSince > Constants.voterGoneMs;
    return member.state === "dead" || member.state === "left";
  }
  /** Whether a store has answered the last look, or since: only such are waited for, or given something to do. */
  private answers = (id: string): boolean => (this.statuses.get(id)?.heardAt ?? -Infinity) >= this.lookedAt;
  /** Neither we nor any other member of the view heard from the lead for three renewals: it is not waited for. */
  private leaderSilent(view: ShardView): boolean {
    if (this.env.mono() - (this.statuses.get(view.lead)?.heardAt ?? this.env.mono()) < Constants.leaderSilentMs)
      return false;
    const others = view.members
      .filter((id) => id !== view.lead)
      .map((id) => (this.answers(id) ? this.replicaOf(id, view.shard) : undefined));
    return (
      others.length > 0 &&
      others.every(
        (replica) =>
          replica !== undefined && replica.epoch === view.epoch && replica.leadSilentMs > Constants.leaderSilentMs,
      )
    );
  }
  private replicaOf(id: string, shard: number): ShardReplicaStatus | undefined {
    return this.statuses.get(id)?.shards.find((replica) => replica.shard === shard);
  }
  /** Views in force, and first views on their way: they are proposed side by side and must see each other. */
  private known(): ShardView[] {
    const { views } = this.group.state;
    return [...Object.values(views), ...[...this.planned.values()].filter((view) => !views[view.shard])];
  }
  /** Named by a retirement: by its id, or, while the retirement lasts, by its machine's name (an emptied machine has a new id). */
  private isRetiring(id: string): boolean {
    const { retiring, calendar } = this.group.state;
    if (retiring.length === 0 || retiring.includes(id)) return retiring.length > 0;
    const machine = this.node.membership.find(id)?.name;
    return (
      machine !== undefined &&
      Object.values(calendar).some(
        ({ move, fate }) => move.kind === "retire" && fate === "started" && move.name === machine,
      )
    );
  }
  private load(id: string): number {
    return this.known().filter((view) => view.members.includes(id)).length;
  }
  private leads(id: string): number {
    return this.known().filter((view) => view.lead === id).length;
  }
  /** Stores that may take a copy of the shard, best first: new districts, then few copies, then by weight. */
  private candidates(shard: number, members: string[]): Member[] {
    const zones = new Set(members.map((id) => this.node.membership.find(id)?.district));
    const weight = Hash.rendezvous(
      `shard-${shard}`,
      this.node.membership.alive("store").map((store) => store.id),
    );
    const rank = (store: Member): number =>
      (zones.has(store.district) ? 1000 : 0) + this.load(store.id) * 10 + weight.indexOf(store.id);
    return this.node.membership
      .alive("store")
      .filter(
        (store) =>
          !members.includes(store.id) &&
          this.isUp(store.id) &&
          this.answers(store.id) &&
          !this.isRetiring(store.id) &&
          !this.statuses.get(store.id)!.stopping &&
          this.statuses.get(store.id)!.vouches &&
          !this.replicaOf(store.id, shard)?.broken,
      )
      .sort((left, right) => rank(left) - rank(right));
  }

  private care(shard: number): void {
    if (this.busy.has(shard)) return;
    const act = (name: string, body: () => Task<unknown>): void => {
      this.busy.add(shard);
      const views = this;
      Csp.go(this.env.scope, `${name} shard ${shard}`, function* () {
        try {
          yield* body();
        } finally {
          views.busy.delete(shard);
        }
      });
    };
    const view = this.group.state.views[shard];
    if (!view) {
      const stores = this.candidates(shard, []);
      const settled = this.env.mono() - this.firstStoreAt > Constants.viewSettleMs;
      if (stores.length > 0 && settled) act("first view of", () => this.first(shard));
      return;
    }
    const leaderReplica = this.replicaOf(view.lead, shard);
    const leaderUp = this.isUp(view.lead);
    const gone = view.members.filter((id) => this.isGone(id));
    const broken = view.members.filter((id) => this.replicaOf(id, shard)?.broken);
    const failing =
      leaderUp && leaderReplica?.epoch === view.epoch
        ? leaderReplica.failing.filter((id) => view.members.includes(id))
        : [];
    const sealedAhead = view.members.some(
      (id) => this.isUp(id) && (this.replicaOf(id, shard)?.sealed ?? 0) > view.epoch,
    );
    const leaving = view.members.filter((id) => this.statuses.get(id)?.stopping && this.isUp(id));
    const unvouched = leaderUp && !this.statuses.get(view.lead)!.vouches;
    const now = this.env.mono();
    const idleLeader =
      leaderUp &&
      (leaderReplica === undefined ||
        leaderReplica.epoch < view.epoch ||
        (leaderReplica.role !== "lead" && leaderReplica.role !== "starting"));
    if (idleLeader || unvouched) this.troubledSince.set(shard, this.troubledSince.get(shard) ?? now);
    else this.troubledSince.delete(shard);
    const troubledFor = now - (this.troubledSince.get(shard) ?? now);

    let reason = "";
    if (gone.length > 0) reason = `members gone: ${gone.join(", ")}`;
    else if (this.leaderSilent(view)) reason = `lead silent, by control and the other members: ${view.lead}`;
    else if (broken.length > 0) reason = `disk failed at ${broken.join(", ")}`;
    else if (leaving.length > 0) reason = `members leaving: ${leaving.join(", ")}`;
    else if (failing.length > 0) reason = `members not syncing: ${failing.join(", ")}`;
    // what it said in an earlier view has been seen to
    else if (leaderUp && leaderReplica?.epoch === view.epoch && leaderReplica.wantsView)
      reason = `lead asks: ${leaderReplica.wantsView}`;
    else if (sealedAhead) reason = "an earlier change of view was not finished";
    else if (troubledFor > 1500) reason = unvouched ? "lead's clock is not vouched for" : "lead does not lead";
    if (reason) return act("new view of", () => this.reconfigure(shard, reason, []));

    if (!leaderUp || leaderReplica?.role !== "lead") return;
    const retiring = view.members.filter((id) => this.isRetiring(id));
    if (view.members.length - retiring.length < this.replicasWanted) {
      if (view.members.length < this.replicasWanted && !this.waitingSaid.has(shard))
        this.env.log(1402, { shard, members: view.members });
      const [target] = this.candidates(shard, view.members);
      if (target)
        return act("fill", () =>
          this.fillAndJoin(shard, target, retiring[0] ? `off retiring ${retiring[0]}` : "too few copies"),
        );
    }
    if (retiring.length > 0 && view.members.length - retiring.length >= Constants.minReplicasForJobs) {
      return act("retire from", () => this.reconfigure(shard, `retiring ${retiring.join(", ")}`, []));
    }
    if (view.members.length > this.replicasWanted)
      return act("trim", () => this.reconfigure(shard, "one copy too many", []));
    this.rebalance(shard, view, act);
  }
  /** A machine that was added gets copies, one shard at a time. */
  private rebalance(shard: number, view: ShardView, act: (name: string, body: () => Task<unknown>) => void): void {
    const now = this.env.mono();
    if (this.busy.size > 0 || now - this.lastRebalanceAt < 2000) return;
    const [target] = this.candidates(shard, view.members);
    if (!target) return;
    const heaviest = view.members
      .filter((id) => id !== view.lead)
      .sort((left, right) => this.load(right) - this.load(left))[0];
    if (!heaviest || this.load(heaviest) - this.load(target.id) < 2) return;
    this.lastRebalanceAt = now;
    act("move", () =>
      this.fillAndJoin(
        shard,
        target,
        `balance: ${heaviest} holds ${this.load(heaviest)} copies, ${target.id} ${this.load(target.id)}`,
      ),
    );
  }
  private *first(shard: number): Task<void> {
    const members: string[] = [];
    while (members.length < this.replicasWanted) {
      const [next] = this.candidates(shard, members);
      if (!next) break;
      members.push(next.id);
    }
    const leader = [...members].sort((left, right) => this.leads(left) - this.leads(right))[0];
    const view: ShardView = { shard, epoch: 1, members, lead: leader };
    this.planned.set(shard, view);
    yield* this.propose(view, "first view", 0);
    this.planned.delete(shard);
  }
  private *propose(view: ShardView, reason: string, waitMs: number, joiners: string[] = []): Task<boolean> {
    const outcome = yield* this.group.propose({ tag: "view", view, reason }, Constants.proposeTimeoutMs);
    if (!outcome.ok || outcome.value.tag !== "done") return false;
    this.changed += 1;
    this.env.point(38, { shard: view.shard, joiners });
    yield* this.askAll(view.members, "shard.install", { shard: view.shard, view, waitMs }, 800, this.answers);
    return true;
  }

  /** The same asked of several members at once; who answered, and what. Those not waited for may answer as long as the others take. */
  private *askAll<T>(
    ids: string[],
    verb: string,
    body: Record<string, unknown>,
    timeoutMs: number,
    waitFor: (id: string) => boolean,
    whileAnswering = false,
  ): Task<(T & { id: string })[]> {
    const heard: (T & { id: string })[] = [];
    const done = Csp.chan<string>(16);
    const views = this;
    for (const id of ids)
      Csp.go(this.env.scope, `${verb} at ${id}`, function* () {
        const address = views.node.addressOf(id);
        const moot = whileAnswering ? (): boolean => !views.answers(id) : undefined;
        const response = address ? yield* views.node.rpc.call<T>(address, verb, body, timeoutMs, moot) : undefined;
        if (response?.ok) heard.push({ id, ...response.value });
        Csp.offer(done, id);
      });
    const awaited = new Set(ids.some(waitFor) ? ids.filter(waitFor) : ids);
    while (awaited.size > 0) awaited.delete((yield* Csp.take(done))!);
    return heard;
  }
  /**
   * Survivors seal the old epoch; whoever is to be a member of the next view, joiners too, is brought to the sealed
   * end and has synced it; only then is the view committed. Who can't be brought there in time is left out.
   */
  private *reconfigure(shard: number, reason: string, joiners: string[]): Task<boolean> {
    const view = this.group.state.views[shard];
    const epoch = Math.max(view.epoch, this.group.state.epochFloor) + 1;
    const startedAt = this.env.mono();
    const silentMs = Math.round(
      Math.max(...view.members.map((id) => startedAt - (this.statuses.get(id)?.heardAt ?? startedAt))),
    );
    const answered = yield* this.askAll<Sealed>(
      view.members,
      "shard.seal",
      { shard, epoch },
      Constants.sealTimeoutMs,
      this.answers,
    );
    const sealed = answered.flatMap((replica) => (replica.tag === "sealed" ? [replica] : []));
    const sealedAt = this.env.mono();
    this.env.point(39, { shard, joiners });
    if (sealed.length === 0) {
      if (!this.waitingSaid.has(shard)) this.env.log(1403, { shard, members: view.members });
      this.waitingSaid.add(shard);
      return false;
    }
    this.waitingSaid.delete(shard);
    // of equal logs the one that remembers most entries: it can bring up whoever another could
    const [longest] = sealed.sort(
      (left, right) => right.lastEpoch - left.lastEpoch || right.seq - left.seq || left.tailFrom - right.tailFrom,
    );
    // with their addresses: a store may not have heard yet of a machine that was just added
    const targets = [...sealed.slice(1).map((replica) => replica.id), ...joiners].flatMap((id) => {
      const address = this.node.addressOf(id);
      return address ? [{ id, address }] : [];
    });
    const [level] = yield* this.askAll<{ ids: string[] }>(
      [longest.id],
      "shard.level",
      { shard, epoch, targets },
      Constants.levelTimeoutMs + Constants.sealTimeoutMs,
      this.answers,
      true,
    );
    if (!level) return false;
    this.env.point(36, { shard, joiners });
    const next = this.choose(view, level.ids, joiners);
    // the old lead has stopped if it sealed; else its grant ends with the first member that will not renew it
    const leaderSealed = answered.some((replica) => replica.id === view.lead);
    const leaseLeftMs = leaderSealed ? 0 : Math.min(...sealed.map((replica) => replica.grantLeftMs)) + 50;
    const levelledAt = this.env.mono();
    const waitMs = Math.round(Math.max(0, leaseLeftMs - (levelledAt - sealedAt)));
    const stages = {
      silentMs,
      sealMs: Math.round(sealedAt - startedAt),
      levelMs: Math.round(levelledAt - sealedAt),
      grantWaitMs: waitMs,
    };
    const told = `${reason} (silent ${silentMs}, sealed in ${stages.sealMs}, levelled in ${stages.levelMs}, former grant waited for ${waitMs} ms)`;
    const done = yield* this.propose(
      { shard, epoch, ...next },
      told,
      waitMs,
      joiners.filter((id) => next.members.includes(id)),
    );
    if (done)
      this.env.log(1415, {
        shard,
        epoch,
        reason,
        joiners,
        members: next.members,
        stages: { ...stages, commitMs: Math.round(this.env.mono() - levelledAt) },
      });
    return done;
  }
  /** Members and lead of the next view, out of those that stand at the sealed end. */
  private choose(view: ShardView, level: string[], joiners: string[]): { members: string[]; lead: string } {
    // who may stay: not retiring and not leaving, unless too few others are intact
    const wanted = (id: string): boolean => !this.isRetiring(id) && !this.statuses.get(id)?.stopping;
    const staying = level.filter(wanted);
    let members = staying.length < Constants.minReplicasForJobs ? level : staying;
    const clockOk = (id: string): boolean => this.statuses.get(id)?.vouches !== false;
    const choices = [members.filter((id) => wanted(id) && clockOk(id)), members.filter(wanted), members].find(
      (choice) => choice.length > 0,
    )!;
    const byLoad = [...choices].sort(
      (left, right) => +joiners.includes(left) - +joiners.includes(right) || this.leads(left) - this.leads(right),
    );
    const leader = choices.find((id) => id === view.lead) ?? byLoad[0];
    const droppable = members
      .filter((id) => id !== leader && !joiners.includes(id))
      .sort((left, right) => this.load(right) - this.load(left));
    const dropped = droppable.slice(0, Math.max(0, members.length - this.replicasWanted));
    members = members.filter((id) => id !== leader && !dropped.includes(id));
    return { members: [leader, ...members], lead: leader };
  }
  private *fillAndJoin(shard: number, target: Member, reason: string): Task<void> {
    const view = this.group.state.views[shard];
    const leader = this.node.addressOf(view.lead);
    if (!leader) return;
    // it may take long: the copy goes on by itself, and is asked again whether it is there
    const filled = yield* this.node.rpc.call(
      target.address,
      "shard.fill",
      { shard, from: leader },
      Constants.fillAskMs,
      () => !this.answers(target.id),
    );
    if (
      !filled.ok ||
      filled.value.tag !== "ok" ||
      !this.group.hasLeaderLease() ||
      this.group.state.views[shard].epoch !== view.epoch
    )
      return;
    this.env.point(40, { shard, joiners: [target.id] });
    yield* this.reconfigure(shard, `${reason}: ${target.id} filled`, [target.id]);
  }
  /**
   * Whether the store may be taken away with its disk: it holds no copy, and every shard has as many intact ones as are
   * wanted on other machines, by the statuses of the last look.
   * @example views.emptied(move)
   */
  emptied(move: { store: string; name?: string }): boolean {
    const onIt = (id: string): boolean =>
      id === move.store || (move.name !== undefined && this.node.membership.find(id)?.name === move.name);
    const elsewhere = (view: ShardView): number =>
      new Set(view.members.filter((id) => this.isIntact(view, id)).map((id) => this.node.addressOf(id))).size;
    return Object.values(this.group.state.views).every(
      (view) => !view.members.some(onIt) && elsewhere(view) >= this.replicasWanted,
    );
  }
  /** The same, by what the stores say now. @example if (yield* views.confirmEmptied(move)) yield* finish(); */
  *confirmEmptied(move: { store: string; name?: string }): Task<boolean> {
    yield* this.look();
    return this.group.hasLeaderLease() && this.emptied(move);
  }
  /** A copy counts while its store answers, holds all that the view acknowledged on a disk that works, and stays. */
  private isIntact(view: ShardView, id: string): boolean {
    const replica = this.replicaOf(id, view.shard);
    const leaderReplica = this.replicaOf(view.lead, view.shard);
    return (
      this.isUp(id) &&
      this.answers(id) &&
      !this.isRetiring(id) &&
      !this.statuses.get(id)!.stopping &&
      replica !== undefined &&
      replica.epoch === view.epoch &&
      (replica.role === "lead" || replica.role === "member") &&
      !replica.broken &&
      !leaderReplica?.failing.includes(id)
    );
  }
  /** Stores, up or lost for a moment, that would stay if this one went; a machine counts once. @example views.knownWithout(member) */
  knownWithout(store: Member): number {
    const staying = this.node.membership
      .all()
      .filter((member) => member.program === "store" && member.state !== "left" && !this.isRetiring(member.id));
    return new Set(
      staying
        .filter((member) => member.id !== store.id && member.address !== store.address)
        .map((member) => member.address),
    ).size;
  }
  /** Stores that would stay if this one went. @example views.staying("store-3") */
  staying(store: string): Member[] {
    return this.node.membership
      .alive("store")
      .filter((member) => member.id !== store && this.isUp(member.id) && !this.isRetiring(member.id));
  }
}
