import { ShardView } from "../src/controlState/shardView";
import { StorageNode } from "../src/storage/storageNode";
import { ControlFleet } from "./controlFleet";

export type RecoveryTrial = {
  seed: number;
  /**
   * How the storage machine returns: with its disk, with an empty disk at its address, or as a new machine elsewhere.
   */
  kind: "killed" | "wiped" | "replaced";
  downMs: number;
  stores: number;
  /** Whether all other machines lose power at the same time, and return at the same time with their disks. */
  allLosePower: boolean;
};
/** Times since the machine's return, ms; undefined if the time limit is exceeded. */
export type RecoveryTimes = {
  /** No current view has the former storage node as a member. Immediate if the machine returns with its disk. */
  formerRemovedMs: number | undefined;
  /** Every shard has all its replicas, and all are intact. */
  completeMs: number | undefined;
};
/** Time limit for recovery after the machine's return, virtual time. */
const LIMIT_MS = 20_000;
const STEP_MS = 20;

/** Measures how long shards lack replicas after a storage machine was lost and came back. */
export const ReplicaRecovery = {
  /** Returns the storage node with a process name; undefined if it isn't running. */
  store: (fleet: ControlFleet, name: string): StorageNode | undefined =>
    fleet.running.get(name) as unknown as StorageNode | undefined,
  /** Returns the current view of each shard. */
  views: (fleet: ControlFleet): ShardView[] =>
    Object.values(fleet.control(fleet.leader() ?? "")?.group.state.views ?? {}),
  /** Counts members of a view whose process runs, whose disk works, and whose replica has installed the view. */
  intactReplicas(fleet: ControlFleet, view: ShardView): number {
    return fleet.names("store").filter((name) => {
      const store = ReplicaRecovery.store(fleet, name);
      const replica = store?.replicas.get(view.shard);
      return (
        view.members.includes(store?.node.self.id ?? "") &&
        replica?.view?.epoch === view.epoch &&
        (replica.role === "lead" || replica.role === "member") &&
        !fleet.disks.get(name)!.failing
      );
    }).length;
  },
  /** Whether every shard has all its replicas, and all are intact. */
  hasAllReplicas(fleet: ControlFleet, replicas = 3): boolean {
    const views = ReplicaRecovery.views(fleet);
    return (
      views.length === 8 &&
      views.every(
        (view) => view.members.length === replicas && ReplicaRecovery.intactReplicas(fleet, view) === replicas,
      )
    );
  },
  /** A fixed mix of trials that covers all kinds of loss. */
  trials(count: number): RecoveryTrial[] {
    const kinds = ["killed", "wiped", "replaced"] as const;
    const downTimes = [0, 300, 1000, 2500, 6000];
    return Array.from({ length: count }, (_, index) => ({
      seed: 3000 + index,
      kind: kinds[index % 3],
      downMs: downTimes[Math.floor(index / 3) % downTimes.length],
      stores: 3 + (Math.floor(index / 15) % 3),
      allLosePower: Math.floor(index / 3) % 4 === 3,
    }));
  },
  /** Runs a trial in virtual time. Throws if a process reported an error. */
  async run(trial: RecoveryTrial): Promise<RecoveryTimes> {
    const fleet = new ControlFleet(trial.seed, { controls: 4, stores: trial.stores });
    if ((await fleet.until(() => ReplicaRecovery.hasAllReplicas(fleet), 15_000, 50)) === undefined)
      throw new Error(`seed ${trial.seed}: some shard lacks replicas before the loss`);
    await fleet.run(1000 + (trial.seed % 7) * 90);
    const target = fleet.names("store")[trial.seed % trial.stores];
    const formerId = ReplicaRecovery.store(fleet, target)!.node.self.id;
    const others = [...fleet.settings.keys()].filter((name) => name !== target);
    for (const name of trial.allLosePower ? [target, ...others] : [target]) fleet.kill(name, true);
    await fleet.run(trial.downMs);
    if (trial.kind === "replaced") {
      fleet.settings.delete(target);
      fleet.addMachine(fleet.names("store")[0], `${target}-successor`);
    } else fleet.restart(target, { withEmptyDisk: trial.kind === "wiped" });
    if (trial.allLosePower) for (const name of others) fleet.restart(name);
    const times: RecoveryTimes = { formerRemovedMs: undefined, completeMs: undefined };
    const from = fleet.world.now;
    await fleet.until(
      () => {
        const views = ReplicaRecovery.views(fleet);
        if (views.length === 0) return false;
        if (trial.kind !== "killed" && views.some((view) => view.members.includes(formerId))) return false;
        times.formerRemovedMs ??= fleet.world.now - from;
        if (ReplicaRecovery.hasAllReplicas(fleet)) times.completeMs = fleet.world.now - from;
        return times.completeMs !== undefined;
      },
      LIMIT_MS,
      STEP_MS,
    );
    const errors = fleet.close();
    if (errors.length > 0) throw new Error(`seed ${trial.seed}: ${errors.join("; ")}`);
    return times;
  },
  /** One line with the median and the slowest time of each stage. */
  summary(all: { times: RecoveryTimes }[]): string {
    const stage = (pick: (times: RecoveryTimes) => number | undefined): string => {
      const sorted = all.map(({ times }) => pick(times) ?? Infinity).sort((left, right) => left - right);
      return `${Math.round(sorted[sorted.length >> 1])}/${Math.round(sorted[sorted.length - 1])}`;
    };
    return (
      `${all.length} trials, median/slowest ms: former storage node removed from all views ${stage((times) => times.formerRemovedMs)}, ` +
      `all replicas ${stage((times) => times.completeMs)}`
    );
  },
};
