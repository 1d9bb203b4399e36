import { ShardView } from "../src/controlState/shardView";
import { StorageNode } from "../src/storage/storageNode";
import { ControlFleet } from "./controlFleet";

export type RecoveryTrial = {
  seed: number;
  /** How the store machine comes back: with its disk, empty at its address, or as an empty one elsewhere. */
  kind: "killed" | "wiped" | "replaced";
  downMs: number;
  stores: number;
  /** Everything else loses power at the same moment and comes back at the same moment, with its disks. */
  allPower: boolean;
};
/** Times since the machine's return, ms; undefined: not within the limit. */
export type RecoveryTimes = {
  /** No view in force names the former store, unless it came back with its disk. */
  leftOutMs: number | undefined;
  /** Every shard has all its copies, each of them synced. */
  completeMs: number | undefined;
};
const limitMs = 20_000;
const stepMs = 20;

/**
 * Measures how long shards are short of copies after a store machine came back.
 *
 * @example
 * const times = await ReplicaRecovery.run({ seed: 1, kind: "wiped", downMs: 300, stores: 4, allPower: false });
 */
export const ReplicaRecovery = {
  /** @example ReplicaRecovery.store(fleet, "store-1")?.copies */
  store: (fleet: ControlFleet, name: string): StorageNode | undefined =>
    fleet.running.get(name) as unknown as StorageNode | undefined,
  /** Views in force. @example ReplicaRecovery.views(fleet).length */
  views: (fleet: ControlFleet): ShardView[] =>
    Object.values(fleet.control(fleet.leader() ?? "")?.group.state.views ?? {}),
  /** Copies of a view's members whose processes run, whose disks work, and which hold the view. @example ReplicaRecovery.intactReplicas(fleet, view) */
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
  /** Whether every shard has all its copies. @example ReplicaRecovery.hasAllReplicas(fleet) */
  hasAllReplicas(fleet: ControlFleet, replicas = 3): boolean {
    const views = ReplicaRecovery.views(fleet);
    return (
      views.length === 8 &&
      views.every(
        (view) => view.members.length === replicas && ReplicaRecovery.intactReplicas(fleet, view) === replicas,
      )
    );
  },
  /** A fixed mix of all losses. @example ReplicaRecovery.trials(100) */
  trials(seeds: number): RecoveryTrial[] {
    const kinds = ["killed", "wiped", "replaced"] as const;
    const downTimes = [0, 300, 1000, 2500, 6000];
    return Array.from({ length: seeds }, (_, at) => ({
      seed: 3000 + at,
      kind: kinds[at % 3],
      downMs: downTimes[Math.floor(at / 3) % downTimes.length],
      stores: 3 + (Math.floor(at / 15) % 3),
      allPower: Math.floor(at / 3) % 4 === 3,
    }));
  },
  async run(trial: RecoveryTrial): Promise<RecoveryTimes> {
    const fleet = new ControlFleet(trial.seed, { controls: 4, stores: trial.stores });
    if ((await fleet.until(() => ReplicaRecovery.hasAllReplicas(fleet), 15_000, 50)) === undefined)
      throw new Error(`seed ${trial.seed}: not all copies before the loss`);
    await fleet.run(1000 + (trial.seed % 7) * 90);
    const victim = fleet.names("store")[trial.seed % trial.stores];
    const former = ReplicaRecovery.store(fleet, victim)!.node.self.id;
    const others = [...fleet.settings.keys()].filter((name) => name !== victim);
    for (const name of trial.allPower ? [victim, ...others] : [victim]) fleet.kill(name, true);
    await fleet.run(trial.downMs);
    if (trial.kind === "replaced") {
      fleet.settings.delete(victim);
      fleet.addMachine(fleet.names("store")[0], `${victim}-successor`);
    } else fleet.restart(victim, { withEmptyDisk: trial.kind === "wiped" });
    if (trial.allPower) for (const name of others) fleet.restart(name);
    const times: RecoveryTimes = { leftOutMs: undefined, completeMs: undefined };
    const from = fleet.world.now;
    await fleet.until(
      () => {
        const views = ReplicaRecovery.views(fleet);
        if (views.length === 0) return false;
        if (trial.kind !== "killed" && views.some((view) => view.members.includes(former))) return false;
        times.leftOutMs ??= fleet.world.now - from;
        if (ReplicaRecovery.hasAllReplicas(fleet)) times.completeMs = fleet.world.now - from;
        return times.completeMs !== undefined;
      },
      limitMs,
      stepMs,
    );
    const errors = fleet.close();
    if (errors.length > 0) throw new Error(`seed ${trial.seed}: ${errors.join("; ")}`);
    return times;
  },
  /** One line: median and slowest of each stage. @example ReplicaRecovery.summary(all) */
  summary(all: { times: RecoveryTimes }[]): string {
    const stage = (pick: (times: RecoveryTimes) => number | undefined): string => {
      const sorted = all.map(({ times }) => pick(times) ?? Infinity).sort((left, right) => left - right);
      return `${Math.round(sorted[sorted.length >> 1])}/${Math.round(sorted[sorted.length - 1])}`;
    };
    return (
      `${all.length} trials, median/slowest ms: former store out of all views ${stage((times) => times.leftOutMs)}, ` +
      `all copies ${stage((times) => times.completeMs)}`
    );
  },
};
