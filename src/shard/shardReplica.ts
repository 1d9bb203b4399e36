import invariant from "tiny-invariant";
import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { CheckpointedLog } from "../runtime/checkpointedLog";
import { Fault, Result } from "../common/fault";
import { Bounds, Stamp } from "../common/stamp";
import { Rpc } from "../rpc/rpc";
import { EnvelopeCodec } from "../rpc/envelopeCodec";
import { ShardView } from "../controlState/shardView";
import { SegmentCounts, SegmentKind, Segments } from "./segments";
import { SerializedShard, BatchJob, Put, PutOutcome, ShardData, ShardState, LiveRequest } from "./shardState";

/* eslint-disable @typescript-eslint/no-explicit-any */
export type ShardLogEntry = { seq: number; epoch: number; frontier: number; puts: Put[] };
type Noted = { tag: "entry"; entry: ShardLogEntry } | { tag: "seal"; epoch: number } | { tag: "view"; view: ShardView };
type Saved = { seq: number; lastEpoch: number; sealed: number; view: ShardView | null; data: SerializedShard };
type Pending = { put: Put; reply: Chan<Result<PutOutcome>>; enqueuedAt: number };
export type ShardReplicaStatus = {
  shard: number;
  epoch: number;
  view: ShardView | null;
  sealed: number;
  role: "member" | "starting" | "lead" | "out";
  seq: number;
  lastEpoch: number;
  failing: string[];
  leadSilentMs: number;
  wantsView: string;
  broken: boolean;
  frontier: number;
  lots: number;
  works: number;
};
export type ShardReplicaHooks = {
  addressOf(id: string): string | undefined;
  bounds(): Bounds;
  isClockTrusted(): boolean;
  putCompleted(ms: number): void;
  leadershipStarted(replica: ShardReplica): void;
  leadershipStopped(replica: ShardReplica): void;
  viewChangeNeeded(): void; // control should look at us now
};

/**
 * One copy of a shard. The lead orders puts; a put is answered once every member of the view has synced it.
 * The lead's grant comes from every other member of the view, so no member outside a majority of control
 * is needed to keep serving, and one sealed member is enough to end it.
 *
 * @example
 * const copy = new ShardCopy(env, rpc, "node-1", 3, "data/shard-3", hooks);
 * yield* copy.open();
 * const outcome = yield* copy.put({ putId, stamp, ops, cause: {} }, 2000);
 */
export class ShardReplica {
  view: ShardView | undefined;
  sealedEpoch = 0;
  lastSeq = 0;
  lastEpoch = 0;
  appliedSeq = 0;
  appliedEpoch = 0;
  data: ShardData;
  readonly segments: Segments;
  role: ShardReplicaStatus["role"] = "out";
  exists = false;
  viewChangeReason = "";
  private tail: ShardLogEntry[] = []; // the last entries, for catch-up; ends at seq
  private sealedInThisLife = 0;
  private leases = new Map<string, number>(); // lead: member → mono time its grant ends for us
  private grantedUntil: number; // member: the end of what we granted
  private failing = new Map<string, number>();
  private pending: Pending[] = [];
  private inFlight: Pending[] = [];
  private wake: Chan<true> = Csp.sliding(1);
  private token: Chan<true> = Csp.chan(1);
  private published = 0;
  private slots: CheckpointedLog;
  private retryingDisk = false;
  private segmentWake: Chan<true> = Csp.sliding(1);
  private filling = "";
  private readers = new Set<Chan<true>>();
  private lowDisk = new Map<string, boolean>();
  private sinceFold = 0;
  private mayLeadAt = 0; // the former lead's grant has ended by then
  readonly counts = { puts: 0, batches: 0, late: 0, overruns: 0, mended: 0, filledBytes: 0 };

  constructor(
    private readonly env: Env,
    private readonly rpc: Rpc,
    private readonly self: string,
    readonly shard: number,
    private readonly folder: string,
    private readonly hooks: ShardReplicaHooks,
  ) {
    this.slots = new CheckpointedLog(env, folder, 2);
    this.segments = new Segments(env, folder);
    this.data = ShardState.empty(this.segments);
    this.segments.trimmed = this.data.trimmedCounts;
    const replica = this;
    EnvTools.keep(env, env.scope, `segments of shard ${shard}`, () => replica.segmentLoop());
    this.grantedUntil = env.mono() + Constants.shardLeaseMs; // a restarted member may have granted just before
    Csp.offer(this.token, true);
  }

