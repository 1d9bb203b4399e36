import { Action, BaseVersion, MachineAction, NetworkAction, ProposalAction, Target } from "./actions";
import { GroupUnderTest, Machine } from "./groupUnderTest";

function baseVersion(current: number, base: BaseVersion): number {
  if (base === "current") return current;
  return base === "stale" ? Math.max(0, current - 1) : current + 1;
}

/**
 * Executes the actions of a walk on a group. Several changes or retries of one action are proposed at the same virtual
 * time.
 */
export class ActionRunner {
  constructor(private readonly group: GroupUnderTest) {}

  async run(action: Action): Promise<void> {
    switch (action.tag) {
      case "change":
      case "resend":
      case "burst":
      case "addVoter":
      case "removeVoter":
      case "jumpVoters": {
        const machine = this.targetOf(action.at);
        return machine && (await this.propose(action, machine));
      }
      case "isolate":
      case "isolateLeader":
      case "split":
      case "cutOneWay":
      case "heal":
      case "network":
        return this.changeNetwork(action);
      case "pass":
        return await this.group.pass(action.ms);
      default:
        return this.injectMachineFault(action);
    }
  }

  private machineAt(machineNumber: number): Machine {
    return this.group.machines[machineNumber % this.group.machines.length];
  }
  private targetOf(target: Target): Machine | undefined {
    if (target === "leaseholder") return this.group.leaseHolder() ?? this.group.leaders()[0];
    if (target === "anyLeader") return this.group.leaders()[0];
    return this.group.machines[target];
  }

  // ---------- proposals ----------

  private async propose(action: ProposalAction, machine: Machine): Promise<void> {
    const { group } = this;
    const { reference } = group.invariants;
    switch (action.tag) {
      case "change": {
        const version = baseVersion(reference.version(action.register), action.base);
        for (let sent = 0; sent < action.count; sent += 1) group.propose(machine, action.register, version);
        return;
      }
      case "resend":
        if (group.changes.length > 0) group.resend(machine, group.changes[action.pick % group.changes.length]);
        return;
      case "burst": {
        const version = reference.version("policies");
        for (let sent = 0; sent < action.count; sent += 1) group.propose(machine, "policies", version + sent);
        return;
      }
      case "addVoter":
      case "removeVoter":
        for (let sent = 0; sent < action.count; sent += 1) {
          this.changeOneVoter(machine, action.tag === "addVoter", action.pick + sent);
          await group.pass(1);
        }
        return;
      case "jumpVoters":
        return this.changeTwoVoters(machine, action.pick);
    }
  }
  /**
   * Proposes a membership with one voter added or removed, based on the newest membership in the machine's log. As in
   * the control node, only a caught-up standby is added, because a voter without a log can neither acknowledge entries
   * nor vote after a power loss of all machines.
   */
  private changeOneVoter(machine: Machine, isAddition: boolean, pick: number): void {
    const leader = machine.incarnation.group;
    const voters = leader.voters();
    const candidates = isAddition ? this.idsExcluding(voters).filter((id) => leader.isCaughtUp(id)) : voters;
    if (candidates.length === 0) return;
    const chosen = candidates[pick % candidates.length];
    this.group.proposeVoters(machine, isAddition ? [...voters, chosen] : voters.filter((id) => id !== chosen));
  }
  /**
   * Proposes to change two voters by one entry: one voter is replaced, or two are removed. A majority of the old
   * membership need not overlap a majority of the new one.
   */
  private changeTwoVoters(machine: Machine, pick: number): void {
    const voters = machine.incarnation.group.voters();
    const standbys = this.idsExcluding(voters);
    const remaining = voters.filter((_id, position) => position !== pick % voters.length);
    const nextVoters = standbys.length > 0 ? [...remaining, standbys[pick % standbys.length]] : remaining.slice(1);
    this.group.proposeVoters(machine, nextVoters);
  }
  private idsExcluding(voters: string[]): string[] {
    return this.group.machines.map(({ incarnation }) => incarnation.id).filter((id) => !voters.includes(id));
  }

  // ---------- faults ----------

  private changeNetwork(action: NetworkAction): void {
    const { group } = this;
    const { world, network } = group;
    switch (action.tag) {
      case "isolate":
        return world.isolate([this.machineAt(action.machine).name], action.way);
      case "isolateLeader": {
        const leader = group.leaseHolder();
        return leader && world.isolate([leader.name], action.way);
      }
      case "split": {
        const names = group.machines.filter((_machine, at) => (action.mask >> at) & 1).map(({ name }) => name);
        return world.isolate(names, "both");
      }
      case "cutOneWay":
        if (action.from !== action.to)
          world.partition(this.machineAt(action.from).name, this.machineAt(action.to).name);
        return;
      case "heal":
        world.heal();
        return network.heal();
      case "network":
        network.dropShare = action.dropPercent / 100;
        network.duplicateShare = action.duplicatePercent / 100;
        network.delayShare = action.delayPercent / 100;
        network.delayMs = action.delayMs;
    }
  }

  private injectMachineFault(action: MachineAction): void {
    const { group } = this;
    switch (action.tag) {
      case "freeze":
        return group.freeze(this.machineAt(action.machine), action.forMs);
      case "freezeLeader": {
        const leader = group.leaseHolder();
        return leader && group.freeze(leader, action.forMs);
      }
      case "kill":
        return group.kill(this.machineAt(action.machine), action.powerLost, action.backInMs);
      case "killAll":
        for (const machine of group.machines) group.kill(machine, true, action.backInMs);
        return;
      case "wipe":
        group.wipe(this.machineAt(action.machine), action.backInMs);
        return;
      case "stallDisk":
        return group.stallDisk(this.machineAt(action.machine), action.forMs);
      case "failDisk":
        return group.failDisk(this.machineAt(action.machine), action.how, action.forMs);
      case "stepClock":
        this.machineAt(action.machine).incarnation.process.skewMs += action.byMs;
    }
  }
}
