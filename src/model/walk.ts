import { Constants } from "../common/constants";
import { Action, Target } from "./actions";
import { GroupUnderTest, Machine, Plants } from "./groupUnderTest";

/** Where a walk takes place. */
export type WalkSetup = { seed: number; voters: 3 | 5; plants?: Plants; trace?: (line: string) => void };
/** What a walk came to, when nothing was broken. */
export type WalkReport = {
  virtualMs: number;
  proposed: number;
  acknowledged: number;
  committed: number;
  wipes: number;
};

/** Machines beside the voters, which stand by: what an emptied or removed voter is replaced with. */
export const spareMachines = 1;
const settleMs = 10_000;
const lookMs = 100;
/** The last change is proposed anew after so many looks, while an earlier one may still take its version. */
const finalChangeEvery = 20;
/** Logs are folded and sent in pieces this small, so that a short walk meets snapshots and batches. */
const smallLogs = { groupLogKeep: 12, appendBytes: 700, groupTailEntries: 5 };

function targetOf(group: GroupUnderTest, target: Target): Machine | undefined {
  if (target === "leaseholder") return group.leaseholder() ?? group.leads()[0];
  if (target === "anyLead") return group.leads()[0];
  return group.machines[target];
}
function baseVersion(current: number, base: "current" | "stale" | "ahead"): number {
  if (base === "current") return current;
  return base === "stale" ? Math.max(0, current - 1) : current + 1;
}
/**
 * Voters with one more or one less, made from the newest that the lead has in its log. As in the control node, only a
 * standby that is caught up is added: one without a log could neither acknowledge nor vote after a loss of all power.
 */
function changeVoters(group: GroupUnderTest, machine: Machine, add: boolean, pick: number): void {
  const leader = machine.life.group;
  const voters = leader.voters();
  const standbys = group.machines
    .map(({ life }) => life.id)
    .filter((id) => !voters.includes(id) && leader.isCaughtUp(id));
  const candidates = add ? standbys : voters;
  if (candidates.length === 0) return;
  const chosen = candidates[pick % candidates.length];
  group.proposeVoters(machine, add ? [...voters, chosen] : voters.filter((id) => id !== chosen));
}
/** Two voters exchanged or left out by one entry: a majority of the former need not meet one of the next. */
function jumpVoters(group: GroupUnderTest, machine: Machine, pick: number): void {
  const voters = machine.life.group.voters();
  const standbys = group.machines.map(({ life }) => life.id).filter((id) => !voters.includes(id));
  const kept = voters.filter((_id, at) => at !== pick % voters.length);
  const next = standbys.length > 0 ? [...kept, standbys[pick % standbys.length]] : kept.slice(1);
  group.proposeVoters(machine, next);
}