  /** Takes up what is on disk. @example yield* copy.open(); */
  *open(): Task<Result<true>> {
    const opened = yield* this.slots.open();
    if (!opened.ok) return opened;
    const saved = opened.value.state as Saved | undefined;
    if (saved) {
      const taken = yield* this.take(saved);
      if (!taken.ok) return taken;
    }
    for (const noted of opened.value.records as Noted[]) {
      if (noted.tag === "seal") this.sealedEpoch = Math.max(this.sealedEpoch, noted.epoch);
      else if (noted.tag === "view") this.view = noted.view;
      else this.remember([noted.entry]);
    }
    this.exists = saved !== undefined || opened.value.records.length > 0;
    this.applyAll();
    if (this.view?.members.includes(this.self)) {
      this.role = "member";
      // entries of our time as lead may stand on others' disks only: a new view finds the longest log
      if (this.view.lead === this.self) this.viewChangeReason = "lead was restarted";
    }
    return Fault.ok(true as const);
  }
  /** Segments are written in the background: what is in them is in the slots until then. */
  private *segmentLoop(): Task<void> {
    for (;;) {
      const [next] = this.data.pendingSegments;
      const { data } = this;
      if (!next || this.slots.hasFailed) {
        if (!this.slots.hasFailed) yield* this.segments.removeTrimmed();
        yield* EnvTools.takeWithin(this.env, this.segmentWake, 5000);
        continue;
      }
      const written = yield* this.segments.write(next);
      if (!written.ok) this.breakDown(written.fault);
      else if (this.data === data) data.pendingSegments.shift();
    }
  }
  private *take(saved: Saved): Task<Result<true>> {
    const opened = yield* this.segments.open(saved.data.segments, saved.data.trimmed, saved.data.sealing);
    if (!opened.ok) return opened;
    this.lastSeq = this.appliedSeq = saved.seq;
    this.lastEpoch = this.appliedEpoch = saved.lastEpoch;
    this.sealedEpoch = Math.max(this.sealedEpoch, saved.sealed);
    this.view = saved.view ?? undefined;
    this.data = ShardState.deserialize(saved.data, this.segments);
    this.tail = [];
    this.exists = true;
    return opened;
  }
  private remember(entries: ShardLogEntry[]): void {
    for (const entry of entries) {
      this.tail.push(entry);
      this.lastSeq = entry.seq;
      this.lastEpoch = entry.epoch;
    }
    if (this.tail.length > Constants.shardLogKeep) this.tail.splice(0, this.tail.length - Constants.shardLogKeep);
    this.sinceFold += entries.length;
  }
  private applyAll(): PutOutcome[] {
    const outcomes: PutOutcome[] = [];
    for (const entry of this.tail.slice(Math.max(0, this.tail.length - (this.lastSeq - this.appliedSeq)))) {
      invariant(entry.seq === this.appliedSeq + 1, "entries are applied one after the other, none left out");
      ShardState.advanceClock(this.data, entry.frontier);
      for (const put of entry.puts) outcomes.push(ShardState.apply(this.data, put));
      ShardState.seal(this.data);
      this.appliedSeq = entry.seq;
      this.appliedEpoch = entry.epoch;
    }
    Csp.offer(this.segmentWake, true);
    this.wakeReaders();
    return outcomes;
  }
  private epochAt(seq: number): number | undefined {
    if (seq === this.lastSeq) return this.lastEpoch;
    if (seq === 0) return 0;
    const first = this.tail[0];
    return first && seq >= first.seq ? this.tail[seq - first.seq]?.epoch : undefined;
  }
  private *locked<T>(body: () => Task<T>): Task<T> {
    yield* Csp.take(this.token);
    try {
      return yield* body();
    } finally {
      Csp.offer(this.token, true);
    }
  }
  private *write(records: Noted[]): Task<Result<true>> {
    const done = yield* this.slots.append(records);
    if (!done.ok) this.breakDown(done.fault);
    return done;
  }
  private breakDown(fault: Fault): void {
    this.env.log(1404, { shard: this.shard, fault });
    this.stopLeader("disk failed");
  }
  /**
   * A disk that failed is tried again: what stands on it is read as after a start, and counts only once all of it was
   * written and synced anew, since a failed sync says nothing of what the disk holds.
   * @example yield* copy.retryDisk();
   */
  *retryDisk(): Task<void> {
    if (!this.slots.hasFailed || this.retryingDisk) return;
    this.retryingDisk = true;
    const replica = this;
    yield* this.locked(function* () {
      const slots = new CheckpointedLog(replica.env, replica.folder, 2);
      const probed = yield* slots.probe();
      if (!probed.ok) return;
      replica.slots = slots;
      Object.assign(replica, {
        lastSeq: 0,
        appliedSeq: 0,
        lastEpoch: 0,
        appliedEpoch: 0,
        sealedInThisLife: 0,
        sinceFold: 0,
        view: undefined,
        tail: [],
        data: ShardState.empty(replica.segments),
        exists: false,
        role: "out",
      });
      replica.segments.trimmed = replica.data.trimmedCounts;
      const opened = yield* replica.open();
      const written = opened.ok && replica.exists ? yield* slots.checkpoint(replica.saved()) : opened;
      if (!written.ok) {
        slots.hasFailed = true;
        replica.role = "out";
        return;
      }
      replica.env.log(1414, { shard: replica.shard, seq: replica.lastSeq });
    });
    this.retryingDisk = false;
  }
  private *foldIfLong(): Task<void> {
    const long = this.sinceFold >= Constants.shardLogKeep || this.slots.logBytes >= Constants.shardLogBytes;
    if (!long || this.appliedSeq !== this.lastSeq) return;
    this.sinceFold = 0;
    const done = yield* this.slots.checkpoint(this.saved());
    if (!done.ok) this.breakDown(done.fault);
  }
  private saved(): Saved {
    return {
      seq: this.appliedSeq,
      lastEpoch: this.appliedEpoch,
      sealed: this.sealedEpoch,
      view: this.view ?? null,
      data: ShardState.serialize(this.data),
    };
  }

