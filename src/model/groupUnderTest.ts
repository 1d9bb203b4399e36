import { Command, Outcome } from "../controlState/command";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { TwoSlots } from "../runtime/twoSlots";
import { SimDisk } from "../simulation/simDisk";
import { SimProcess, SimWorld } from "../simulation/simWorld";
import { Rpc } from "../rpc/rpc";
import type { Register } from "./actions";
import { Invariants, Replica } from "./invariants";
import { TroubledNetwork } from "./troubledNetwork";

/** What a test may put between the group and its world, to see that an invariant notices. */
export type Plants = {
  env?: (env: Env) => Env;
  rpc?: (rpc: Rpc, id: string) => void;
  group?: (group: ConsensusGroup) => void;
};
type Life = { id: string; process: SimProcess; group: ConsensusGroup };
/** One machine: its address and disk stay, the process and the replica's id may be replaced. */
export type Machine = { name: string; address: string; disk: SimDisk; life: Life; wipes: number; opened: boolean };
type Change = { changeId: string; register: Register; command: Command };

const groupName = "group-model";
const firstPort = 7000;
const leaseLookMs = 10;

/**
 * The real group on simulated machines: its network, disks and clocks are the simulator's, its duties and callers stand
 * here. Everything it does is told to the invariants.
 *
 * @example
 * const group = new GroupUnderTest({ seed: 7, voters: 3, spares: 1 });
 * await group.boot();
 * await group.pass(500);
 */
export class GroupUnderTest {
  readonly invariants = new Invariants();
  readonly world: SimWorld;
  readonly network: TroubledNetwork;
  readonly machines: Machine[] = [];
  readonly changes: Change[] = [];
  private readonly machineOf = new Map<string, Machine>();
  private readonly wipedIds = new Set<string>();
  constructor(
    private readonly size: { seed: number; voters: number; spares: number },
    private readonly plants: Plants = {},
    trace: (line: string) => void = () => undefined,
  ) {
    this.world = new SimWorld(size.seed, (line) => {
      this.watchElection(line);
      trace(line);
    });
    this.network = new TroubledNetwork(this.world);
    this.world.around = (env) => this.network.around(this.plants.env ? this.plants.env(env) : env);
  }

