import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools, HttpResponse } from "../runtime/env";
import { DirectHttp, DirectResponse } from "../forwarding/directHttp";
import { EventStreamReader } from "../forwarding/eventStreamReader";
import { HeaderNames } from "../forwarding/headerNames";
import { EndpointEligibility } from "../routing/endpointEligibility";
import { EndpointSelector } from "../routing/endpointSelector";
import { PoolCriteria } from "../routing/selectionCriteria";
import { ClusterSnapshot, Endpoint } from "../node/clusterSnapshot";
import { Node } from "../node/node";
import { Route } from "../controlState/configuration";
import { ShardReplica } from "../shard/shardReplica";
import { ItemOutcome, BatchJob, ShardOperation } from "../shard/shardState";
import { ShardClient } from "./shardClient";

/** What is known of an item between its rounds; a new lead begins it anew. */
type Progress = { after: number; data: string[]; failures: number; notBefore: number; avoid: string };
type OpenLot = {
  id: string;
  copy: ShardReplica;
  epoch: number;
  ready: number[]; // items to be started, in order
  later: number[]; // items to be tried again, each not before its time
  progress: Map<number, Progress>;
  running: Map<number, HttpResponse | undefined>; // from the choice of a replica until the result is put
  lostAt: number; // since when we don't lead its shard; Infinity while we do
};
/** One look at all that waits: the frame it goes by, our part of the room, and what it found of pools. */
type Turn = { frame: ClusterSnapshot; part: number; replicas: Map<string, Endpoint[]>; full: Set<string> };
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
export class ItemExecution {
  private open = new Map<string, OpenLot>();
  private wake: Chan<true> = Csp.sliding(1);
  private inFlight = new Map<string, number>(); // by pool
  private atEndpoint = new Map<string, number>();
  private results = new Map<number, { lot: OpenLot; outcome: ItemOutcome }[]>(); // by shard, not yet put
  private flushing = new Set<number>();
  private batch = 0;
  private told = { items: 0, at: -Infinity };
  readonly counts = { started: 0, done: 0, abandoned: 0, again: 0, failed: 0, resumed: 0, broken_off: 0 };

  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly shardClient: ShardClient,
    private readonly endpointSelector: EndpointSelector,
    private readonly replicas: Map<number, ShardReplica>,
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
  opened(replica: ShardReplica, id: string): void {
    const job = replica.data.jobs.get(id);
    const epoch = replica.view?.epoch ?? 0;
    const known = this.open.get(id);
    if (!job?.requests || job.open === 0 || job.ended || known?.epoch === epoch) return;
    const open: OpenLot = known ?? {
      id,
      copy: replica,
      epoch,
      ready: [],
      later: [],
      progress: new Map(),
      running: new Map(),
      lostAt: Infinity,
    };
    // what we began before a change of view goes on
    const begun = (item: number): boolean => open.running.has(item) || open.later.includes(item);
    open.ready = job.items.flatMap((item, at) => (item.state === "waiting" && !begun(at) ? [at] : []));
    this.open.set(id, Object.assign(open, { epoch, lostAt: Infinity }));
    Csp.offer(this.wake, true);
  }
  /** @example runs.leadStarted(copy); */
  leaderStarted(replica: ShardReplica): void {
    for (const job of replica.data.jobs.values()) this.opened(replica, job.id);
  }
  /** Nothing starts from now on; what runs goes on for a while, since most changes of view leave the lead. @example runs.leadStopped(copy); */
  leaderStopped(replica: ShardReplica): void {
    for (const open of this.open.values())
      if (open.copy === replica) open.lostAt = Math.min(open.lostAt, this.env.mono());
  }
  /** A lot was ended: what runs of it is broken off. @example runs.ended("lot-17"); */
  ended(id: string): void {
    const open = this.open.get(id);
    if (open) this.breakOff(open);
  }
  private breakOff(open: OpenLot): void {
    this.open.delete(open.id);
    for (const response of open.running.values()) {
      if (!response) continue;
      this.counts.broken_off += 1;
      response.abort();
    }
    Csp.offer(this.wake, true);
  }
  /** Whether what runs of a lot may go on: it is not ended, and no other store is known to lead it. */
  private goesOn(open: OpenLot): boolean {
    const job = open.copy.data.jobs.get(open.id);
    const led = open.copy.view?.lead === this.node.self.id && this.env.mono() - open.lostAt < Constants.jobRegainMs;
    return !!job && job.open > 0 && !job.ended && led && this.open.get(open.id) === open;
  }
  /** The lot, as long as it is ours to run. */
  private ours(open: OpenLot): BatchJob | undefined {
    const job = open.copy.data.jobs.get(open.id);
    const runs =
      job &&
      !job.ended &&
      open.copy.view?.epoch === open.epoch &&
      open.copy.holdsLease() &&
      this.open.get(open.id) === open;
    return runs ? job : undefined;
  }

