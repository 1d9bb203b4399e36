/**
 * Operations on batch jobs and their items. Reasons for rejections and texts of ledger entries are stored and never
 * change.
 */
import { Stamp } from "../../common/stamp";
import type { BatchItem, BatchJob, ItemOutcome } from "./batchJob";
import { OperationContext, sealedOutcome } from "./operationContext";
import type { OperationOf, PutOutcome } from "./operations";
import type { ShardData } from "./shardData";

const NOT_CLAIMED: PutOutcome = { tag: "no", why: "not claimed in this round" };

/** Accepts a batch job. Each id is accepted once. */
export function acceptJob({ data, addLedgerEntry, put }: OperationContext, op: OperationOf<"lot">): PutOutcome {
  const sealed = sealedOutcome(data, "lots", op.lot.id, op.lot.bodyHash);
  if (sealed) return sealed;
  const known = data.jobs.get(op.lot.id);
  if (known)
    return {
      tag: "exists",
      same: known.bodyHash === op.lot.bodyHash,
      state: known.ended ? "ended" : known.open === 0 ? "finished" : "open",
    };
  const refusedAt = data.refusedJobs.get(op.lot.id);
  if (refusedAt && op.life !== undefined && Stamp.compare(Stamp.parse(op.life)!, refusedAt) <= 0)
    return { tag: "no", why: "this arrival of the lot was refused" };
  data.refusedJobs.delete(op.lot.id);
  const tokensWaiting = op.lot.requests?.reduce((sum, request) => sum + request.tokens, 0);
  const items = op.lot.bodies.map((): BatchItem => ({
    state: "waiting",
    round: 0,
    replica: "",
    owner: "",
    stamp: null,
    result: "",
  }));
  data.jobs.set(op.lot.id, {
    ...op.lot,
    stamp: put.stamp,
    items,
    open: items.length,
    ended: false,
    endedBy: "",
    positions: [],
    version: 0,
    closedAt: null,
    ...(tokensWaiting === undefined ? {} : { tokensWaiting }),
  });
  addLedgerEntry(`lot ${op.lot.id}`, `accepted with ${items.length} items for ${op.lot.binding}`);
  return { tag: "done" };
}

/** Rejects all submissions of a batch job that arrived up to this put. */
export function refuseJob({ data, addLedgerEntry, put }: OperationContext, op: OperationOf<"lotRefuse">): PutOutcome {
  const sealed = data.sealedObjects.find("lots", op.lot);
  const known = data.jobs.get(op.lot);
  if (sealed || known) return { tag: "exists", same: true, state: known?.ended ? "ended" : "open" };
  data.refusedJobs.delete(op.lot); // keeps the map in the order of the rejections
  data.refusedJobs.set(op.lot, put.stamp);
  addLedgerEntry(`lot ${op.lot}`, "refused: given up before it was kept");
  return { tag: "done" };
}

/** Adds results of items that were run without claims. Only the first result of each item is kept. */
export function addItemResults(
  { data, addLedgerEntry, put, unstable }: OperationContext,
  op: OperationOf<"itemResults">,
): PutOutcome {
  const job = data.jobs.get(op.lot);
  const newResults = op.results.filter(({ item }) => job?.requests && job.items[item]?.state === "waiting");
  for (const { item, state, result } of newResults) {
    Object.assign(job!.items[item], { state, stamp: put.stamp, result });
    unstable.results.push({ lot: op.lot, item });
    closeItem(data, job!, put.stamp, item);
  }
  const itemsIn = (state: ItemOutcome["state"]): string =>
    newResults
      .filter((outcome) => outcome.state === state)
      .map(({ item }) => item)
      .join(" ");
  for (const state of ["done", "abandoned"] as const)
    if (itemsIn(state)) addLedgerEntry(`lot ${op.lot}`, `items ${state}: ${itemsIn(state)}`);
  return { tag: "done" };
}

/** Claims an item for one attempt at an endpoint. */
export function claimItem({ data, addLedgerEntry }: OperationContext, op: OperationOf<"itemClaim">): PutOutcome {
  const job = data.jobs.get(op.lot);
  const item = job?.items[op.item];
  if (!job || !item) return { tag: "no", why: "no such item" };
  if (job.ended) return { tag: "no", why: "lot is ended" };
  if (item.state !== "waiting" || op.round !== item.round + 1)
    return { tag: "no", why: `item is ${item.state} in round ${item.round}` };
  Object.assign(item, { state: "claimed", round: op.round, replica: op.replica, owner: op.owner });
  addLedgerEntry(`item ${op.lot}/${op.item}`, `claimed for replica ${op.replica}, round ${op.round}`);
  return { tag: "done" };
}

/** Releases the claim of an attempt that certainly did not run. */
export function releaseItem(
  { data, addLedgerEntry, put }: OperationContext,
  op: OperationOf<"itemRelease">,
): PutOutcome {
  const job = data.jobs.get(op.lot);
  const item = job?.items[op.item];
  if (!job || !item || item.state !== "claimed" || item.round !== op.round) return NOT_CLAIMED;
  item.state = job.ended ? "ended" : "waiting";
  if (job.ended) closeItem(data, job, put.stamp, op.item);
  addLedgerEntry(`item ${op.lot}/${op.item}`, `released from replica ${item.replica}: ${op.why}`);
  return { tag: "done" };
}

/** Adds the result of a claimed item. */
export function addItemResult(
  { data, addLedgerEntry, put, unstable }: OperationContext,
  op: OperationOf<"itemResult">,
): PutOutcome {
  const job = data.jobs.get(op.lot);
  const item = job?.items[op.item];
  if (!job || !item || item.state !== "claimed" || item.round !== op.round) return NOT_CLAIMED;
  Object.assign(item, { state: op.state, stamp: put.stamp, result: op.result });
  job.bodies[op.item] = "";
  unstable.results.push({ lot: op.lot, item: op.item });
  closeItem(data, job, put.stamp, op.item);
  addLedgerEntry(`item ${op.lot}/${op.item}`, `result marked ${op.state}`);
  return { tag: "done" };
}

/** Ends a job at the request of its client. Items that still wait don't run. */
export function endJob({ data, addLedgerEntry, put }: OperationContext, op: OperationOf<"lotEnd">): PutOutcome {
  const job = data.jobs.get(op.lot);
  if (!job)
    return data.sealedObjects.find("lots", op.lot)
      ? { tag: "exists", same: true, state: "closed" }
      : { tag: "no", why: "no such lot" };
  if (job.ended) return { tag: "exists", same: true, state: "ended" };
  job.ended = true;
  job.endedBy = op.by;
  job.items.forEach((item, index) => {
    if (item.state !== "waiting") return;
    item.state = "ended";
    closeItem(data, job, put.stamp, index);
  });
  addLedgerEntry(`lot ${op.lot}`, `ended by ${op.by}`);
  return { tag: "done" };
}

/** Decrements the number of open items; the last one closes the job. */
function closeItem(data: ShardData, job: BatchJob, at: Stamp, itemIndex: number): void {
  job.open -= 1;
  if (job.requests) job.tokensWaiting! -= job.requests[itemIndex].tokens;
  if (job.open > 0) return;
  // The newest stamp of all items: once the frontier has passed it, every result has its position.
  job.closedAt = job.items.reduce(
    (newest, item) => (item.stamp && Stamp.compare(item.stamp, newest) > 0 ? item.stamp : newest),
    at,
  );
  data.closedJobs.push(job.id);
  if (job.requests) data.jobsWithBodies.push(job.id);
}
