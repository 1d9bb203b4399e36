import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools, HttpReply } from "../runtime/env";
import { DirectHttp, DirectReply } from "../adapters/directHttp";
import { EventPieces } from "../adapters/eventStreamReader";
import { HeaderNames } from "../adapters/headerNames";
import { Chooser } from "../routing/endpointSelector";
import { Frame, Replica } from "../node/clusterSnapshot";
import { Node } from "../node/node";
import { Binding } from "../control/controlState";
import { ShardCopy } from "../shard/shardReplica";
import { ItemOutcome, Lot, Op } from "../shard/shardState";
import { Putter } from "./putClient";

/** What is known of an item between its rounds; a new lead begins it anew. */
type Progress = { after: number; data: string[]; failures: number; notBefore: number; avoid: string };
type OpenLot = {
  id: string;
  copy: ShardCopy;
  epoch: number;
  ready: number[]; // items to be started, in order
  later: number[]; // items to be tried again, each not before its time
  progress: Map<number, Progress>;
  running: Map<number, HttpReply | undefined>; // from the choice of a replica until the result is put
  lostAt: number; // since when we don't lead its shard; Infinity while we do
};
/** One look at all that waits: the frame it goes by, our part of the room, and what it found of pools. */
type Turn = { frame: Frame; part: number; replicas: Map<string, Replica[]>; full: Set<string> };
type Round =
  | { tag: "done"; result: string }
  | { tag: "never"; why: string } // it can never be done
  | { tag: "failed"; why: string } // a failed attempt
  | { tag: "again"; why: string } // it did not run, or was cut: tried elsewhere
  | { tag: "over" }; // the lot ended, or another leads

/**
 * Runs the items of lots whose items are whole requests, for the shards that this store leads. They may run more than
 * once, so there is no claim: what runs is known to the lead alone, only whole results are put, and a new lead starts
 * anew what has none. Lots take their part of the room that live work leaves, the ones due soonest first.
 *
 * @example
 * const runs = new ItemRuns(env, node, putter, chooser, copies, names);
 * runs.start();
 * runs.opened(copy, "lot-17");
 */