  // ---------- what others ask ----------
  /** @example rpc.handle("shard.replicate", (body) => copy.onReplicate(body)); */
  *onReplicate(body: {
    epoch: number;
    view: ShardView;
    prevSeq: number;
    prevEpoch: number;
    entries: ShardLogEntry[];
    frontier: number;
    stable: number;
  }): Task<Result<any>> {
    const replica = this;
    return yield* this.locked<Result<any>>(function* () {
      if (replica.slots.hasFailed) return Fault.ok({ tag: "broken" });
      if (body.epoch < replica.sealedEpoch || body.epoch < (replica.view?.epoch ?? 0))
        return Fault.ok({ tag: "sealed", epoch: replica.sealedEpoch });
      if (replica.role === "lead" && replica.view?.epoch === body.epoch)
        return Fault.fail("conflict", "replicate", replica.self, "two leads in one epoch");
      const records: Noted[] = [];
      if (body.epoch > (replica.view?.epoch ?? 0)) {
        replica.stopLeader("newer view");
        records.push({ tag: "view", view: body.view });
      }
      const matches = body.prevSeq <= replica.lastSeq && replica.epochAt(body.prevSeq) === body.prevEpoch;
      if (!matches) return Fault.ok({ tag: "behind", seq: replica.lastSeq, lastEpoch: replica.lastEpoch });
      const fresh = body.entries.filter((entry) => entry.seq > replica.lastSeq);
      // what we hold beyond the lead's word in an older epoch was never acknowledged by all
      if (
        body.entries.some((entry) => entry.seq <= replica.lastSeq && replica.epochAt(entry.seq) !== entry.epoch) ||
        (body.entries.length === 0 && body.prevSeq < replica.lastSeq && replica.lastEpoch < body.epoch)
      )
        return Fault.ok({ tag: "behind", seq: -1, lastEpoch: -1 });
      for (const entry of fresh) records.push({ tag: "entry", entry });
      replica.env.point(41);
      if (records.length > 0) {
        const done = yield* replica.write(records);
        if (!done.ok) return Fault.ok({ tag: "broken" });
      }
      replica.exists = true;
      if (body.epoch > (replica.view?.epoch ?? 0)) {
        replica.view = body.view;
        replica.sealedEpoch = Math.max(replica.sealedEpoch, body.epoch);
        replica.viewChangeReason = "";
      }
      replica.role = "member";
      replica.remember(fresh);
      replica.applyAll();
      if (replica.appliedSeq >= body.stable && replica.epochAt(body.stable) !== undefined)
        replica.moveFrontier(body.frontier);
      replica.grantedUntil = replica.env.mono() + Constants.shardLeaseMs;
      yield* replica.foldIfLong();
      replica.env.point(42);
      return Fault.ok({ tag: "ok", seq: replica.lastSeq, lowDisk: replica.diskLow });
    });
  }
  diskLow = false;
  /** Survivors seal the old epoch: its lead is refused from then on. @example yield* copy.onSeal({ epoch: 4 }) */
  *onSeal(body: { epoch: number }): Task<Result<any>> {
    const replica = this;
    return yield* this.locked<Result<any>>(function* () {
      if (!replica.exists) return Fault.fail("notFound", "seal", replica.self, "no copy here");
      // nothing of it counts, but its word that it does not lead spares the wait for its grant's end
      if (replica.slots.hasFailed) return Fault.ok({ tag: "stopped" });
      if (replica.sealedEpoch > body.epoch || (replica.view?.epoch ?? 0) >= body.epoch)
        return Fault.fail("conflict", "seal", replica.self, `sealed for ${replica.sealedEpoch}`);
      if (replica.sealedEpoch < body.epoch) {
        const done = yield* replica.write([{ tag: "seal", epoch: body.epoch }]);
        if (!done.ok) return done;
        replica.sealedEpoch = body.epoch;
      }
      replica.sealedInThisLife = body.epoch;
      replica.stopLeader("sealed");
      replica.applyAll();
      replica.env.point(43);
      return Fault.ok({
        tag: "sealed",
        seq: replica.lastSeq,
        lastEpoch: replica.lastEpoch,
        tailFrom: replica.tail[0]?.seq ?? replica.lastSeq + 1,
        grantLeftMs: Math.max(0, replica.grantedUntil - replica.env.mono()),
      });
    });
  }
  /** A new view from control; the lead among its members starts. @example yield* copy.onInstall({ view, waitMs: 0 }) */
  *onInstall(body: { view: ShardView; waitMs: number }): Task<Result<any>> {
    const replica = this;
    const installedAt = this.env.mono();
    const installed = yield* this.locked<Result<true>>(function* () {
      const known = replica.view?.epoch ?? 0;
      if (body.view.epoch < known || replica.sealedEpoch > body.view.epoch)
        return Fault.fail("conflict", "install", replica.self, "a newer epoch is known");
      if (body.view.epoch === known && replica.exists) return Fault.ok(true as const);
      if (replica.slots.hasFailed) return Fault.fail("disk", "install", replica.self, "disk failed");
      if (!body.view.members.includes(replica.self)) {
        replica.stopLeader("not in the new view");
        replica.role = "out";
      } else {
        if (!replica.exists && body.view.epoch > 1)
          return Fault.fail("notFound", "install", replica.self, "no copy here: never start empty");
        if (!replica.exists) replica.sealedInThisLife = 1;
      }
      replica.stopLeader("newer view");
      const done = yield* replica.write([{ tag: "view", view: body.view }]);
      if (!done.ok) return done;
      replica.view = body.view;
      replica.sealedEpoch = Math.max(replica.sealedEpoch, body.view.epoch);
      replica.exists = true;
      replica.viewChangeReason = "";
      if (body.view.members.includes(replica.self)) replica.role = "member";
      replica.env.log(1401, {
        shard: replica.shard,
        epoch: body.view.epoch,
        lead: body.view.lead,
        members: body.view.members,
      });
      return Fault.ok(true as const);
    });
    if (!installed.ok) return installed;
    if (
      this.view?.epoch === body.view.epoch &&
      body.view.lead === this.self &&
      this.role === "member" &&
      !this.viewChangeReason
    ) {
      if (this.sealedInThisLife !== body.view.epoch) this.viewChangeReason = "lead was restarted before it began";
      else {
        this.role = "starting";
        this.mayLeadAt = installedAt + body.waitMs;
        Csp.go(this.env.scope, `lead of shard ${this.shard}`, () => this.leader(body.view));
      }
    } else if (this.view?.epoch === body.view.epoch && this.role === "starting") {
      // the frame told of the view first, without how long the former grant lasts
      this.mayLeadAt = Math.min(this.mayLeadAt, installedAt + body.waitMs);
      Csp.offer(this.wake, true);
    }
    return installed;
  }
  /** The longest sealed log brings others to its end, each synced there, before the next view is committed. @example yield* copy.onLevel(body) */
  *onLevel(body: { epoch: number; targets: { id: string; address: string }[] }): Task<Result<any>> {
    const fault = this.levelFault(body.epoch);
    if (fault) return fault;
    this.env.point(50, {
      shard: this.shard,
      joiners: body.targets.map(({ id }) => id).filter((id) => !this.view?.members.includes(id)),
    });
    const ids = [this.self];
    const done = Csp.chan<true>(16);
    const replica = this;
    const until = this.env.mono() + Constants.levelTimeoutMs;
    for (const { id, address } of body.targets)
      Csp.go(this.env.scope, `level ${id}`, function* () {
        if (yield* replica.levelOne(address, body.epoch, until)) ids.push(id);
        Csp.offer(done, true);
      });
    for (let heard = 0; heard < body.targets.length; heard += 1) yield* Csp.take(done);
    return this.levelFault(body.epoch) ?? Fault.ok({ ids });
  }
  private levelFault(epoch: number): Result<never> | undefined {
    if (this.slots.hasFailed) return Fault.fail("disk", "level", this.self, "disk failed");
    if (this.sealedInThisLife === epoch && this.sealedEpoch === epoch && (this.view?.epoch ?? 0) < epoch)
      return undefined;
    return Fault.fail("conflict", "level", this.self, `sealed for ${this.sealedEpoch}`);
  }
  private *levelOne(address: string, epoch: number, until: number): Task<boolean> {
    let from = this.lastSeq;
    while (this.env.mono() < until && !this.levelFault(epoch)) {
      const entries = this.tail.filter((entry) => entry.seq > from).slice(0, Constants.fillEntries);
      const response = yield* this.rpc.call(
        address,
        "shard.catchUp",
        { shard: this.shard, epoch, prevSeq: from, prevEpoch: this.epochAt(from), entries },
        Math.min(Constants.sealTimeoutMs, until - this.env.mono()),
      );
      if (!response.ok) {
        if (response.fault.tag !== "timeout" && response.fault.tag !== "broken") return false;
        continue;
      }
      const where: { tag: string; seq: number; lastEpoch: number } = response.value;
      if (where.tag === "ok" && where.seq === this.lastSeq && where.lastEpoch === this.lastEpoch) return true;
      if (where.tag !== "ok" && where.tag !== "behind") return false;
      if (!this.canBeExtendedFrom(where)) return false; // it has to be filled first
      from = where.seq;
    }
    return false;
  }
  /** A member of the next view takes the sealed end's last entries, and its seal. @example yield* copy.onCatchUp(body) */
  *onCatchUp(body: { epoch: number; prevSeq: number; prevEpoch: number; entries: ShardLogEntry[] }): Task<Result<any>> {
    const replica = this;
    return yield* this.locked<Result<any>>(function* () {
      if (replica.slots.hasFailed) return Fault.ok({ tag: "broken" });
      if (body.epoch < replica.sealedEpoch || body.epoch <= (replica.view?.epoch ?? 0))
        return Fault.ok({ tag: "sealed", epoch: replica.sealedEpoch });
      const matches = replica.lastSeq === body.prevSeq && replica.lastEpoch === body.prevEpoch;
      if (!matches) return Fault.ok({ tag: "behind", seq: replica.lastSeq, lastEpoch: replica.lastEpoch });
      const records: Noted[] = body.entries.map((entry) => ({ tag: "entry", entry }));
      if (replica.sealedEpoch < body.epoch) records.unshift({ tag: "seal", epoch: body.epoch });
      const done: Result<true> = records.length > 0 ? yield* replica.write(records) : Fault.ok(true as const);
      if (!done.ok) return Fault.ok({ tag: "broken" });
      replica.exists = true;
      replica.sealedEpoch = replica.sealedInThisLife = body.epoch;
      replica.stopLeader("sealed");
      replica.remember(body.entries);
      replica.applyAll();
      replica.env.point(49, {
        shard: replica.shard,
        joiners: replica.view?.members.includes(replica.self) ? [] : [replica.self],
      });
      return Fault.ok({ tag: "ok", seq: replica.lastSeq, lastEpoch: replica.lastEpoch });
    });
  }
  /** What is open, all at once, for a copy being filled; what is closed for good comes as segments. @example yield* copy.onOpenState({ member: "store-9" }) */
  *onOpenState(body: { member: string }): Task<Result<{ epoch: number; saved: Saved }>> {
    if (!this.holdsLease() || !this.view) return Fault.fail("notLead", "fill", this.self, "");
    this.env.point(48, { shard: this.shard, joiners: [body.member] });
    return Fault.ok({ epoch: this.view.epoch, saved: this.saved() });
  }
  /**
   * Fills this copy out of the lead's, while puts go on there: segments first, in pieces, those that are here already
   * left out; then what is open. It becomes a member only once a change of view has brought it to the sealed end.
   * @example yield* copy.onFill({ from: "10.0.0.5:7000" })
   */
  *onFill(body: { from: string }): Task<Result<{ tag: "ok" | "underWay" }>> {
    if (this.slots.hasFailed) return Fault.fail("disk", "fill", this.self, "disk failed");
    if (this.filling !== "") return Fault.ok({ tag: "underWay" });
    this.filling = body.from;
    try {
      const where = yield* this.rpc.call(
        body.from,
        "shard.goesOn",
        { shard: this.shard, seq: this.lastSeq, lastEpoch: this.lastEpoch },
        500,
      );
      if (!where.ok) return where;
      if (this.exists && where.value.goesOn) return Fault.ok({ tag: "ok" });
      for (let attempt = 0; attempt < 20; attempt += 1) {
        const missing = yield* this.fetchSegments(body.from);
        if (!missing.ok) return missing;
        const state = yield* this.rpc.call<{ epoch: number; saved: Saved }>(
          body.from,
          "shard.openState",
          { shard: this.shard, member: this.self },
          5000,
        );
        if (!state.ok) return state;
        // what was sealed since the list was read comes along in the open state, unless it was written meanwhile
        const { saved } = state.value;
        const held = (kind: SegmentKind): number =>
          saved.data.segments[kind] - saved.data.sealing.filter((each) => each.kind === kind).length;
        if ((["works", "lots", "ledger"] as const).some((kind) => held(kind) > missing.value[kind])) continue;
        return yield* this.takeOpenState(state.value.epoch, saved);
      }
      return Fault.fail("timeout", "fill", this.self, "segments are sealed faster than they come");
    } finally {
      this.filling = "";
    }
  }
  /** Takes what is missing here of another copy's segments; how many of each kind stand here then. */
  private *fetchSegments(from: string): Task<Result<SegmentCounts>> {
    const listed = yield* this.rpc.call<{
      counts: SegmentCounts;
      trimmed: SegmentCounts;
      segments: ReturnType<Segments["list"]>;
    }>(from, "shard.segments", { shard: this.shard }, 2000);
    if (!listed.ok) return listed;
    for (const { kind, number, sum } of listed.value.segments) {
      const trimmed = number < listed.value.trimmed[kind];
      if (yield* this.segments.isIntact(kind, number, sum, trimmed)) continue;
      for (const part of trimmed ? (["idx"] as const) : (["seg", "idx"] as const)) {
        const taken = yield* this.fetchFile(from, kind, number, part);
        if (!taken.ok) return taken;
      }
    }
    return Fault.ok(listed.value.counts);
  }
  private *fetchFile(from: string, kind: SegmentKind, number: number, part: "seg" | "idx"): Task<Result<true>> {
    const pieces: Buffer[] = [];
    for (let at = 0, size = 1; at < size;) {
      const piece = yield* this.rpc.call<{ data: string; size: number }>(
        from,
        "shard.segmentPart",
        { shard: this.shard, kind, number, part, from: at },
        3000,
      );
      if (!piece.ok) return piece;
      const bytes = Buffer.from(piece.value.data, "base64");
      if (bytes.length === 0) return Fault.fail("invalid", "fill", from, "an empty piece");
      pieces.push(bytes);
      at += bytes.length;
      size = piece.value.size;
      this.counts.filledBytes += bytes.length;
      yield* EnvTools.sleep(this.env, (bytes.length * 1000) / Constants.fillBytesPerSecond);
    }
    this.env.point(17);
    return yield* this.segments.writeFile(kind, number, part, Buffer.concat(pieces));
  }
  private *takeOpenState(epoch: number, given: Saved): Task<Result<{ tag: "ok" }>> {
    const replica = this;
    return yield* this.locked<Result<{ tag: "ok" }>>(function* () {
      if (replica.slots.hasFailed) return Fault.fail("disk", "fill", replica.self, "disk failed");
      if (epoch < replica.sealedEpoch || epoch < (replica.view?.epoch ?? 0))
        return Fault.fail("conflict", "fill", replica.self, `sealed for ${replica.sealedEpoch}`);
      // a member of the view that it was taken from is never set back
      if (
        replica.view?.members.includes(replica.self) &&
        replica.view.epoch === given.view?.epoch &&
        given.seq < replica.lastSeq
      )
        return Fault.fail("conflict", "fill", replica.self, `holds ${replica.lastSeq} already`);
      replica.stopLeader("filled from another");
      const saved: Saved = { ...given, sealed: Math.max(replica.sealedEpoch, epoch) };
      const done = yield* replica.slots.checkpoint(saved);
      if (!done.ok) {
        replica.breakDown(done.fault);
        return done;
      }
      const taken = yield* replica.take(saved);
      if (!taken.ok) {
        replica.breakDown(taken.fault);
        return taken;
      }
      Csp.offer(replica.segmentWake, true);
      replica.role = saved.view?.members.includes(replica.self) ? "member" : "out";
      replica.env.log(1407, { shard: replica.shard, seq: replica.lastSeq });
      return Fault.ok({ tag: "ok" });
    });
  }
  /** Whether a log that ends there can be brought up by entries of our tail. @example copy.goesOn({ seq: 100, lastEpoch: 3 }) */
  canBeExtendedFrom = (where: { seq: number; lastEpoch: number }): boolean =>
    where.seq > 0 &&
    where.seq <= this.lastSeq &&
    this.epochAt(where.seq) === where.lastEpoch &&
    (where.seq === this.lastSeq || (this.tail[0]?.seq ?? Infinity) <= where.seq + 1);
  /** @example yield* copy.onDigest({ seq: 100 }) */
  *onDigest(body: { seq: number }): Task<Result<any>> {
    return Fault.ok(
      this.appliedSeq === body.seq
        ? { digests: ShardState.rangeDigests(this.data), segments: this.segments.digest() }
        : {},
    );
  }
  /** Objects of the given ranges, to mend by. @example yield* copy.onMend({ works, lots }) */
  *onRepair(body: { epoch: number; seq: number; works: LiveRequest[]; lots: BatchJob[] }): Task<Result<any>> {
    const replica = this;
    return yield* this.locked<Result<any>>(function* () {
      if (body.epoch < replica.sealedEpoch || replica.slots.hasFailed || replica.appliedSeq < body.seq)
        return Fault.ok({ mended: 0 });
      const mended = ShardState.repair(replica.data, body.works, body.lots);
      if (mended > 0) {
        replica.counts.mended += mended;
        replica.env.log(1408, { shard: replica.shard, objects: mended });
        const done = yield* replica.slots.checkpoint(replica.saved());
        if (!done.ok) replica.breakDown(done.fault);
      }
      return Fault.ok({ mended });
    });
  }
  // ---------- reads ----------
  /** An open lot or a closed one, from its segment. @example const lot = yield* copy.lot("lot-17"); */
  *job(id: string): Task<Result<BatchJob | undefined>> {
    const job = this.data.jobs.get(id);
    return job ? Fault.ok(job) : yield* this.segments.readObject("lots", id);
  }
  /** @example const request = yield* copy.work("req-1"); */
  *liveRequest(id: string): Task<Result<LiveRequest | undefined>> {
    const work = this.data.liveRequests.get(id);
    return work ? Fault.ok(work) : yield* this.segments.readObject("works", id);
  }
  /** A read of sealed entries that goes on in the newest ones: repeated if some were sealed meanwhile. @example yield* copy.ofSealed(() => read) */
  *readConsistently<T>(read: () => Task<Result<T>>): Task<Result<T>> {
    for (;;) {
      const before = this.data.segmentCounts.ledger;
      const done = yield* read();
      if (!done.ok || this.data.segmentCounts.ledger === before) return done;
    }
  }
  /** Waits until something was applied here or came behind the frontier. @example yield* copy.changedWithin(800) */
  *waitForChange(ms: number): Task<void> {
    const wake = Csp.sliding<true>(1);
    this.readers.add(wake);
    // at the lead the frontier moves with the time itself: awake when it passes the next that waits for it
    const next = Math.min(...this.data.unstablePuts.map((waiting) => waiting.stamp.time));
    const due = this.role === "lead" ? next + Stamp.delay(this.hooks.bounds()) - this.env.wall() + 1 : Infinity;
    yield* EnvTools.takeWithin(this.env, wake, Math.min(ms, due > 0 ? due : Constants.statusPeriodMs));
    this.readers.delete(wake);
  }
  private wakeReaders(): void {
    for (const reader of this.readers) Csp.offer(reader, true);
  }
  private silent = (): string[] =>
    [...this.failing].filter(([, since]) => this.env.mono() - since > Constants.memberSilentMs).map(([id]) => id);
  /** How long the lead has not been heard by this member. @example copy.leadSilentFor() */
  leaderSilenceMs = (): number => this.env.mono() - (this.grantedUntil - Constants.shardLeaseMs);
  /** Whether a change of view seems to be called for. @example if (copy.isTroubled()) call(); */
  needsViewChange(): boolean {
    if (this.role === "lead") return this.silent().length > 0;
    const follows = this.role === "member" && !!this.view?.members.includes(this.self);
    return follows && (this.viewChangeReason !== "" || this.leaderSilenceMs() > Constants.leaderSilentMs);
  }
  /** Synced writes so far. @example copy.syncs() */
  syncedWrites = (): number => this.slots.syncCount;
  /** @example copy.status().role */
  status(): ShardReplicaStatus {
    return {
      shard: this.shard,
      epoch: this.view?.epoch ?? 0,
      view: this.view ?? null,
      sealed: this.sealedEpoch,
      role: this.role,
      seq: this.lastSeq,
      lastEpoch: this.lastEpoch,
      failing: this.silent(),
      leadSilentMs: Math.round(this.leaderSilenceMs()),
      wantsView: this.viewChangeReason,
      broken: this.slots.hasFailed || this.retryingDisk,
      frontier: this.data.frontier,
      lots: this.data.jobs.size + this.data.segmentCounts.lots * Constants.segmentObjects.lots,
      works: this.data.liveRequests.size + this.data.segmentCounts.works * Constants.segmentObjects.works,
    };
  }

