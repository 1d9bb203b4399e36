import { Constants } from "../constants";
import { Csp, Task } from "../csp/csp";
import { Env, EnvTools } from "../env/env";
import { TwoSlots } from "../env/twoSlots";
import { Chooser } from "../core/chooser";
import { Fault, Result } from "../core/fault";
import { Node } from "../core/node";
import { Settings } from "../core/settings";
import { Spread } from "../core/spread";
import { Stamp } from "../core/stamp";
import { OperatorHttp } from "../adapters/operatorHttp";
import { ShardCopy } from "../shard/shardCopy";
import { LedgerEntry, ShardState } from "../shard/shardState";
import { Putter } from "./putter";
import { Work } from "./work";

/* eslint-disable @typescript-eslint/no-explicit-any */
/**
 * A store: its copies of shards, their puts and reads, and the work that the shards it leads call for.
 *
 * @example
 * const started = yield* StoreNode.start(env, settings);
 */
export class StoreNode {
  readonly copies = new Map<number, ShardCopy>();
  readonly putter: Putter;
  readonly chooser: Chooser;
  readonly work: Work;
  private readonly puts = new Spread(); // in the lead's buffer until on every copy: Δ
  private readonly relays = new Spread(); // from the stamp to the first store: ε with skew
  private constructor(
    readonly env: Env,
    readonly settings: Settings,
    readonly node: Node,
  ) {
    this.putter = new Putter(env, node.rpc, node.self.id, () => node.frame());
    this.chooser = new Chooser(env);
    this.work = new Work(env, node, this.putter, this.chooser, this.copies);
  }

  /** @example yield* StoreNode.start(env, settings) */
  static *start(env: Env, settings: Settings): Task<Result<StoreNode>> {
    const started = yield* Node.start(env, settings, "store");
    if (!started.ok) return started;
    const store = new StoreNode(env, settings, started.value);
    const names = yield* env.disk.list(settings.data!);
    if (!names.ok) return names;
    for (const name of names.value.filter((each) => /^shard-\d+$/.test(each))) {
      const copy = store.copy(+name.slice(6));
      const opened = yield* copy.open();
      if (!opened.ok) {
        env.log(1006, { reason: opened.fault.detail });
        return opened;
      }
    }
    store.handle();
    store.node.news.watch(() => store.frameChanged());
    store.node.whenFrozen(() => {
      for (const copy of store.copies.values()) copy.stopLead("frozen");
    });
    EnvTools.keep(env, env.scope, "disk watch", () => store.watchDisk());
    EnvTools.keep(env, env.scope, "repair", () => store.repairLoop());
    store.work.start();
    const http = yield* OperatorHttp.serve(env, settings.http, store.node, {
      ready: () => (store.node.stopping ? "stopping" : !store.node.vouches() ? "clock or frame not vouched for" : undefined),
      metrics: () => store.metrics(),
      ledgerSource: store.putter,
    });
    if (!http.ok) return http;
    return Fault.ok(store);
  }

