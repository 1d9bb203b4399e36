import { Command } from "../../controlState/command";
import { ConsensusGroup } from "../../consensus/consensusGroup";
import { Csp } from "../../runtime/csp";
import { CheckpointedLog } from "../../runtime/checkpointedLog";
import { SimDisk } from "../../simulation/simDisk";
import { SimProcess, SimWorld } from "../../simulation/simWorld";
import { Rpc } from "../../rpc/rpc";
import { Meter } from "./meter";

/** A member of the group, voter or standby, with the process that runs it. */
export type GroupMember = { id: string; process: SimProcess; group: ConsensusGroup; rpc: Rpc; meter: Meter };

/**
 * A control group without the rest of a cluster, in virtual time. Its first three members bootstrap it as voters, the
 * others are standbys; the network and disk use of each is counted.
 *
 * @example
 * const control = new SimulatedControlGroup(5, 1);
 * await control.boot();
 */
export class SimulatedControlGroup {
  readonly world: SimWorld;
  readonly members: GroupMember[] = [];
  constructor(
    readonly size: number,
    seed: number,
  ) {
    this.world = new SimWorld(seed);
  }
  readonly addressOf = (id: string): string => `10.1.0.1:${7000 + Number(id.slice(1))}`;
  private ids = (): string[] => Array.from({ length: this.size }, (_none, index) => `c${index + 1}`);
  private start(id: string, disk: SimDisk, bootstrapIds: string[]): GroupMember {
    const meter = new Meter();
    this.world.wrapEnvironment = (env) => meter.wrap(env);
    const process = this.world.start(id, disk);
    const rpc = new Rpc(process.env, "scale", id);
    const hooks = {
      addressOf: this.addressOf,
      otherNodes: () => this.ids().filter((other) => other !== id),
      onApplied: () => undefined,
    };
    const group = new ConsensusGroup(process.env, rpc, id, new CheckpointedLog(process.env, `data/${id}`), hooks);
    const addressOf = this.addressOf;
    Csp.go(process.scope, "main", function* () {
      yield* rpc.serve(addressOf(id));
      yield* group.open();
      if (bootstrapIds.includes(id)) yield* group.bootstrap("group-scale", bootstrapIds);
      group.start();
    });
    return { id, process, group, rpc, meter };
  }
  /** Starts all members, bootstraps the group and waits until it has a leader. */
  async boot(): Promise<void> {
    const ids = this.ids();
    for (const id of ids) this.members.push(this.start(id, new SimDisk(this.world), ids.slice(0, 3)));
    for (let waited = 0; !this.leader(); waited += 1) {
      if (waited > 200) throw new Error("the control group elected no leader in 20 s");
      await this.world.run(100);
    }
    await this.world.run(2000);
  }
  /** Kills a member's process; its disk stays for a restart. */
  kill(id: string): void {
    this.world.kill(id);
  }
  /** Starts a killed member again, with its disk or with an empty one. */
  restart(id: string, withEmptyDisk = false): GroupMember {
    const index = this.members.findIndex((member) => member.id === id);
    const { disk } = this.members[index].process;
    if (withEmptyDisk) disk.wipe();
    this.members[index] = this.start(id, disk, []);
    return this.members[index];
  }
  /** The running member that holds the leader lease. */
  leader(): GroupMember | undefined {
    return this.members.find((member) => member.process.alive && member.group.hasLeaderLease());
  }
  /** Proposes commands concurrently; returns how many were accepted and the latency of each of these. */
  async propose(commands: Command[], withinMs: number): Promise<{ acceptedCount: number; latenciesMs: number[] }> {
    const leader = this.leader()!;
    const result = { acceptedCount: 0, latenciesMs: [] as number[] };
    const { world } = this;
    let pendingCount = commands.length;
    for (const command of commands)
      Csp.go(leader.process.scope, "propose", function* () {
        const startedAt = world.now;
        const proposed = yield* leader.group.propose(command, withinMs);
        if (proposed.ok && proposed.value.tag === "done") {
          result.acceptedCount += 1;
          result.latenciesMs.push(world.now - startedAt);
        }
        pendingCount -= 1;
      });
    for (const deadline = world.now + withinMs + 1000; pendingCount > 0 && world.now < deadline;) await world.run(5);
    return result;
  }
  /** Kills all members. */
  end(): void {
    for (const member of this.members) this.world.kill(member.id);
  }
}