  // ---------- machines ----------
  /** Founds the group and waits for its first lead. */
  async boot(): Promise<void> {
    const count = this.size.voters + this.size.spares;
    const founders = Array.from({ length: this.size.voters }, (_none, at) => `c${at + 1}`);
    for (let at = 0; at < count; at += 1) {
      const name = `m${at + 1}`;
      const disk = new SimDisk(this.world);
      const machine = { name, address: `10.1.0.1:${firstPort + at}`, disk, wipes: 0, opened: false } as Machine;
      this.machines.push(machine);
      this.machineOf.set(`c${at + 1}`, machine);
    }
    for (const [at, machine] of this.machines.entries()) this.start(machine, `c${at + 1}`, founders);
    for (let waited = 0; waited < 30 && !this.leaseholder(); waited += 1) await this.pass(100);
  }
  private start(machine: Machine, id: string, founders: string[] = []): void {
    machine.opened = false;
    const process = this.world.start(machine.name, machine.disk);
    const rpc = new Rpc(process.env, "model", id);
    this.plants.rpc?.(rpc, id);
    const otherNodes = (): string[] => this.machines.map((each) => each.life.id).filter((other) => other !== id);
    const addressOf = (other: string): string | undefined => this.machineOf.get(other)?.address;
    const { invariants } = this;
    const replica: Replica = { id, group: undefined as unknown as ConsensusGroup };
    const hooks = {
      addressOf,
      otherNodes,
      onApplied: (): void => invariants.applied(replica, replica.group.state, replica.group.lastApplied),
    };
    const group = new ConsensusGroup(process.env, rpc, id, new TwoSlots(process.env, `data/group`), hooks);
    replica.group = group;
    this.plants.group?.(group);
    machine.life = { id, process, group };
    const test = this;
    Csp.go(process.scope, "main", function* () {
      yield* rpc.serve(machine.address);
      const opened = yield* group.open();
      if (!opened.ok) return void invariants.taskError(`${id} can't open its disk: ${opened.fault.detail}`);
      invariants.compareState(id, group.state, group.lastApplied);
      if (founders.includes(id)) yield* group.bootstrap(groupName, founders);
      machine.opened = true;
      group.start();
      yield* test.duties(machine.life);
    });
  }
  /** Ends a machine's process; it comes back with the disk that it left. */
  kill(machine: Machine, powerLost: boolean, backInMs: number): void {
    const { life } = machine;
    if (!life.process.alive) return;
    this.world.kill(machine.name, powerLost);
    this.world.at(backInMs, () => {
      if (machine.life === life) this.start(machine, life.id);
    });
  }
  /** Ends a machine's process and empties its disk, if the group can bear it; it comes back as a new member. */
  wipe(machine: Machine, backInMs: number): boolean {
    const { life } = machine;
    const reading = this.machines.some((each) => each.life.process.alive && !each.opened);
    if (!life.process.alive || reading || !this.canLose(life.id)) return false; // a log not read yet may hold voters
    this.world.kill(machine.name, true);
    machine.disk.wipe();
    this.wipedIds.add(life.id);
    machine.wipes += 1;
    const id = `c${machine.name.slice(1)}.${machine.wipes}`;
    this.world.at(backInMs, () => {
      this.machineOf.set(id, machine);
      this.start(machine, id);
    });
    return true;
  }
  /** Sets of voters that may decide: the newest committed, and every later one in somebody's log. */
  private decidingVoters(): string[][] {
    const later = this.machines.flatMap((machine) =>
      machine.life.group
        .inspect()
        .entries.flatMap(({ index, command }) =>
          index > this.invariants.committedIndex && command.tag === "voters" ? [command.voters] : [],
        ),
    );
    return [this.invariants.voters, ...later];
  }
  /** Whether every set of voters keeps a majority of disks that were never emptied. */
  private bearable(lost: Set<string>, sets: string[][]): boolean {
    return sets.every((voters) => voters.filter((id) => lost.has(id)).length <= Math.floor((voters.length - 1) / 2));
  }
  private canLose(id: string): boolean {
    return this.bearable(new Set([...this.wipedIds, id]), this.decidingVoters());
  }
  /** Starts whatever is down, wakes whatever is frozen, and ends every trouble. */
  recoverAll(): void {
    this.world.heal();
    this.network.calm();
    for (const machine of this.machines) {
      this.calmDisk(machine);
      machine.life.process.wake();
    }
  }
  freeze(machine: Machine, forMs: number): void {
    const { process } = machine.life;
    if (!process.alive || process.frozen) return;
    process.freeze();
    this.world.at(forMs, () => process.wake());
  }
  stallDisk(machine: Machine, forMs: number): void {
    machine.disk.syncMs = [forMs, 0];
    this.world.at(forMs, () => this.calmDisk(machine));
  }
  private calmDisk(machine: Machine): void {
    machine.disk.syncMs = [0.3, 2.5];
  }

  // ---------- who is there ----------
  running(): Replica[] {
    return this.machines
      .filter(({ life, opened }) => life.process.alive && opened)
      .map(({ life }) => ({ id: life.id, group: life.group }));
  }
  private runningMachines = (): Machine[] => this.machines.filter(({ life, opened }) => life.process.alive && opened);
  leaseholder(): Machine | undefined {
    return this.runningMachines().find(({ life }) => life.group.hasLeaderLease());
  }
  /** Whoever takes itself for the lead, the one with the oldest term first: it is the one that may be cut off. */
  leads(): Machine[] {
    return this.runningMachines()
      .filter(({ life }) => life.group.role === "leader")
      .sort((left, right) => left.life.group.inspect().term - right.life.group.inspect().term);
  }

