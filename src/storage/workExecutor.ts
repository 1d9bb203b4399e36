import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { ForwardedRequest, EndpointHttp, EndpointStream } from "../forwarding/endpointHttp";
import { EndpointEligibility } from "../routing/endpointEligibility";
import { EndpointSelector } from "../routing/endpointSelector";
import { SelectionCriteria, WorkClass } from "../routing/selectionCriteria";
import { Fault, Result } from "../common/fault";
import { Endpoint } from "../node/clusterSnapshot";
import { AdmissionQueue } from "../routing/admissionQueue";
import { Node } from "../node/node";
import { Stamp } from "../common/stamp";
import { Route } from "../controlState/configuration";
import { ShardReplica } from "../shard/shardReplica";
import {
  Cause,
  BatchJob,
  BatchJobSpec,
  ShardOperation,
  PutOutcome,
  ShardState,
  LiveRequest as Held,
} from "../shard/shardState";
import { ShardClient } from "./shardClient";

/* eslint-disable @typescript-eslint/no-explicit-any */
type OpenBody = {
  stamp: Stamp;
  work: Omit<Held, "state" | "round" | "replica" | "owner" | "pieces" | "outcome" | "stamp" | "version" | "closedAt">;
  caller: string;
  cause: Cause;
};

/**
 * What a store does for the shards it leads: streams, single requests that may not be repeated, items of lots.
 * A claim is put before anything is delivered; what was delivered and not answered is "unknown", never rerun
 * unless the binding says that it is safe.
 *
 * @example
 * const work = new Work(env, node, putter, chooser, copies);
 * work.start();
 */
