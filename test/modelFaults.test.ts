import { Constants } from "../src/common/constants";
import { Fault, Result } from "../src/common/fault";
import { ConsensusGroup } from "../src/consensus/consensusGroup";
import { ConsensusReplica } from "../src/consensus/consensusReplica";
import { MembershipChange } from "../src/consensus/membershipChange";
import { LogEntry } from "../src/consensus/messages";
import { ControlStateMachine } from "../src/controlState/controlStateMachine";
import { ModelCampaign } from "../src/model/campaign";
import { FaultInjection } from "../src/model/machine";
import { InvariantName } from "../src/model/violation";
import { RequestOf, ResponseOf, TypedMethod, UntypedHandler } from "../src/rpc/methods";
import { CheckpointedLog } from "../src/runtime/checkpointedLog";
import { Csp, Scope, Task } from "../src/runtime/csp";
import { Environment } from "../src/runtime/env";

type Handler<Method extends TypedMethod> = (
  body: RequestOf<Method>,
  sender: string,
) => Task<Result<ResponseOf<Method>>>;

/** Injects a fault that replaces the handler of a method on each replica. */
function withHandler<Method extends TypedMethod>(
  method: Method,
  replace: (handler: Handler<Method>, id: string) => Handler<Method>,
): FaultInjection {
  return {
    rpc(rpc, id) {
      const handle: (handled: string, handler: UntypedHandler) => void = rpc.handle.bind(rpc);
      rpc.handle = (handled: string, handler: UntypedHandler): void =>
        handle(handled, handled === method ? replace(handler as Handler<Method>, id) : handler);
    },
  };
}
/** Injects a fault that replaces the successful responses of a method on each replica. */
function withResponse<Method extends TypedMethod>(
  method: Method,
  respond: (body: RequestOf<Method>, response: ResponseOf<Method>) => ResponseOf<Method>,
): FaultInjection {
  return withHandler(
    method,
    (handler) =>
      function* (body, sender) {
        const result = yield* handler(body, sender);
        return result.ok ? Fault.ok(respond(body, result.value)) : result;
      },
  );
}
/** Returns the private replica of a group, for faults that change it. */
const replicaOf = (group: ConsensusGroup): ConsensusReplica =>
  (group as unknown as { replica: ConsensusReplica }).replica;
const scopeOf = (group: ConsensusGroup): Scope => replicaOf(group).env.scope;

/** Returns an environment whose disk reports a sync before anything is written, and writes the data 40 ms later. */
function diskReportingSyncEarly(env: Environment): Environment {
  return {
    ...env,
    disk: {
      ...env.disk,
      *append(path, data) {
        Csp.go(env.scope, "late write", function* () {
          yield* Csp.take(env.timer(40).chan);
          yield* env.disk.append(path, data);
        });
        return Fault.ok(true as const);
      },
    },
  };
}

const originalApply = ControlStateMachine.apply;
const originalRejectionReason = MembershipChange.rejectionReason;
const originalHasLeaderLease = ConsensusGroup.prototype.hasLeaderLease;
const originalRewrite = CheckpointedLog.prototype.rewrite;
const originalLeaseMs = Constants.controlLeaseMs;
const setLeaseMs = (ms: number): void => void Object.assign(Constants, { controlLeaseMs: ms });
afterEach(() => {
  ControlStateMachine.apply = originalApply;
  MembershipChange.rejectionReason = originalRejectionReason;
  ConsensusGroup.prototype.hasLeaderLease = originalHasLeaderLease;
  CheckpointedLog.prototype.rewrite = originalRewrite;
  setLeaseMs(originalLeaseMs);
});
/** Runs walks until one fails. Returns the name of the violated invariant. */
async function brokenInvariant(
  faults: FaultInjection,
  walks: number,
  prepare: () => void = () => undefined,
  diskFaults = false,
): Promise<string> {
  prepare();
  const options = { firstSeed: 1, walks, voters: 3 as const, diskFaults, faults, shrinkLimit: 0, stopAtFailure: true };
  const report = await ModelCampaign.run(options);
  process.stdout.write(
    `    ${report.walks} walks: ${report.failures[0]?.violation.slice(0, 150) ?? "nothing found"}\n`,
  );
  return report.failures[0]?.violation.split(":")[0] ?? "nothing found";
}
const MAX_WALKS = 150;
const anyOf = (...names: InvariantName[]): unknown => expect.stringMatching(new RegExp(`^(${names.join("|")})$`));