  // ---------- duties and callers ----------
  /** What the control node's duty loop does about voters whose disk is gone, and about their number. */
  private *duties(life: Life): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(life.process.env, Constants.dutyPeriodMs);
      if (!life.group.hasLeaderLease()) continue;
      const voters = this.nextVoters(life);
      if (voters && this.bearable(this.wipedIds, [voters]))
        yield* life.group.propose({ tag: "voters", voters }, Constants.proposeTimeoutMs);
    }
  }
  private nextVoters({ id: self, group }: Life): string[] | undefined {
    const voters = group.voters();
    const emptied = voters.find((id) => this.wipedIds.has(id));
    if (emptied !== undefined) return voters.filter((id) => id !== emptied);
    if (voters.length > this.size.voters) {
      const surplus = voters.filter((id) => id !== self).sort((left, right) => group.lag(right) - group.lag(left))[0];
      return voters.filter((id) => id !== surplus);
    }
    if (voters.length === this.size.voters) return undefined;
    const standby = this.machines.map(({ life }) => life.id).find((id) => !voters.includes(id) && group.isCaughtUp(id));
    return standby === undefined ? undefined : [...voters, standby];
  }
  /** Asks one machine for new voters, unless a majority of them has lost its disk by the time it hears of it. */
  proposeVoters(machine: Machine, voters: string[]): void {
    const test = this;
    this.ask(machine, function* (group) {
      if (voters.length > 0 && test.bearable(test.wipedIds, [voters]))
        yield* group.propose({ tag: "voters", voters }, Constants.proposeTimeoutMs);
    });
  }
  /** A new change against a version of a register. */
  propose(machine: Machine, register: Register, ifVersion: number): void {
    const changeId = `change-${this.changes.length + 1}`;
    const doc = { bindings: {}, origin: { changeId } };
    const command: Command =
      register === "policies"
        ? { tag: "policies", changeId, ifVersion, doc: [{ match: { caller: changeId } }], by: "walk" }
        : { tag: "manifest", changeId, ifVersion, doc, by: "walk" };
    const change = { changeId, register, command };
    this.changes.push(change);
    this.send(machine, change);
  }
  /** The same change again, as a caller that got no clear response would. */
  resend(machine: Machine, change: Change): void {
    this.send(machine, change);
  }
  private send(machine: Machine, change: Change): void {
    const { invariants } = this;
    const { id } = machine.life;
    this.ask(machine, function* (group) {
      const outcome = yield* GroupUnderTest.answer(group, change);
      if (outcome.ok) invariants.told(id, change.register, change.changeId, outcome.value);
    });
  }
  /** As the control node does it: a lead that knows the outcome of a change tells it from its state. */
  private static *answer(group: ConsensusGroup, { changeId, command }: Change): Task<Result<Outcome>> {
    const known = group.hasLeaderLease() ? group.state.changes[changeId] : undefined;
    return known ? Fault.ok(known) : yield* group.propose(command, Constants.proposeTimeoutMs);
  }
  private ask(machine: Machine, body: (group: ConsensusGroup) => Task<void>): void {
    const { process, group } = machine.life;
    if (!machine.opened) return;
    process.deliver(() => Csp.go(process.scope, "caller", () => body(group)));
  }

  // ---------- time ----------
  /** Lets time pass; leases are looked at every few milliseconds. Throws what was found broken. */
  async pass(ms: number): Promise<void> {
    for (const until = this.world.now + ms; this.world.now < until;) {
      await this.world.run(Math.min(leaseLookMs, until - this.world.now));
      this.invariants.leases(this.running());
      this.throwViolation();
    }
  }
  /** Looks at everything that can be looked at now, and throws what was found broken. */
  check(): void {
    const running = this.running();
    this.invariants.leases(running);
    this.invariants.logs(running);
    for (const machine of this.machines)
      for (const error of machine.life.process.errors) this.invariants.taskError(error);
    this.throwViolation();
  }
  throwViolation(): void {
    if (this.invariants.violation) throw this.invariants.violation;
  }
  /** Ends everything. */
  end(): void {
    for (const machine of this.machines) this.world.kill(machine.name);
  }
  private watchElection(line: string): void {
    const elected = /^\S+ (\S+) PB1303 \{"term":(\d+)/.exec(line);
    if (!elected) return;
    const machine = this.machines.find(({ name }) => name === elected[1]);
    if (machine) this.invariants.elected(machine.life.id, Number(elected[2]));
  }
}
