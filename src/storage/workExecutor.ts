import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Delivery, ReplicaHttp, ReplicaStream } from "../adapters/endpointHttp";
import { Chooser, Wish } from "../routing/endpointSelector";
import { Fault, Result } from "../common/fault";
import { Replica } from "../node/clusterSnapshot";
import { Room } from "../routing/admissionQueue";
import { Node } from "../node/node";
import { Stamp } from "../common/stamp";
import { Binding } from "../control/controlState";
import { ShardCopy } from "../shard/shardReplica";
import { Cause, Lot, LotOrder, Op, PutOutcome, ShardState, Work as Held } from "../shard/shardState";
import { Putter } from "./putClient";

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
export class Work {
  private readonly room: Room;
  private takingUp = new Set<string>();
  private running = new Map<string, true>(); // request ids and lot/item
  private opening = new Map<string, Chan<true>>();
  private changed = new Map<string, Chan<true>[]>(); // readers of a request
  private openLots = new Map<string, number>(); // lot id → shard, for the shards we lead
  private lotOpened: Chan<true> = Csp.sliding(1);
  private lotsInFlight = new Map<string, number>(); // by pool
  private liveInFlight = new Map<string, number>();
  private crowdedAt = new Map<string, number>();
  private window = new Map<string, number>();
  readonly counts = { streams: 0, singles: 0, items: 0, busies: 0, unknowns: 0, resumed: 0, released: 0, failed: 0 };

  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly putter: Putter,
    private readonly chooser: Chooser,
    private readonly copies: Map<number, ShardCopy>,
  ) {
    this.room = new Room(env, chooser, (pool) => this.crowd(pool));
    node.news.watch(() => this.room.changed());
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
    return { ...this.counts, running: this.running.size, open_lots: this.openLots.size };
  }

  // ---------- live work ----------
  private binding = (name: string): Binding | undefined => this.node.frame().control?.manifest.doc.bindings[name];
  /** A lot is kept though its binding was taken out of the manifest since. */
  private bindingOf = (lot: Lot): Binding => this.binding(lot.binding) ?? lot.kept;
  private wish(
    binding: Binding,
    name: string,
    kind: string,
    caller: string,
    body: string,
    lane: Wish["lane"],
    exclude: Set<string>,
  ): Wish {
    return {
      frame: this.node.frame(),
      pool: binding.pool,
      binding: name,
      caller,
      kind,
      prefix: binding.kind === "stream" ? body.slice(0, binding.prefixBytes) : "",
      lane,
      exclude,
    };
  }
  /** What is left of the time that a request may wait for room, all its rounds together: past it, it is refused at once. */
  private patience = (life: string): number => Constants.liveWaitMs - (this.env.wall() - Stamp.parse(life)!.time);
  private crowd(pool: string): void {
    const now = this.env.mono();
    if (now - (this.crowdedAt.get(pool) ?? -Infinity) > 200)
      this.node.news.tell(`crowd/${this.node.self.id}/${pool}`, { pool }, Constants.lotCrowdHoldMs, true);
    this.crowdedAt.set(pool, now);
    this.window.set(pool, 0);
  }
  /** A request comes in from an ingress. The reply "busy" means that nothing was put. @example yield* work.open(copy, body) */
  *open(copy: ShardCopy, body: OpenBody): Task<Result<any>> {
    const id = body.work.id;
    for (let busy = this.opening.get(id); busy; busy = this.opening.get(id)) yield* Csp.take(busy);
    if (!copy.holdsGrant() || this.node.stopping || !this.node.vouches())
      return Fault.fail("notLead", "open", this.node.self.id, copy.view?.lead ?? "");
    const kept = copy.segments.find("works", id);
    if (kept)
      return Fault.ok({
        tag: "exists",
        same: copy.segments.sameBody(kept, body.work.bodyHash),
        state: kept.trimmed ? "trimmed" : kept.state,
      });
    const known = copy.data.works.get(id);
    const again =
      known?.state === "refused" && known.closedAt !== null && Stamp.compare(body.stamp, known.closedAt) > 0;
    if (known && !again)
      return Fault.ok({ tag: "exists", same: known.bodyHash === body.work.bodyHash, state: known.state });
    if (!Stamp.admits(body.stamp.time, this.env.wall(), this.node.bounds()))
      return Fault.fail("late", "open", this.node.self.id, `stamp ${Stamp.text(body.stamp)} outside the bounds`);
    const binding = this.binding(body.work.binding);
    if (!binding) return Fault.fail("notFound", "open", this.node.self.id, `no binding ${body.work.binding}`);
    const done = Csp.chan<true>(1);
    this.opening.set(id, done);
    try {
      const exclude = new Set<string>();
      const make = (): Wish =>
        this.wish(binding, body.work.binding, binding.kind, body.caller, body.work.body, "live", exclude);
      const replica = yield* this.room.take(
        make,
        body.work.order,
        body.stamp.time,
        Math.min(this.patience(body.work.life), body.work.deadlineAt - this.env.wall()),
      );
      if (!replica) {
        this.counts.busies += 1;
        return Fault.busy(
          "open",
          this.node.self.id,
          `no room in pool ${binding.pool}`,
          this.room.retryAfterMs(binding.pool),
        );
      }
      const claimedAt = this.env.mono();
      const ops: Op[] = [
        { op: "open", work: body.work },
        { op: "claim", id, round: 1, replica: replica.key, owner: this.node.self.id },
      ];
      // the caller's arrival stamp, unless it has waited behind the frontier meanwhile
      let stamp = body.stamp;
      let put: Result<PutOutcome>;
      this.running.set(id, true);
      for (let round = 0; ; round += 1) {
        put = yield* copy.put(
          { putId: `open-${id}-${body.work.life}`, stamp, ops, cause: { ...body.cause, view: copy.view?.epoch } },
          1100,
        );
        if (put.ok || put.fault.tag !== "late" || round >= Constants.lateRounds) break;
        stamp = this.putter.stamp(this.env.wall());
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
        this.room.leave(replica, true);
        if (!put.ok) return put;
        return Fault.ok(put.value.tag === "exists" ? put.value : { tag: "exists", same: false, state: "refused" });
      }
      Csp.go(this.env.scope, `run ${id}`, () =>
        this.run(id, copy.shard, { ...body.work }, binding, body.caller, replica, 1, [], claimedAt),
      );
      return Fault.ok({ tag: "opened" });
    } finally {
      this.opening.delete(id);
      done.close();
    }
  }
  /** Makes sure that a request that was given up on can never run. @example yield* work.refuse(copy, { id, stamp }) */
  *refuse(copy: ShardCopy, body: { id: string; stamp: Stamp }): Task<Result<any>> {
    for (let busy = this.opening.get(body.id); busy; busy = this.opening.get(body.id)) yield* Csp.take(busy);
    const put = yield* copy.put(
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
  *read(copy: ShardCopy, body: { id: string; after: number; waitMs: number }): Task<Result<any>> {
    const until = this.env.mono() + body.waitMs;
    const wake = Csp.sliding<true>(1);
    this.changed.set(body.id, [...(this.changed.get(body.id) ?? []), wake]);
    try {
      for (;;) {
        if (!copy.holdsGrant()) return Fault.fail("notLead", "read", this.node.self.id, copy.view?.lead ?? "");
        const held = yield* copy.work(body.id);
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

  private *put(shard: number, putId: string, ops: Op[], cause: Cause, withinMs: number): Task<Result<PutOutcome>> {
    const copy = this.copies.get(shard);
    if (copy?.holdsGrant()) {
      for (let round = 0; round < Constants.lateRounds; round += 1) {
        const put = yield* copy.put(
          { putId, stamp: this.putter.stamp(this.env.wall()), ops, cause },
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
    return yield* this.putter.put(shard, putId, ops, cause, withinMs);
  }
  private stillEligible(replica: Replica, binding: string, kind: string, caller: string, pool: string): boolean {
    return Chooser.inPool({ frame: this.node.frame(), pool, binding, caller, kind }).some(
      (eligible) => eligible.key === replica.key,
    );
  }

  /** One request from its claim to its close, through as many rounds as are safe. */
  private *run(
    id: string,
    shard: number,
    work: OpenBody["work"],
    binding: Binding,
    caller: string,
    first: Replica | undefined,
    firstRound: number,
    had: string[],
    claimedAt: number,
  ): Task<void> {
    const pool = binding.pool;
    const exclude = new Set<string>();
    const pieces = [...had];
    let replica = first;
    let round = firstRound;
    let claimAt = claimedAt;
    const live = (): number => work.deadlineAt - this.env.wall();
    const close = (
      state: "done" | "failed" | "unknown" | "refused",
      outcome: string,
      before: Op[] = [],
    ): Task<Result<PutOutcome>> =>
      this.put(
        shard,
        `close-${id}-${work.life}-${round}`,
        [...before, { op: "close", id, round, state, outcome }],
        { note: state },
        20_000,
      );
    this.liveInFlight.set(pool, (this.liveInFlight.get(pool) ?? 0) + 1);
    try {
      for (;;) {
        let before: Op[] = [];
        if (replica) {
          const outcome: Result<{ final: boolean; why: string; unsent: boolean }> = yield* this.deliver(
            id,
            shard,
            work,
            binding,
            caller,
            replica,
            round,
            pieces,
            claimAt,
            live(),
          );
          this.env.point(54);
          if (outcome.ok && outcome.value.final) return;
          const unsent = outcome.ok ? outcome.value.unsent : false;
          const why = outcome.ok ? outcome.value.why : outcome.fault.detail;
          if (!outcome.ok && outcome.fault.tag === "conflict") return; // another store has taken the request over
          exclude.add(replica.key);
          if (!unsent) {
            const mayGoOn = work.safe && (pieces.length === 0 || work.exact);
            if (!work.safe) {
              this.counts.unknowns += 1;
              yield* close("unknown", JSON.stringify({ detail: `replica ${replica.id}: ${why}; it may have run` }));
              return;
            }
            if (!mayGoOn) {
              this.counts.failed += 1;
              yield* close(
                "failed",
                JSON.stringify({ detail: `replica ${replica.id} was lost after piece ${pieces.length}: ${why}` }),
              );
              return;
            }
            this.counts.resumed += 1;
          } else this.counts.released += 1;
          before = [{ op: "release", id, round, why }];
        }
        const make = (): Wish => this.wish(binding, work.binding, binding.kind, caller, work.body, "live", exclude);
        const next: Replica | undefined =
          live() > 0
            ? yield* this.room.take(
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
              `close-${id}-${work.life}-${round}`,
              [
                ...released,
                { op: "claim", id, round: round + 1, replica: "", owner: this.node.self.id },
                {
                  op: "close",
                  id,
                  round: round + 1,
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
        replica = next;
        claimAt = this.env.mono();
        round += 1;
        const claimed = yield* this.put(
          shard,
          `claim-${id}-${work.life}-${round}-${this.node.self.id}`,
          [...before, { op: "claim", id, round, replica: next.key, owner: this.node.self.id }],
          {},
          10_000,
        );
        if (!claimed.ok || claimed.value.tag !== "done") {
          this.room.leave(next, true);
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
    binding: Binding,
    caller: string,
    replica: Replica,
    round: number,
    pieces: string[],
    claimedAt: number,
    leftMs: number,
  ): Task<Result<{ final: boolean; why: string; unsent: boolean }>> {
    const end = (lively: boolean): void => this.room.leave(replica, lively);
    const sorry = (why: string, unsent: boolean): Result<{ final: boolean; why: string; unsent: boolean }> =>
      Fault.ok({ final: false, why, unsent });
    // a claim that grew old (a freeze) is given back: by now the duty may be another's
    if (
      this.env.mono() - claimedAt > Constants.claimOldMs ||
      leftMs <= 0 ||
      !this.stillEligible(replica, work.binding, binding.kind, caller, binding.pool)
    ) {
      end(true);
      return sorry("claim was too old, or the replica has left", true);
    }
    const delivery: Delivery = {
      path: binding.path,
      id,
      round,
      body: work.body,
      pieces,
      deadlineMs: leftMs,
      safe: work.safe,
    };
    this.env.point(52);
    if (binding.kind !== "stream") {
      this.counts.singles += 1;
      const replied = yield* ReplicaHttp.single(this.env, replica, delivery);
      end(replied.ok || replied.fault.step === "deliver");
      if (!replied.ok) return sorry(replied.fault.detail, replied.fault.tag === "refused");
      this.env.point(53);
      const state = replied.value.status < 400 ? "done" : "failed";
      const put = yield* this.put(
        shard,
        `close-${id}-${work.life}-${round}`,
        [
          ...(state === "done"
            ? [{ op: "pieces", id, round, first: pieces.length + 1, data: [replied.value.body] } as Op]
            : []),
          {
            op: "close",
            id,
            round,
            state,
            outcome: JSON.stringify({
              status: replied.value.status,
              ...(state === "failed" ? { detail: replied.value.body.slice(0, 500) } : {}),
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
    const opened = yield* ReplicaHttp.stream(this.env, replica, delivery);
    if (!opened.ok) {
      end(opened.fault.tag === "refused" && opened.fault.step === "deliver");
      return sorry(opened.fault.detail, opened.fault.tag === "refused");
    }
    const stream: ReplicaStream = opened.value;
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
        `pieces-${id}-${work.life}-${round}-${pieces.length + 1}`,
        [{ op: "pieces", id, round, first: pieces.length + 1, data: got.value }],
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
      `close-${id}-${work.life}-${round}`,
      [{ op: "close", id, round, state: "done", outcome: JSON.stringify({ pieces: pieces.length }) }],
      {},
      20_000,
    );
    return Fault.ok({ final: true, why: "", unsent: false });
  }

  // ---------- lots ----------
  /** @example yield* work.acceptLot(copy, { stamp, lot, cause }) */
  *acceptLot(copy: ShardCopy, body: { stamp: Stamp; lot: LotOrder; cause: Cause }): Task<Result<any>> {
    if (!copy.holdsGrant() || !this.node.vouches())
      return Fault.fail("notLead", "accept lot", this.node.self.id, copy.view?.lead ?? "");
    const kept = copy.segments.find("lots", body.lot.id);
    if (kept)
      return Fault.ok({
        tag: "exists",
        same: copy.segments.sameBody(kept, body.lot.bodyHash),
        state: kept.trimmed ? "trimmed" : "",
      });
    const known = copy.data.lots.get(body.lot.id);
    if (known) return Fault.ok({ tag: "exists", same: known.bodyHash === body.lot.bodyHash, state: "" });
    if (!Stamp.admits(body.stamp.time, this.env.wall(), this.node.bounds()))
      return Fault.fail("late", "accept lot", this.node.self.id, "stamp outside the bounds");
    if (copy.view!.members.length < Constants.minCopiesForLots)
      return Fault.busy("accept lot", this.node.self.id, "too few copies", 3 * Constants.retryAfterMs);
    const put = yield* copy.put(
      {
        putId: `lot-${body.lot.id}-${body.lot.bodyHash}`,
        stamp: body.stamp,
        ops: [{ op: "lot", lot: body.lot }],
        cause: { ...body.cause, view: copy.view?.epoch },
      },
      1100,
    );
    if (put.ok && put.value.tag === "done") this.openLot(body.lot.id, copy.shard);
    return put;
  }
  /** @example yield* work.lotStatus(copy, { id: "L1" }) */
  *lotStatus(copy: ShardCopy, body: { id: string }): Task<Result<any>> {
    if (!copy.holdsGrant()) return Fault.fail("notLead", "lot status", this.node.self.id, copy.view?.lead ?? "");
    const held = yield* copy.lot(body.id);
    if (!held.ok) return held;
    const lot = held.value;
    if (!lot) return Fault.fail("notFound", "lot status", this.node.self.id, `no lot ${body.id}`);
    const states: Record<string, number> = {};
    for (const item of lot.items) states[item.state] = (states[item.state] ?? 0) + 1;
    return Fault.ok({
      id: lot.id,
      binding: lot.binding,
      items: lot.items.length,
      states,
      ended: lot.ended,
      open: lot.open,
      accepted: Stamp.text(lot.stamp),
      bodyHash: lot.bodyHash,
    });
  }
  /** A lot whose put outran the handler's patience was accepted all the same. */
  private noteOpenLots(copy: ShardCopy): void {
    for (const lot of copy.data.lots.values())
      if (lot.open > 0 && !lot.ended && !lot.requests) this.openLot(lot.id, copy.shard);
  }
  /** A shard's lead begins: what its log calls for is taken up. @example work.leadStarted(copy); */
  leadStarted(copy: ShardCopy): void {
    this.noteOpenLots(copy);
    Csp.go(this.env.scope, `take up shard ${copy.shard}`, () => this.takeUp(copy, copy.view!.epoch));
  }
  /** Claims and lots whose put outran its caller's patience are found here. */
  private *orphanLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.orphanPeriodMs);
      for (const copy of this.copies.values()) {
        if (!copy.holdsGrant()) continue;
        this.noteOpenLots(copy);
        yield* this.takeUp(copy, copy.view!.epoch);
      }
    }
  }
  /** @example work.leadStopped(copy); */
  leadStopped(copy: ShardCopy): void {
    for (const [lot, shard] of this.openLots) if (shard === copy.shard) this.openLots.delete(lot);
  }
  private *takeUp(copy: ShardCopy, epoch: number): Task<void> {
    const orphanOf = new Map<string, string[]>(); // owner → ids
    const add = (owner: string, id: string): void => void orphanOf.set(owner, [...(orphanOf.get(owner) ?? []), id]);
    for (const work of copy.data.works.values()) if (!ShardState.isClosed(work)) add(work.owner, `work ${work.id}`);
    for (const lot of copy.data.lots.values())
      if (lot.open > 0)
        lot.items.forEach((item, at) => item.state === "claimed" && add(item.owner, `item ${lot.id}/${at}`));
    for (const [owner, all] of orphanOf) {
      const key = `${copy.shard}/${epoch}/${owner}`;
      const ids = all.filter((id) => !this.running.has(id.slice(5)));
      if (ids.length === 0 || this.takingUp.has(key)) continue;
      this.takingUp.add(key);
      const work = this;
      Csp.go(this.env.scope, `orphans of ${owner}`, function* () {
        try {
          yield* work.takeUpOf(copy, epoch, owner, ids);
        } finally {
          work.takingUp.delete(key);
        }
      });
    }
  }
  /** What another store claimed is left to it as long as it says that it still runs it. */
  private *takeUpOf(copy: ShardCopy, epoch: number, owner: string, ids: string[]): Task<void> {
    let left = ids;
    let silentSince = this.env.mono();
    while (left.length > 0 && copy.holdsGrant() && copy.view?.epoch === epoch) {
      const names = left.map((id) => id.slice(5));
      let still: string[] = [];
      if (owner === this.node.self.id) still = names.filter((name) => this.isRunning(name));
      else {
        const address =
          this.node.membership.find(owner)?.state === "alive" || this.node.membership.find(owner)?.state === "suspect"
            ? this.node.addressOf(owner)
            : undefined;
        const asked = address ? yield* this.node.rpc.ask(address, "work.running", { ids: names }, 500) : undefined;
        if (asked?.ok) {
          still = asked.value.running;
          silentSince = this.env.mono();
        } else if (address && this.env.mono() - silentSince < 2 * Constants.claimOldMs) still = names;
      }
      for (const id of left.filter((each) => !still.includes(each.slice(5)))) {
        const name = id.slice(5);
        if (this.isRunning(name)) continue;
        if (id.startsWith("work ")) yield* this.recoverWork(copy, name);
        else yield* this.recoverItem(copy, name);
      }
      left = left.filter((id) => still.includes(id.slice(5)));
      if (left.length > 0) yield* EnvTools.sleep(this.env, 400);
    }
  }
  private *recoverWork(copy: ShardCopy, id: string): Task<void> {
    const work = copy.data.works.get(id);
    if (!work || ShardState.isClosed(work)) return;
    const shard = copy.shard;
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
    const binding = this.binding(work.binding);
    if (work.state === "claimed" && !work.safe) {
      this.counts.unknowns += 1;
      yield* close("unknown", "the store that ran it was lost; it may have run");
      return;
    }
    if (!binding || work.deadlineAt < this.env.wall() || (work.pieces.length > 0 && !work.exact)) {
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
      round,
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
        binding,
        "",
        undefined,
        round,
        pieces.map((piece) => piece.data),
        this.env.mono(),
      ),
    );
  }
  private *recoverItem(copy: ShardCopy, name: string): Task<void> {
    const cut = name.lastIndexOf("/");
    const lotId = name.slice(0, cut);
    const at = +name.slice(cut + 1);
    const item = copy.data.lots.get(lotId)?.items[at];
    if (!item || item.state !== "claimed") return;
    const putId = `recover-${name}-${item.round}`;
    const op: Op = copy.data.lots.get(lotId)!.safe
      ? { op: "itemRelease", lot: lotId, item: at, round: item.round, why: "its store was lost" }
      : {
          op: "itemResult",
          lot: lotId,
          item: at,
          round: item.round,
          state: "unknown",
          result: JSON.stringify({ detail: "the store that ran it was lost; it may have run" }),
        };
    yield* this.put(copy.shard, putId, [op], { note: "lead changed" }, 5000);
  }

  private openLot(id: string, shard: number): void {
    this.openLots.set(id, shard);
    Csp.offer(this.lotOpened, true);
  }
  private *dispatchLoop(): Task<void> {
    const backOff = new Map<string, number>();
    for (;;) {
      if (this.openLots.size === 0) yield* Csp.take(this.lotOpened);
      yield* EnvTools.sleep(this.env, Constants.lotTickMs);
      if (this.node.stopping || !this.node.vouches()) continue;
      const frame = this.node.frame();
      const now = this.env.mono();
      const lots: { lot: Lot; copy: ShardCopy }[] = [];
      for (const [id, shard] of this.openLots) {
        const copy = this.copies.get(shard);
        const lot = copy?.data.lots.get(id);
        if (!copy || !lot || lot.open === 0 || lot.ended) {
          this.openLots.delete(id);
          continue;
        }
        if (copy.holdsGrant()) lots.push({ lot, copy });
      }
      lots.sort((left, right) => left.lot.order - right.lot.order || Stamp.compare(left.lot.stamp, right.lot.stamp));
      for (const pool of new Set(lots.map(({ lot }) => this.bindingOf(lot).pool))) {
        // opens by one a tick while live work leaves room, shuts at once when it does not
        const crowded = frame.crowded[pool] || now - (this.crowdedAt.get(pool) ?? -Infinity) < Constants.lotCrowdHoldMs;
        const window = crowded
          ? Constants.lotWindowMin
          : Math.min(Constants.lotWindowMax, (this.window.get(pool) ?? 0) + 1);
        this.window.set(pool, window);
      }
      for (const { lot, copy } of lots) {
        const binding = this.bindingOf(lot);
        for (let at = 0; at < lot.items.length; at += 1) {
          const inFlight = this.lotsInFlight.get(binding.pool) ?? 0;
          if (inFlight >= (this.window.get(binding.pool) ?? 0)) break;
          const name = `${lot.id}/${at}`;
          if (lot.items[at].state !== "waiting" || this.running.has(name) || (backOff.get(name) ?? 0) > now) continue;
          const replica = this.chooser.choose(this.wish(binding, lot.binding, "item", "", "", "lot", new Set()));
          if (!replica) break;
          this.chooser.begin(replica);
          this.running.set(name, true);
          this.lotsInFlight.set(binding.pool, inFlight + 1);
          const work = this;
          Csp.go(this.env.scope, `item ${name}`, function* () {
            try {
              if (
                !(yield* work.runItem(
                  copy.shard,
                  lot.id,
                  at,
                  lot.items[at].round + 1,
                  lot.bodies[at],
                  lot.binding,
                  binding,
                  replica,
                ))
              )
                backOff.set(name, work.env.mono() + 300);
              else backOff.delete(name);
            } finally {
              work.running.delete(name);
              work.lotsInFlight.set(binding.pool, (work.lotsInFlight.get(binding.pool) ?? 1) - 1);
            }
          });
        }
      }
      if (backOff.size > 5000) backOff.clear();
    }
  }
  private *runItem(
    shard: number,
    lotId: string,
    at: number,
    round: number,
    body: string,
    bindingName: string,
    binding: Binding,
    replica: Replica,
  ): Task<boolean> {
    const name = `${lotId}/${at}`;
    const claimedAt = this.env.mono();
    const claimed = yield* this.put(
      shard,
      `claim-${name}-${round}-${this.node.self.id}`,
      [{ op: "itemClaim", lot: lotId, item: at, round, replica: replica.key, owner: this.node.self.id }],
      { manifest: this.node.frame().control?.manifest.version, view: this.copies.get(shard)?.view?.epoch },
      2500,
    );
    if (!claimed.ok || claimed.value.tag !== "done") {
      this.room.leave(replica, true);
      // its fate may be unknown; nothing was delivered, so giving it back is right either way
      if (!claimed.ok)
        yield* this.put(
          shard,
          `release-${name}-${round}`,
          [{ op: "itemRelease", lot: lotId, item: at, round, why: "claim not confirmed in time" }],
          {},
          10_000,
        );
      return false;
    }
    this.env.point(55);
    const copy = this.copies.get(shard);
    const lot = copy?.data.lots.get(lotId);
    const stale =
      this.env.mono() - claimedAt > Constants.claimOldMs ||
      !copy?.holdsGrant() ||
      !lot ||
      lot.ended ||
      !this.stillEligible(replica, bindingName, "item", "", binding.pool);
    if (stale) {
      this.room.leave(replica, true);
      yield* this.put(
        shard,
        `release-${name}-${round}`,
        [{ op: "itemRelease", lot: lotId, item: at, round, why: "lot ended, replica left, or the claim was too old" }],
        {},
        10_000,
      );
      return false;
    }
    this.counts.items += 1;
    const replied = yield* ReplicaHttp.single(this.env, replica, {
      path: binding.path,
      id: name,
      round,
      body,
      pieces: [],
      deadlineMs: binding.deadlineMs,
      safe: binding.safe,
    });
    this.env.point(56);
    this.room.leave(replica, replied.ok || replied.fault.step === "deliver");
    let op: Op;
    if (replied.ok)
      op = {
        op: "itemResult",
        lot: lotId,
        item: at,
        round,
        state: replied.value.status < 400 ? "done" : "failed",
        result: replied.value.body,
      };
    else if (replied.fault.tag === "refused" || binding.safe)
      op = { op: "itemRelease", lot: lotId, item: at, round, why: replied.fault.detail };
    else {
      this.counts.unknowns += 1;
      op = {
        op: "itemResult",
        lot: lotId,
        item: at,
        round,
        state: "unknown",
        result: JSON.stringify({ detail: `replica ${replica.id}: ${replied.fault.detail}; it may have run` }),
      };
    }
    yield* this.put(shard, `result-${name}-${round}`, [op], {}, 20_000);
    return op.op === "itemResult";
  }
}
