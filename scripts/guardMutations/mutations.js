// The mutations of scripts/guardMutations.js. Each removes one guard.

/**
 * A replacement of text in the built code. `find` must occur exactly once in the file.
 * @typedef {object} Edit
 * @property {string} file path relative to dist/src
 * @property {string} find
 * @property {string} replacement
 */

/**
 * Edits that remove one guard from the built code, and the invariants that are expected to be violated without it.
 * @typedef {object} Mutation
 * @property {string} name
 * @property {string} scenario one scenario, or several separated by commas
 * @property {string[]} expectedInvariants at least one of these must be violated
 * @property {Edit[]} edits
 */

/** @type {Mutation[]} */
const MUTATIONS = [
  {
    name: "all-of-view",
    scenario: "disk-loss-two",
    expectedInvariants: ["lot-kept", "no-task-error", "one-position", "never-twice", "stream-exact"],
    edits: [
      {
        file: "shard/replica/logReplication.js",
        find: "acknowledged < members.length;",
        replacement: "acknowledged < members.length - 2;",
      },
    ],
  },
  {
    name: "level-before-view",
    scenario: "join-and-lose",
    expectedInvariants: ["acknowledged-on-every-member"],
    edits: [
      {
        file: "control/viewChange.js",
        find: "this.chooseMembers(view, syncedIds, joiners)",
        replacement:
          "this.chooseMembers(view, [...new Set([...sealed.map((replica) => replica.id), ...joiners])], joiners)",
      },
      {
        file: "shard/replica/sealedLogSync.js",
        find: "if (yield* sync.bringToEnd(address, epoch, deadline))",
        replacement: "if (true)",
      },
    ],
  },
  {
    name: "disk-taken-up-again",
    scenario: "disks-full",
    expectedInvariants: ["exercised", "service-returns"],
    edits: [
      {
        file: "shard/replica/replicaStorage.js",
        find: "if (!this.state.isDiskBroken || this.isRetrying)",
        replacement: "if (true)",
      },
    ],
  },
  {
    name: "control-disk-taken-up-again",
    scenario: "control-disks-in-turn",
    expectedInvariants: ["exercised"],
    edits: [
      {
        file: "consensus/diskRecovery.js",
        find: "yield* log.rewrite(replica.commitIndex)",
        replacement: "{ ok: false }",
      },
    ],
  },
  {
    name: "refusal-in-time",
    scenario: "overload",
    expectedInvariants: ["exercised"],
    edits: [
      {
        file: "storage/liveRequests/liveRequestExecution.js",
        find: "(0, exports.remainingWaitMs)(this.env, request.spec)",
        replacement: "constants_1.Constants.admissionWaitMaxMs",
      },
    ],
  },
  {
    name: "unknown-is-never-rerun",
    scenario: "replicas-dark",
    expectedInvariants: ["never-twice"],
    edits: [
      {
        file: "storage/liveRequests/liveRequestExecution.js",
        find: "if (!spec.safe) {\n            this.counters.unknowns",
        replacement: "if (false) {\n            this.counters.unknowns",
      },
    ],
  },
  {
    name: "items-are-never-rerun",
    scenario: "replicas-dark",
    expectedInvariants: ["never-twice"],
    edits: [
      {
        file: "storage/claimedItems/claimedItemExecution.js",
        find: 'tag === "refused" || route.safe',
        replacement: "true",
      },
    ],
  },
  {
    name: "lost-items-are-unknown",
    scenario: "kill-store",
    expectedInvariants: ["never-twice"],
    edits: [
      {
        file: "storage/abandonedClaimRecovery.js",
        find: "const operation = job.safe\n",
        replacement: "const operation = true\n",
      },
    ],
  },
  {
    name: "busy-only-after-refusal",
    scenario: "ingress-deaf",
    expectedInvariants: ["busy-never-ran"],
    edits: [
      {
        file: "ingress/shardLiveRequests.js",
        find: "return (yield* this.refuse(id)) ?? opened;",
        replacement: 'return this.admission.reject("open", "x");',
      },
    ],
  },
  {
    name: "late-puts-are-refused",
    scenario: "skew-within,kill-store",
    expectedInvariants: ["one-position", "one-ledger-order"],
    edits: [
      {
        file: "shard/replica/logReplication.js",
        find: "if (put.stamp.time > stablePrefix.published)",
        replacement: "if (true)",
      },
      {
        file: "common/stamp.js",
        find: "bounds.bigDeltaMs + 2 * bounds.deltaMs + bounds.epsilonMs",
        replacement: "-20",
      },
    ],
  },
  {
    name: "frontier-held-back",
    scenario: "slow-puts",
    expectedInvariants: ["one-position", "one-ledger-order", "lot-kept"],
    edits: [
      {
        file: "shard/replica/stablePrefix.js",
        find: "candidate = Math.min(candidate, time - PUT_MARGIN_MS);",
        replacement: ";",
      },
    ],
  },
  {
    name: "goodbye-tombstones",
    scenario: "replicas-replaced",
    expectedInvariants: ["goodbye-respected"],
    edits: [
      {
        file: "membership/factStore.js",
        find: "!fact.removed && now",
        replacement: "now",
      },
    ],
  },
  {
    name: "drain",
    scenario: "drain-in-crowd",
    expectedInvariants: ["drain-respected"],
    edits: [
      {
        file: "routing/endpointEligibility.js",
        find: "!control?.drained.includes(endpoint.district) &&",
        replacement: "",
      },
    ],
  },
  {
    name: "slow-start",
    scenario: "replicas-crash",
    expectedInvariants: ["not-flooded"],
    edits: [
      {
        file: "routing/slowStart.js",
        find: "return Math.min(1, Math.max(constants_1.Constants.slowStartFloor, age / constants_1.Constants.slowStartMs));",
        replacement: "return 1;",
      },
    ],
  },
  {
    name: "stale-ingress-holds",
    scenario: "freeze-edge",
    expectedInvariants: ["config-in-force"],
    edits: [
      {
        file: "common/constants/node.js",
        find: "contactTimeoutMs: 1500",
        replacement: "contactTimeoutMs: 60000",
      },
    ],
  },
  {
    name: "compare-and-set",
    scenario: "operators-race",
    expectedInvariants: ["exercised", "config-at-day-end"],
    edits: [
      {
        file: "controlState/compareAndSet.js",
        find: "if (change.ifVersion !== current)",
        replacement: "if (false)",
      },
    ],
  },
  {
    name: "majority-before-reply",
    scenario: "change-races-lead,control-cut-in-two",
    expectedInvariants: ["config-at-day-end", "config-never-back", "config-in-force"],
    edits: [
      {
        file: "consensus/replication.js",
        find: "const majorityIndex = matches[this.replica.majority() - 1];",
        replacement: "const majorityIndex = matches[0];",
      },
    ],
  },
  {
    name: "ended-lots-stop",
    scenario: "crowd",
    expectedInvariants: ["ended-stops"],
    edits: [
      {
        file: "shard/state/batchJobOperations.js",
        find: 'if (job.ended)\n        return { tag: "no", why: "lot is ended" };',
        replacement: "",
      },
      {
        file: "storage/claimedItems/claimedItemScheduler.js",
        find: "job.open === 0 || job.ended",
        replacement: "job.open === 0",
      },
      {
        file: "shard/state/batchJobOperations.js",
        find: 'if (item.state !== "waiting")\n            return;\n        item.state = "ended";',
        replacement: 'return;\n        item.state = "ended";',
      },
      {
        file: "storage/claimedItems/claimedItemExecution.js",
        find: "!job ||\n            job.ended ||",
        replacement: "!job ||",
      },
    ],
  },
  {
    name: "sigterm-finishes",
    scenario: "planned-stops",
    expectedInvariants: ["planned-moves-answer"],
    edits: [
      {
        file: "ingress/ingressNode.js",
        find: "this.readiness.stopping = true;",
        replacement: "this.readiness.stopping = true; return;",
      },
    ],
  },
  {
    name: "suspicion-removes",
    scenario: "store-cut-off",
    expectedInvariants: ["service-returns"],
    edits: [
      {
        file: "common/constants/membership.js",
        find: "suspicionTimeoutMs: 1500",
        replacement: "suspicionTimeoutMs: 30000",
      },
      {
        file: "control/viewChangeTrigger.js",
        find: "if (failing.length > 0)",
        replacement: "if (false)",
      },
    ],
  },
  {
    name: "reset-is-no-end",
    scenario: "responses-cut",
    expectedInvariants: ["cut-looks-cut"],
    edits: [
      {
        file: "runtime/bodyEnd.js",
        find: 'framing === "connection" ? connectionEnd === "closed" : sawMessageEnd',
        replacement: "sawMessageEnd",
      },
    ],
  },
  {
    name: "id-once-on-a-connection",
    scenario: "responses-twice",
    expectedInvariants: ["exercised"],
    edits: [
      {
        file: "runtime/carriedRequestIds.js",
        find: "return this.ids.includes(id);",
        replacement: "return false;",
      },
    ],
  },
  {
    name: "stream-resumes-at-its-piece",
    scenario: "replicas-crash",
    expectedInvariants: ["stream-exact"],
    edits: [
      {
        file: "forwarding/endpointHttp.js",
        find: "continueFrom: request.receivedChunks",
        replacement: "continueFrom: request.receivedChunks.slice(1)",
      },
    ],
  },
];

module.exports = { MUTATIONS };
