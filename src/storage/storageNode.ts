import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { EndpointSelector } from "../routing/endpointSelector";
import { Fault, Result } from "../common/fault";
import { Node } from "../node/node";
import { Settings } from "../common/settings";
import { LatencySummary } from "../common/latencySummary";
import { Stamp } from "../common/stamp";
import { HeaderNames, ownHeaderNames } from "../forwarding/headerNames";
import { OperatorHttp } from "../adapters/operatorHttp";
import { ShardReplica } from "../shard/shardReplica";
import { LedgerEntry, ShardState } from "../shard/shardState";
import { ItemExecution } from "./itemExecution";
import { BatchJobs } from "./batchJobs";
import { ShardClient } from "./shardClient";
import { Quota } from "./quota";
import { WorkExecutor } from "./workExecutor";

/* eslint-disable @typescript-eslint/no-explicit-any */
/**
 * A store: its copies of shards, their puts and reads, and the work that the shards it leads call for.
 *
 * @example
 * const started = yield* StoreNode.start(env, settings);
 */
export class StorageNode {
  readonly replicas = new Map<number, ShardReplica>();
  readonly shardClient: ShardClient;
  readonly endpointSelector: EndpointSelector;
  readonly work: WorkExecutor;
  readonly jobs: BatchJobs;
  private readonly itemRuns: ItemExecution;
  private readonly quota: Quota;
  private readonly trouble = Csp.sliding<true>(1);
  private readonly puts = new LatencySummary(); // in the lead's buffer until on every copy: Δ
  private readonly relays = new LatencySummary(); // from the stamp to the first store: ε with skew
  private constructor(
    readonly env: Env,
    readonly settings: Settings,
    readonly node: Node,
    readonly names: HeaderNames,
  ) {
    this.shardClient = new ShardClient(env, node.rpc, node.self.id, () => node.snapshot());
    this.endpointSelector = new EndpointSelector(env, node.self.id);
    this.work = new WorkExecutor(env, node, this.shardClient, this.endpointSelector, this.replicas);
    this.quota = new Quota(env, node, this.shardClient, this.replicas);
    this.itemRuns = new ItemExecution(env, node, this.shardClient, this.endpointSelector, this.replicas, names);
    this.jobs = new BatchJobs(env, node, this.quota, this.itemRuns);
  }

  /** @example yield* StoreNode.start(env, settings) */
  static *start(env: Env, settings: Settings, names: HeaderNames = ownHeaderNames): Task<Result<StorageNode>> {
    const started = yield* Node.start(env, settings, "store");
    if (!started.ok) return started;
    const store = new StorageNode(env, settings, started.value, names);
    const folders = yield* env.disk.list(settings.data!);
    if (!folders.ok) return folders;
    for (const name of folders.value.filter((each) => /^shard-\d+$/.test(each))) {
      const replica = store.replica(+name.slice(6));
      const opened = yield* replica.open();
      if (!opened.ok) {
        env.log(1006, { reason: opened.fault.detail });
        return opened;
      }
    }
    store.handle();
    store.node.gossip.onChange(() => store.snapshotChanged());
    store.node.onFreeze(() => {
      for (const replica of store.replicas.values()) replica.stopLeader("frozen");
    });
    EnvTools.keep(env, env.scope, "disk watch", () => store.watchDisk());
    EnvTools.keep(env, env.scope, "calls for control", () => store.callLoop());
    EnvTools.keep(env, env.scope, "repair", () => store.repairLoop());
    store.work.start();
    store.itemRuns.start();
    const http = yield* OperatorHttp.serve(env, settings.http, store.node, {
      unreadyReason: () =>
        store.node.stopping ? "stopping" : !store.node.mayHoldLeases() ? "clock or frame not vouched for" : undefined,
      metrics: () => store.metrics(),
      ledgerSource: store.shardClient,
    });
    if (!http.ok) return http;
    return Fault.ok(store);
  }

