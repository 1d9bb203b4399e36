import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Chooser } from "../routing/endpointSelector";
import { Fault, Result } from "../common/fault";
import { Node } from "../node/node";
import { Settings } from "../common/settings";
import { Spread } from "../common/latencySummary";
import { Stamp } from "../common/stamp";
import { HeaderNames, ownHeaderNames } from "../adapters/headerNames";
import { OperatorHttp } from "../adapters/operatorHttp";
import { ShardCopy } from "../shard/shardReplica";
import { LedgerEntry, ShardState } from "../shard/shardState";
import { ItemRuns } from "./itemExecution";
import { Lots } from "./batchJobs";
import { Putter } from "./putClient";
import { Quota } from "./quota";
import { Work } from "./workExecutor";

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
  readonly lots: Lots;
  private readonly itemRuns: ItemRuns;
  private readonly quota: Quota;
  private readonly trouble = Csp.sliding<true>(1);
  private readonly puts = new Spread(); // in the lead's buffer until on every copy: Δ
  private readonly relays = new Spread(); // from the stamp to the first store: ε with skew
  private constructor(
    readonly env: Env,
    readonly settings: Settings,
    readonly node: Node,
    readonly names: HeaderNames,
  ) {
    this.putter = new Putter(env, node.rpc, node.self.id, () => node.frame());
    this.chooser = new Chooser(env, node.self.id);
    this.work = new Work(env, node, this.putter, this.chooser, this.copies);
    this.quota = new Quota(env, node, this.putter, this.copies);
    this.itemRuns = new ItemRuns(env, node, this.putter, this.chooser, this.copies, names);
    this.lots = new Lots(env, node, this.quota, this.itemRuns);
  }

  /** @example yield* StoreNode.start(env, settings) */
  static *start(env: Env, settings: Settings, names: HeaderNames = ownHeaderNames): Task<Result<StoreNode>> {
    const started = yield* Node.start(env, settings, "store");
    if (!started.ok) return started;
    const store = new StoreNode(env, settings, started.value, names);
    const folders = yield* env.disk.list(settings.data!);
    if (!folders.ok) return folders;
    for (const name of folders.value.filter((each) => /^shard-\d+$/.test(each))) {
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
    EnvTools.keep(env, env.scope, "calls for control", () => store.callLoop());
    EnvTools.keep(env, env.scope, "repair", () => store.repairLoop());
    store.work.start();
    store.itemRuns.start();
    const http = yield* OperatorHttp.serve(env, settings.http, store.node, {
      ready: () =>
        store.node.stopping ? "stopping" : !store.node.vouches() ? "clock or frame not vouched for" : undefined,
      metrics: () => store.metrics(),
      ledgerSource: store.putter,
    });
    if (!http.ok) return http;
    return Fault.ok(store);
  }

  private copy(shard: number): ShardCopy {
    let copy = this.copies.get(shard);
    if (!copy) {
      copy = new ShardCopy(this.env, this.node.rpc, this.node.self.id, shard, `${this.settings.data}/shard-${shard}`, {
        addressOf: (id) => this.node.addressOf(id),
        bounds: () => this.node.bounds(),
        vouches: () => this.node.vouches(),
        putTook: (ms) => this.puts.add(ms),
        troubled: () => void Csp.offer(this.trouble, true),
        started: (started) => {
          this.work.leadStarted(started);
          this.itemRuns.leadStarted(started);
        },
        stopped: (stopped) => {
          this.work.leadStopped(stopped);
          this.itemRuns.leadStopped(stopped);
        },
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
  /** What calls for a change of view is told to control at once, as a hint to look; it decides by what it sees then. */
  private *callLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.takeWithin(this.env, this.trouble, Constants.grantRenewMs);
      if (![...this.copies.values()].some((copy) => copy.isTroubled())) continue;
      for (const member of this.node.membership.alive("control")) {
        const { rpc } = this.node;
        Csp.go(this.env.scope, "call for control", () =>
          rpc.ask(member.address, "views.call", {}, Constants.replicateTimeoutMs),
        );
      }
      yield* EnvTools.sleep(this.env, Constants.lookAgainMs);
    }
  }
  private *watchDisk(): Task<void> {
    let second = 0;
    for (;;) {
      const free = yield* this.env.disk.free(this.settings.data!);
      const low = free.ok && free.value < Constants.diskReserveBytes;
      second += 1;
      for (const copy of this.copies.values()) {
        copy.diskLow = low;
        if (second % Constants.diskRetrySeconds === 0) Csp.go(this.env.scope, "try disk again", () => copy.retryDisk());
      }
      yield* EnvTools.sleep(this.env, 1000);
    }
  }
  /** What is older than the operator lets it become is let go, by a decision in the ledger. */
  private *trim(copy: ShardCopy): Task<void> {
    const manifest = this.node.frame().control?.manifest;
    const kinds = [
      ["works", "requestsMs"],
      ["lots", "lotsMs"],
      ["ledger", "ledgerMs"],
    ] as const;
    for (const [kind, setting] of kinds) {
      const keepMs = manifest?.doc.retention?.[setting];
      if (keepMs === undefined) continue;
      const before = this.env.wall() - keepMs;
      const below = copy.segments.olderThan(kind, before);
      if (below <= copy.data.trimmed[kind]) continue;
      const detail = `trimmed ${kind} segments ${copy.data.trimmed[kind]} to ${below - 1}: nothing in them is newer than ${new Date(before).toISOString()}`;
      yield* this.putter.put(
        copy.shard,
        `trim-${copy.shard}-${kind}-${below}`,
        [{ op: "trim", kind, below, detail }],
        { manifest: manifest!.version, note: `retention ${setting} ${keepMs}` },
        2000,
      );
    }
  }
  private *repairLoop(): Task<void> {
    let turn = 0;
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.repairPeriodMs);
      turn += 1;
      for (const copy of this.copies.values()) {
        yield* copy.scrub(turn);
        if (!copy.holdsGrant()) continue;
        yield* copy.repair();
        yield* this.trim(copy);
      }
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
    on("shard.fill", (copy, body) => copy.onFill(body));
    on("shard.openState", (copy, body) => copy.onOpenState(body));
    on("shard.segments", function* (copy) {
      return copy.onSegments();
    });
    on("shard.segmentPart", (copy, body) => copy.segments.part(body.kind, body.number, body.part, body.from));
    on("shard.mendSegments", (copy, body) => copy.onMendSegments(body));
    on("shard.goesOn", function* (copy, body) {
      return Fault.ok({ goesOn: copy.goesOn(body) });
    });
    on("shard.digest", (copy, body) => copy.onDigest(body));
    on("shard.mend", (copy, body) => copy.onMend(body));
    const store = this;
    rpc.handle("store.status", function* () {
      return Fault.ok({
        shards: [...store.copies.values()].filter((copy) => copy.exists).map((copy) => copy.status()),
        stopping: store.node.stopping,
        vouches: store.node.vouches(),
      });
    });
    on("shard.put", (copy, body) => this.put(copy, body));
    on("work.open", (copy, body) => {
      this.relays.add(this.env.wall() - body.stamp.time);
      return this.work.open(copy, body);
    });
    on("work.read", (copy, body) => this.work.read(copy, body));
    on("work.refuse", (copy, body) => this.work.refuse(copy, body));
    on("lot.handIn", (copy, body) => {
      this.relays.add(this.env.wall() - body.stamp.time);
      return this.lots.handIn(copy, body);
    });
    on("lot.refuse", (copy, body) => this.lots.refuse(copy, body));
    on("lot.list", (copy, body) => this.lots.list(copy, body));
    on("lot.itemBody", (copy, body) => this.lots.itemBody(copy, body));
    on("quota.reserve", (copy, body) => this.quota.reserve(copy, body));
    rpc.handle("quota.tallies", function* (body) {
      return Fault.ok({ tallies: store.quota.tallies(body) });
    });
    on("lot.accept", (copy, body) => this.work.acceptLot(copy, body));
    on("lot.status", (copy, body) => this.work.lotStatus(copy, body));
    on("lot.results", (copy, body) => this.lotResults(copy, body));
    on("lot.end", (copy, body) => this.lots.end(copy, body));
    on("ledger.read", (copy, body) => this.ledgerRead(copy, body));
    on("ledger.about", (copy, body) => this.ledgerAbout(copy, body));
    on("temporal.get", (copy, body) => this.temporalGet(copy, body));
    rpc.handle("work.running", function* (body) {
      return Fault.ok({ running: (body.ids as string[]).filter((id) => store.work.isRunning(id)) });
    });
    rpc.handle("store.shards", function* () {
      return Fault.ok({
        shards: [...store.copies.values()].filter((copy) => copy.exists).map((copy) => copy.status()),
        lots: [...store.copies.values()]
          .filter((copy) => copy.role === "lead")
          .flatMap((copy) =>
            [...copy.data.lots.values()].map((lot) => ({
              id: lot.id,
              shard: copy.shard,
              items: lot.items.length,
              open: lot.open,
              ended: lot.ended,
              results: lot.positions.length,
            })),
          ),
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
    if (!Stamp.admits(stamp.time, this.env.wall(), this.node.bounds()))
      return Fault.fail("late", "admit", this.node.self.id, `stamp ${Stamp.text(stamp)} outside the bounds`);
    return undefined;
  }

  // ---------- temporal reads: any member of the view, behind the frontier ----------
  private current(copy: ShardCopy): Result<never> | undefined {
    const view = this.node.news.frame?.views[copy.shard] ?? copy.view;
    return copy.exists && view?.members.includes(this.node.self.id)
      ? undefined
      : Fault.fail("notLead", "read", this.node.self.id, "no member of the view");
  }
  private *lotResults(
    copy: ShardCopy,
    body: { id: string; after: number; limit: number; waitMs: number },
  ): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const until = this.env.mono() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      const frontier = copy.frontier();
      const held = yield* copy.lot(body.id);
      if (!held.ok) return held;
      const lot = held.value;
      if (lot) {
        const positions = lot.positions.slice(body.after, body.after + body.limit);
        const finished = lot.open === 0 && lot.positions.length === lot.items.filter((item) => item.stamp).length;
        if (positions.length > 0 || finished || this.env.mono() >= until)
          return Fault.ok({
            results: positions.map((item, at) => ({
              position: body.after + at + 1,
              item,
              ...(lot.requests ? { id: lot.requests[item].id } : {}),
              state: lot.items[item].state,
              result: lot.items[item].result,
              stamp: Stamp.text(lot.items[item].stamp!),
            })),
            finished: finished && body.after + positions.length === lot.positions.length,
            ended: lot.ended,
            frontier,
          });
      } else if (copy.holdsGrant())
        return Fault.fail("notFound", "lot results", this.node.self.id, `no lot ${body.id}`);
      else if (this.env.mono() >= until) return Fault.fail("notLead", "lot results", this.node.self.id, "not here yet");
      yield* copy.changedWithin(until - this.env.mono());
    }
  }
  private *ledgerRead(copy: ShardCopy, body: { after: string; limit: number }): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const frontier = copy.frontier();
    const after = Stamp.parse(body.after) ?? { time: -1, node: "", seq: 0 };
    const sealed = yield* copy.ofSealed(() => copy.segments.ledgerAfter(after, body.limit));
    if (!sealed.ok) return sealed;
    // by its place, not by its stamp: a put's entries may lie on both sides
    const all = sealed.value.all
      ? [...sealed.value.entries, ...copy.data.ledger.slice(ShardState.after(copy.data, after))]
      : sealed.value.entries;
    // a put's entries stay together
    let cut = Math.min(body.limit, all.length);
    while (cut > 0 && cut < all.length && Stamp.compare(all[cut].stamp, all[cut - 1].stamp) === 0) cut += 1;
    return Fault.ok({
      frontier,
      entries: all.slice(0, cut),
      oldest: copy.segments.oldest() ?? copy.data.ledger[0]?.stamp ?? null,
    });
  }
  private *ledgerAbout(copy: ShardCopy, body: { subjects: string[]; change: string }): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const about = (entry: LedgerEntry): boolean =>
      body.subjects.some((subject) => entry.subject === subject || entry.subject.startsWith(`${subject}/`)) ||
      (body.change !== "" && !!entry.cause.note?.startsWith(`change ${body.change} `));
    const sealed = yield* copy.ofSealed(() =>
      copy.segments.ledgerAbout([...body.subjects, `change ${body.change}`], 0, about, Constants.aboutEntriesMax),
    );
    if (!sealed.ok) return sealed;
    const stable = copy.data.ledger.filter(about);
    // logical mode at the lead: what was logged but not yet indexed is shown too, marked as such
    const fresh = copy.holdsGrant() ? copy.data.waiting.flatMap((waiting) => waiting.ledger).filter(about) : [];
    return Fault.ok({ entries: [...sealed.value, ...stable, ...fresh], frontier: copy.frontier() });
  }
  /** The nearest version not prior to τ; past the frontier it waits, then says busy. */
  private *temporalGet(
    copy: ShardCopy,
    body: { subject: string; time: number; waitMs: number },
  ): Task<Result<unknown>> {
    const outside = this.current(copy);
    if (outside) return outside;
    const until = this.env.mono() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      const frontier = copy.frontier();
      const fits = (entry: LedgerEntry): boolean => entry.subject === body.subject && entry.stamp.time >= body.time;
      const sealed = yield* copy.ofSealed(() => copy.segments.ledgerAbout([body.subject], body.time, fits, 1));
      if (!sealed.ok) return sealed;
      const found = sealed.value[0] ?? ShardState.nearest(copy.data, body.subject, body.time);
      if (found) return Fault.ok({ version: found, frontier });
      if (this.env.mono() >= until) {
        const lacking = Math.max(Constants.retryAfterMs, body.time - frontier);
        return Fault.busy(
          "temporal get",
          this.node.self.id,
          `no stable version not prior to ${body.time} yet`,
          Math.round(lacking),
        );
      }
      yield* copy.changedWithin(until - this.env.mono());
    }
  }

  /** @example store.metrics().leads */
  metrics(): Record<string, number> {
    const copies = [...this.copies.values()].filter((copy) => copy.exists);
    const sum = (pick: (copy: ShardCopy) => number): number => copies.reduce((total, copy) => total + pick(copy), 0);
    return {
      copies: copies.length,
      leads: copies.filter((copy) => copy.role === "lead").length,
      puts: sum((copy) => copy.counts.puts),
      put_batches: sum((copy) => copy.counts.batches),
      late_puts: sum((copy) => copy.counts.late),
      overrun_puts: sum((copy) => copy.counts.overruns),
      mended_objects: sum((copy) => copy.counts.mended),
      ...this.puts.metrics("put_ms"),
      ...this.relays.metrics("relay_ms"),
      skew_ms: +(this.node.membership.skew()?.offset ?? 0).toFixed(2),
      disk_syncs: sum((copy) => copy.syncs()),
      restamped_puts: this.putter.restamped,
      affinity_hits: this.chooser.hits,
      affinity_misses: this.chooser.misses,
      ...this.work.metrics(),
      ...this.itemRuns.metrics(),
      ...this.quota.metrics(),
    };
  }
  /** SIGTERM: leads are handed on, work in flight ends or is taken over, goodbye. @example yield* store.stop(); */
  stop(): Task<void> {
    const store = this;
    return this.node.depart(function* () {
      const until = store.env.mono() + Constants.stopGraceMs;
      while (
        store.env.mono() < until &&
        (store.work.inFlight() > 0 ||
          [...store.copies.values()].some((copy) => copy.role === "lead" && copy.view!.members.length > 1))
      )
        yield* EnvTools.sleep(store.env, 50);
    });
  }
}
