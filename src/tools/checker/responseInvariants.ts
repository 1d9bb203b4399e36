/** Invariants of responses: they reach the right caller and agree with what the endpoints ran. */

import { Invariant, runsOf } from "./invariant";

/** Returns whether a run is that of a batch item (`job/item`) or of a request with an idempotency key. */
const hasSideEffects = (requestId: string): boolean => requestId.includes("/") || requestId.startsWith("key-");

export const rightCaller: Invariant = {
  name: "right-caller",
  requirement: "no answer reaches the wrong caller",
  check: (history) => [
    ...history
      .of("lookup")
      .filter(({ mine }) => !mine)
      .map(({ ingress }) => `a lookup at ${ingress} got the response of another request`),
    ...history
      .of("single")
      .filter(({ mine }) => !mine)
      .map(({ key }) => `the request with key ${key} got the response of another request`),
    ...history
      .of("lotResult")
      .filter(({ mine }) => !mine)
      .map(({ lot: job, item }) => `item ${job}/${item} has the result of another item`),
  ],
};

export const noFalseSuccess: Invariant = {
  name: "no-false-success",
  requirement: "No success is shown for work that was not run",
  check: (history, endpoints) => {
    if (endpoints.length === 0) return [];
    const executed = new Set(runsOf(endpoints).map(({ id }) => id));
    return [
      ...history
        .of("lotResult")
        .filter(({ state, lot: job, item }) => state === "done" && !executed.has(`${job}/${item}`))
        .map(({ lot: job, item }) => `item ${job}/${item} is done but never ran`),
      ...history
        .of("single")
        .filter(({ requestId }) => !executed.has(requestId))
        .map(({ requestId }) => `request ${requestId} succeeded but never ran`),
    ];
  },
};

export const neverRunsTwice: Invariant = {
  name: "never-twice",
  requirement: "A request that is not safe to repeat never runs twice",
  check: (_history, endpoints) => {
    const runsById = new Map<string, string[]>();
    for (const { id, replica, attempt, at } of runsOf(endpoints)) {
      if (!hasSideEffects(id)) continue;
      const runs = runsById.get(id) ?? [];
      runs.push(`${replica} attempt ${attempt} at ${at.toFixed(0)}`);
      runsById.set(id, runs);
    }
    return [...runsById]
      .filter(([, runs]) => runs.length > 1)
      .map(([id, runs]) => `${id} ran ${runs.length} times: ${runs.join("; ")}`);
  },
};

export const busyMeansNotRun: Invariant = {
  name: "busy-never-ran",
  requirement: '"Busy, try later" always means the work never ran and never will',
  check: (history, endpoints) => {
    const executed = new Set(runsOf(endpoints).map(({ id }) => id));
    return [
      ...history
        .of("busy")
        .filter(({ requestId }) => requestId.startsWith("req-") && executed.has(requestId))
        .map(({ requestId }) => `request ${requestId} was rejected as busy but ran`),
      ...history
        .of("busy")
        .filter(({ retryAfter }) => !retryAfter)
        .map(({ at }) => `the busy response at ${at} has no Retry-After header`),
    ];
  },
};

export const streamExact: Invariant = {
  name: "stream-exact",
  requirement: "A stream never skips or repeats a piece. A resumed stream continues exactly",
  check: (history) => [
    ...history
      .of("streamPiece")
      .filter(({ right }) => !right)
      .map(({ stream, n }) => `stream ${stream}: chunk ${n} is out of order or has the wrong text`),
    ...history
      .of("streamEnd")
      .filter(({ pieces, wanted }) => pieces !== wanted)
      .map(({ stream, pieces, wanted }) => `stream ${stream} ended with ${pieces} of ${wanted} chunks`),
  ],
};

export const cutLooksCut: Invariant = {
  name: "cut-looks-cut",
  requirement: "An answer that ends early must not look complete",
  check: (history) =>
    history
      .of("directResponse")
      .filter(({ looksComplete, isWhole }) => looksComplete && !isWhole)
      .map(({ requestId }) => `the response to ${requestId} looks complete but is not the endpoint's whole body`),
};
