import { Constants } from "../src/common/constants";
import { ControlStateMachine } from "../src/controlState/controlStateMachine";
import { ConsensusGroup } from "../src/consensus/consensusGroup";
import { MembershipChange } from "../src/consensus/membershipChange";
import { Fault } from "../src/common/fault";
import { Csp } from "../src/runtime/csp";
import { Env } from "../src/runtime/env";
import { Action } from "../src/model/actions";
import { ModelCampaign } from "../src/model/campaign";
import { FaultInjection } from "../src/model/machine";
import { InvariantName } from "../src/model/violation";
import { Walk } from "../src/model/walk";
import { UntypedHandler } from "../src/rpc/methods";
import { Rpc } from "../src/rpc/rpc";

/* eslint-disable @typescript-eslint/no-explicit-any */
describe("random walks over the control group, every invariant after each step", () => {
  test.each([
    [3, 60],
    [5, 30],
  ] as [3 | 5, number][])("%i voters, %i walks", async (voters, walks) => {
    const report = await ModelCampaign.run({ firstSeed: 1, walks, voters });
    expect(report.failures).toEqual([]);
    expect(report.walks).toBe(walks);
    expect(report.totals.acknowledged).toBeGreaterThan(2 * walks);
  });
});

describe("the same seed", () => {
  test("gives the same walk", async () => {
    const actions: Action[] = [
      { tag: "change", at: "leaseholder", register: "policies", base: "current", count: 3 },
      { tag: "isolateLeader", way: "out" },
      { tag: "pass", ms: 2500 },
      { tag: "wipe", machine: 1, backInMs: 300 },
      { tag: "pass", ms: 1200 },
    ];
    const trace = async (): Promise<string[]> => {
      const lines: string[] = [];
      await Walk.play({ seed: 11, voters: 3, trace: (line) => lines.push(line) }, actions);
      return lines;
    };
    const first = await trace();
    expect(first.length).toBeGreaterThan(5);
    expect(await trace()).toEqual(first);
  });
});