  // ---------- the lead ----------
  private others = (): string[] => (this.view?.members ?? []).filter((id) => id !== this.self);
  /** Whether the duty is held right now. @example if (!copy.holdsGrant()) return notLead; */
  holdsLease(): boolean {
    const now = this.env.mono();
    return this.role === "lead" && this.others().every((id) => (this.leases.get(id) ?? 0) > now);
  }
  /** Ends our time as lead. @example copy.stopLead("frozen"); */
  stopLeader(why: string): void {
    if (this.role !== "lead" && this.role !== "starting") return;
    this.env.log(1412, { shard: this.shard, epoch: this.view?.epoch, why });
    this.role = this.slots.hasFailed ? "out" : "member";
    this.leases.clear();
    for (const pending of this.pending) Csp.offer(pending.reply, Fault.fail("notLead", "put", this.self, why));
    for (const pending of this.inFlight) Csp.offer(pending.reply, Fault.fail("unknown", "put", this.self, why));
    this.pending = [];
    this.inFlight = [];
    this.viewChangeReason = why;
    if (why !== "sealed") this.hooks.viewChangeNeeded();
    Csp.offer(this.wake, true);
    this.hooks.leadershipStopped(this);
  }
  private isLeadOf = (epoch: number): boolean =>
    (this.role === "lead" || this.role === "starting") && this.view?.epoch === epoch;

