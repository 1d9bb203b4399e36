/** Operations on lots and their items. */
import { Stamp } from "../common/stamp";
import { BatchItem, ItemOutcome, BatchJob, OperationContext, OperationOf, PutOutcome, ShardData } from "./shardTypes";

/** A lot is taken in, once by its id. */
export function acceptJob({ data, note, put }: OperationContext, op: OperationOf<"lot">): PutOutcome {
  const kept = data.sealedObjects.find("lots", op.lot.id);
  if (kept)
    return {
      tag: "exists",
      same: data.sealedObjects.hasSameBody(kept, op.lot.bodyHash),
      state: kept.trimmed ? "trimmed" : kept.state,
    };
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
  note(`lot ${op.lot.id}`, `accepted with ${items.length} items for ${op.lot.binding}`);
  return { tag: "done" };
}

/** No arrival of the lot up to this put is ever kept. */
export function refuseJob({ data, note, put }: OperationContext, op: OperationOf<"lotRefuse">): PutOutcome {
  const kept = data.sealedObjects.find("lots", op.lot);
  const known = data.jobs.get(op.lot);
  if (kept || known) return { tag: "exists", same: true, state: known?.ended ? "ended" : "open" };
  data.refusedJobs.delete(op.lot); // the newest last
  data.refusedJobs.set(op.lot, put.stamp);
  note(`lot ${op.lot}`, "refused: given up before it was kept");
  return { tag: "done" };
}

/** Results of items run without claims; the first result of each counts. */
export function addItemResults(
  { data, note, put, unstable: waiting }: OperationContext,
  op: OperationOf<"itemResults">,
): PutOutcome {
  const job = data.jobs.get(op.lot);
  const fresh = op.results.filter(({ item }) => job?.requests && job.items[item]?.state === "waiting");
  for (const { item, state, result } of fresh) {
    Object.assign(job!.items[item], { state, stamp: put.stamp, result });
    waiting.results.push({ lot: op.lot, item });
    closeItem(data, job!, put.stamp, item);
  }
  const told = (state: ItemOutcome["state"]): string =>
    fresh
      .filter((outcome) => outcome.state === state)
      .map(({ item }) => item)
      .join(" ");
  for (const state of ["done", "abandoned"] as const)
    if (told(state)) note(`lot ${op.lot}`, `items ${state}: ${told(state)}`);
  return { tag: "done" }; // what has a result already keeps it
}

/** An item is claimed for one attempt at a replica. */
export function claimItem({ data, note }: OperationContext, op: OperationOf<"itemClaim">): PutOutcome {
  const job = data.jobs.get(op.lot);
  const item = job?.items[op.item];
  if (!job || !item) return { tag: "no", why: "no such item" };
  if (job.ended) return { tag: "no", why: "lot is ended" };
  if (item.state !== "waiting" || op.round !== item.round + 1)
    return { tag: "no", why: `item is ${item.state} in round ${item.round}` };
  Object.assign(item, { state: "claimed", round: op.round, replica: op.replica, owner: op.owner });
  note(`item ${op.lot}/${op.item}`, `claimed for replica ${op.replica}, round ${op.round}`);
  return { tag: "done" };
}

/** An attempt at an item that provably did not run gives its claim back. */
export function releaseItem({ data, note, put }: OperationContext, op: OperationOf<"itemRelease">): PutOutcome {
  const job = data.jobs.get(op.lot);
  const item = job?.items[op.item];
  if (!job || !item || item.state !== "claimed" || item.round !== op.round)
    return { tag: "no", why: "not claimed in this round" };
  item.state = job.ended ? "ended" : "waiting";
  if (job.ended) closeItem(data, job, put.stamp, op.item);
  note(`item ${op.lot}/${op.item}`, `released from replica ${item.replica}: ${op.why}`);
  return { tag: "done" };
}

/** The result of a claimed item. */
export function addItemResult(
  { data, note, put, unstable: waiting }: OperationContext,
  op: OperationOf<"itemResult">,
): PutOutcome {
  const job = data.jobs.get(op.lot);
  const item = job?.items[op.item];
  if (!job || !item || item.state !== "claimed" || item.round !== op.round)
    return { tag: "no", why: "not claimed in this round" };
  Object.assign(item, { state: op.state, stamp: put.stamp, result: op.result });
  job.bodies[op.item] = "";
  waiting.results.push({ lot: op.lot, item: op.item });
  closeItem(data, job, put.stamp, op.item);
  note(`item ${op.lot}/${op.item}`, `result marked ${op.state}`);
  return { tag: "done" };
}

/** A lot ends by its client's word: items that wait will not run. */
export function endJob({ data, note, put }: OperationContext, op: OperationOf<"lotEnd">): PutOutcome {
  const job = data.jobs.get(op.lot);
  if (!job)
    return data.sealedObjects.find("lots", op.lot)
      ? { tag: "exists", same: true, state: "closed" }
      : { tag: "no", why: "no such lot" };
  if (job.ended) return { tag: "exists", same: true, state: "ended" };
  job.ended = true;
  job.endedBy = op.by;
  job.items.forEach((item, at) => {
    if (item.state !== "waiting") return;
    item.state = "ended";
    closeItem(data, job, put.stamp, at);
  });
  note(`lot ${op.lot}`, `ended by ${op.by}`);
  return { tag: "done" };
}

/** One item fewer is open; with the last of them the lot is closed. */
function closeItem(data: ShardData, job: BatchJob, at: Stamp, item: number): void {
  job.open -= 1;
  if (job.requests) job.tokensWaiting! -= job.requests[item].tokens;
  if (job.open > 0) return;
  // the newest of all, so that every result has its position once the frontier has passed it
  job.closedAt = job.items.reduce(
    (newest, item) => (item.stamp && Stamp.compare(item.stamp, newest) > 0 ? item.stamp : newest),
    at,
  );
  data.closedJobs.push(job.id);
  if (job.requests) data.jobsWithBodies.push(job.id);
}