describe("the invariants detect a fault of elections or leases:", () => {
  test("a lease longer than the election time-out", async () => {
    expect(await brokenInvariant({}, MAX_WALKS, () => setLeaseMs(6000))).toEqual(
      anyOf("one-lease-holder", "lease-read-current"),
    );
  });

  test("a leader that does not check its lease", async () => {
    const prepare = (): void => {
      ConsensusGroup.prototype.hasLeaderLease = function (this: ConsensusGroup): boolean {
        return this.role === "leader";
      };
    };
    expect(await brokenInvariant({}, MAX_WALKS, prepare)).toEqual(anyOf("one-lease-holder", "lease-read-current"));
  });

  test("a vote granted to every candidate", async () => {
    const faults = withResponse("group.vote", (body, response) => ({
      ...response,
      granted: true,
      term: body.term,
    }));
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(
      anyOf("election-safety", "log-matching", "leader-completeness", "state-machine-safety", "one-lease-holder"),
    );
  });

  test("voters that grant no pre-vote for terms above 2", async () => {
    const faults = withResponse("group.preVote", (body, response) =>
      body.term > 2 ? { ...response, granted: false } : response,
    );
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(anyOf("leader-after-heal"));
  });
});

describe("the invariants detect a fault of the log or its replication:", () => {
  test("success reported for an append that was rejected", async () => {
    const faults = withResponse("group.append", (body, response) => ({
      ...response,
      matched: true as const,
      match: body.prevIndex + body.entries.length,
    }));
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(
      anyOf(
        "leader-completeness",
        "state-machine-safety",
        "acknowledged-durable",
        "converged-after-heal",
        "leader-after-heal",
        "no-task-error",
      ),
    );
  });

  test("a disk that reports a sync too early", async () => {
    expect(await brokenInvariant({ env: diskReportingSyncEarly }, MAX_WALKS)).toEqual(
      anyOf(
        "election-safety",
        "leader-completeness",
        "state-machine-safety",
        "log-matching",
        "leader-after-heal",
        "converged-after-heal",
      ),
    );
  });

  test("membership changes of two voters by one entry, and several uncommitted ones at once", async () => {
    const prepare = (): void => {
      MembershipChange.rejectionReason = () => undefined;
    };
    expect(await brokenInvariant({}, MAX_WALKS, prepare)).toEqual(anyOf("one-pending-voter-change"));
  });

  test("different commands at the same index and term", async () => {
    const withoutPolicies = (entry: LogEntry): LogEntry =>
      entry.command.tag === "policies" ? { ...entry, command: { tag: "noop" } } : entry;
    const faults = withHandler("group.append", (handler, id) => (body, sender) => {
      const received = id === "c2" ? { ...body, entries: body.entries.map(withoutPolicies) } : body;
      return handler(received, sender);
    });
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(anyOf("log-matching", "state-machine-safety"));
  });

  test("a commit index that decreases", async () => {
    const faults: FaultInjection = {
      group(group) {
        let commit = 0;
        const set = (index: number): void => void (commit = index > 0 && index % 4 === 0 ? index - 2 : index);
        Object.defineProperty(replicaOf(group), "commitIndex", { get: () => commit, set });
      },
    };
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(anyOf("commit-index-monotonic", "no-task-error"));
  });

  test("a standby that rejects every append", async () => {
    const faults = withHandler("group.append", (handler, id) =>
      id !== "c4"
        ? handler
        : function* () {
            return Fault.fail("refused", "append", id, "planted");
          },
    );
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(anyOf("converged-after-heal"));
  });

  test("a replica that acknowledges appends without storing them", async () => {
    const faults = withHandler("group.append", (handler, id) =>
      id !== "c4"
        ? handler
        : function* (body) {
            return Fault.ok({ term: body.term, matched: true, match: body.prevIndex + body.entries.length });
          },
    );
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(
      anyOf("converged-after-heal", "leader-after-heal", "acknowledged-durable", "leader-completeness"),
    );
  });
});

