/** The configuration of the recorded runs, in the internal format. It has routes of each kind. */
export const goldenConfiguration = {
  bindings: {
    ask: {
      kind: "stream",
      pool: "model",
      path: "/generate",
      safe: true,
      deadlineMs: 15000,
      continues: "exact",
      prefixBytes: 512,
    },
    confirm: { kind: "item", pool: "desk", path: "/confirm", safe: false, deadlineMs: 4000 },
    status: { kind: "lookup", pool: "desk", path: "/status", safe: true, deadlineMs: 2500 },
    page: {
      kind: "lookup",
      pool: "events",
      path: "/page/",
      safe: true,
      deadlineMs: 3000,
      host: "golden.example",
      prefix: "/page/",
      rounds: 2,
      targetMs: 300,
    },
    bulk: {
      kind: "item",
      pool: "events",
      path: "/bulk/",
      safe: true,
      deadlineMs: 5000,
      continues: "exact",
      host: "golden.example",
      prefix: "/bulk/",
      rounds: 3,
      completionMs: 10000,
      giveUpMs: 40000,
      maxWaitingTokens: 1000,
    },
    doomed: {
      kind: "item",
      pool: "nowhere",
      path: "/doomed/",
      safe: true,
      deadlineMs: 1000,
      host: "golden.example",
      prefix: "/doomed/",
      completionMs: 1000,
      giveUpMs: 1500,
    },
    shared: {
      kind: "lookup",
      pool: "desk",
      split: [
        { pool: "desk", weight: 3 },
        { pool: "events", weight: 1 },
      ],
      path: "/shared",
      safe: true,
      deadlineMs: 2500,
    },
  },
  pools: {
    desk: { probePath: "/health", connections: 64, warmMs: 1000, warmPerSecond: 20 },
    events: {},
    model: {},
    nowhere: {},
  },
  limits: { headerBytes: 16384, bodyBytes: 65536, headerMs: 3000, idleMs: 15000 },
  retention: { lotsMs: 3600000, requestsMs: 3600000, ledgerMs: 7200000 },
  clock: { deltaMs: 25, epsilonMs: 50, bigDeltaMs: 250 },
};

export const goldenPolicies = [
  { match: { binding: "status" }, order: 5 },
  { match: { kind: "item" }, order: 90 },
  { match: { binding: "ask", caller: "batch" }, limit: 40, land: { avoid: ["south"] } },
];

/** Returns the items of a batch job, each a complete HTTP request. */
export const requestItems = (jobId: string, count: number, tokens: number): Record<string, unknown>[] =>
  Array.from({ length: count }, (_unused, index) => ({
    id: `${jobId}-i${index}`,
    target: `/bulk/${index}?x=1`,
    headers: { "x-prompt-parts": "shared:30,own:20" },
    body: Buffer.from(`body ${jobId} ${index}`).toString("base64"),
    tokens,
  }));