  // ---------- room ----------
  private *dispatchLoop(): Task<void> {
    for (let lookedAt = this.env.mono(); ;) {
      const waits = [...this.open.values()].some((open) => open.ready.length + open.later.length > 0);
      yield* EnvTools.takeWithin(this.env, this.wake, waits ? Constants.jobTickMs : 1000);
      if (this.env.mono() - lookedAt > Constants.orphanPeriodMs) {
        lookedAt = this.env.mono();
        // a lot whose put outran its handler's patience was accepted all the same
        for (const replica of this.replicas.values()) if (replica.holdsLease()) this.leaderStarted(replica);
      }
      if (this.open.size === 0 || this.node.stopping || !this.node.mayHoldLeases()) continue;
      this.dispatch(this.node.snapshot());
    }
  }
  private dispatch(snapshot: ClusterSnapshot): void {
    const now = this.env.mono();
    const jobs: { open: OpenLot; lot: BatchJob; dueInMs: number }[] = [];
    for (const open of [...this.open.values()]) {
      const job = this.ours(open);
      if (!this.goesOn(open)) this.breakOff(open);
      else if (job) jobs.push({ open, lot: job, dueInMs: this.dueInMs(job) });
    }
    // the one due soonest first; what is late already has lost most of its worth and comes last
    const late = ({ dueInMs }: { dueInMs: number }): number => (dueInMs > 0 ? 0 : 1);
    jobs.sort(
      (left, right) => left.lot.order - right.lot.order || late(left) - late(right) || left.dueInMs - right.dueInMs,
    );
    this.tellDemand();
    const turn: Turn = { frame: snapshot, part: this.part(snapshot), replicas: new Map(), full: new Set() };
    for (const { open, lot: job, dueInMs } of jobs) {
      const route = this.routeOf(snapshot, job);
      if (!route || this.env.wall() > this.giveUpAt(job, route)) {
        this.giveUp(
          open,
          route ? "not done in the time that its binding gives" : "its binding was taken out of the manifest",
        );
        continue;
      }
      if (open.later.length > 0) this.takeDue(open, now);
      this.startOf(open, job, route, turn, dueInMs);
    }
  }
  /** The binding as it is now; as it was kept while our manifest is older than the lot; undefined once it is gone. */
  private routeOf(snapshot: ClusterSnapshot, job: BatchJob): Route | undefined {
    const configuration = snapshot.control?.manifest;
    return (
      configuration?.doc.bindings[job.binding] ??
      (!configuration || !snapshot.isCurrent || configuration.version < (job.since ?? 0) ? job.kept : undefined)
    );
  }
  private dueInMs = (job: BatchJob): number =>
    job.stamp.time + (job.kept.completionMs ?? Constants.requestDeadlineMs) - this.env.wall();
  private giveUpAt = (job: BatchJob, route: Route): number => {
    const after = Math.max(route.giveUpMs ?? Infinity, job.kept.giveUpMs ?? Infinity);
    return job.stamp.time + after + Constants.jobGiveUpMarginMs;
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
  private window(turn: Turn, endpoints: Endpoint[], pool: string, urgent: boolean): number {
    const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.capacity, 0);
    const share = Constants.jobShare * (turn.frame.overloadedPools[pool] && !urgent ? Constants.jobOverloadedShare : 1);
    return Math.max(Constants.jobWindowMin, Math.ceil(slots * share * turn.part));
  }
  /** Our part of what waits in all stores, by what those tell whose lots wait for room; at least our part of the leads. */
  private part(snapshot: ClusterSnapshot): number {
    const views = Object.values(snapshot.control?.views ?? {});
    const led = views.filter((view) => view.lead === this.node.self.id).length / Math.max(1, views.length);
    const ours = `lots/${this.node.self.id}`;
    let others = 0;
    for (const { key, value } of this.node.gossip.live("lots/"))
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
      Math.abs(items - this.told.items) > this.told.items / 4 || now - this.told.at > Constants.jobDemandLeaseMs / 2;
    if (items < Constants.jobDemandItems || !changed || now - this.told.at < Constants.jobDemandMs) return;
    this.told = { items, at: now };
    this.node.gossip.publish(`lots/${this.node.self.id}`, { items }, Constants.jobDemandLeaseMs, true);
  }
  private poolOf(route: Route): string {
    if (!route.split || route.split.length === 0) return route.pool;
    let left = this.env.random() * route.split.reduce((sum, { weight }) => sum + weight, 0);
    return route.split.find(({ weight }) => (left -= weight) < 0)?.pool ?? route.pool;
  }
  private endpointsOf(turn: Turn, criteria: PoolCriteria): Endpoint[] {
    const known = turn.replicas.get(`${criteria.pool} ${criteria.route}`) ?? EndpointEligibility.inPool(criteria);
    turn.replicas.set(`${criteria.pool} ${criteria.route}`, known);
    return known;
  }
  private startOf(open: OpenLot, job: BatchJob, route: Route, turn: Turn, dueInMs: number): void {
    const { full } = turn;
    const criteria = { snapshot: turn.frame, route: job.binding, caller: "", kind: "item" };
    for (let tries = open.ready.length; tries > 0; tries -= 1) {
      const pool = this.poolOf(route);
      if (full.has(pool)) return;
      const endpoints = this.endpointsOf(turn, { ...criteria, pool });
      const window = this.window(turn, endpoints, pool, dueInMs < Constants.jobUrgentMs);
      if ((this.inFlight.get(pool) ?? 0) >= window) {
        full.add(pool);
        return;
      }
      const item = open.ready.shift()!;
      if (job.items[item].state !== "waiting") continue; // another lead has put its result meanwhile
      const most = Math.ceil((window / Math.max(1, endpoints.length)) * Constants.boundedLoad) + 1;
      const exclude = new Set(
        endpoints.filter(({ key }) => (this.atEndpoint.get(key) ?? 0) >= most).map(({ key }) => key),
      );
      const avoid = open.progress.get(item)?.avoid;
      if (avoid && endpoints.some(({ key }) => key !== avoid && !exclude.has(key))) exclude.add(avoid);
      const [part, tokens] = (job.requests![item].headers[this.names.promptParts] ?? "").split(",")[0].split(":");
      const prefix = Number(tokens) >= Constants.jobAffinityTokens ? part.trim() : "";
      const choose = (but: Set<string>): Endpoint | undefined =>
        this.endpointSelector.choose({ ...criteria, pool, prefix, workClass: "batch", exclude: but });
      const chosen = choose(this.farOnes(endpoints, exclude)) ?? choose(exclude);
      if (!chosen) {
        open.ready.unshift(item);
        full.add(pool);
        return;
      }
      this.begin(open, job, item, route, pool, chosen);
    }
  }
  /** What is excluded, and all of other districts while ours has room: whole requests and their results are much on a link. */
  private farOnes(endpoints: Endpoint[], exclude: Set<string>): Set<string> {
    const { district: zone } = this.node.self;
    const near = endpoints.filter((endpoint) => endpoint.district === zone && !exclude.has(endpoint.key));
    const held = near.reduce((sum, { key }) => sum + (this.atEndpoint.get(key) ?? 0), 0);
    const room = near.reduce((sum, { capacity }) => sum + capacity, 0) * Constants.jobNearShare;
    if (held >= room) return exclude;
    return new Set([...exclude, ...endpoints.filter((endpoint) => endpoint.district !== zone).map(({ key }) => key)]);
  }
  private count(counts: Map<string, number>, key: string, by: number): void {
    const count = (counts.get(key) ?? 0) + by;
    if (count > 0) counts.set(key, count);
    else counts.delete(key);
  }
  private begin(open: OpenLot, job: BatchJob, item: number, route: Route, pool: string, endpoint: Endpoint): void {
    this.endpointSelector.requestStarted(endpoint);
    this.count(this.inFlight, pool, 1);
    this.count(this.atEndpoint, endpoint.key, 1);
    open.running.set(item, undefined);
    this.counts.started += 1;
    const runs = this;
    Csp.go(this.env.scope, `item ${open.id}/${item}`, function* () {
      let attempt: Round = { tag: "again", why: "its task failed" };
      try {
        attempt = yield* runs.attempt(open, job, item, endpoint);
      } finally {
        runs.count(runs.inFlight, pool, -1);
        runs.count(runs.atEndpoint, endpoint.key, -1);
        runs.after(open, item, route, endpoint, attempt);
        Csp.offer(runs.wake, true);
      }
    });
  }

