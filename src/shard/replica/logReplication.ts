import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { EnvelopeCodec } from "../../rpc/envelopeCodec";
import { Csp, Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import type { ReplicateRequest } from "../messages/replicationMessages";
import type { Put, PutOutcome } from "../state/operations";
import type { Leadership } from "./leadership";
import type { MemberSender } from "./memberSender";
import type { QueuedPut } from "./putQueue";
import { MEMBERS_MAX, ReplicaState } from "./replicaState";
import type { ReplicaStorage } from "./replicaStorage";
import type { ShardLogEntry } from "./shardLog";
import type { StablePrefix } from "./stablePrefix";

/** How often an idle leader checks whether it still leads, ms. */
const LEADERSHIP_CHECK_MS = 1000;

/** Whether a put opens a request or a job, which is rejected while a disk is nearly full. */
const opensRequestOrJob = (put: Put): boolean => put.ops.some((op) => op.op === "open" || op.op === "lot");

/**
 * Replication at the leader: orders puts into entries (group commit), and completes a put once every member of the view
 * has synced its entry.
 */
export class LogReplication {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly stablePrefix: StablePrefix,
    private readonly storage: ReplicaStorage,
    private readonly sender: MemberSender,
  ) {}

  /**
   * Logs and applies a put. The faults "late", "busy" and "notLead" mean that the put was not logged. "unknown" means
   * that it may have been; it may be retried under the same id.
   *
   * @param withinMs how long to wait for the outcome, ms
   */
  *put(put: Put, withinMs: number): Task<Result<PutOutcome>> {
    const { state, leadership } = this;
    const { env, selfId } = state.context;
    if (!leadership.holdsLease()) return Fault.fail("notLead", "put", selfId, state.view?.lead ?? "");
    const earlier = state.data.putOutcomes.get(put.putId);
    if (earlier) return Fault.ok(earlier.outcome);
    const rejection = this.rejectionOf(put);
    if (rejection) return rejection;
    const response = leadership.puts.add(put, env.monotonicMs());
    Csp.offer(leadership.wake, true);
    const outcome = yield* EnvironmentTools.takeWithin(env, response, withinMs);
    return outcome ?? Fault.fail("unknown", "put", selfId, "not on every copy in time");
  }
  /** The fault of a put that can't be queued; undefined if it can. */
  private rejectionOf(put: Put): Result<never> | undefined {
    const { state, leadership, stablePrefix } = this;
    const { selfId } = state.context;
    if (leadership.puts.length >= Constants.queuedPutsMax)
      return Fault.busy("put", selfId, "shard buffer full", Constants.retryAfterMs);
    if (opensRequestOrJob(put) && leadership.isAnyDiskLow())
      return Fault.busy("put", selfId, "a store's disk is nearly full", 5 * Constants.retryAfterMs);
    stablePrefix.advance();
    if (put.stamp.time > stablePrefix.published) return undefined;
    state.counts.latePuts += 1;
    const detail = `stamp ${Stamp.text(put.stamp)} is behind the frontier ${stablePrefix.published}`;
    return Fault.fail("late", "put", selfId, detail);
  }

  /** Replicates queued puts until this replica no longer leads the epoch. */
  *run(epoch: number): Task<void> {
    const { state, leadership } = this;
    while (leadership.isLeaderOf(epoch)) {
      if (leadership.puts.length === 0)
        yield* EnvironmentTools.takeWithin(state.context.env, leadership.wake, LEADERSHIP_CHECK_MS);
      if (!leadership.isLeaderOf(epoch)) return;
      if (leadership.puts.length === 0) continue;
      const isReplicated = yield* this.replicateBatch(epoch, leadership.puts.takeBatch(Constants.putBatchMax));
      if (!isReplicated) return;
      yield* state.withLock(() => this.storage.compactIfLong());
    }
  }
  /** Replicates a batch as one entry. Returns false once this replica no longer leads. */
  private *replicateBatch(epoch: number, batch: QueuedPut[]): Task<boolean> {
    const { state, leadership } = this;
    const { env } = state.context;
    const entry: ShardLogEntry = {
      seq: state.log.lastSeq + 1,
      epoch,
      frontier: this.stablePrefix.published,
      puts: batch.map(({ put }) => put),
    };
    const members = state.otherMembers();
    const acknowledgements = Csp.chan<boolean>(MEMBERS_MAX);
    const request = this.requestFor(entry);
    const { sender } = this;
    for (const id of members)
      Csp.go(env.scope, `replicate to ${id}`, function* () {
        Csp.offer(acknowledgements, yield* sender.sendUntilSynced(id, request));
      });
    env.faultPoint(45);
    const written = yield* state.withLock(() => this.appendOwn(epoch, entry));
    if (!written.ok) {
      leadership.stop("entry not written");
      return false;
    }
    env.faultPoint(46);
    for (let acknowledged = 0; acknowledged < members.length; acknowledged += 1) {
      const isSynced = yield* Csp.take(acknowledgements);
      if (!isSynced || !leadership.isLeaderOf(epoch)) return false;
    }
    if (!leadership.isLeaderOf(epoch)) return false;
    this.completeBatch(batch);
    env.faultPoint(47);
    return true;
  }
  private requestFor(entry: ShardLogEntry): ReplicateRequest {
    const { log, context, view } = this.state;
    const request: ReplicateRequest = {
      shard: context.shard,
      epoch: entry.epoch,
      view: view!,
      prevSeq: log.lastSeq,
      prevEpoch: log.lastEpoch,
      entries: [entry],
      frontier: entry.frontier,
      stable: log.lastSeq,
    };
    return EnvelopeCodec.preEncode(request);
  }
  private *appendOwn(epoch: number, entry: ShardLogEntry): Task<Result<true>> {
    const { state } = this;
    if (!this.leadership.isLeaderOf(epoch)) return Fault.fail("notLead", "put", state.context.selfId, "sealed");
    const written = yield* this.storage.write([{ tag: "entry", entry }]);
    if (written.ok) state.log.append([entry]);
    return written;
  }
  private completeBatch(batch: QueuedPut[]): void {
    const { state } = this;
    const { env, hooks, shard } = state.context;
    const outcomes = state.applyLog();
    const now = env.wallClockMs();
    const { bigDeltaMs, epsilonMs, deltaMs } = hooks.bounds();
    batch.forEach(({ put, response, queuedAt }, index) => {
      const tookMs = now - put.stamp.time;
      hooks.putCompleted(env.monotonicMs() - queuedAt);
      if (tookMs > bigDeltaMs + epsilonMs + deltaMs) {
        state.counts.overrunPuts += 1;
        env.log(1406, { shard, putId: put.putId, tookMs: Math.round(tookMs) });
      }
      Csp.offer(response, Fault.ok(outcomes[index]));
    });
    this.leadership.puts.batchCompleted();
    state.counts.puts += batch.length;
    state.counts.batches += 1;
  }
}
