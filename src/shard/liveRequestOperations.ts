/** Operations on one request: opened, claimed for an attempt, given pieces, closed. */
import { Stamp } from "../common/stamp";
import { isClosed, OperationContext, OperationOf, PutOutcome } from "./shardTypes";

/** A request is taken in; what was refused may come again, but only as an arrival later than the refusal. */
export function openRequest({ data, note, put }: OperationContext, op: OperationOf<"open">): PutOutcome {
  const kept = data.sealedObjects.find("works", op.work.id);
  if (kept)
    return {
      tag: "exists",
      same: data.sealedObjects.hasSameBody(kept, op.work.bodyHash),
      state: kept.trimmed ? "trimmed" : kept.state,
    };
  const known = data.liveRequests.get(op.work.id);
  // what was refused may come again, but only as an arrival later than the refusal
  const again =
    known?.state === "refused" &&
    known.closedAt !== null &&
    Stamp.compare(Stamp.parse(op.work.life)!, known.closedAt) > 0;
  if (known && !again) return { tag: "exists", same: known.bodyHash === op.work.bodyHash, state: known.state };
  if (again) data.refusedRequests = data.refusedRequests.filter((id) => id !== op.work.id);
  data.liveRequests.set(op.work.id, {
    ...op.work,
    closedAt: null,
    stamp: put.stamp,
    state: "accepted",
    round: 0,
    replica: "",
    owner: "",
    pieces: [],
    outcome: "",
    version: 0,
  });
  note(`request ${op.work.id}`, `accepted for ${op.work.binding}`);
  return { tag: "done" };
}

/** A request is claimed for one attempt at a replica. */
export function claimRequest({ data, note }: OperationContext, op: OperationOf<"claim">): PutOutcome {
  const work = data.liveRequests.get(op.id);
  if (!work) return { tag: "no", why: "no such request" };
  if (work.state !== "accepted" || op.round !== work.round + 1)
    return { tag: "no", why: `request is ${work.state} in round ${work.round}` };
  Object.assign(work, { state: "claimed", round: op.round, replica: op.replica, owner: op.owner });
  note(`request ${op.id}`, `claimed for replica ${op.replica}, round ${op.round}`);
  return { tag: "done" };
}

/** An attempt that provably did not run gives its claim back. */
export function releaseRequest({ data, note }: OperationContext, op: OperationOf<"release">): PutOutcome {
  const work = data.liveRequests.get(op.id);
  if (!work || work.state !== "claimed" || work.round !== op.round)
    return { tag: "no", why: "not claimed in this round" };
  work.state = "accepted";
  note(`request ${op.id}`, `released from replica ${work.replica}: ${op.why}`);
  return { tag: "done" };
}

/** Pieces of a stream, in order, by the attempt that holds the claim. */
export function addPieces({ data, put }: OperationContext, op: OperationOf<"pieces">): PutOutcome {
  const work = data.liveRequests.get(op.id);
  if (!work || work.state !== "claimed" || work.round !== op.round)
    return { tag: "no", why: "not claimed in this round" };
  if (op.first !== work.pieces.length + 1) return { tag: "no", why: `next piece is ${work.pieces.length + 1}` };
  op.data.forEach((piece, at) => work.pieces.push({ n: op.first + at, stamp: put.stamp, data: piece }));
  return { tag: "done" };
}

/** A request ends; one refused before it was opened is remembered as closed. */
export function closeRequest({ data, note, put }: OperationContext, op: OperationOf<"close">): PutOutcome {
  const kept = data.sealedObjects.find("works", op.id);
  if (kept) return { tag: "exists", same: true, state: kept.state };
  let work = data.liveRequests.get(op.id);
  if (!work) {
    if (op.state !== "refused") return { tag: "no", why: "no such request" };
    // refused before it was ever opened: a late open of the same id finds it closed
    work = {
      id: op.id,
      binding: "",
      bodyHash: "",
      body: "",
      keyed: false,
      safe: false,
      exact: false,
      stamp: put.stamp,
      deadlineAt: 0,
      state: "accepted",
      round: 0,
      replica: "",
      owner: "",
      pieces: [],
      outcome: "",
      order: 0,
      version: 0,
      life: "",
      closedAt: null,
    };
    data.liveRequests.set(op.id, work);
  }
  if (isClosed(work)) return { tag: "exists", same: true, state: work.state };
  if (op.state === "refused" ? work.state !== "accepted" : work.round !== op.round)
    return { tag: "no", why: `request is ${work.state} in round ${work.round}` };
  Object.assign(work, { state: op.state, outcome: op.outcome, body: "", closedAt: put.stamp });
  (op.state === "refused" ? data.refusedRequests : data.closedRequests).push(op.id);
  note(`request ${op.id}`, `closed as ${op.state}: ${op.outcome.slice(0, 200)}`);
  return { tag: "done" };
}
