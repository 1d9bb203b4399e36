/** Invariants of single responses: whose they are, and what they say about the work. */

import { Invariant, runsOf } from "./invariant";

const hasSideEffects = (requestId: string): boolean => requestId.includes("/") || requestId.startsWith("key-");

export const rightCaller: Invariant = {
  name: "right-caller",
  requirement: "no answer reaches the wrong caller",
  check: (history) => [
    ...history
      .of("lookup")
      .filter(({ mine }) => !mine)
      .map(({ ingress }) => `lookup at ${ingress} got another's reply`),
    ...history
      .of("single")
      .filter(({ mine }) => !mine)
      .map(({ key }) => `single ${key} got another's reply`),
    ...history
      .of("lotResult")
      .filter(({ mine }) => !mine)
      .map(({ lot: job, item }) => `lot ${job} item ${item} holds another's result`),
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
      runs.push(`${replica} round ${attempt} at ${at.toFixed(0)}`);
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
        .map(({ requestId }) => `${requestId} was told busy and ran`),
      ...history
        .of("busy")
        .filter(({ retryAfter }) => !retryAfter)
        .map(({ at }) => `busy at ${at} without when to come back`),
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
      .map(({ stream, n }) => `stream ${stream}: piece ${n} is out of place or wrong`),
    ...history
      .of("streamEnd")
      .filter(({ pieces, wanted }) => pieces !== wanted)
      .map(({ stream, pieces, wanted }) => `stream ${stream} ended with ${pieces} of ${wanted} pieces`),
  ],
};