export class ItemRuns {
  private open = new Map<string, OpenLot>();
  private wake: Chan<true> = Csp.sliding(1);
  private inFlight = new Map<string, number>(); // by pool
  private atReplica = new Map<string, number>();
  private results = new Map<number, { lot: OpenLot; outcome: ItemOutcome }[]>(); // by shard, not yet put
  private flushing = new Set<number>();
  private batch = 0;
  private told = { items: 0, at: -Infinity };
  readonly counts = { started: 0, done: 0, abandoned: 0, again: 0, failed: 0, resumed: 0, broken_off: 0 };

  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly putter: Putter,
    private readonly chooser: Chooser,
    private readonly copies: Map<number, ShardCopy>,
    private readonly names: HeaderNames,
  ) {}
  /** @example runs.start(); */
  start(): void {
    EnvTools.keep(this.env, this.env.scope, "items of lots", () => this.dispatchLoop());
  }
  /** @example runs.running() */
  running = (): number => [...this.inFlight.values()].reduce((sum, count) => sum + count, 0);
  /** @example runs.metrics().items_done */
  metrics(): Record<string, number> {
    const counted = Object.fromEntries(Object.entries(this.counts).map(([name, count]) => [`items_${name}`, count]));
    return { ...counted, items_running: this.running(), lots_open: this.open.size };
  }

  // ---------- which lots are ours to run ----------
  /** A lot was accepted, or found in the log of a shard that we lead now. @example runs.opened(copy, "lot-17"); */
  opened(copy: ShardCopy, id: string): void {
    const lot = copy.data.lots.get(id);
    const epoch = copy.view?.epoch ?? 0;
    const known = this.open.get(id);
    if (!lot?.requests || lot.open === 0 || lot.ended || known?.epoch === epoch) return;
    const open: OpenLot = known ?? {
      id,
      copy,
      epoch,
      ready: [],
      later: [],
      progress: new Map(),
      running: new Map(),
      lostAt: Infinity,
    };
    // what we began before a change of view goes on
    const begun = (item: number): boolean => open.running.has(item) || open.later.includes(item);
    open.ready = lot.items.flatMap((item, at) => (item.state === "waiting" && !begun(at) ? [at] : []));
    this.open.set(id, Object.assign(open, { epoch, lostAt: Infinity }));
    Csp.offer(this.wake, true);
  }
  /** @example runs.leadStarted(copy); */
  leadStarted(copy: ShardCopy): void {
    for (const lot of copy.data.lots.values()) this.opened(copy, lot.id);
  }
  /** Nothing starts from now on; what runs goes on for a while, since most changes of view leave the lead. @example runs.leadStopped(copy); */
  leadStopped(copy: ShardCopy): void {
    for (const open of this.open.values()) if (open.copy === copy) open.lostAt = Math.min(open.lostAt, this.env.mono());
  }
  /** A lot was ended: what runs of it is broken off. @example runs.ended("lot-17"); */
  ended(id: string): void {
    const open = this.open.get(id);
    if (open) this.breakOff(open);
  }
  private breakOff(open: OpenLot): void {
    this.open.delete(open.id);
    for (const reply of open.running.values()) {
      if (!reply) continue;
      this.counts.broken_off += 1;
      reply.abort();
    }
    Csp.offer(this.wake, true);
  }
  /** Whether what runs of a lot may go on: it is not ended, and no other store is known to lead it. */
  private goesOn(open: OpenLot): boolean {
    const lot = open.copy.data.lots.get(open.id);
    const led = open.copy.view?.lead === this.node.self.id && this.env.mono() - open.lostAt < Constants.lotRegainMs;
    return !!lot && lot.open > 0 && !lot.ended && led && this.open.get(open.id) === open;
  }
  /** The lot, as long as it is ours to run. */
  private ours(open: OpenLot): Lot | undefined {
    const lot = open.copy.data.lots.get(open.id);
    const runs =
      lot &&
      !lot.ended &&
      open.copy.view?.epoch === open.epoch &&
      open.copy.holdsGrant() &&
      this.open.get(open.id) === open;
    return runs ? lot : undefined;
  }

  // ---------- room ----------
  private *dispatchLoop(): Task<void> {
    for (let lookedAt = this.env.mono(); ;) {
      const waits = [...this.open.values()].some((open) => open.ready.length + open.later.length > 0);
      yield* EnvTools.takeWithin(this.env, this.wake, waits ? Constants.lotTickMs : 1000);
      if (this.env.mono() - lookedAt > Constants.orphanPeriodMs) {
        lookedAt = this.env.mono();
        // a lot whose put outran its handler's patience was accepted all the same
        for (const copy of this.copies.values()) if (copy.holdsGrant()) this.leadStarted(copy);
      }
      if (this.open.size === 0 || this.node.stopping || !this.node.vouches()) continue;
      this.dispatch(this.node.frame());
    }
  }
  private dispatch(frame: Frame): void {
    const now = this.env.mono();
    const lots: { open: OpenLot; lot: Lot; dueInMs: number }[] = [];
    for (const open of [...this.open.values()]) {
      const lot = this.ours(open);
      if (!this.goesOn(open)) this.breakOff(open);
      else if (lot) lots.push({ open, lot, dueInMs: this.dueInMs(lot) });
    }
    // the one due soonest first; what is late already has lost most of its worth and comes last
    const late = ({ dueInMs }: { dueInMs: number }): number => (dueInMs > 0 ? 0 : 1);
    lots.sort(
      (left, right) => left.lot.order - right.lot.order || late(left) - late(right) || left.dueInMs - right.dueInMs,
    );
    this.tellDemand();
    const turn: Turn = { frame, part: this.part(frame), replicas: new Map(), full: new Set() };
    for (const { open, lot, dueInMs } of lots) {
      const binding = this.bindingOf(frame, lot);
      if (!binding || this.env.wall() > this.giveUpAt(lot, binding)) {
        this.giveUp(
          open,
          binding ? "not done in the time that its binding gives" : "its binding was taken out of the manifest",
        );
        continue;
      }
      if (open.later.length > 0) this.takeDue(open, now);
      this.startOf(open, lot, binding, turn, dueInMs);
    }
  }
  /** The binding as it is now; as it was kept while our manifest is older than the lot; undefined once it is gone. */
  private bindingOf(frame: Frame, lot: Lot): Binding | undefined {
    const manifest = frame.control?.manifest;
    return (
      manifest?.doc.bindings[lot.binding] ??
      (!manifest || !frame.fresh || manifest.version < (lot.since ?? 0) ? lot.kept : undefined)
    );
  }
  private dueInMs = (lot: Lot): number =>
    lot.stamp.time + (lot.kept.completionMs ?? Constants.requestDeadlineMs) - this.env.wall();
  private giveUpAt = (lot: Lot, binding: Binding): number => {
    const after = Math.max(binding.giveUpMs ?? Infinity, lot.kept.giveUpMs ?? Infinity);
    return lot.stamp.time + after + Constants.lotGiveUpMarginMs;
  };
  private giveUp(open: OpenLot, why: string): void {
    for (const item of [...open.ready.splice(0), ...open.later.splice(0)])
      this.finish(open, { item, state: "abandoned", result: "" }, why);
  }
  private takeDue(open: OpenLot, now: number): void {
    const due = open.later.filter((item) => open.progress.get(item)!.notBefore <= now);
    if (due.length === 0) return;
    open.later = open.later.filter((item) => !due.includes(item));
    open.ready.unshift(...due);
  }
  /** How many items of a pool we may hold: our part of the lots' share of its slots, less while live work has to wait. */
  private window(turn: Turn, replicas: Replica[], pool: string, urgent: boolean): number {
    const slots = replicas.reduce((sum, replica) => sum + replica.capacity, 0);
    const share = Constants.lotShare * (turn.frame.crowded[pool] && !urgent ? Constants.lotCrowdedShare : 1);
    return Math.max(Constants.lotWindowMin, Math.ceil(slots * share * turn.part));
  }
  /** Our part of what waits in all stores, by what those tell whose lots wait for room; at least our part of the leads. */
  private part(frame: Frame): number {
    const views = Object.values(frame.control?.views ?? {});
    const led = views.filter((view) => view.lead === this.node.self.id).length / Math.max(1, views.length);
    const ours = `lots/${this.node.self.id}`;
    let others = 0;
    for (const { key, value } of this.node.news.current("lots/"))
      if (key !== ours) others += (value as { items: number }).items;
    const own = this.demand();
    return Math.max(led, own === 0 ? 0 : own / (own + others));
  }
  private demand(): number {
    let items = 0;
    for (const open of this.open.values()) items += open.ready.length + open.running.size;
    return items;
  }
  /** The stores tell each other what they have to run, so that they share the room by it. */
  private tellDemand(): void {
    const now = this.env.mono();
    const items = this.demand();
    const changed =
      Math.abs(items - this.told.items) > this.told.items / 4 || now - this.told.at > Constants.lotDemandGrantMs / 2;
    if (items < Constants.lotDemandItems || !changed || now - this.told.at < Constants.lotDemandMs) return;
    this.told = { items, at: now };
    this.node.news.tell(`lots/${this.node.self.id}`, { items }, Constants.lotDemandGrantMs, true);
  }
  private poolOf(binding: Binding): string {
    if (!binding.split || binding.split.length === 0) return binding.pool;
    let left = this.env.random() * binding.split.reduce((sum, { weight }) => sum + weight, 0);
    return binding.split.find(({ weight }) => (left -= weight) < 0)?.pool ?? binding.pool;
  }
  private replicasOf(turn: Turn, wish: Parameters<typeof Chooser.inPool>[0]): Replica[] {
    const known = turn.replicas.get(`${wish.pool} ${wish.binding}`) ?? Chooser.inPool(wish);
    turn.replicas.set(`${wish.pool} ${wish.binding}`, known);
    return known;
  }
  private startOf(open: OpenLot, lot: Lot, binding: Binding, turn: Turn, dueInMs: number): void {
    const { full } = turn;
    const wish = { frame: turn.frame, binding: lot.binding, caller: "", kind: "item" };
    for (let tries = open.ready.length; tries > 0; tries -= 1) {
      const pool = this.poolOf(binding);
      if (full.has(pool)) return;
      const replicas = this.replicasOf(turn, { ...wish, pool });
      const window = this.window(turn, replicas, pool, dueInMs < Constants.lotUrgentMs);
      if ((this.inFlight.get(pool) ?? 0) >= window) {
        full.add(pool);
        return;
      }
      const item = open.ready.shift()!;
      if (lot.items[item].state !== "waiting") continue; // another lead has put its result meanwhile
      const most = Math.ceil((window / Math.max(1, replicas.length)) * Constants.boundedLoad) + 1;
      const exclude = new Set(
        replicas.filter(({ key }) => (this.atReplica.get(key) ?? 0) >= most).map(({ key }) => key),
      );
      const avoid = open.progress.get(item)?.avoid;
      if (avoid && replicas.some(({ key }) => key !== avoid && !exclude.has(key))) exclude.add(avoid);
      const [part, tokens] = (lot.requests![item].headers[this.names.promptParts] ?? "").split(",")[0].split(":");
      const prefix = Number(tokens) >= Constants.lotAffinityTokens ? part.trim() : "";
      const choose = (but: Set<string>): Replica | undefined =>
        this.chooser.choose({ ...wish, pool, prefix, lane: "lot", exclude: but });
      const chosen = choose(this.farOnes(replicas, exclude)) ?? choose(exclude);
      if (!chosen) {
        open.ready.unshift(item);
        full.add(pool);
        return;
      }
      this.begin(open, lot, item, binding, pool, chosen);
    }
  }
  /** What is excluded, and all of other districts while ours has room: whole requests and their results are much on a link. */
  private farOnes(replicas: Replica[], exclude: Set<string>): Set<string> {
    const { district } = this.node.self;
    const near = replicas.filter((replica) => replica.district === district && !exclude.has(replica.key));
    const held = near.reduce((sum, { key }) => sum + (this.atReplica.get(key) ?? 0), 0);
    const room = near.reduce((sum, { capacity }) => sum + capacity, 0) * Constants.lotNearShare;
    if (held >= room) return exclude;
    return new Set([...exclude, ...replicas.filter((replica) => replica.district !== district).map(({ key }) => key)]);
  }
  private count(counts: Map<string, number>, key: string, by: number): void {
    const count = (counts.get(key) ?? 0) + by;
    if (count > 0) counts.set(key, count);
    else counts.delete(key);
  }
  private begin(open: OpenLot, lot: Lot, item: number, binding: Binding, pool: string, replica: Replica): void {
    this.chooser.begin(replica);
    this.count(this.inFlight, pool, 1);
    this.count(this.atReplica, replica.key, 1);
    open.running.set(item, undefined);
    this.counts.started += 1;
    const runs = this;
    Csp.go(this.env.scope, `item ${open.id}/${item}`, function* () {
      let round: Round = { tag: "again", why: "its task failed" };
      try {
        round = yield* runs.round(open, lot, item, replica);
      } finally {
        runs.count(runs.inFlight, pool, -1);
        runs.count(runs.atReplica, replica.key, -1);
        runs.after(open, item, binding, replica, round);
        Csp.offer(runs.wake, true);
      }
    });
  }

  // ---------- one round of an item ----------
  private *round(open: OpenLot, lot: Lot, item: number, replica: Replica): Task<Round> {
    const request = lot.requests![item];
    const progress = open.progress.get(item);
    const after = progress?.after ?? 0;
    const headers = { ...request.headers, ...(lot.kept.host ? { host: lot.kept.host } : {}) };
    const remainingMs = Math.max(1000, this.giveUpAt(lot, lot.kept) - this.env.wall());
    this.env.point(57);
    const opened = yield* DirectHttp.open(
      this.env,
      this.names,
      replica,
      {
        method: "POST",
        target: request.target,
        headers,
        body: Buffer.from(lot.bodies[item], "base64"),
        id: request.id,
        remainingMs: Math.min(remainingMs, 600_000),
        after,
        order: 9,
      },
      Constants.lotHeadMs,
    );
    if (!opened.ok) {
      this.chooser.end(replica, opened.fault.tag === "refused" && opened.fault.step === "deliver");
      return this.goesOn(open) ? { tag: "again", why: opened.fault.detail } : { tag: "over" };
    }
    if (!this.goesOn(open)) {
      opened.value.reply.abort();
      this.chooser.end(replica, true);
      return { tag: "over" };
    }
    if (after > 0) this.counts.resumed += 1;
    open.running.set(item, opened.value.reply);
    const round = yield* this.read(open, item, replica, opened.value);
    this.env.point(58);
    this.chooser.end(replica, round.tag !== "again" || !this.goesOn(open));
    return this.goesOn(open) || round.tag === "done" ? round : { tag: "over" };
  }
  private *read(open: OpenLot, item: number, replica: Replica, opened: DirectReply): Task<Round> {
    const { status, headers, reply } = opened;
    if (status < 200 || status >= 300) {
      reply.finish();
      const why = `replica ${replica.id} replied ${status}`;
      return status === 422 ? { tag: "never", why } : status === 500 ? { tag: "failed", why } : { tag: "again", why };
    }
    if (this.names.mark !== "" && headers[this.names.mark] === undefined) {
      reply.abort();
      return { tag: "again", why: "a success without the replica's mark" };
    }
    const progress = this.progressOf(open, item);
    if (!(headers["content-type"] ?? "").includes("event-stream")) {
      const body = yield* DirectHttp.whole(this.env, opened, Constants.pieceGapMs);
      if (body === undefined || progress.after > 0)
        return { tag: "again", why: "reply cut, or no events to go on with" };
      return { tag: "done", result: body.toString("utf8") };
    }
    const pieces = new EventPieces(this.env, replica.id, reply, progress.after);
    for (;;) {
      const got = yield* pieces.next(Constants.pieceGapMs);
      if (!got.ok) return { tag: "again", why: got.fault.detail };
      if (got.value === undefined)
        return progress.data.length > 0
          ? { tag: "done", result: progress.data.join("\n") }
          : { tag: "again", why: "a stream without events" };
      for (const piece of got.value) {
        progress.data.push(piece.data);
        progress.after = piece.id;
      }
    }
  }
  private progressOf(open: OpenLot, item: number): Progress {
    const progress = open.progress.get(item) ?? { after: 0, data: [], failures: 0, notBefore: 0, avoid: "" };
    open.progress.set(item, progress);
    return progress;
  }
  private after(open: OpenLot, item: number, binding: Binding, replica: Replica, round: Round): void {
    const progress = this.progressOf(open, item);
    const again = (ms: number): void => {
      Object.assign(progress, {
        notBefore: this.env.mono() + ms * (0.7 + 0.6 * this.env.random()),
        avoid: replica.key,
      });
      open.running.delete(item);
      open.later.push(item);
    };
    switch (round.tag) {
      case "done":
        return this.finish(open, { item, state: "done", result: round.result }, "");
      case "never":
        return this.finish(open, { item, state: "abandoned", result: "" }, round.why);
      case "failed":
        this.counts.failed += 1;
        progress.failures += 1;
        if (progress.failures >= (binding.rounds ?? Constants.lookupRounds))
          return this.finish(open, { item, state: "abandoned", result: "" }, round.why);
        return again(Constants.lotFailedMs);
      case "again":
        this.counts.again += 1;
        return again(Constants.lotAgainMs);
      case "over":
        open.running.delete(item);
        return;
      default: {
        const never: never = round;
        return never;
      }
    }
  }

  // ---------- results ----------
  /** Results that come close together share one put; until it is on every copy the item counts as running. */
  private finish(open: OpenLot, outcome: ItemOutcome, why: string): void {
    if (outcome.state === "done") this.counts.done += 1;
    else {
      this.counts.abandoned += 1;
      this.env.log(1701, { lot: open.id, item: outcome.item, why });
    }
    open.running.set(outcome.item, undefined);
    const { shard } = open.copy;
    this.results.set(shard, [...(this.results.get(shard) ?? []), { lot: open, outcome }]);
    if (this.flushing.has(shard)) return;
    this.flushing.add(shard);
    const runs = this;
    Csp.go(this.env.scope, `results of shard ${shard}`, function* () {
      try {
        yield* runs.flush(shard);
      } finally {
        runs.flushing.delete(shard);
      }
    });
  }
  private *flush(shard: number): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.lotResultsMs);
      const batch = this.results.get(shard) ?? [];
      this.results.delete(shard);
      if (batch.length === 0) return;
      const byLot = new Map<string, ItemOutcome[]>();
      for (const { lot, outcome } of batch) byLot.set(lot.id, [...(byLot.get(lot.id) ?? []), outcome]);
      const ops = [...byLot].map(([lot, results]): Op => ({ op: "itemResults", lot, results }));
      const put = yield* this.put(shard, ops);
      for (const { lot, outcome } of batch) {
        lot.running.delete(outcome.item);
        lot.progress.delete(outcome.item);
        // whoever leads now has them, or runs them anew; if we still do, they are put again
        if (!put && this.goesOn(lot)) this.finish(lot, outcome, "put again");
      }
    }
  }
  private *put(shard: number, ops: Op[]): Task<boolean> {
    const putId = `results-${this.node.self.id}-${(this.batch += 1)}-${Math.floor(this.env.wall())}`;
    const copy = this.copies.get(shard);
    for (let round = 0; round < Constants.lateRounds && copy?.holdsGrant(); round += 1) {
      const put = yield* copy.put({ putId, stamp: this.putter.stamp(this.env.wall()), ops, cause: {} }, 2500);
      if (put.ok) return true;
      if (put.fault.tag !== "late") break;
      yield* EnvTools.sleep(this.env, 10);
    }
    return (yield* this.putter.put(shard, putId, ops, {}, 12_000)).ok;
  }
}