  private replica(shard: number): ShardReplica {
    let replica = this.replicas.get(shard);
    if (!replica) {
      replica = new ShardReplica(
        this.env,
        this.node.rpc,
        this.node.self.id,
        shard,
        `${this.settings.data}/shard-${shard}`,
        {
          addressOf: (id) => this.node.addressOf(id),
          bounds: () => this.node.clockBounds(),
          isClockTrusted: () => this.node.mayHoldLeases(),
          putCompleted: (ms) => this.puts.add(ms),
          viewChangeNeeded: () => void Csp.offer(this.trouble, true),
          leadershipStarted: (started) => {
            this.work.leaderStarted(started);
            this.itemRuns.leaderStarted(started);
          },
          leadershipStopped: (stopped) => {
            this.work.leaderStopped(stopped);
            this.itemRuns.leaderStopped(stopped);
          },
        },
      );
      this.replicas.set(shard, replica);
    }
    return replica;
  }
  /** A view that named us lead and whose message was lost is found in the frame; we then wait a whole grant. */
  private snapshotChanged(): void {
    const snapshot = this.node.gossip.snapshot;
    if (!snapshot) return;
    for (const view of Object.values(snapshot.views)) {
      const replica = this.replicas.get(view.shard);
      if (!replica || replica.view === undefined || view.epoch <= replica.view.epoch) continue;
      Csp.go(this.env.scope, "view from frame", () => replica.onInstall({ view, waitMs: Constants.shardLeaseMs }));
    }
  }
  /** What calls for a change of view is told to control at once, as a hint to look; it decides by what it sees then. */
  private *callLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.takeWithin(this.env, this.trouble, Constants.leaseRenewMs);
      if (![...this.replicas.values()].some((replica) => replica.needsViewChange())) continue;
      for (const member of this.node.membership.alive("control")) {
        const { rpc } = this.node;
        Csp.go(this.env.scope, "call for control", () =>
          rpc.call(member.address, "views.call", {}, Constants.replicateTimeoutMs),
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
      for (const replica of this.replicas.values()) {
        replica.diskLow = low;
        if (second % Constants.diskRetrySeconds === 0)
          Csp.go(this.env.scope, "try disk again", () => replica.retryDisk());
      }
      yield* EnvTools.sleep(this.env, 1000);
    }
  }
  /** What is older than the operator lets it become is let go, by a decision in the ledger. */
  private *trim(replica: ShardReplica): Task<void> {
    const configuration = this.node.snapshot().control?.manifest;
    const kinds = [
      ["works", "requestsMs"],
      ["lots", "lotsMs"],
      ["ledger", "ledgerMs"],
    ] as const;
    for (const [kind, setting] of kinds) {
      const keepMs = configuration?.doc.retention?.[setting];
      if (keepMs === undefined) continue;
      const before = this.env.wall() - keepMs;
      const below = replica.segments.endOfOlderThan(kind, before);
      if (below <= replica.data.trimmedCounts[kind]) continue;
      const detail = `trimmed ${kind} segments ${replica.data.trimmedCounts[kind]} to ${below - 1}: nothing in them is newer than ${new Date(before).toISOString()}`;
      yield* this.shardClient.put(
        replica.shard,
        `trim-${replica.shard}-${kind}-${below}`,
        [{ op: "trim", kind, below, detail }],
        { manifest: configuration!.version, note: `retention ${setting} ${keepMs}` },
        2000,
      );
    }
  }
  private *repairLoop(): Task<void> {
    let turn = 0;
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.repairPeriodMs);
      turn += 1;
      for (const replica of this.replicas.values()) {
        yield* replica.scrub(turn);
        if (!replica.holdsLease()) continue;
        yield* replica.repair();
        yield* this.trim(replica);
      }
    }
  }

  private handle(): void {
    const { rpc } = this.node;
    const on = (verb: string, handler: (replica: ShardReplica, body: any) => Task<Result<unknown>>): void =>
      rpc.handle(verb, (body) => handler(this.replica(body.shard), body));
    on("shard.replicate", (replica, body) => replica.onReplicate(body));
    on("shard.seal", (replica, body) => replica.onSeal(body));
    on("shard.install", (replica, body) => replica.onInstall(body));
    on("shard.level", (replica, body) => replica.onLevel(body));
    on("shard.catchUp", (replica, body) => replica.onCatchUp(body));
    on("shard.fill", (replica, body) => replica.onFill(body));
    on("shard.openState", (replica, body) => replica.onOpenState(body));
    on("shard.segments", function* (replica) {
      return replica.onSegments();
    });
    on("shard.segmentPart", (replica, body) =>
      replica.segments.readChunk(body.kind, body.number, body.part, body.from),
    );
    on("shard.mendSegments", (replica, body) => replica.onRepairSegments(body));
    on("shard.goesOn", function* (replica, body) {
      return Fault.ok({ goesOn: replica.canBeExtendedFrom(body) });
    });
    on("shard.digest", (replica, body) => replica.onDigest(body));
    on("shard.mend", (replica, body) => replica.onRepair(body));
    const store = this;
    rpc.handle("store.status", function* () {
      return Fault.ok({
        shards: [...store.replicas.values()].filter((replica) => replica.exists).map((replica) => replica.status()),
        stopping: store.node.stopping,
        vouches: store.node.mayHoldLeases(),
      });
    });
    on("shard.put", (replica, body) => this.put(replica, body));
    on("work.open", (replica, body) => {
      this.relays.add(this.env.wall() - body.stamp.time);
      return this.work.open(replica, body);
    });
    on("work.read", (replica, body) => this.work.read(replica, body));
    on("work.refuse", (replica, body) => this.work.refuse(replica, body));
    on("lot.handIn", (replica, body) => {
      this.relays.add(this.env.wall() - body.stamp.time);
      return this.jobs.submit(replica, body);
    });
    on("lot.refuse", (replica, body) => this.jobs.refuse(replica, body));
    on("lot.list", (replica, body) => this.jobs.list(replica, body));
    on("lot.itemBody", (replica, body) => this.jobs.itemBody(replica, body));
    on("quota.reserve", (replica, body) => this.quota.reserve(replica, body));
    rpc.handle("quota.tallies", function* (body) {
      return Fault.ok({ tallies: store.quota.tallies(body) });
    });
    on("lot.accept", (replica, body) => this.work.acceptJob(replica, body));
    on("lot.status", (replica, body) => this.work.jobStatus(replica, body));
    on("lot.results", (replica, body) => this.jobResults(replica, body));
    on("lot.end", (replica, body) => this.jobs.end(replica, body));
    on("ledger.read", (replica, body) => this.ledgerRead(replica, body));
    on("ledger.about", (replica, body) => this.ledgerAbout(replica, body));
    on("temporal.get", (replica, body) => this.temporalGet(replica, body));
    rpc.handle("work.running", function* (body) {
      return Fault.ok({ running: (body.ids as string[]).filter((id) => store.work.isRunning(id)) });
    });
    rpc.handle("store.shards", function* () {
      return Fault.ok({
        shards: [...store.replicas.values()].filter((replica) => replica.exists).map((replica) => replica.status()),
        lots: [...store.replicas.values()]
          .filter((replica) => replica.role === "lead")
          .flatMap((replica) =>
            [...replica.data.jobs.values()].map((job) => ({
              id: job.id,
              shard: replica.shard,
              items: job.items.length,
              open: job.open,
              ended: job.ended,
              results: job.positions.length,
            })),
          ),
      });
    });
  }

  /** Rule 1 of the paper, on the first store a put reaches. */
  private *put(replica: ShardReplica, body: any): Task<Result<unknown>> {
    const admitted = this.admit(replica, body.put.stamp);
    if (admitted) return admitted;
    return yield* replica.put(body.put, 1100);
  }
  /** @example const refused = store.admit(copy, stamp); if (refused) return refused; */
  admit(replica: ShardReplica, stamp: Stamp): Result<never> | undefined {
    if (!replica.holdsLease()) return Fault.fail("notLead", "admit", this.node.self.id, replica.view?.lead ?? "");
    if (!this.node.mayHoldLeases()) return Fault.fail("notLead", "admit", this.node.self.id, "our clock is not vouched for");
    if (!Stamp.admits(stamp.time, this.env.wall(), this.node.clockBounds()))
      return Fault.fail("late", "admit", this.node.self.id, `stamp ${Stamp.text(stamp)} outside the bounds`);
    return undefined;
  }

  // ---------- temporal reads: any member of the view, behind the frontier ----------
  private current(replica: ShardReplica): Result<never> | undefined {
    const view = this.node.gossip.snapshot?.views[replica.shard] ?? replica.view;
    return replica.exists && view?.members.includes(this.node.self.id)
      ? undefined
      : Fault.fail("notLead", "read", this.node.self.id, "no member of the view");
  }
  private *jobResults(
    replica: ShardReplica,
    body: { id: string; after: number; limit: number; waitMs: number },
  ): Task<Result<unknown>> {
    const outside = this.current(replica);
    if (outside) return outside;
    const until = this.env.mono() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      const frontier = replica.frontier();
      const held = yield* replica.job(body.id);
      if (!held.ok) return held;
      const job = held.value;
      if (job) {
        const positions = job.positions.slice(body.after, body.after + body.limit);
        const finished = job.open === 0 && job.positions.length === job.items.filter((item) => item.stamp).length;
        if (positions.length > 0 || finished || this.env.mono() >= until)
          return Fault.ok({
            results: positions.map((item, at) => ({
              position: body.after + at + 1,
              item,
              ...(job.requests ? { id: job.requests[item].id } : {}),
              state: job.items[item].state,
              result: job.items[item].result,
              stamp: Stamp.text(job.items[item].stamp!),
            })),
            finished: finished && body.after + positions.length === job.positions.length,
            ended: job.ended,
            frontier,
          });
      } else if (replica.holdsLease())
        return Fault.fail("notFound", "lot results", this.node.self.id, `no lot ${body.id}`);
      else if (this.env.mono() >= until) return Fault.fail("notLead", "lot results", this.node.self.id, "not here yet");
      yield* replica.waitForChange(until - this.env.mono());
    }
  }
  private *ledgerRead(replica: ShardReplica, body: { after: string; limit: number }): Task<Result<unknown>> {
    const outside = this.current(replica);
    if (outside) return outside;
    const frontier = replica.frontier();
    const after = Stamp.parse(body.after) ?? { time: -1, node: "", seq: 0 };
    const sealed = yield* replica.readConsistently(() => replica.segments.ledgerAfter(after, body.limit));
    if (!sealed.ok) return sealed;
    // by its place, not by its stamp: a put's entries may lie on both sides
    const all = sealed.value.all
      ? [...sealed.value.entries, ...replica.data.ledger.slice(ShardState.firstLedgerIndexAfter(replica.data, after))]
      : sealed.value.entries;
    // a put's entries stay together
    let cut = Math.min(body.limit, all.length);
    while (cut > 0 && cut < all.length && Stamp.compare(all[cut].stamp, all[cut - 1].stamp) === 0) cut += 1;
    return Fault.ok({
      frontier,
      entries: all.slice(0, cut),
      oldest: replica.segments.oldestLedgerStamp() ?? replica.data.ledger[0]?.stamp ?? null,
    });
  }
  private *ledgerAbout(replica: ShardReplica, body: { subjects: string[]; change: string }): Task<Result<unknown>> {
    const outside = this.current(replica);
    if (outside) return outside;
    const about = (entry: LedgerEntry): boolean =>
      body.subjects.some((subject) => entry.subject === subject || entry.subject.startsWith(`${subject}/`)) ||
      (body.change !== "" && !!entry.cause.note?.startsWith(`change ${body.change} `));
    const sealed = yield* replica.readConsistently(() =>
      replica.segments.ledgerAbout([...body.subjects, `change ${body.change}`], 0, about, Constants.aboutEntriesMax),
    );
    if (!sealed.ok) return sealed;
    const stable = replica.data.ledger.filter(about);
    // logical mode at the lead: what was logged but not yet indexed is shown too, marked as such
    const fresh = replica.holdsLease()
      ? replica.data.unstablePuts.flatMap((waiting) => waiting.ledger).filter(about)
      : [];
    return Fault.ok({ entries: [...sealed.value, ...stable, ...fresh], frontier: replica.frontier() });
  }
  /** The nearest version not prior to τ; past the frontier it waits, then says busy. */
  private *temporalGet(
    replica: ShardReplica,
    body: { subject: string; time: number; waitMs: number },
  ): Task<Result<unknown>> {
    const outside = this.current(replica);
    if (outside) return outside;
    const until = this.env.mono() + Math.min(body.waitMs, Constants.readWaitMs);
    for (;;) {
      const frontier = replica.frontier();
      const fits = (entry: LedgerEntry): boolean => entry.subject === body.subject && entry.stamp.time >= body.time;
      const sealed = yield* replica.readConsistently(() =>
        replica.segments.ledgerAbout([body.subject], body.time, fits, 1),
      );
      if (!sealed.ok) return sealed;
      const found = sealed.value[0] ?? ShardState.nearest(replica.data, body.subject, body.time);
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
      yield* replica.waitForChange(until - this.env.mono());
    }
  }

  /** @example store.metrics().leads */
  metrics(): Record<string, number> {
    const replicas = [...this.replicas.values()].filter((replica) => replica.exists);
    const sum = (pick: (replica: ShardReplica) => number): number =>
      replicas.reduce((total, replica) => total + pick(replica), 0);
    return {
      copies: replicas.length,
      leads: replicas.filter((replica) => replica.role === "lead").length,
      puts: sum((replica) => replica.counts.puts),
      put_batches: sum((replica) => replica.counts.batches),
      late_puts: sum((replica) => replica.counts.late),
      overrun_puts: sum((replica) => replica.counts.overruns),
      mended_objects: sum((replica) => replica.counts.mended),
      ...this.puts.metrics("put_ms"),
      ...this.relays.metrics("relay_ms"),
      skew_ms: +(this.node.membership.clockSkew()?.offset ?? 0).toFixed(2),
      disk_syncs: sum((replica) => replica.syncedWrites()),
      restamped_puts: this.shardClient.restampedPuts,
      affinity_hits: this.endpointSelector.affinityHits,
      affinity_misses: this.endpointSelector.affinityMisses,
      ...this.work.metrics(),
      ...this.itemRuns.metrics(),
      ...this.quota.metrics(),
    };
  }
  /** SIGTERM: leads are handed on, work in flight ends or is taken over, goodbye. @example yield* store.stop(); */
  stop(): Task<void> {
    const store = this;
    return this.node.shutDown(function* () {
      const until = store.env.mono() + Constants.stopGraceMs;
      while (
        store.env.mono() < until &&
        (store.work.inFlight() > 0 ||
          [...store.replicas.values()].some((replica) => replica.role === "lead" && replica.view!.members.length > 1))
      )
        yield* EnvTools.sleep(store.env, 50);
    });
  }
}
