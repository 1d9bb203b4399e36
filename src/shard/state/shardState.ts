import { Constants } from "../../common/constants";
import { Stamp } from "../../common/stamp";
import {
  acceptJob,
  addItemResult,
  addItemResults,
  claimItem,
  endJob,
  refuseJob,
  releaseItem,
} from "./batchJobOperations";
import type { BatchJob } from "./batchJob";
import type { Cause } from "../../common/ledgerEntry";
import { addLedgerEntries, trimSegments } from "./ledgerOperations";
import type { LiveRequest } from "./liveRequest";
import { appendChunks, claimRequest, closeRequest, openRequest, releaseRequest } from "./liveRequestOperations";
import type { OperationContext } from "./operationContext";
import type { Put, PutOutcome, ShardOperation } from "./operations";
import { sealSegments } from "./segmentSealing";
import type { ShardData, UnstablePut } from "./shardData";

function applyOperation(context: OperationContext, op: ShardOperation): PutOutcome {
  switch (op.op) {
    case "open":
      return openRequest(context, op);
    case "claim":
      return claimRequest(context, op);
    case "release":
      return releaseRequest(context, op);
    case "pieces":
      return appendChunks(context, op);
    case "close":
      return closeRequest(context, op);
    case "lot":
      return acceptJob(context, op);
    case "lotRefuse":
      return refuseJob(context, op);
    case "itemResults":
      return addItemResults(context, op);
    case "itemClaim":
      return claimItem(context, op);
    case "itemRelease":
      return releaseItem(context, op);
    case "itemResult":
      return addItemResult(context, op);
    case "lotEnd":
      return endJob(context, op);
    case "note":
      return addLedgerEntries(context, op);
    case "trim":
      return trimSegments(context, op);
    default: {
      const never: never = op;
      return never;
    }
  }
}

/** The object that an operation changes; undefined for the ledger and for objects that aren't in memory. */
function changedObject(data: ShardData, op: ShardOperation): LiveRequest | BatchJob | undefined {
  if ("work" in op) return data.liveRequests.get(op.work.id);
  if ("id" in op) return data.liveRequests.get(op.id);
  if (op.op === "lot") return data.jobs.get(op.lot.id);
  if ("lot" in op) return data.jobs.get(op.lot);
  return undefined;
}

/** Wall-clock time (ms) until which a put may be retried: its caller retries only while it waits for an outcome. */
function repeatableUntil(put: Put): number {
  const deadlines = put.ops.map((op) => (op.op === "open" ? op.work.deadlineAt : 0));
  return Math.max(put.stamp.time, ...deadlines) + Constants.putOutcomeRetentionMs;
}

/** Deletes the item bodies of closed jobs that nobody reads any more. */
function expireItemBodies(data: ShardData, clock: number): void {
  while (data.jobsWithBodies.length > 0) {
    const job = data.jobs.get(data.jobsWithBodies[0]);
    if ((job?.closedAt?.time ?? 0) + Constants.jobBodiesRetentionMs >= clock) return;
    data.jobsWithBodies.shift();
    if (job) job.bodies = [];
  }
}

function expireRefusedRequests(data: ShardData, clock: number): void {
  while (data.refusedRequests.length > 0) {
    const id = data.refusedRequests[0];
    const request = data.liveRequests.get(id);
    if ((request?.closedAt?.time ?? 0) + Constants.rejectionRetentionMs >= clock) return;
    data.refusedRequests.shift();
    if (request?.state === "refused") data.liveRequests.delete(id);
  }
}

function expirePutOutcomes(data: ShardData, clock: number): void {
  for (const [id, { until }] of data.putOutcomes) {
    if (until >= clock) return;
    data.putOutcomes.delete(id);
  }
}

function expireRefusedJobs(data: ShardData, clock: number): void {
  for (const [id, { time }] of data.refusedJobs) {
    if (time + Constants.rejectionRetentionMs >= clock) return;
    data.refusedJobs.delete(id);
  }
}

/**
 * The replicated state machine of a shard. Every replica applies the same entries in the same order and reaches the
 * same state.
 *
 * @example
 * const data = ShardData.empty();
 * ShardState.advanceClock(data, entry.frontier);
 * for (const put of entry.puts) ShardState.apply(data, put);
 * ShardState.seal(data);
 */
export const ShardState = {
  /** Applies a put. A put with a known id changes nothing and gets the outcome of the first. */
  apply(data: ShardData, put: Put): PutOutcome {
    const earlier = data.putOutcomes.get(put.putId);
    if (earlier) return earlier.outcome;
    const unstable: UnstablePut = { stamp: put.stamp, ledger: [], results: [] };
    const addLedgerEntry = (subject: string, decision: string, cause: Cause = put.cause): void => {
      unstable.ledger.push({ stamp: put.stamp, n: unstable.ledger.length, subject, decision, cause });
    };
    let outcome: PutOutcome = { tag: "done" };
    for (const op of put.ops) {
      outcome = applyOperation({ data, put, addLedgerEntry, unstable }, op);
      if (outcome.tag !== "done") break;
      const changed = changedObject(data, op);
      if (changed) changed.version += 1;
    }
    if (unstable.ledger.length > 0 || unstable.results.length > 0) data.unstablePuts.push(unstable);
    data.putOutcomes.set(put.putId, { until: repeatableUntil(put), outcome });
    return outcome;
  },

  /**
   * Advances the log clock to the time that an entry records, before the puts of the entry are applied. Everything that
   * depends on time but must happen at the same entry on every replica happens here: old put outcomes, rejections and
   * item bodies, which nobody can need any more, are removed.
   *
   * @param clock frontier recorded in the entry: wall-clock time, ms
   */
  advanceClock(data: ShardData, clock: number): void {
    ShardState.advanceFrontier(data, clock);
    if (clock <= data.logClock) return;
    data.logClock = clock;
    expirePutOutcomes(data, clock);
    expireRefusedJobs(data, clock);
    expireItemBodies(data, clock);
    expireRefusedRequests(data, clock);
  },

  /** Seals the oldest closed objects if there are enough of them. Called after the puts of an entry are applied. */
  seal(data: ShardData): void {
    sealSegments(data);
  },

  /**
   * Rule 3 of the paper (Birman et al. 2026, section 2.9): the time index covers the prefix that is stable both
   * logically and temporally. All puts in the log with τ ≤ frontier are indexed in the order of their stamps; no later
   * put can precede them.
   *
   * @param frontier wall-clock time, ms; a value below the current frontier changes nothing
   */
  advanceFrontier(data: ShardData, frontier: number): void {
    if (frontier <= data.frontier) return;
    data.frontier = frontier;
    const stable = data.unstablePuts.filter((put) => put.stamp.time <= frontier);
    if (stable.length === 0) return;
    data.unstablePuts = data.unstablePuts.filter((put) => put.stamp.time > frontier);
    stable.sort((left, right) => Stamp.compare(left.stamp, right.stamp));
    for (const put of stable) {
      data.ledger.push(...put.ledger);
      for (const { lot: jobId, item } of put.results) data.jobs.get(jobId)?.positions.push(item);
    }
  },
};