/** Puts something else in place of a handler's response. */
function answering(verb: string, respond: (body: any, proper: any) => any): FaultInjection {
  return {
    rpc(rpc: Rpc): void {
      const handle = rpc.handle.bind(rpc);
      rpc.handle = (handled: string, handler: UntypedHandler): void =>
        handle(
          handled,
          handled !== verb
            ? handler
            : function* (body, sender) {
                const proper = yield* handler(body, sender);
                return proper.ok ? Fault.ok(respond(body, proper.value)) : proper;
              },
        );
    },
  };
}
/** A disk that reports a sync before anything is written, and writes a while later. */
function lyingDisk(env: Env): Env {
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

describe("each planted fault is found", () => {
  const properApply = ControlStateMachine.apply;
  const properRefusal = MembershipChange.refusal;
  const properHoldsLeader = ConsensusGroup.prototype.hasLeaderLease;
  const properLease = Constants.controlLeaseMs;
  const setLease = (ms: number): void => void Object.assign(Constants, { controlLeaseMs: ms });
  afterEach(() => {
    ControlStateMachine.apply = properApply;
    MembershipChange.refusal = properRefusal;
    ConsensusGroup.prototype.hasLeaderLease = properHoldsLeader;
    setLease(properLease);
  });
  /** Plays walks until one fails; which invariant it broke. */
  async function found(faults: FaultInjection, walks: number, prepare: () => void = () => undefined): Promise<string> {
    prepare();
    const options = { firstSeed: 1, walks, voters: 3 as const, faults, shrinkLimit: 0, stopAtFailure: true };
    const report = await ModelCampaign.run(options);
    process.stdout.write(
      `    ${report.walks} walks: ${report.failures[0]?.violation.slice(0, 150) ?? "nothing found"}\n`,
    );
    return report.failures[0]?.violation.split(":")[0] ?? "nothing found";
  }
  const within = 150;
  const oneOf = (...names: InvariantName[]): unknown => expect.stringMatching(new RegExp(`^(${names.join("|")})$`));

  test("a lease longer than the election time-out", async () => {
    expect(await found({}, within, () => setLease(6000))).toEqual(oneOf("one-lease-holder", "lease-read-current"));
  });
  test("a leader that does not check its lease", async () => {
    const prepare = (): void => {
      ConsensusGroup.prototype.hasLeaderLease = function (this: ConsensusGroup): boolean {
        return this.role === "leader";
      };
    };
    expect(await found({}, within, prepare)).toEqual(oneOf("one-lease-holder", "lease-read-current"));
  });
  test("a vote granted to every candidate", async () => {
    const faults = answering("group.vote", (body, proper) => ({ ...proper, granted: true, term: body.term }));
    expect(await found(faults, within)).toEqual(
      oneOf("election-safety", "log-matching", "leader-completeness", "state-machine-safety", "one-lease-holder"),
    );
  });
  test("a success reported for an append that was refused", async () => {
    const faults = answering("group.append", (body, proper) => ({
      ...proper,
      matched: true,
      match: body.prevIndex + body.entries.length,
    }));
    expect(await found(faults, within)).toEqual(
      oneOf(
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
    expect(await found({ env: lyingDisk }, within)).toEqual(
      oneOf(
        "election-safety",
        "leader-completeness",
        "state-machine-safety",
        "log-matching",
        "leader-after-heal",
        "converged-after-heal",
      ),
    );
  });
  test("outcomes of changes not remembered", async () => {
    const prepare = (): void => {
      ControlStateMachine.apply = (state, index, command) => {
        if ("changeId" in command) delete state.changes[command.changeId];
        return properApply(state, index, command);
      };
    };
    expect(await found({}, within, prepare)).toEqual(oneOf("state-machine-safety", "outcome-repeatable"));
  });
  test("the version check left out", async () => {
    const prepare = (): void => {
      ControlStateMachine.apply = (state, index, command) =>
        properApply(state, index, "ifVersion" in command ? { ...command, ifVersion: state.policies.version } : command);
    };
    expect(await found({}, within, prepare)).toEqual(
      oneOf("state-machine-safety", "one-change-per-version", "acknowledged-durable"),
    );
  });
  test("two voters exchanged by one entry, and several such entries at once", async () => {
    const prepare = (): void => {
      MembershipChange.refusal = () => undefined;
    };
    expect(await found({}, within, prepare)).toEqual(oneOf("one-pending-voter-change"));
  });
  test("another command at the same index and term", async () => {
    const replaced = (entry: any): any =>
      entry.command.tag === "policies" ? { ...entry, command: { tag: "noop" } } : entry;
    const faults: FaultInjection = {
      rpc(rpc, id) {
        const handle = rpc.handle.bind(rpc);
        rpc.handle = (verb: string, handler: UntypedHandler): void =>
          handle(verb, (body, sender) =>
            id === "c2" && verb === "group.append"
              ? handler({ ...body, entries: body.entries.map(replaced) }, sender)
              : handler(body, sender),
          );
      },
    };
    expect(await found(faults, within)).toEqual(oneOf("log-matching", "state-machine-safety"));
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
    expect(await found(faults, within)).toEqual(oneOf("one-change-per-version", "outcome-repeatable"));
  });
  test("a change acknowledged before it is committed", async () => {
    const faults: FaultInjection = {
      group(group) {
        const propose = group.propose.bind(group);
        group.propose = function* (command, withinMs) {
          if (!("ifVersion" in command) || !group.hasLeaderLease()) return yield* propose(command, withinMs);
          Csp.go((group as any).env.scope, "late", () => propose(command, withinMs));
          return Fault.ok({ tag: "done" as const, version: command.ifVersion + 1 });
        };
      },
    };
    expect(await found(faults, within)).toEqual(oneOf("acknowledged-durable", "one-change-per-version"));
  });
  test("another outcome for a retry", async () => {
    const faults: FaultInjection = {
      group(group) {
        const propose = group.propose.bind(group);
        const proposed = new Set<string>();
        group.propose = function* (command, withinMs) {
          const outcome = yield* propose(command, withinMs);
          const again = "changeId" in command && proposed.has(command.changeId);
          if ("changeId" in command) proposed.add(command.changeId);
          return again && outcome.ok ? Fault.ok({ tag: "conflict" as const, version: 0 }) : outcome;
        };
      },
    };
    expect(await found(faults, 4 * within)).toEqual(oneOf("outcome-repeatable"));
  });
  test("a commit index that falls", async () => {
    const faults: FaultInjection = {
      group(group) {
        let commit = 0;
        const set = (index: number): void => void (commit = index > 0 && index % 4 === 0 ? index - 2 : index);
        Object.defineProperty((group as any).replica, "commitIndex", { get: () => commit, set });
      },
    };
    expect(await found(faults, within)).toEqual(oneOf("commit-index-monotonic", "no-task-error"));
  });
  test("a standby that refuses every append", async () => {
    const faults: FaultInjection = {
      rpc(rpc, id) {
        const handle = rpc.handle.bind(rpc);
        const refusing: UntypedHandler = function* () {
          return Fault.fail("refused", "append", id, "planted");
        };
        rpc.handle = (verb: string, handler: UntypedHandler): void =>
          handle(verb, id === "c4" && verb === "group.append" ? refusing : handler);
      },
    };
    expect(await found(faults, within)).toEqual(oneOf("converged-after-heal"));
  });
  test("a replica that acknowledges appends without storing them", async () => {
    const faults: FaultInjection = {
      rpc(rpc, id) {
        const handle = rpc.handle.bind(rpc);
        const idle: UntypedHandler = function* (body) {
          return Fault.ok({ term: body.term, matched: true, match: body.prevIndex + body.entries.length });
        };
        rpc.handle = (verb: string, handler: UntypedHandler): void =>
          handle(verb, id === "c4" && verb === "group.append" ? idle : handler);
      },
    };
    expect(await found(faults, within)).toEqual(
      oneOf("converged-after-heal", "leader-after-heal", "acknowledged-durable", "leader-completeness"),
    );
  });
  test("voters that grant no pre-vote after the first term", async () => {
    const faults = answering("group.preVote", (body, proper) =>
      body.term > 2 ? { ...proper, granted: false } : proper,
    );
    expect(await found(faults, within)).toEqual(oneOf("leader-after-heal"));
  });
});