describe("the invariants detect a fault of the state machine or of acknowledgements:", () => {
  test("outcomes of changes that are forgotten", async () => {
    const prepare = (): void => {
      ControlStateMachine.apply = (state, index, command) => {
        if ("changeId" in command) delete state.changes[command.changeId];
        return originalApply(state, index, command);
      };
    };
    expect(await brokenInvariant({}, MAX_WALKS, prepare)).toEqual(anyOf("state-machine-safety", "outcome-repeatable"));
  });

  test("a missing version check", async () => {
    const prepare = (): void => {
      ControlStateMachine.apply = (state, index, command) =>
        originalApply(
          state,
          index,
          "ifVersion" in command ? { ...command, ifVersion: state.policies.version } : command,
        );
    };
    expect(await brokenInvariant({}, MAX_WALKS, prepare)).toEqual(
      anyOf("state-machine-safety", "one-change-per-version", "acknowledged-durable"),
    );
  });

  test("a conflicting change acknowledged as done", async () => {
    const faults: FaultInjection = {
      group(group) {
        const propose = group.propose.bind(group);
        group.propose = function* (command, withinMs) {
          const outcome = yield* propose(command, withinMs);
          if (!outcome.ok || outcome.value.tag !== "conflict") return outcome;
          return Fault.ok({ tag: "done" as const, version: outcome.value.version });
        };
      },
    };
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(anyOf("one-change-per-version", "outcome-repeatable"));
  });

  test("a change acknowledged before it is committed", async () => {
    const faults: FaultInjection = {
      group(group) {
        const propose = group.propose.bind(group);
        group.propose = function* (command, withinMs) {
          if (!("ifVersion" in command) || !group.hasLeaderLease()) return yield* propose(command, withinMs);
          Csp.go(scopeOf(group), "late", () => propose(command, withinMs));
          return Fault.ok({ tag: "done" as const, version: command.ifVersion + 1 });
        };
      },
    };
    expect(await brokenInvariant(faults, MAX_WALKS)).toEqual(anyOf("acknowledged-durable", "one-change-per-version"));
  });

  test("a different outcome for a retry", async () => {
    const faults: FaultInjection = {
      group(group) {
        const propose = group.propose.bind(group);
        const proposed = new Set<string>();
        group.propose = function* (command, withinMs) {
          const outcome = yield* propose(command, withinMs);
          const isRetry = "changeId" in command && proposed.has(command.changeId);
          if ("changeId" in command) proposed.add(command.changeId);
          return isRetry && outcome.ok ? Fault.ok({ tag: "conflict" as const, version: 0 }) : outcome;
        };
      },
    };
    expect(await brokenInvariant(faults, 4 * MAX_WALKS)).toEqual(anyOf("outcome-repeatable"));
  });
});

describe("the invariants detect a fault of the handling of failed writes:", () => {
  const FORGOTTEN_CONTENT = anyOf(
    "election-safety",
    "leader-completeness",
    "state-machine-safety",
    "log-matching",
    "acknowledged-durable",
    "converged-after-heal",
    "no-task-error",
  );

  test("an acknowledgement of entries that are in memory only", async () => {
    const env = (original: Environment): Environment => ({
      ...original,
      disk: {
        ...original.disk,
        *append(path, data) {
          yield* original.disk.append(path, data);
          return Fault.ok(true as const);
        },
      },
    });
    expect(await brokenInvariant({ env }, 4 * MAX_WALKS, undefined, true)).toEqual(FORGOTTEN_CONTENT);
  });

  test("a vote or an acknowledgement before all is written anew", async () => {
    const prepare = (): void => {
      CheckpointedLog.prototype.rewrite = function* (this: CheckpointedLog) {
        const probed = yield* this.probe();
        if (probed.ok) Object.assign(this, { failed: false });
        return probed;
      };
    };
    expect(await brokenInvariant({}, 10 * MAX_WALKS, prepare, true)).toEqual(FORGOTTEN_CONTENT);
  });

  test("a disk that is never taken into use again", async () => {
    const prepare = (): void => {
      CheckpointedLog.prototype.rewrite = function* () {
        return Fault.fail("disk", "rewrite", "planted", "never");
      };
    };
    expect(await brokenInvariant({}, MAX_WALKS, prepare, true)).toEqual(
      anyOf("leader-after-heal", "converged-after-heal"),
    );
  });
});
