import { Command } from "../../controlState/command";
import { ConsensusGroup } from "../../consensus/consensusGroup";
import { Csp } from "../../runtime/csp";
import { CheckpointedLog } from "../../runtime/checkpointedLog";
import { SimDisk } from "../../simulation/simDisk";
import { SimProcess, SimWorld } from "../../simulation/simWorld";
import { Rpc } from "../../rpc/rpc";
import { Meter } from "./meter";

export type GroupMember = { id: string; process: SimProcess; group: ConsensusGroup; rpc: Rpc; meter: Meter };

/**
 * A control group alone, in virtual time: three voters, the others standbys, their messages and disks counted.
 *
 * @example
 * const control = new GroupWorld(5, 1);
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
  private ids = (): string[] => Array.from({ length: this.size }, (_none, at) => `c${at + 1}`);
  private start(id: string, disk: SimDisk, founders: string[]): GroupMember {
    const meter = new Meter();
    this.world.wrapEnvironment = (env) => meter.around(env);
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
      if (founders.includes(id)) yield* group.bootstrap("group-scale", founders);
      group.start();
    });
    return { id, process, group, rpc, meter };
  }
  /** Founds the group and waits for its lead. @example await control.boot(); */
  async boot(): Promise<void> {
    const ids = this.ids();
    for (const id of ids) this.members.push(this.start(id, new SimDisk(this.world), ids.slice(0, 3)));
    for (let waited = 0; !this.leader(); waited += 1) {
      if (waited > 200) throw new Error("no control lead in 20 s");
      await this.world.run(100);
    }
    await this.world.run(2000);
  }
  /** Ends a process, to be restarted on its disk. @example control.kill("c3"); */
  kill(id: string): void {
    this.world.kill(id);
  }
  /** Starts a killed process again, on its disk or, where it is emptied, on nothing. @example control.restart("c4", true); */
  restart(id: string, emptied = false): GroupMember {
    const at = this.members.findIndex((voter) => voter.id === id);
    const { disk } = this.members[at].process;
    if (emptied) disk.wipe();
    this.members[at] = this.start(id, disk, []);
    return this.members[at];
  }
  /** @example control.leader()?.group.lastApplied */
  leader(): GroupMember | undefined {
    return this.members.find((voter) => voter.process.alive && voter.group.hasLeaderLease());
  }
  /** Proposes commands side by side; how long each took, and how many were taken. @example await control.propose([{ tag: "noop" }], 5000) */
  async propose(commands: Command[], withinMs: number): Promise<{ acceptedCount: number; tookMs: number[] }> {
    const leader = this.leader()!;
    const found = { taken: 0, tookMs: [] as number[] };
    const { world } = this;
    let left = commands.length;
    for (const command of commands)
      Csp.go(leader.process.scope, "propose", function* () {
        const from = world.now;
        const done = yield* leader.group.propose(command, withinMs);
        if (done.ok && done.value.tag === "done") {
          found.taken += 1;
          found.tookMs.push(world.now - from);
        }
        left -= 1;
      });
    for (const until = world.now + withinMs + 1000; left > 0 && world.now < until;) await world.run(5);
    return found;
  }
  /** @example control.end(); */
  end(): void {
    for (const voter of this.members) this.world.kill(voter.id);
  }
}