  private copy(shard: number): ShardCopy {
    let copy = this.copies.get(shard);
    if (!copy) {
      copy = new ShardCopy(this.env, this.node.rpc, this.node.self.id, shard, new TwoSlots(this.env, `${this.settings.data}/shard-${shard}`), {
        addressOf: (id) => this.node.addressOf(id),
        bounds: () => this.node.bounds(),
        vouches: () => this.node.vouches(),
        putTook: (ms) => this.puts.add(ms),
        started: (started) => this.work.leadStarted(started),
        stopped: (stopped) => this.work.leadStopped(stopped),
      });
      this.copies.set(shard, copy);
    }
    return copy;
  }
  /** A view that named us lead and whose message was lost is found in the frame; we then wait a whole grant. */
  private frameChanged(): void {
    const frame = this.node.news.frame;
    if (!frame) return;
    for (const view of Object.values(frame.views)) {
      const copy = this.copies.get(view.shard);
      if (!copy || copy.view === undefined || view.epoch <= copy.view.epoch) continue;
      Csp.go(this.env.scope, "view from frame", () => copy.onInstall({ view, waitMs: Constants.shardGrantMs }));
    }
  }
  private *watchDisk(): Task<void> {
    for (;;) {
      const free = yield* this.env.disk.free(this.settings.data!);
      const low = free.ok && free.value < Constants.diskReserveBytes;
      for (const copy of this.copies.values()) copy.diskLow = low;
      yield* EnvTools.sleep(this.env, 1000);
    }
  }
  private *repairLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.repairPeriodMs);
      for (const copy of this.copies.values()) if (copy.holdsGrant()) yield* copy.repair();
    }
  }

  private handle(): void {
    const { rpc } = this.node;
    const on = (verb: string, handler: (copy: ShardCopy, body: any) => Task<Result<unknown>>): void =>
      rpc.handle(verb, (body) => handler(this.copy(body.shard), body));
    on("shard.replicate", (copy, body) => copy.onReplicate(body));
    on("shard.seal", (copy, body) => copy.onSeal(body));
    on("shard.install", (copy, body) => copy.onInstall(body));
    on("shard.level", (copy, body) => copy.onLevel(body));
    on("shard.catchUp", (copy, body) => copy.onCatchUp(body));
    on("shard.whole", (copy, body) => copy.onWhole(body));
    on("shard.digest", (copy, body) => copy.onDigest(body));
    on("shard.mend", (copy, body) => copy.onMend(body));
    on("shard.fill", (copy, body) => copy.fill(body.target, body.address));
    on("shard.position", function* (copy) {
      return Fault.ok({ exists: copy.exists, seq: copy.seq, lastEpoch: copy.lastEpoch });
    });
    const store = this;
    rpc.handle("store.status", function* () {
      return Fault.ok({ shards: [...store.copies.values()].filter((copy) => copy.exists).map((copy) => copy.status()), stopping: store.node.stopping, vouches: store.node.vouches() });
    });
    on("shard.put", (copy, body) => this.put(copy, body));
    on("work.open", (copy, body) => {
      this.relays.add(this.env.wall() - body.stamp.time);
      return this.work.open(copy, body);
    });
    on("work.read", (copy, body) => this.work.read(copy, body));
    on("work.refuse", (copy, body) => this.work.refuse(copy, body));
    on("lot.accept", (copy, body) => this.work.acceptLot(copy, body));
    on("lot.status", (copy, body) => this.work.lotStatus(copy, body));
    on("lot.results", (copy, body) => this.lotResults(copy, body));
    on("lot.end", (copy, body) => this.work.endLot(copy, body));
    on("ledger.read", (copy, body) => this.ledgerRead(copy, body));
    on("ledger.about", (copy, body) => this.ledgerAbout(copy, body));
    on("temporal.get", (copy, body) => this.temporalGet(copy, body));
    rpc.handle("work.running", function* (body) {
      return Fault.ok({ running: (body.ids as string[]).filter((id) => store.work.isRunning(id)) });
    });
    rpc.handle("store.shards", function* () {
      return Fault.ok({
        shards: [...store.copies.values()].filter((copy) => copy.exists).map((copy) => copy.status()),
        lots: [...store.copies.values()].filter((copy) => copy.role === "lead").flatMap((copy) =>
          Object.values(copy.data.lots).map((lot) => ({ id: lot.id, shard: copy.shard, items: lot.items.length, open: lot.open, ended: lot.ended, results: lot.positions.length }))),
      });
    });
  }

  /** Rule 1 of the paper, on the first store a put reaches. */
  private *put(copy: ShardCopy, body: any): Task<Result<unknown>> {
    const admitted = this.admit(copy, body.put.stamp);
    if (admitted) return admitted;
    return yield* copy.put(body.put, 1100);
  }
  /** @example const refused = store.admit(copy, stamp); if (refused) return refused; */
  admit(copy: ShardCopy, stamp: Stamp): Result<never> | undefined {
    if (!copy.holdsGrant()) return Fault.fail("notLead", "admit", this.node.self.id, copy.view?.lead ?? "");
    if (!this.node.vouches()) return Fault.fail("notLead", "admit", this.node.self.id, "our clock is not vouched for");
    if (!Stamp.admits(stamp.time, this.env.wall(), this.node.bounds())) return Fault.fail("late", "admit", this.node.self.id, `stamp ${Stamp.text(stamp)} outside the bounds`);
    return undefined;
  }

  // ---------- temporal reads: any member of the view, behind the frontier ----------
  private current(copy: ShardCopy): Result<never> | undefined {
    const view = this.node.news.frame?.views[copy.shard] ?? copy.view;
    return copy.exists && view?.members.includes(this.node.self.id) ? undefined : Fault.fail("notLead", "read", this.node.self.id, "no member of the view");
  }
  private *lotResults(copy: ShardCopy, body: { id: string; after: number; limit: number; waitMs: number }): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const until = this.env.mono() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      copy.frontier();
      const lot = copy.data.lots[body.id];
      if (lot) {
        const positions = lot.positions.slice(body.after, body.after + body.limit);
        const finished = lot.open === 0 && lot.positions.length === lot.items.filter((item) => item.stamp).length;
        if (positions.length > 0 || finished || this.env.mono() >= until)
          return Fault.ok({
            results: positions.map((item, at) => ({ position: body.after + at + 1, item, state: lot.items[item].state, result: lot.items[item].result, stamp: Stamp.text(lot.items[item].stamp!) })),
            finished: finished && body.after + positions.length === lot.positions.length, ended: lot.ended, frontier: copy.data.frontier,
          });
      } else if (copy.holdsGrant()) return Fault.fail("notFound", "lot results", this.node.self.id, `no lot ${body.id}`);
      else if (this.env.mono() >= until) return Fault.fail("notLead", "lot results", this.node.self.id, "not here yet");
      yield* EnvTools.sleep(this.env, 30);
    }
  }
  private *ledgerRead(copy: ShardCopy, body: { after: string; limit: number }): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const frontier = copy.frontier();
    const after = Stamp.parse(body.after) ?? { time: -1, node: "", seq: 0 };
    const from = ShardState.after(copy.data, after);
    return Fault.ok({ frontier, entries: copy.data.ledger.slice(from, from + body.limit), oldest: copy.data.ledger[0]?.stamp ?? null });
  }
  private *ledgerAbout(copy: ShardCopy, body: { subjects: string[]; change: string }): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const about = (entry: LedgerEntry): boolean => body.subjects.some((subject) => entry.subject === subject || entry.subject.startsWith(`${subject}/`)) || (body.change !== "" && !!entry.cause.note?.startsWith(`change ${body.change} `));
    const stable = copy.data.ledger.filter(about);
    // logical mode at the lead: what was logged but not yet indexed is shown too, marked as such
    const fresh = copy.holdsGrant() ? copy.data.waiting.flatMap((waiting) => waiting.ledger).filter(about) : [];
    return Fault.ok({ entries: [...stable, ...fresh], frontier: copy.frontier() });
  }
  /** The nearest version not prior to τ; past the frontier it waits, then says busy. */
  private *temporalGet(copy: ShardCopy, body: { subject: string; time: number; waitMs: number }): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const until = this.env.mono() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      copy.frontier();
      const found = ShardState.nearest(copy.data, body.subject, body.time);
      if (found) return Fault.ok({ version: found, frontier: copy.data.frontier });
      if (this.env.mono() >= until) {
        const lacking = Math.max(Constants.retryAfterMs, body.time - copy.data.frontier);
        return Fault.busy("temporal get", this.node.self.id, `no stable version not prior to ${body.time} yet`, Math.round(lacking));
      }
      yield* EnvTools.sleep(this.env, 30);
    }
  }

  /** @example store.metrics().leads */
  metrics(): Record<string, number> {
    const copies = [...this.copies.values()].filter((copy) => copy.exists);
    const sum = (pick: (copy: ShardCopy) => number): number => copies.reduce((total, copy) => total + pick(copy), 0);
    return {
      copies: copies.length, leads: copies.filter((copy) => copy.role === "lead").length,
      puts: sum((copy) => copy.counts.puts), put_batches: sum((copy) => copy.counts.batches), late_puts: sum((copy) => copy.counts.late),
      overrun_puts: sum((copy) => copy.counts.overruns), mended_objects: sum((copy) => copy.counts.mended),
      ...this.puts.metrics("put_ms"), ...this.relays.metrics("relay_ms"), skew_ms: +(this.node.membership.skew()?.offset ?? 0).toFixed(2),
      disk_syncs: sum((copy) => copy.syncs()), restamped_puts: this.putter.restamped,
      affinity_hits: this.chooser.hits, affinity_misses: this.chooser.misses, ...this.work.metrics(),
    };
  }
  /** SIGTERM: leads are handed on, work in flight ends or is taken over, goodbye. @example yield* store.stop(); */
  stop(): Task<void> {
    const store = this;
    return this.node.depart(function* () {
      const until = store.env.mono() + Constants.stopGraceMs;
      while (store.env.mono() < until && (store.work.inFlight() > 0 || [...store.copies.values()].some((copy) => copy.role === "lead" && copy.view!.members.length > 1)))
        yield* EnvTools.sleep(store.env, 50);
    });
  }
}