/** Carries out one action. Two proposals of one action are made in the same instant. */
async function act(group: GroupUnderTest, action: Action): Promise<void> {
  const { world } = group;
  const machineAt = (at: number): Machine => group.machines[at % group.machines.length];
  switch (action.tag) {
    case "change": {
      const machine = targetOf(group, action.at);
      const current = group.invariants.reference.version(action.register);
      for (let each = 0; machine && each < action.count; each += 1)
        group.propose(machine, action.register, baseVersion(current, action.base));
      return;
    }
    case "resend": {
      const machine = targetOf(group, action.at);
      if (machine && group.changes.length > 0) group.resend(machine, group.changes[action.pick % group.changes.length]);
      return;
    }
    case "burst": {
      const machine = targetOf(group, action.at);
      const current = group.invariants.reference.version("policies");
      for (let each = 0; machine && each < action.count; each += 1) group.propose(machine, "policies", current + each);
      return;
    }
    case "addVoter":
    case "removeVoter": {
      const machine = targetOf(group, action.at);
      for (let each = 0; machine && each < action.count; each += 1) {
        changeVoters(group, machine, action.tag === "addVoter", action.pick + each);
        await group.pass(1);
      }
      return;
    }
    case "jumpVoters": {
      const machine = targetOf(group, action.at);
      if (machine) jumpVoters(group, machine, action.pick);
      return;
    }
    case "isolate":
      return world.cutOff([machineAt(action.machine).name], action.way);
    case "isolateLead": {
      const leader = group.leaseholder();
      return leader && world.cutOff([leader.name], action.way);
    }
    case "split": {
      const names = group.machines.filter((_machine, at) => (action.mask >> at) & 1).map(({ name }) => name);
      return world.cutOff(names, "both");
    }
    case "cutOneWay":
      if (action.from !== action.to) world.cut(machineAt(action.from).name, machineAt(action.to).name);
      return;
    case "heal":
      world.heal();
      return group.network.calm();
    case "network":
      group.network.dropShare = action.dropPercent / 100;
      group.network.duplicateShare = action.duplicatePercent / 100;
      group.network.delayShare = action.delayPercent / 100;
      group.network.delayMs = action.delayMs;
      return;
    case "freeze":
      return group.freeze(machineAt(action.machine), action.forMs);
    case "freezeLead": {
      const leader = group.leaseholder();
      return leader && group.freeze(leader, action.forMs);
    }
    case "kill":
      return group.kill(machineAt(action.machine), action.powerLost, action.backInMs);
    case "killAll":
      for (const machine of group.machines) group.kill(machine, true, action.backInMs);
      return;
    case "wipe":
      group.wipe(machineAt(action.machine), action.backInMs);
      return;
    case "stallDisk":
      return group.stallDisk(machineAt(action.machine), action.forMs);
    case "stepClock":
      machineAt(action.machine).life.process.skewMs += action.byMs;
      return;
    case "pass":
      return await group.pass(action.ms);
    default: {
      const never: never = action;
      return never;
    }
  }
}

/** Everything is healed: a lead and equal replicas within ten seconds, and one more change goes through. */
async function settle(group: GroupUnderTest): Promise<void> {
  group.recoverAll();
  const until = group.world.now + settleMs;
  const everybody = (): boolean => group.running().length === group.machines.length;
  const settled = (): boolean =>
    everybody() && group.leaseholder() !== undefined && group.invariants.converged(group.running());
  while (group.world.now < until && !settled()) {
    await group.pass(lookMs);
    group.recoverAll();
  }
  const changesBefore = group.invariants.acknowledgedChanges.length;
  const changed = (): boolean => group.invariants.acknowledgedChanges.length > changesBefore;
  const by = group.world.now + settleMs;
  for (let tries = 0; group.world.now < by && !(changed() && settled()); tries += 1) {
    const leader = group.leaseholder();
    if (leader && !changed() && tries % finalChangeEvery === 0)
      group.propose(leader, "policies", group.invariants.reference.version("policies"));
    await group.pass(lookMs);
  }
  group.check();
  group.invariants.atEnd(group.running(), group.leaseholder() !== undefined && changed());
  group.throwViolation();
}

/**
 * Plays one list of actions on a group of its own, from its founding to a healed end.
 *
 * @example
 * await Walk.play({ seed: 7, voters: 3 }, [{ tag: "isolateLead", way: "both" }, { tag: "pass", ms: 2500 }]);
 */
export const Walk = {
  /** Throws the violation, if one is found. */
  async play(setup: WalkSetup, actions: Action[]): Promise<WalkReport> {
    const usual = { ...Constants };
    Object.assign(Constants, smallLogs);
    const group = new GroupUnderTest(
      { seed: setup.seed, voters: setup.voters, spares: spareMachines },
      setup.plants,
      setup.trace,
    );
    try {
      await group.boot();
      for (const action of actions) {
        setup.trace?.(`${group.world.now.toFixed(1)} ACTION ${JSON.stringify(action)}`);
        await act(group, action);
        await group.pass(1);
        group.check();
      }
      await settle(group);
      return {
        virtualMs: group.world.now,
        proposed: group.changes.length,
        acknowledged: group.invariants.acknowledgedChanges.length,
        committed: group.invariants.committedIndex,
        wipes: group.machines.reduce((sum, machine) => sum + machine.wipes, 0),
      };
    } finally {
      group.end();
      Object.assign(Constants, usual);
    }
  },
};
