/** Operations on live requests. Reasons for rejections and texts of ledger entries are stored and never change. */
import { Stamp } from "../../common/stamp";
import { isClosed, LiveRequest } from "./liveRequest";
import { OperationContext, sealedOutcome } from "./operationContext";
import type { OperationOf, PutOutcome } from "./operations";

const NOT_CLAIMED: PutOutcome = { tag: "no", why: "not claimed in this round" };

/** Opens a request. Each id is opened once, but after a rejection it may be opened again by a later arrival. */
export function openRequest({ data, addLedgerEntry, put }: OperationContext, op: OperationOf<"open">): PutOutcome {
  const sealed = sealedOutcome(data, "works", op.work.id, op.work.bodyHash);
  if (sealed) return sealed;
  const known = data.liveRequests.get(op.work.id);
  const reopens =
    known?.state === "refused" &&
    known.closedAt !== null &&
    Stamp.compare(Stamp.parse(op.work.life)!, known.closedAt) > 0;
  if (known && !reopens) return { tag: "exists", same: known.bodyHash === op.work.bodyHash, state: known.state };
  if (reopens) data.refusedRequests = data.refusedRequests.filter((id) => id !== op.work.id);
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
  addLedgerEntry(`request ${op.work.id}`, `accepted for ${op.work.binding}`);
  return { tag: "done" };
}

/** Claims a request for one attempt at an endpoint. */
export function claimRequest({ data, addLedgerEntry }: OperationContext, op: OperationOf<"claim">): PutOutcome {
  const request = data.liveRequests.get(op.id);
  if (!request) return { tag: "no", why: "no such request" };
  if (request.state !== "accepted" || op.round !== request.round + 1)
    return { tag: "no", why: `request is ${request.state} in round ${request.round}` };
  Object.assign(request, { state: "claimed", round: op.round, replica: op.replica, owner: op.owner });
  addLedgerEntry(`request ${op.id}`, `claimed for replica ${op.replica}, round ${op.round}`);
  return { tag: "done" };
}

/** Releases the claim of an attempt that certainly did not run. */
export function releaseRequest({ data, addLedgerEntry }: OperationContext, op: OperationOf<"release">): PutOutcome {
  const request = data.liveRequests.get(op.id);
  if (!request || request.state !== "claimed" || request.round !== op.round) return NOT_CLAIMED;
  request.state = "accepted";
  addLedgerEntry(`request ${op.id}`, `released from replica ${request.replica}: ${op.why}`);
  return { tag: "done" };
}

/** Appends chunks to the response stream, in order. Only the attempt that holds the claim may do so. */
export function appendChunks({ data, put }: OperationContext, op: OperationOf<"pieces">): PutOutcome {
  const request = data.liveRequests.get(op.id);
  if (!request || request.state !== "claimed" || request.round !== op.round) return NOT_CLAIMED;
  if (op.first !== request.pieces.length + 1) return { tag: "no", why: `next piece is ${request.pieces.length + 1}` };
  op.data.forEach((chunk, offset) => request.pieces.push({ n: op.first + offset, stamp: put.stamp, data: chunk }));
  return { tag: "done" };
}

/**
 * Closes a request. One that is rejected before it was opened is stored as closed, so that a late open is not accepted.
 */
export function closeRequest({ data, addLedgerEntry, put }: OperationContext, op: OperationOf<"close">): PutOutcome {
  const sealed = data.sealedObjects.find("works", op.id);
  if (sealed) return { tag: "exists", same: true, state: sealed.state };
  let request = data.liveRequests.get(op.id);
  if (!request) {
    if (op.state !== "refused") return { tag: "no", why: "no such request" };
    request = unopenedRequest(op.id, put.stamp);
    data.liveRequests.set(op.id, request);
  }
  if (isClosed(request)) return { tag: "exists", same: true, state: request.state };
  if (op.state === "refused" ? request.state !== "accepted" : request.round !== op.round)
    return { tag: "no", why: `request is ${request.state} in round ${request.round}` };
  Object.assign(request, { state: op.state, outcome: op.outcome, body: "", closedAt: put.stamp });
  (op.state === "refused" ? data.refusedRequests : data.closedRequests).push(op.id);
  addLedgerEntry(`request ${op.id}`, `closed as ${op.state}: ${op.outcome.slice(0, 200)}`);
  return { tag: "done" };
}

/** A request that is rejected before its open arrives. */
function unopenedRequest(id: string, stamp: Stamp): LiveRequest {
  return {
    id,
    binding: "",
    bodyHash: "",
    body: "",
    keyed: false,
    safe: false,
    exact: false,
    stamp,
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
}