  private *send(
    id: string,
    epoch: number,
    prevSeq: number,
    entries: ShardLogEntry[],
  ): Task<"ok" | "behind" | "over" | "failed"> {
    const address = this.hooks.addressOf(id);
    if (!address || !this.view) return "failed";
    const askedAt = this.env.mono();
    const response = yield* this.rpc.call(
      address,
      "shard.replicate",
      {
        shard: this.shard,
        epoch,
        view: this.view,
        prevSeq,
        prevEpoch: this.epochAt(prevSeq) ?? -2,
        entries,
        frontier: this.published,
        stable: this.appliedSeq,
      },
      Constants.replicateTimeoutMs,
    );
    if (!this.isLeadOf(epoch)) return "over";
    if (!response.ok) {
      this.failSince(id, askedAt, response.fault);
      return "failed";
    }
    switch (response.value.tag) {
      case "ok":
        this.leases.set(id, askedAt + Constants.shardLeaseMs - Constants.shardLeaseMarginMs);
        this.lowDisk.set(id, response.value.lowDisk);
        this.failing.delete(id);
        return "ok";
      case "sealed":
        this.stopLeader(`refused by ${id}: sealed for ${response.value.epoch}`);
        return "over";
      case "behind":
        return "behind";
      default:
        this.failing.set(id, -Infinity); // its disk failed: no use waiting
        return "failed";
    }
  }
  /** Since when a member has not synced what it was sent; one that takes no connection is half convicted at once. */
  private failSince(id: string, askedAt: number, fault?: Fault): void {
    const since = fault?.tag === "refused" ? askedAt - Constants.memberSilentMs / 2 : askedAt;
    if (!this.failing.has(id)) this.failing.set(id, since);
  }
  private *leader(view: ShardView): Task<void> {
    const epoch = view.epoch;
    const replica = this;
    this.failing.clear();
    this.leases.clear();
    const ready = Csp.chan<true>(16);
    for (const id of this.others())
      Csp.go(this.env.scope, `grant of ${id}`, function* () {
        // every member stands where we stand: the view was committed only then
        while (replica.isLeadOf(epoch) && (yield* replica.send(id, epoch, replica.lastSeq, [])) !== "ok")
          yield* EnvTools.sleep(replica.env, 40);
        Csp.offer(ready, true);
      });
    for (let heard = 0; heard < this.others().length; heard += 1) yield* Csp.take(ready);
    while (this.env.mono() < this.mayLeadAt && this.isLeadOf(epoch))
      yield* EnvTools.takeWithin(this.env, this.wake, this.mayLeadAt - this.env.mono());
    if (!this.isLeadOf(epoch)) return;
    this.env.point(44);
    this.applyAll();
    // the former lead may have let reads go as far as the end of its grant: begin there, plus δ
    this.published = Math.max(this.data.frontier, this.env.wall() + this.hooks.bounds().deltaMs);
    this.viewChangeReason = "";
    this.role = "lead";
    for (const id of this.others()) yield* this.send(id, epoch, this.lastSeq, []);
    if (!this.isLeadOf(epoch)) return;
    this.env.log(1411, { shard: this.shard, epoch, seq: this.lastSeq });
    this.hooks.leadershipStarted(this);
    Csp.go(this.env.scope, `renewals of shard ${this.shard} epoch ${epoch}`, () => replica.renewLoop(epoch));
    yield* this.orderLoop(epoch);
  }
  private *renewLoop(epoch: number): Task<void> {
    while (this.isLeadOf(epoch)) {
      const replica = this;
      this.advance();
      if (this.needsViewChange()) this.hooks.viewChangeNeeded();
      // where puts go, they have renewed
      const due = this.env.mono() + Constants.shardLeaseMs - Constants.shardLeaseMarginMs - Constants.leaseRenewMs / 2;
      for (const id of this.others().filter((other) => (this.leases.get(other) ?? 0) < due))
        Csp.go(this.env.scope, "renew", function* () {
          if ((yield* replica.send(id, epoch, replica.appliedSeq, [])) === "behind")
            replica.failSince(id, replica.env.mono());
        });
      yield* EnvTools.sleep(this.env, Constants.leaseRenewMs);
    }
  }
  /** The temporal stability frontier: Δ + 2δ + ε into the past, held back by what is known to be under way. */
  private advance(): void {
    if (this.role !== "lead" || !this.hooks.isClockTrusted()) return;
    let candidate = this.env.wall() - Stamp.delay(this.hooks.bounds());
    for (const pending of [...this.inFlight, ...this.pending])
      candidate = Math.min(candidate, pending.put.stamp.time - 0.001);
    if (candidate > this.published) this.published = candidate;
    this.moveFrontier(this.published);
  }
  private moveFrontier(to: number): void {
    const before = this.data.frontier;
    ShardState.advanceFrontier(this.data, to);
    if (this.data.frontier !== before) this.wakeReaders();
  }
  /** How far temporal reads may go on this copy. @example const upTo = copy.frontier(); */
  frontier(): number {
    this.advance();
    return this.data.frontier;
  }

