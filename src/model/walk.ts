import { Constants } from "../common/constants";
import { ActionRunner } from "./actionRunner";
import { Action } from "./actions";
import { FaultInjection, GroupUnderTest } from "./groupUnderTest";

/** Parameters of a walk. */
export interface WalkSetup {
  seed: number;
  voters: 3 | 5;
  /** Faults injected into the code under test, by the tests of the invariants. */
  faults?: FaultInjection;
  /** Receives every log line and every action. */
  trace?: (line: string) => void;
}

/** Figures of a walk that violated no invariant. */
export interface WalkReport {
  virtualMs: number;
  proposed: number;
  acknowledged: number;
  committed: number;
  wipes: number;
}

/**
 * Number of machines besides the initial voters. They are standbys, and can replace a voter that was wiped or removed.
 */
export const SPARE_MACHINES = 1;
/** Maximum time for each of the two steps of recovery after all faults have ended, in ms of virtual time. */
const RECOVERY_STEP_TIMEOUT_MS = 10_000;
const CHECK_PERIOD_MS = 100;
/**
 * Number of checks after which the final change is proposed again, because an earlier change may have taken its
 * version.
 */
const FINAL_CHANGE_PERIOD = 20;
/** Limits small enough that a short walk includes snapshots and several batches of entries. */
const SMALL_LOGS = { logEntriesUntilSnapshot: 12, appendEntriesMaxBytes: 700, trailingLogEntries: 5 };

/**
 * Ends all faults, then checks that within ten seconds the group has a leader and equal replicas, and that within ten
 * more seconds one more change is acknowledged.
 */
async function recoverAndCheck(group: GroupUnderTest): Promise<void> {
  const { invariants, world } = group;
  const isRecovered = (): boolean =>
    group.running().length === group.machines.length &&
    group.leaseHolder() !== undefined &&
    invariants.hasConverged(group.running());
  group.healAll();
  const recoveryDeadline = world.now + RECOVERY_STEP_TIMEOUT_MS;
  while (world.now < recoveryDeadline && !isRecovered()) {
    await group.pass(CHECK_PERIOD_MS);
    group.healAll();
  }
  const acknowledgedBefore = invariants.acknowledgedChanges.length;
  const isChangeAcknowledged = (): boolean => invariants.acknowledgedChanges.length > acknowledgedBefore;
  const changeDeadline = world.now + RECOVERY_STEP_TIMEOUT_MS;
  for (let checks = 0; world.now < changeDeadline && !(isChangeAcknowledged() && isRecovered()); checks += 1) {
    const leader = group.leaseHolder();
    if (leader && !isChangeAcknowledged() && checks % FINAL_CHANGE_PERIOD === 0)
      group.propose(leader, "policies", invariants.reference.version("policies"));
    await group.pass(CHECK_PERIOD_MS);
  }
  group.check();
  invariants.checkEnd(group.running(), group.leaseHolder() !== undefined && isChangeAcknowledged());
  group.throwViolation();
}

function reportOf(group: GroupUnderTest): WalkReport {
  return {
    virtualMs: group.world.now,
    proposed: group.changes.length,
    acknowledged: group.invariants.acknowledgedChanges.length,
    committed: group.invariants.committedIndex,
    wipes: group.machines.reduce((sum, machine) => sum + machine.wipes, 0),
  };
}

/**
 * Runs a list of actions on a new group, from its bootstrap to its recovery after all faults have ended.
 *
 * @example
 * await Walk.play({ seed: 7, voters: 3 }, [{ tag: "isolateLeader", way: "both" }, { tag: "pass", ms: 2500 }]);
 */
export const Walk = {
  /** Runs the actions. Throws a Violation if an invariant is violated. */
  async play(setup: WalkSetup, actions: Action[]): Promise<WalkReport> {
    const savedConstants = { ...Constants };
    Object.assign(Constants, SMALL_LOGS);
    const size = { seed: setup.seed, voters: setup.voters, spares: SPARE_MACHINES };
    const group = new GroupUnderTest(size, setup.faults, setup.trace);
    const runner = new ActionRunner(group);
    try {
      await group.boot();
      for (const action of actions) {
        setup.trace?.(`${group.world.now.toFixed(1)} ACTION ${JSON.stringify(action)}`);
        await runner.run(action);
        await group.pass(1);
        group.check();
      }
      await recoverAndCheck(group);
      return reportOf(group);
    } finally {
      group.end();
      Object.assign(Constants, savedConstants);
    }
  },
};