  // ---------- one round of an item ----------
  private *attempt(open: OpenLot, job: BatchJob, item: number, endpoint: Endpoint): Task<Round> {
    const request = job.requests![item];
    const progress = open.progress.get(item);
    const after = progress?.after ?? 0;
    const headers = { ...request.headers, ...(job.kept.host ? { host: job.kept.host } : {}) };
    const remainingMs = Math.max(1000, this.giveUpAt(job, job.kept) - this.env.wall());
    this.env.point(57);
    const opened = yield* DirectHttp.open(
      this.env,
      this.names,
      endpoint,
      {
        method: "POST",
        target: request.target,
        headers,
        body: Buffer.from(job.bodies[item], "base64"),
        id: request.id,
        remainingMs: Math.min(remainingMs, 600_000),
        lastEventId: after,
        priority: 9,
      },
      Constants.jobHeadMs,
    );
    if (!opened.ok) {
      this.endpointSelector.requestEnded(endpoint, opened.fault.tag === "refused" && opened.fault.step === "deliver");
      return this.goesOn(open) ? { tag: "again", why: opened.fault.detail } : { tag: "over" };
    }
    if (!this.goesOn(open)) {
      opened.value.response.abort();
      this.endpointSelector.requestEnded(endpoint, true);
      return { tag: "over" };
    }
    if (after > 0) this.counts.resumed += 1;
    open.running.set(item, opened.value.response);
    const attempt = yield* this.read(open, item, endpoint, opened.value);
    this.env.point(58);
    this.endpointSelector.requestEnded(endpoint, attempt.tag !== "again" || !this.goesOn(open));
    return this.goesOn(open) || attempt.tag === "done" ? attempt : { tag: "over" };
  }
  private *read(open: OpenLot, item: number, endpoint: Endpoint, opened: DirectResponse): Task<Round> {
    const { status, headers, response: response } = opened;
    if (status < 200 || status >= 300) {
      response.finish();
      const why = `replica ${endpoint.id} replied ${status}`;
      return status === 422 ? { tag: "never", why } : status === 500 ? { tag: "failed", why } : { tag: "again", why };
    }
    if (this.names.endpointSignature !== "" && headers[this.names.endpointSignature] === undefined) {
      response.abort();
      return { tag: "again", why: "a success without the replica's mark" };
    }
    const progress = this.progressOf(open, item);
    if (!(headers["content-type"] ?? "").includes("event-stream")) {
      const body = yield* DirectHttp.readBody(this.env, opened, Constants.pieceGapMs);
      if (body === undefined || progress.after > 0)
        return { tag: "again", why: "reply cut, or no events to go on with" };
      return { tag: "done", result: body.toString("utf8") };
    }
    const pieces = new EventStreamReader(this.env, endpoint.id, response, progress.after);
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
  private after(open: OpenLot, item: number, route: Route, endpoint: Endpoint, attempt: Round): void {
    const progress = this.progressOf(open, item);
    const again = (ms: number): void => {
      Object.assign(progress, {
        notBefore: this.env.mono() + ms * (0.7 + 0.6 * this.env.random()),
        avoid: endpoint.key,
      });
      open.running.delete(item);
      open.later.push(item);
    };
    switch (attempt.tag) {
      case "done":
        return this.finish(open, { item, state: "done", result: attempt.result }, "");
      case "never":
        return this.finish(open, { item, state: "abandoned", result: "" }, attempt.why);
      case "failed":
        this.counts.failed += 1;
        progress.failures += 1;
        if (progress.failures >= (route.rounds ?? Constants.lookupAttempts))
          return this.finish(open, { item, state: "abandoned", result: "" }, attempt.why);
        return again(Constants.jobFailedMs);
      case "again":
        this.counts.again += 1;
        return again(Constants.jobAgainMs);
      case "over":
        open.running.delete(item);
        return;
      default: {
        const never: never = attempt;
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
      yield* EnvTools.sleep(this.env, Constants.jobResultsMs);
      const batch = this.results.get(shard) ?? [];
      this.results.delete(shard);
      if (batch.length === 0) return;
      const byJob = new Map<string, ItemOutcome[]>();
      for (const { lot: job, outcome } of batch) byJob.set(job.id, [...(byJob.get(job.id) ?? []), outcome]);
      const ops = [...byJob].map(([job, results]): ShardOperation => ({ op: "itemResults", lot: job, results }));
      const put = yield* this.put(shard, ops);
      for (const { lot: job, outcome } of batch) {
        job.running.delete(outcome.item);
        job.progress.delete(outcome.item);
        // whoever leads now has them, or runs them anew; if we still do, they are put again
        if (!put && this.goesOn(job)) this.finish(job, outcome, "put again");
      }
    }
  }
  private *put(shard: number, ops: ShardOperation[]): Task<boolean> {
    const putId = `results-${this.node.self.id}-${(this.batch += 1)}-${Math.floor(this.env.wall())}`;
    const replica = this.replicas.get(shard);
    for (let attempt = 0; attempt < Constants.lateAttempts && replica?.holdsLease(); attempt += 1) {
      const put = yield* replica.put({ putId, stamp: this.shardClient.stamp(this.env.wall()), ops, cause: {} }, 2500);
      if (put.ok) return true;
      if (put.fault.tag !== "late") break;
      yield* EnvTools.sleep(this.env, 10);
    }
    return (yield* this.shardClient.put(shard, putId, ops, {}, 12_000)).ok;
  }
}
