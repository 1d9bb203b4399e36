import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Command, Outcome } from "../controlState/command";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { CheckpointedLog } from "../runtime/checkpointedLog";
import { SimDisk } from "../simulation/simDisk";
import { SimWorld } from "../simulation/simWorld";
import type { DiskFault } from "./actions";
import { DiskLossLimit } from "./diskLossLimit";
import { FaultyNetwork } from "./faultyNetwork";
import { Invariants, RunningReplica } from "./invariants";
import { FaultInjection, Machine } from "./machine";
import type { VersionedDocument } from "./referenceModel";
import { VoterMaintenance } from "./voterMaintenance";

export type { FaultInjection, Machine } from "./machine";

/** A change of a document, which may be proposed several times. */
interface DocumentChange {
  changeId: string;
  register: VersionedDocument;
  command: Command;
}

const GROUP_ID = "group-model";
const FIRST_PORT = 7000;
/** Interval between checks of the leases, in ms. */
const LEASE_CHECK_MS = 10;
/** Maximum number of steps to wait for the first leader. */
const BOOT_STEPS = 30;
const BOOT_STEP_MS = 100;
/** Duration of a sync on a healthy disk, in ms: minimum, and maximum of the random part. */
const HEALTHY_SYNC_MS: [number, number] = [0.3, 2.5];
/** Pause after a process could not open its disk, until it is started again, in ms. */
const RESTART_AFTER_FAILED_START_MS = 100;
const isFaulty = ({ full, failing, syncFailing }: SimDisk): boolean => full || failing || syncFailing;
/** Matches the log line of event 1303, "became control leader", and captures machine and term. */
const ELECTED_LINE = /^\S+ (\S+) PB1303 \{"term":(\d+)/;

/**
 * Runs the production code of the consensus group on simulated machines, networks, disks and clocks. This class
 * simulates the callers, and VoterMaintenance the maintenance of the voters. The invariants are notified of all events.
 */
export class GroupUnderTest {
  readonly invariants = new Invariants();
  readonly world: SimWorld;
  readonly network: FaultyNetwork;
  readonly machines: Machine[] = [];
  /** All document changes proposed so far. */
  readonly changes: DocumentChange[] = [];
  private readonly machineOf = new Map<string, Machine>();
  private readonly diskLoss: DiskLossLimit;
  private readonly maintenance: VoterMaintenance;

  /** @param trace receives every line that the simulated processes log */
  constructor(
    private readonly groupSize: { seed: number; voters: number; spares: number },
    private readonly faults: FaultInjection = {},
    trace: (line: string) => void = () => undefined,
  ) {
    this.diskLoss = new DiskLossLimit(this.machines, this.invariants);
    this.maintenance = new VoterMaintenance(this.machines, this.diskLoss, groupSize.voters);
    this.world = new SimWorld(groupSize.seed, (line) => {
      this.observeElection(line);
      trace(line);
    });
    this.network = new FaultyNetwork(this.world);
    this.world.wrapEnvironment = (env) => this.network.wrap(this.faults.env ? this.faults.env(env) : env);
  }

  // ---------- machines ----------

  /** Bootstraps the group and waits for its first leader. */
  async boot(): Promise<void> {
    const count = this.groupSize.voters + this.groupSize.spares;
    const initialVoters = Array.from({ length: this.groupSize.voters }, (_none, position) => `c${position + 1}`);
    for (let position = 0; position < count; position += 1) {
      const name = `m${position + 1}`;
      const disk = new SimDisk(this.world);
      const address = `10.1.0.1:${FIRST_PORT + position}`;
      const machine = { name, address, disk, wipes: 0, isOpen: false } as Machine; // start() sets its incarnation below
      this.machines.push(machine);
      this.machineOf.set(`c${position + 1}`, machine);
    }
    for (const [position, machine] of this.machines.entries()) this.start(machine, `c${position + 1}`, initialVoters);
    for (let step = 0; step < BOOT_STEPS && !this.leaseHolder(); step += 1) await this.pass(BOOT_STEP_MS);
  }
  private start(machine: Machine, id: string, initialVoters: string[] = []): void {
    machine.isOpen = false;
    const process = this.world.start(machine.name, machine.disk);
    const rpc = new Rpc(process.env, "model", id);
    this.faults.rpc?.(rpc, id);
    const model = this;
    const { invariants, maintenance } = this;
    const group: ConsensusGroup = new ConsensusGroup(
      process.env,
      rpc,
      id,
      new CheckpointedLog(process.env, "data/group"),
      {
        addressOf: (other) => this.machineOf.get(other)?.address,
        otherNodes: () => this.machines.map(({ incarnation }) => incarnation.id).filter((other) => other !== id),
        onApplied: () => invariants.onApplied({ id, group }, group.state, group.lastApplied),
      },
    );
    this.faults.group?.(group);
    machine.incarnation = { id, process, group };
    Csp.go(process.scope, "main", function* () {
      yield* rpc.serve(machine.address);
      const opened = yield* group.open();
      if (!opened.ok) {
        if (!isFaulty(machine.disk)) invariants.onTaskError(`${id} cannot open its disk: ${opened.fault.detail}`);
        return model.world.schedule(0, () => model.kill(machine, false, RESTART_AFTER_FAILED_START_MS));
      }
      invariants.compareState(id, group.state, group.lastApplied);
      if (initialVoters.includes(id)) yield* group.bootstrap(GROUP_ID, initialVoters);
      machine.isOpen = true;
      group.start();
      yield* maintenance.run(machine.incarnation);
    });
  }
  /** Kills a machine's process, which restarts `backInMs` later with the same id and disk. */
  kill(machine: Machine, powerLost: boolean, backInMs: number): void {
    const { incarnation } = machine;
    if (!incarnation.process.alive) return;
    this.world.kill(machine.name, powerLost);
    this.world.schedule(backInMs, () => {
      if (machine.incarnation === incarnation) this.start(machine, incarnation.id);
    });
  }
  /**
   * Kills a machine's process and wipes its disk; the machine restarts `backInMs` later as a new replica. Does nothing
   * and returns false if the group could not tolerate the loss.
   */
  wipe(machine: Machine, backInMs: number): boolean {
    const { id, process } = machine.incarnation;
    // A log that has not been read yet may contain a membership that the disk loss limit must take into account.
    const isAnyDiskUnread = this.machines.some((other) => other.incarnation.process.alive && !other.isOpen);
    if (!process.alive || isAnyDiskUnread || !this.diskLoss.canLose(id)) return false;
    this.world.kill(machine.name, true);
    machine.disk.wipe();
    this.diskLoss.addWiped(id);
    machine.wipes += 1;
    const newId = `c${machine.name.slice(1)}.${machine.wipes}`;
    this.world.schedule(backInMs, () => {
      this.machineOf.set(newId, machine);
      this.start(machine, newId);
    });
    return true;
  }
  /**
   * Ends all faults of networks, disks and frozen processes. Killed processes still restart at their scheduled time.
   */
  healAll(): void {
    this.world.heal();
    this.network.heal();
    for (const machine of this.machines) {
      this.healDisk(machine);
      machine.incarnation.process.resume();
    }
  }
  freeze(machine: Machine, forMs: number): void {
    const { process } = machine.incarnation;
    if (!process.alive || process.frozen) return;
    process.freeze();
    this.world.schedule(forMs, () => process.resume());
  }
  /** Makes every sync of a disk take `forMs`, for `forMs`. */
  stallDisk(machine: Machine, forMs: number): void {
    machine.disk.syncMs = [forMs, 0];
    this.world.schedule(forMs, () => (machine.disk.syncMs = [...HEALTHY_SYNC_MS]));
  }
  /** Makes a disk reject writes for `forMs`. */
  failDisk({ disk }: Machine, how: DiskFault, forMs: number): void {
    disk[how] = true;
    this.world.schedule(forMs, () => (disk[how] = false));
  }
  private healDisk({ disk }: Machine): void {
    disk.syncMs = [...HEALTHY_SYNC_MS];
    disk.full = disk.failing = disk.syncFailing = false;
  }

  // ---------- replicas ----------

  running(): RunningReplica[] {
    return this.runningMachines().map(({ incarnation: { id, group } }) => ({ id, group }));
  }
  private runningMachines(): Machine[] {
    return this.machines.filter(({ incarnation, isOpen }) => incarnation.process.alive && isOpen);
  }
  leaseHolder(): Machine | undefined {
    return this.runningMachines().find(({ incarnation }) => incarnation.group.hasLeaderLease());
  }
  /**
   * Machines that consider themselves the leader, in order of their terms. One with a lower term may be partitioned
   * from the others.
   */
  leaders(): Machine[] {
    const termOf = ({ incarnation }: Machine): number => incarnation.group.inspect().term;
    return this.runningMachines()
      .filter(({ incarnation }) => incarnation.group.role === "leader")
      .sort((left, right) => termOf(left) - termOf(right));
  }

  // ---------- callers ----------

  /**
   * Proposes new voters at one machine. The proposal is dropped if, on arrival, a majority of them have lost their
   * disks.
   */
  proposeVoters(machine: Machine, voters: string[]): void {
    const { diskLoss } = this;
    this.runOnMachine(machine, function* (group) {
      if (voters.length > 0 && diskLoss.allows(voters))
        yield* group.propose({ tag: "voters", voters }, Constants.proposeTimeoutMs);
    });
  }
  /** Sends a new change of a document, based on the version `ifVersion`. */
  propose(machine: Machine, register: VersionedDocument, ifVersion: number): void {
    const changeId = `change-${this.changes.length + 1}`;
    const doc = { bindings: {}, origin: { changeId } };
    const command: Command =
      register === "policies"
        ? { tag: "policies", changeId, ifVersion, doc: [{ match: { caller: changeId } }], by: "walk" }
        : { tag: "manifest", changeId, ifVersion, doc, by: "walk" };
    const change = { changeId, register, command };
    this.changes.push(change);
    this.resend(machine, change);
  }
  /** Sends a change, again if it was sent before, as a caller does that received no definite response. */
  resend(machine: Machine, change: DocumentChange): void {
    const { invariants } = this;
    const { id } = machine.incarnation;
    this.runOnMachine(machine, function* (group) {
      const outcome = yield* GroupUnderTest.outcomeOf(group, change);
      if (outcome.ok) invariants.onOutcome(id, change.register, change.changeId, outcome.value);
    });
  }
  /**
   * Returns the outcome of a change. As in the control node, a leader that already knows the outcome responds from its
   * state.
   */
  private static *outcomeOf(group: ConsensusGroup, { changeId, command }: DocumentChange): Task<Result<Outcome>> {
    const known = group.hasLeaderLease() ? group.state.changes[changeId] : undefined;
    return known ? Fault.ok(known) : yield* group.propose(command, Constants.proposeTimeoutMs);
  }
  private runOnMachine(machine: Machine, body: (group: ConsensusGroup) => Task<void>): void {
    const { process, group } = machine.incarnation;
    if (!machine.isOpen) return;
    process.deliver(() => Csp.go(process.scope, "caller", () => body(group)));
  }

  // ---------- time and checks ----------

  /** Advances virtual time by `ms`, and checks the leases every few milliseconds. Throws the first Violation. */
  async pass(ms: number): Promise<void> {
    for (const deadline = this.world.now + ms; this.world.now < deadline;) {
      await this.world.run(Math.min(LEASE_CHECK_MS, deadline - this.world.now));
      this.invariants.checkLeases(this.running());
      this.throwViolation();
    }
  }
  /** Checks all invariants that can be checked at any time. Throws the first Violation. */
  check(): void {
    const running = this.running();
    this.invariants.checkLeases(running);
    this.invariants.checkLogs(running);
    for (const machine of this.machines)
      for (const error of machine.incarnation.process.errors) this.invariants.onTaskError(error);
    this.throwViolation();
  }
  /** Throws the first Violation, if any. */
  throwViolation(): void {
    if (this.invariants.violation) throw this.invariants.violation;
  }
  /** Ends all processes. */
  end(): void {
    for (const machine of this.machines) this.world.kill(machine.name);
  }
  private observeElection(line: string): void {
    const elected = ELECTED_LINE.exec(line);
    if (!elected) return;
    const machine = this.machines.find(({ name }) => name === elected[1]);
    if (machine) this.invariants.onElected(machine.incarnation.id, Number(elected[2]));
  }
}