export class WorkExecutor {
  private readonly room: AdmissionQueue;
  private takingUp = new Set<string>();
  private running = new Map<string, true>(); // request ids and lot/item
  private opening = new Map<string, Chan<true>>();
  private changed = new Map<string, Chan<true>[]>(); // readers of a request
  private openJobs = new Map<string, number>(); // lot id → shard, for the shards we lead
  private jobOpened: Chan<true> = Csp.sliding(1);
  private jobsInFlight = new Map<string, number>(); // by pool
  private liveInFlight = new Map<string, number>();
  private overloadedAt = new Map<string, number>();
  private window = new Map<string, number>();
  readonly counts = { streams: 0, singles: 0, items: 0, busies: 0, unknowns: 0, resumed: 0, released: 0, failed: 0 };

  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly shardClient: ShardClient,
    private readonly endpointSelector: EndpointSelector,
    private readonly replicas: Map<number, ShardReplica>,
  ) {
    this.room = new AdmissionQueue(env, endpointSelector, (pool) => this.overload(pool));
    node.gossip.onChange(() => this.room.endpointsChanged());
  }
  /** @example work.start(); */
  start(): void {
    EnvTools.keep(this.env, this.env.scope, "lot dispatch", () => this.dispatchLoop());
    EnvTools.keep(this.env, this.env.scope, "orphans", () => this.orphanLoop());
  }
  /** @example work.isRunning("req-1") */
  isRunning = (id: string): boolean => this.running.has(id);
  /** @example work.inFlight() */
  inFlight = (): number => this.running.size;
  /** @example work.metrics().streams */
  metrics(): Record<string, number> {
    return { ...this.counts, running: this.running.size, open_lots: this.openJobs.size };
  }

  // ---------- live work ----------
  private route = (name: string): Route | undefined => this.node.snapshot().control?.manifest.doc.bindings[name];
  /** A lot is kept though its binding was taken out of the manifest since. */
  private routeOf = (job: BatchJob): Route => this.route(job.binding) ?? job.kept;
  private criteria(
    route: Route,
    name: string,
    kind: string,
    caller: string,
    body: string,
    workClass: WorkClass,
    exclude: Set<string>,
  ): SelectionCriteria {
    return {
      snapshot: this.node.snapshot(),
      pool: route.pool,
      route: name,
      caller,
      kind,
      prefix: route.kind === "stream" ? body.slice(0, route.prefixBytes) : "",
      workClass,
      exclude,
    };
  }
  /** What is left of the time that a request may wait for room, all its rounds together: past it, it is refused at once. */
  private patience = (life: string): number => Constants.liveWaitMs - (this.env.wall() - Stamp.parse(life)!.time);
  private overload(pool: string): void {
    const now = this.env.mono();
    if (now - (this.overloadedAt.get(pool) ?? -Infinity) > 200)
      this.node.gossip.publish(`crowd/${this.node.self.id}/${pool}`, { pool }, Constants.jobOverloadHoldMs, true);
    this.overloadedAt.set(pool, now);
    this.window.set(pool, 0);
  }
  /** A request comes in from an ingress. The reply "busy" means that nothing was put. @example yield* work.open(copy, body) */
  *open(copy: ShardReplica, body: OpenBody): Task<Result<any>> {
    const id = body.work.id;
    for (let busy = this.opening.get(id); busy; busy = this.opening.get(id)) yield* Csp.take(busy);
    if (!copy.holdsLease() || this.node.stopping || !this.node.mayHoldLeases())
      return Fault.fail("notLead", "open", this.node.self.id, copy.view?.lead ?? "");
    const kept = copy.segments.find("works", id);
    if (kept)
      return Fault.ok({
        tag: "exists",
        same: copy.segments.hasSameBody(kept, body.work.bodyHash),
        state: kept.trimmed ? "trimmed" : kept.state,
      });
    const known = copy.data.liveRequests.get(id);
    const again =
      known?.state === "refused" && known.closedAt !== null && Stamp.compare(body.stamp, known.closedAt) > 0;
    if (known && !again)
      return Fault.ok({ tag: "exists", same: known.bodyHash === body.work.bodyHash, state: known.state });
    if (!Stamp.admits(body.stamp.time, this.env.wall(), this.node.clockBounds()))
      return Fault.fail("late", "open", this.node.self.id, `stamp ${Stamp.text(body.stamp)} outside the bounds`);
    const route = this.route(body.work.binding);
    if (!route) return Fault.fail("notFound", "open", this.node.self.id, `no binding ${body.work.binding}`);
    const done = Csp.chan<true>(1);
    this.opening.set(id, done);
    try {
      const exclude = new Set<string>();
      const make = (): SelectionCriteria =>
        this.criteria(route, body.work.binding, route.kind, body.caller, body.work.body, "live", exclude);
      const endpoint = yield* this.room.acquire(
        make,
        body.work.order,
        body.stamp.time,
        Math.min(this.patience(body.work.life), body.work.deadlineAt - this.env.wall()),
      );
      if (!endpoint) {
        this.counts.busies += 1;
        return Fault.busy(
          "open",
          this.node.self.id,
          `no room in pool ${route.pool}`,
          this.room.retryAfterMs(route.pool),
        );
      }
      const claimedAt = this.env.mono();
      const ops: ShardOperation[] = [
        { op: "open", work: body.work },
        { op: "claim", id, round: 1, replica: endpoint.key, owner: this.node.self.id },
      ];
      // the caller's arrival stamp, unless it has waited behind the frontier meanwhile
      let stamp = body.stamp;
      let put: Result<PutOutcome>;
      this.running.set(id, true);
      for (let attempt = 0; ; attempt += 1) {
        put = yield* copy.put(
          { putId: `open-${id}-${body.work.life}`, stamp, ops, cause: { ...body.cause, view: copy.view?.epoch } },
          1100,
        );
        if (put.ok || put.fault.tag !== "late" || attempt >= Constants.lateAttempts) break;
        stamp = this.shardClient.stamp(this.env.wall());
        yield* EnvTools.sleep(this.env, 10);
      }
      // its fate is not known (the view is just changing): nothing was delivered, so it is found out and gone on with
      if (!put.ok && put.fault.tag === "unknown")
        put = yield* this.put(
          copy.shard,
          `open-${id}-${body.work.life}`,
          ops,
          body.cause,
          Math.max(1000, body.work.deadlineAt - this.env.wall()),
        );
      this.env.point(51);
      if (!put.ok || put.value.tag !== "done") {
        this.running.delete(id);
        this.room.release(endpoint, true);
        if (!put.ok) return put;
        return Fault.ok(put.value.tag === "exists" ? put.value : { tag: "exists", same: false, state: "refused" });
      }
      Csp.go(this.env.scope, `run ${id}`, () =>
        this.run(id, copy.shard, { ...body.work }, route, body.caller, endpoint, 1, [], claimedAt),
      );
      return Fault.ok({ tag: "opened" });
    } finally {
      this.opening.delete(id);
      done.close();
    }
  }
  /** Makes sure that a request that was given up on can never run. @example yield* work.refuse(copy, { id, stamp }) */
  *refuse(replica: ShardReplica, body: { id: string; stamp: Stamp }): Task<Result<any>> {
    for (let busy = this.opening.get(body.id); busy; busy = this.opening.get(body.id)) yield* Csp.take(busy);
    const put = yield* replica.put(
      {
        putId: `refuse-${body.id}-${Stamp.text(body.stamp)}`,
        stamp: body.stamp,
        ops: [{ op: "close", id: body.id, round: 0, state: "refused", outcome: "given up before it ran" }],
        cause: {},
      },
      1000,
    );
    if (!put.ok) return put;
    return Fault.ok({
      refused: put.value.tag === "done" || (put.value.tag === "exists" && put.value.state === "refused"),
    });
  }
  private wakeReaders(id: string): void {
    for (const reader of this.changed.get(id) ?? []) Csp.offer(reader, true);
  }
  /** Logical mode: pieces as soon as they are on every copy. @example yield* work.read(copy, { id, after: 3, waitMs: 800 }) */
  *read(replica: ShardReplica, body: { id: string; after: number; waitMs: number }): Task<Result<any>> {
    const until = this.env.mono() + body.waitMs;
    const wake = Csp.sliding<true>(1);
    this.changed.set(body.id, [...(this.changed.get(body.id) ?? []), wake]);
    try {
      for (;;) {
        if (!replica.holdsLease()) return Fault.fail("notLead", "read", this.node.self.id, replica.view?.lead ?? "");
        const held = yield* replica.liveRequest(body.id);
        if (!held.ok) return held;
        const work = held.value;
        if (!work) return Fault.fail("notFound", "read", this.node.self.id, `no request ${body.id}`);
        const closed = ShardState.isClosed(work);
        if (work.pieces.length > body.after || closed || this.env.mono() >= until)
          return Fault.ok({
            pieces: work.pieces.slice(body.after).map((piece) => ({ n: piece.n, data: piece.data })),
            closed,
            state: work.state,
            outcome: closed ? work.outcome : "",
            bodyHash: work.bodyHash,
            binding: work.binding,
          });
        yield* EnvTools.takeWithin(this.env, wake, until - this.env.mono());
      }
    } finally {
      const left = (this.changed.get(body.id) ?? []).filter((reader) => reader !== wake);
      if (left.length > 0) this.changed.set(body.id, left);
      else this.changed.delete(body.id);
    }
  }

  private *put(
    shard: number,
    putId: string,
    ops: ShardOperation[],
    cause: Cause,
    withinMs: number,
  ): Task<Result<PutOutcome>> {
    const replica = this.replicas.get(shard);
    if (replica?.holdsLease()) {
      for (let attempt = 0; attempt < Constants.lateAttempts; attempt += 1) {
        const put = yield* replica.put(
          { putId, stamp: this.shardClient.stamp(this.env.wall()), ops, cause },
          Math.min(withinMs, 2500),
        );
        if (put.ok) {
          for (const op of ops) if ("id" in op) this.wakeReaders(op.id);
          return put;
        }
        if (put.fault.tag !== "late") break;
        yield* EnvTools.sleep(this.env, 10);
      }
    }
    // the lead has moved on: it may be another store by now
    return yield* this.shardClient.put(shard, putId, ops, cause, withinMs);
  }
  private stillEligible(endpoint: Endpoint, route: string, kind: string, caller: string, pool: string): boolean {
    return EndpointEligibility.inPool({ snapshot: this.node.snapshot(), pool, route, caller, kind }).some(
      (eligible) => eligible.key === endpoint.key,
    );
  }

  /** One request from its claim to its close, through as many rounds as are safe. */
  private *run(
    id: string,
    shard: number,
    work: OpenBody["work"],
    route: Route,
    caller: string,
    first: Endpoint | undefined,
    firstAttempt: number,
    had: string[],
    claimedAt: number,
  ): Task<void> {
    const pool = route.pool;
    const exclude = new Set<string>();
    const pieces = [...had];
    let endpoint = first;
    let attempt = firstAttempt;
    let claimAt = claimedAt;
    const live = (): number => work.deadlineAt - this.env.wall();
    const close = (
      state: "done" | "failed" | "unknown" | "refused",
      outcome: string,
      before: ShardOperation[] = [],
    ): Task<Result<PutOutcome>> =>
      this.put(
        shard,
        `close-${id}-${work.life}-${attempt}`,
        [...before, { op: "close", id, round: attempt, state, outcome }],
        { note: state },
        20_000,
      );
    this.liveInFlight.set(pool, (this.liveInFlight.get(pool) ?? 0) + 1);
    try {
      for (;;) {
        let before: ShardOperation[] = [];
        if (endpoint) {
          const outcome: Result<{ final: boolean; why: string; unsent: boolean }> = yield* this.deliver(
            id,
            shard,
            work,
            route,
            caller,
            endpoint,
            attempt,
            pieces,
            claimAt,
            live(),
          );
          this.env.point(54);
          if (outcome.ok && outcome.value.final) return;
          const unsent = outcome.ok ? outcome.value.unsent : false;
          const why = outcome.ok ? outcome.value.why : outcome.fault.detail;
          if (!outcome.ok && outcome.fault.tag === "conflict") return; // another store has taken the request over
          exclude.add(endpoint.key);
          if (!unsent) {
            const mayGoOn = work.safe && (pieces.length === 0 || work.exact);
            if (!work.safe) {
              this.counts.unknowns += 1;
              yield* close("unknown", JSON.stringify({ detail: `replica ${endpoint.id}: ${why}; it may have run` }));
              return;
            }
            if (!mayGoOn) {
              this.counts.failed += 1;
              yield* close(
                "failed",
                JSON.stringify({ detail: `replica ${endpoint.id} was lost after piece ${pieces.length}: ${why}` }),
              );
              return;
            }
            this.counts.resumed += 1;
          } else this.counts.released += 1;
          before = [{ op: "release", id, round: attempt, why }];
        }
        const make = (): SelectionCriteria =>
          this.criteria(route, work.binding, route.kind, caller, work.body, "live", exclude);
        const next: Endpoint | undefined =
          live() > 0
            ? yield* this.room.acquire(
                make,
                work.order,
                this.env.wall(),
                Math.min(live(), pieces.length > 0 ? Constants.resumeWaitMs : this.patience(work.life)),
              )
            : undefined;
        if (!next) {
          if (pieces.length > 0) {
            const released = before.length > 0 ? before : [];
            yield* this.put(
              shard,
              `close-${id}-${work.life}-${attempt}`,
              [
                ...released,
                { op: "claim", id, round: attempt + 1, replica: "", owner: this.node.self.id },
                {
                  op: "close",
                  id,
                  round: attempt + 1,
                  state: "failed",
                  outcome: JSON.stringify({ detail: "no replica to go on with" }),
                },
              ],
              { note: "failed" },
              20_000,
            );
          } else
            yield* close(
              "refused",
              JSON.stringify({ detail: "no replica would take it", retryAfterMs: this.room.retryAfterMs(pool) }),
              before,
            );
          return;
        }
        endpoint = next;
        claimAt = this.env.mono();
        attempt += 1;
        const claimed = yield* this.put(
          shard,
          `claim-${id}-${work.life}-${attempt}-${this.node.self.id}`,
          [...before, { op: "claim", id, round: attempt, replica: next.key, owner: this.node.self.id }],
          {},
          10_000,
        );
        if (!claimed.ok || claimed.value.tag !== "done") {
          this.room.release(next, true);
          return;
        }
      }
    } finally {
      this.running.delete(id);
      this.liveInFlight.set(pool, (this.liveInFlight.get(pool) ?? 1) - 1);
      this.wakeReaders(id);
    }
  }

  private *deliver(
    id: string,
    shard: number,
    work: OpenBody["work"],
    route: Route,
    caller: string,
    endpoint: Endpoint,
    attempt: number,
    pieces: string[],
    claimedAt: number,
    leftMs: number,
  ): Task<Result<{ final: boolean; why: string; unsent: boolean }>> {
    const end = (lively: boolean): void => this.room.release(endpoint, lively);
    const sorry = (why: string, unsent: boolean): Result<{ final: boolean; why: string; unsent: boolean }> =>
      Fault.ok({ final: false, why, unsent });
    // a claim that grew old (a freeze) is given back: by now the duty may be another's
    if (
      this.env.mono() - claimedAt > Constants.claimOldMs ||
      leftMs <= 0 ||
      !this.stillEligible(endpoint, work.binding, route.kind, caller, route.pool)
    ) {
      end(true);
      return sorry("claim was too old, or the replica has left", true);
    }
    const delivery: ForwardedRequest = {
      path: route.path,
      id,
      attempt: attempt,
      body: work.body,
      receivedChunks: pieces,
      deadlineMs: leftMs,
      idempotent: work.safe,
    };
    this.env.point(52);
    if (route.kind !== "stream") {
      this.counts.singles += 1;
      const response = yield* EndpointHttp.single(this.env, endpoint, delivery);
      end(response.ok || response.fault.step === "deliver");
      if (!response.ok) return sorry(response.fault.detail, response.fault.tag === "refused");
      this.env.point(53);
      const state = response.value.status < 400 ? "done" : "failed";
      const put = yield* this.put(
        shard,
        `close-${id}-${work.life}-${attempt}`,
        [
          ...(state === "done"
            ? [
                {
                  op: "pieces",
                  id,
                  round: attempt,
                  first: pieces.length + 1,
                  data: [response.value.body],
                } as ShardOperation,
              ]
            : []),
          {
            op: "close",
            id,
            round: attempt,
            state,
            outcome: JSON.stringify({
              status: response.value.status,
              ...(state === "failed" ? { detail: response.value.body.slice(0, 500) } : {}),
            }),
          },
        ],
        {},
        20_000,
      );
      if (!put.ok || put.value.tag !== "done")
        return Fault.fail("conflict", "close", this.node.self.id, "result not taken");
      return Fault.ok({ final: true, why: "", unsent: false });
    }
    this.counts.streams += 1;
    const opened = yield* EndpointHttp.stream(this.env, endpoint, delivery);
    if (!opened.ok) {
      end(opened.fault.tag === "refused" && opened.fault.step === "deliver");
      return sorry(opened.fault.detail, opened.fault.tag === "refused");
    }
    const stream: EndpointStream = opened.value;
    const deadline = this.env.mono() + leftMs;
    for (let firstPiece = true; ; firstPiece = false) {
      const got = yield* stream.next(
        Math.min(firstPiece ? Constants.firstPieceMs : Constants.pieceGapMs, deadline - this.env.mono()),
      );
      if (!got.ok) {
        end(false);
        return sorry(got.fault.detail, false);
      }
      if (got.value === undefined) break;
      this.env.point(53);
      const put = yield* this.put(
        shard,
        `pieces-${id}-${work.life}-${attempt}-${pieces.length + 1}`,
        [{ op: "pieces", id, round: attempt, first: pieces.length + 1, data: got.value }],
        {},
        12_000,
      );
      if (!put.ok || put.value.tag !== "done") {
        stream.abort();
        end(true);
        return Fault.fail("conflict", "pieces", this.node.self.id, "pieces not taken");
      }
      pieces.push(...got.value);
    }
    end(true);
    yield* this.put(
      shard,
      `close-${id}-${work.life}-${attempt}`,
      [{ op: "close", id, round: attempt, state: "done", outcome: JSON.stringify({ pieces: pieces.length }) }],
      {},
      20_000,
    );
    return Fault.ok({ final: true, why: "", unsent: false });
  }

  // ---------- lots ----------
  /** @example yield* work.acceptLot(copy, { stamp, lot, cause }) */
  *acceptJob(replica: ShardReplica, body: { stamp: Stamp; lot: BatchJobSpec; cause: Cause }): Task<Result<any>> {
    if (!replica.holdsLease() || !this.node.mayHoldLeases())
      return Fault.fail("notLead", "accept lot", this.node.self.id, replica.view?.lead ?? "");
    const kept = replica.segments.find("lots", body.lot.id);
    if (kept)
      return Fault.ok({
        tag: "exists",
        same: replica.segments.hasSameBody(kept, body.lot.bodyHash),
        state: kept.trimmed ? "trimmed" : "",
      });
    const known = replica.data.jobs.get(body.lot.id);
    if (known) return Fault.ok({ tag: "exists", same: known.bodyHash === body.lot.bodyHash, state: "" });
    if (!Stamp.admits(body.stamp.time, this.env.wall(), this.node.clockBounds()))
      return Fault.fail("late", "accept lot", this.node.self.id, "stamp outside the bounds");
    if (replica.view!.members.length < Constants.minReplicasForJobs)
      return Fault.busy("accept lot", this.node.self.id, "too few copies", 3 * Constants.retryAfterMs);
    const put = yield* replica.put(
      {
        putId: `lot-${body.lot.id}-${body.lot.bodyHash}`,
        stamp: body.stamp,
        ops: [{ op: "lot", lot: body.lot }],
        cause: { ...body.cause, view: replica.view?.epoch },
      },
      1100,
    );
    if (put.ok && put.value.tag === "done") this.openJob(body.lot.id, replica.shard);
    return put;
  }
  /** @example yield* work.lotStatus(copy, { id: "L1" }) */
  *jobStatus(replica: ShardReplica, body: { id: string }): Task<Result<any>> {
    if (!replica.holdsLease()) return Fault.fail("notLead", "lot status", this.node.self.id, replica.view?.lead ?? "");
    const held = yield* replica.job(body.id);
    if (!held.ok) return held;
    const job = held.value;
    if (!job) return Fault.fail("notFound", "lot status", this.node.self.id, `no lot ${body.id}`);
    const states: Record<string, number> = {};
    for (const item of job.items) states[item.state] = (states[item.state] ?? 0) + 1;
    return Fault.ok({
      id: job.id,
      binding: job.binding,
      items: job.items.length,
      states,
      ended: job.ended,
      open: job.open,
      accepted: Stamp.text(job.stamp),
      bodyHash: job.bodyHash,
    });
  }
  /** A lot whose put outran the handler's patience was accepted all the same. */
  private noteOpenJobs(replica: ShardReplica): void {
    for (const job of replica.data.jobs.values())
      if (job.open > 0 && !job.ended && !job.requests) this.openJob(job.id, replica.shard);
  }
  /** A shard's lead begins: what its log calls for is taken up. @example work.leadStarted(copy); */
  leaderStarted(replica: ShardReplica): void {
    this.noteOpenJobs(replica);
    Csp.go(this.env.scope, `take up shard ${replica.shard}`, () => this.takeUp(replica, replica.view!.epoch));
  }
  /** Claims and lots whose put outran its caller's patience are found here. */
  private *orphanLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.orphanPeriodMs);
      for (const replica of this.replicas.values()) {
        if (!replica.holdsLease()) continue;
        this.noteOpenJobs(replica);
        yield* this.takeUp(replica, replica.view!.epoch);
      }
    }
  }
  /** @example work.leadStopped(copy); */
  leaderStopped(replica: ShardReplica): void {
    for (const [job, shard] of this.openJobs) if (shard === replica.shard) this.openJobs.delete(job);
  }
  private *takeUp(replica: ShardReplica, epoch: number): Task<void> {
    const orphanOf = new Map<string, string[]>(); // owner → ids
    const add = (owner: string, id: string): void => void orphanOf.set(owner, [...(orphanOf.get(owner) ?? []), id]);
    for (const work of replica.data.liveRequests.values())
      if (!ShardState.isClosed(work)) add(work.owner, `work ${work.id}`);
    for (const job of replica.data.jobs.values())
      if (job.open > 0)
        job.items.forEach((item, at) => item.state === "claimed" && add(item.owner, `item ${job.id}/${at}`));
    for (const [owner, all] of orphanOf) {
      const key = `${replica.shard}/${epoch}/${owner}`;
      const ids = all.filter((id) => !this.running.has(id.slice(5)));
      if (ids.length === 0 || this.takingUp.has(key)) continue;
      this.takingUp.add(key);
      const work = this;
      Csp.go(this.env.scope, `orphans of ${owner}`, function* () {
        try {
          yield* work.takeUpOf(replica, epoch, owner, ids);
        } finally {
          work.takingUp.delete(key);
        }
      });
    }
  }
  /** What another store claimed is left to it as long as it says that it still runs it. */
  private *takeUpOf(replica: ShardReplica, epoch: number, owner: string, ids: string[]): Task<void> {
    let left = ids;
    let silentSince = this.env.mono();
    while (left.length > 0 && replica.holdsLease() && replica.view?.epoch === epoch) {
      const names = left.map((id) => id.slice(5));
      let still: string[] = [];
      if (owner === this.node.self.id) still = names.filter((name) => this.isRunning(name));
      else {
        const address =
          this.node.membership.find(owner)?.state === "alive" || this.node.membership.find(owner)?.state === "suspect"
            ? this.node.addressOf(owner)
            : undefined;
        const asked = address ? yield* this.node.rpc.call(address, "work.running", { ids: names }, 500) : undefined;
        if (asked?.ok) {
          still = asked.value.running;
          silentSince = this.env.mono();
        } else if (address && this.env.mono() - silentSince < 2 * Constants.claimOldMs) still = names;
      }
      for (const id of left.filter((each) => !still.includes(each.slice(5)))) {
        const name = id.slice(5);
        if (this.isRunning(name)) continue;
        if (id.startsWith("work ")) yield* this.recoverWork(replica, name);
        else yield* this.recoverItem(replica, name);
      }
      left = left.filter((id) => still.includes(id.slice(5)));
      if (left.length > 0) yield* EnvTools.sleep(this.env, 400);
    }
  }
  private *recoverWork(replica: ShardReplica, id: string): Task<void> {
    const work = replica.data.liveRequests.get(id);
    if (!work || ShardState.isClosed(work)) return;
    const shard = replica.shard;
    const close = (state: "failed" | "unknown" | "refused", outcome: string): Task<Result<PutOutcome>> =>
      this.put(
        shard,
        `recover-${id}-${work.life}-${work.round}`,
        [
          {
            op: "close",
            id,
            round: work.round,
            state,
            outcome: JSON.stringify({ detail: outcome, retryAfterMs: Constants.retryAfterMs }),
          },
        ],
        { note: "lead changed" },
        10_000,
      );
    const route = this.route(work.binding);
    if (work.state === "claimed" && !work.safe) {
      this.counts.unknowns += 1;
      yield* close("unknown", "the store that ran it was lost; it may have run");
      return;
    }
    if (!route || work.deadlineAt < this.env.wall() || (work.pieces.length > 0 && !work.exact)) {
      yield* close(
        work.state === "accepted" && work.pieces.length === 0 ? "refused" : "failed",
        "the store that ran it was lost",
      );
      return;
    }
    this.counts.resumed += 1;
    this.running.set(id, true);
    if (work.state === "claimed") {
      const released = yield* this.put(
        shard,
        `recover-${id}-${work.life}-${work.round}`,
        [{ op: "release", id, round: work.round, why: "its store was lost" }],
        {},
        5000,
      );
      if (!released.ok || released.value.tag !== "done") {
        this.running.delete(id);
        return;
      }
    }
    const {
      state: _s,
      round: attempt,
      replica: _r,
      owner: _o,
      pieces,
      outcome: _u,
      stamp: _t,
      version: _v,
      closedAt: _c,
      ...held
    } = work;
    Csp.go(this.env.scope, `run ${id}`, () =>
      this.run(
        id,
        shard,
        held,
        route,
        "",
        undefined,
        attempt,
        pieces.map((piece) => piece.data),
        this.env.mono(),
      ),
    );
  }
  private *recoverItem(replica: ShardReplica, name: string): Task<void> {
    const cut = name.lastIndexOf("/");
    const jobId = name.slice(0, cut);
    const at = +name.slice(cut + 1);
    const item = replica.data.jobs.get(jobId)?.items[at];
    if (!item || item.state !== "claimed") return;
    const putId = `recover-${name}-${item.round}`;
    const op: ShardOperation = replica.data.jobs.get(jobId)!.safe
      ? { op: "itemRelease", lot: jobId, item: at, round: item.round, why: "its store was lost" }
      : {
          op: "itemResult",
          lot: jobId,
          item: at,
          round: item.round,
          state: "unknown",
          result: JSON.stringify({ detail: "the store that ran it was lost; it may have run" }),
        };
    yield* this.put(replica.shard, putId, [op], { note: "lead changed" }, 5000);
  }

  private openJob(id: string, shard: number): void {
    this.openJobs.set(id, shard);
    Csp.offer(this.jobOpened, true);
  }
  private *dispatchLoop(): Task<void> {
    const backOff = new Map<string, number>();
    for (;;) {
      if (this.openJobs.size === 0) yield* Csp.take(this.jobOpened);
      yield* EnvTools.sleep(this.env, Constants.jobTickMs);
      if (this.node.stopping || !this.node.mayHoldLeases()) continue;
      const snapshot = this.node.snapshot();
      const now = this.env.mono();
      const jobs: { lot: BatchJob; copy: ShardReplica }[] = [];
      for (const [id, shard] of this.openJobs) {
        const copy = this.replicas.get(shard);
        const job = copy?.data.jobs.get(id);
        if (!copy || !job || job.open === 0 || job.ended) {
          this.openJobs.delete(id);
          continue;
        }
        if (copy.holdsLease()) jobs.push({ lot: job, copy });
      }
      jobs.sort((left, right) => left.lot.order - right.lot.order || Stamp.compare(left.lot.stamp, right.lot.stamp));
      for (const pool of new Set(jobs.map(({ lot: job }) => this.routeOf(job).pool))) {
        // opens by one a tick while live work leaves room, shuts at once when it does not
        const overloaded =
          snapshot.overloadedPools[pool] || now - (this.overloadedAt.get(pool) ?? -Infinity) < Constants.jobOverloadHoldMs;
        const window = overloaded
          ? Constants.jobWindowMin
          : Math.min(Constants.jobWindowMax, (this.window.get(pool) ?? 0) + 1);
        this.window.set(pool, window);
      }
      for (const { lot: job, copy } of jobs) {
        const route = this.routeOf(job);
        for (let at = 0; at < job.items.length; at += 1) {
          const inFlight = this.jobsInFlight.get(route.pool) ?? 0;
          if (inFlight >= (this.window.get(route.pool) ?? 0)) break;
          const name = `${job.id}/${at}`;
          if (job.items[at].state !== "waiting" || this.running.has(name) || (backOff.get(name) ?? 0) > now) continue;
          const endpoint = this.endpointSelector.choose(
            this.criteria(route, job.binding, "item", "", "", "batch", new Set()),
          );
          if (!endpoint) break;
          this.endpointSelector.requestStarted(endpoint);
          this.running.set(name, true);
          this.jobsInFlight.set(route.pool, inFlight + 1);
          const work = this;
          Csp.go(this.env.scope, `item ${name}`, function* () {
            try {
              if (
                !(yield* work.runItem(
                  copy.shard,
                  job.id,
                  at,
                  job.items[at].round + 1,
                  job.bodies[at],
                  job.binding,
                  route,
                  endpoint,
                ))
              )
                backOff.set(name, work.env.mono() + 300);
              else backOff.delete(name);
            } finally {
              work.running.delete(name);
              work.jobsInFlight.set(route.pool, (work.jobsInFlight.get(route.pool) ?? 1) - 1);
            }
          });
        }
      }
      if (backOff.size > 5000) backOff.clear();
    }
  }
  private *runItem(
    shard: number,
    jobId: string,
    at: number,
    attempt: number,
    body: string,
    routeName: string,
    route: Route,
    endpoint: Endpoint,
  ): Task<boolean> {
    const name = `${jobId}/${at}`;
    const claimedAt = this.env.mono();
    const claimed = yield* this.put(
      shard,
      `claim-${name}-${attempt}-${this.node.self.id}`,
      [{ op: "itemClaim", lot: jobId, item: at, round: attempt, replica: endpoint.key, owner: this.node.self.id }],
      { manifest: this.node.snapshot().control?.manifest.version, view: this.replicas.get(shard)?.view?.epoch },
      2500,
    );
    if (!claimed.ok || claimed.value.tag !== "done") {
      this.room.release(endpoint, true);
      // its fate may be unknown; nothing was delivered, so giving it back is right either way
      if (!claimed.ok)
        yield* this.put(
          shard,
          `release-${name}-${attempt}`,
          [{ op: "itemRelease", lot: jobId, item: at, round: attempt, why: "claim not confirmed in time" }],
          {},
          10_000,
        );
      return false;
    }
    this.env.point(55);
    const copy = this.replicas.get(shard);
    const job = copy?.data.jobs.get(jobId);
    const stale =
      this.env.mono() - claimedAt > Constants.claimOldMs ||
      !copy?.holdsLease() ||
      !job ||
      job.ended ||
      !this.stillEligible(endpoint, routeName, "item", "", route.pool);
    if (stale) {
      this.room.release(endpoint, true);
      yield* this.put(
        shard,
        `release-${name}-${attempt}`,
        [
          {
            op: "itemRelease",
            lot: jobId,
            item: at,
            round: attempt,
            why: "lot ended, replica left, or the claim was too old",
          },
        ],
        {},
        10_000,
      );
      return false;
    }
    this.counts.items += 1;
    const response = yield* EndpointHttp.single(this.env, endpoint, {
      path: route.path,
      id: name,
      attempt: attempt,
      body,
      receivedChunks: [],
      deadlineMs: route.deadlineMs,
      idempotent: route.safe,
    });
    this.env.point(56);
    this.room.release(endpoint, response.ok || response.fault.step === "deliver");
    let op: ShardOperation;
    if (response.ok)
      op = {
        op: "itemResult",
        lot: jobId,
        item: at,
        round: attempt,
        state: response.value.status < 400 ? "done" : "failed",
        result: response.value.body,
      };
    else if (response.fault.tag === "refused" || route.safe)
      op = { op: "itemRelease", lot: jobId, item: at, round: attempt, why: response.fault.detail };
    else {
      this.counts.unknowns += 1;
      op = {
        op: "itemResult",
        lot: jobId,
        item: at,
        round: attempt,
        state: "unknown",
        result: JSON.stringify({ detail: `replica ${endpoint.id}: ${response.fault.detail}; it may have run` }),
      };
    }
    yield* this.put(shard, `result-${name}-${attempt}`, [op], {}, 20_000);
    return op.op === "itemResult";
  }
}