  /** Puts through the lead. "late" and "notLead" mean it was never logged; "unknown" means ask again by the same id. @example yield* copy.put(put, 1000) */
  *put(put: Put, withinMs: number): Task<Result<PutOutcome>> {
    if (!this.holdsLease()) return Fault.fail("notLead", "put", this.self, this.view?.lead ?? "");
    const repeated = this.data.putOutcomes.get(put.putId);
    if (repeated) return Fault.ok(repeated.outcome);
    if (this.pending.length >= Constants.shardBufferPuts)
      return Fault.busy("put", this.self, "shard buffer full", Constants.retryAfterMs);
    const takesIn = put.ops.some((op) => op.op === "open" || op.op === "lot");
    if (takesIn && (this.diskLow || [...this.lowDisk.values()].some((low) => low)))
      return Fault.busy("put", this.self, "a store's disk is nearly full", 5 * Constants.retryAfterMs);
    this.advance();
    if (put.stamp.time <= this.published) {
      this.counts.late += 1;
      return Fault.fail(
        "late",
        "put",
        this.self,
        `stamp ${Stamp.text(put.stamp)} is behind the frontier ${this.published}`,
      );
    }
    const response = Csp.chan<Result<PutOutcome>>(1);
    this.pending.push({ put, reply: response, enqueuedAt: this.env.mono() });
    Csp.offer(this.wake, true);
    const replied = yield* EnvTools.takeWithin(this.env, response, withinMs);
    return replied ?? Fault.fail("unknown", "put", this.self, "not on every copy in time");
  }
  private *orderLoop(epoch: number): Task<void> {
    const replica = this;
    while (this.isLeadOf(epoch)) {
      if (this.pending.length === 0) yield* EnvTools.takeWithin(this.env, this.wake, 1000);
      if (!this.isLeadOf(epoch)) return;
      if (this.pending.length === 0) continue;
      const batch = (this.inFlight = this.pending.splice(0, Constants.putBatch));
      const entry: ShardLogEntry = {
        seq: this.lastSeq + 1,
        epoch,
        frontier: this.published,
        puts: batch.map((pending) => pending.put),
      };
      const prevSeq = this.lastSeq;
      const prevEpoch = this.lastEpoch;
      const acks = Csp.chan<boolean>(16);
      const members = this.others();
      const body = EnvelopeCodec.shared({
        shard: this.shard,
        epoch,
        view: this.view,
        prevSeq,
        prevEpoch,
        entries: [entry],
        frontier: entry.frontier,
        stable: prevSeq,
      });
      for (const id of members)
        Csp.go(this.env.scope, `replicate to ${id}`, function* () {
          Csp.offer(acks, yield* replica.deliverEntry(id, epoch, body));
        });
      this.env.point(45);
      const written = yield* this.locked<Result<true>>(function* () {
        if (!replica.isLeadOf(epoch)) return Fault.fail("notLead", "put", replica.self, "sealed");
        const done = yield* replica.write([{ tag: "entry", entry }]);
        if (done.ok) replica.remember([entry]);
        return done;
      });
      if (!written.ok) {
        this.stopLeader("entry not written");
        return;
      }
      this.env.point(46);
      for (let heard = 0; heard < members.length; heard += 1)
        if (!(yield* Csp.take(acks)) || !this.isLeadOf(epoch)) return;
      if (!this.isLeadOf(epoch)) return;
      const outcomes = this.applyAll();
      const now = this.env.wall();
      const bounds = this.hooks.bounds();
      batch.forEach((pending, at) => {
        const took = now - pending.put.stamp.time;
        this.hooks.putCompleted(this.env.mono() - pending.enqueuedAt);
        if (took > bounds.bigDeltaMs + bounds.epsilonMs + bounds.deltaMs) {
          this.counts.overruns += 1;
          this.env.log(1406, { shard: this.shard, putId: pending.put.putId, tookMs: Math.round(took) });
        }
        Csp.offer(pending.reply, Fault.ok(outcomes[at]));
      });
      this.inFlight = [];
      this.counts.puts += batch.length;
      this.counts.batches += 1;
      this.env.point(47);
      yield* this.locked(() => replica.foldIfLong());
    }
  }
  private *deliverEntry(id: string, epoch: number, body: object): Task<boolean> {
    for (;;) {
      if (!this.isLeadOf(epoch)) return false;
      const address = this.hooks.addressOf(id);
      const askedAt = this.env.mono();
      const response = address
        ? yield* this.rpc.call(address, "shard.replicate", body, Constants.replicateTimeoutMs)
        : undefined;
      if (!this.isLeadOf(epoch)) return false;
      if (response?.ok && response.value.tag === "ok") {
        this.leases.set(id, askedAt + Constants.shardLeaseMs - Constants.shardLeaseMarginMs);
        this.failing.delete(id);
        return true;
      }
      if (response?.ok && response.value.tag === "sealed") {
        this.stopLeader(`refused by ${id}: sealed for ${response.value.epoch}`);
        return false;
      }
      if (response?.ok && response.value.tag === "broken") this.failing.set(id, -Infinity);
      else this.failSince(id, askedAt, response && !response.ok ? response.fault : undefined);
      yield* EnvTools.sleep(this.env, 40);
    }
  }
  /** What a copy that is being filled is told of our segments. @example copy.onSegments() */
  onSegments = (): Result<{ counts: SegmentCounts; trimmed: SegmentCounts; segments: ReturnType<Segments["list"]> }> =>
    Fault.ok({
      counts: { ...this.data.segmentCounts },
      trimmed: { ...this.data.trimmedCounts },
      segments: this.segments.list(),
    });
  /** Looks at one segment file in turn; a damaged one is fetched anew from another member. @example yield* copy.scrub(7) */
  *scrub(turn: number): Task<void> {
    const looked = this.segments.segmentToScrub(turn);
    if (
      !looked ||
      this.slots.hasFailed ||
      this.role === "out" ||
      (yield* this.segments.isIntact(looked.kind, looked.number, looked.sum, false))
    )
      return;
    this.env.log(1413, { shard: this.shard, segment: `${looked.kind}-${looked.number}` });
    for (const id of this.others()) {
      const address = this.hooks.addressOf(id);
      const fetched = address ? yield* this.fetchFile(address, looked.kind, looked.number, "seg") : undefined;
      if (!fetched?.ok) continue;
      this.counts.mended += 1;
      return;
    }
  }
  /** The lead holds other segments than we do: its word goes. @example yield* copy.onMendSegments({ from }) */
  *onRepairSegments(body: { from: string }): Task<Result<{ mended: number }>> {
    const before = this.segments.digest();
    const fetched = yield* this.fetchSegments(body.from);
    if (!fetched.ok) return fetched;
    const replica = this;
    const opened = yield* this.locked(() =>
      replica.segments.open(replica.data.segmentCounts, replica.data.trimmedCounts, replica.data.pendingSegments),
    );
    if (!opened.ok) return opened;
    const mended = this.segments.digest() === before ? 0 : 1;
    this.counts.mended += mended;
    return Fault.ok({ mended });
  }
  /** Compares ranges with every other member and mends what differs. @example yield* copy.repair() */
  *repair(): Task<number> {
    let mended = 0;
    for (const id of this.others())
      // under load both must be caught at the same entry: a few tries
      for (let attempt = 0; attempt < 6; attempt += 1) {
        const found = yield* this.compare(id);
        if (found === undefined) continue;
        mended += found;
        break;
      }
    return mended;
  }
  private *compare(id: string): Task<number | undefined> {
    const address = this.hooks.addressOf(id);
    if (!address || !this.holdsLease() || !this.view) return 0;
    const seq = this.appliedSeq;
    const ours = ShardState.rangeDigests(this.data);
    const theirs = yield* this.rpc.call(address, "shard.digest", { shard: this.shard, seq }, 1000);
    if (!theirs.ok) return 0;
    if (!theirs.value.digests || this.appliedSeq !== seq) return undefined;
    if (theirs.value.segments !== this.segments.digest()) {
      const mended = yield* this.rpc.call(
        address,
        "shard.mendSegments",
        { shard: this.shard, from: this.hooks.addressOf(this.self) },
        10_000,
      );
      this.env.log(1408, { shard: this.shard, segmentsOf: id, mended: mended.ok });
    }
    const differing = new Set(ours.flatMap((digest, range) => (digest === theirs.value.digests[range] ? [] : [range])));
    if (differing.size === 0) return 0;
    const inRange = (object: { id: string }): boolean => differing.has(ShardState.rangeOf(object.id));
    const response = yield* this.rpc.call(
      address,
      "shard.mend",
      {
        shard: this.shard,
        epoch: this.view.epoch,
        seq,
        works: [...this.data.liveRequests.values()].filter(inRange),
        lots: [...this.data.jobs.values()].filter(inRange),
      },
      2000,
    );
    return response.ok ? response.value.mended : 0;
  }
}
