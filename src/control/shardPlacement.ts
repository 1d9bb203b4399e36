import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { ShardView } from "../controlState/shardView";
import { Node } from "../node/node";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { MemberCalls } from "./memberCalls";
import { Rebalancing } from "./rebalancing";
import { ReplicaJoin } from "./replicaJoin";
import { StoreRetirement } from "./storeRetirement";
import { StoreSelection } from "./storeSelection";
import { StoreStatuses } from "./storeStatuses";
import { ViewChange } from "./viewChange";
import { ViewChangeTrigger } from "./viewChangeTrigger";

/** Number of replicas of a shard beyond those that may be lost at once. */
const SPARE_REPLICAS = 2;

/**
 * Places the replicas of shards on storage nodes while this node leads the control group. It proposes first views,
 * changes views after faults, adds replicas to shards that have too few, moves replicas off retiring nodes, and
 * rebalances them.
 */
export class ShardPlacement {
  /** Number of replicas per shard: two are left after as many are lost at once as the settings tolerate. */
  readonly replicationFactor: number;
  readonly retirement: StoreRetirement;
  private readonly statuses: StoreStatuses;
  private readonly selection: StoreSelection;
  private readonly trigger: ViewChangeTrigger;
  private readonly viewChange: ViewChange;
  private readonly replicaJoin: ReplicaJoin;
  private readonly rebalancing: Rebalancing;
  /** Shards with a view change or a replica join in progress. */
  private readonly busy = new Set<number>();
  private readonly checkRequested = Csp.sliding<true>(1);

  constructor(
    private readonly env: Environment,
    node: Node,
    private readonly group: ConsensusGroup,
  ) {
    const statuses = new StoreStatuses(env, node);
    const selection = new StoreSelection(node, group, statuses);
    const calls = new MemberCalls(env, node, statuses);
    this.replicationFactor = (node.settings.losses ?? Constants.toleratedLosses) + SPARE_REPLICAS;
    this.statuses = statuses;
    this.selection = selection;
    this.trigger = new ViewChangeTrigger(env, node, group, statuses);
    this.viewChange = new ViewChange(env, node, group, statuses, selection, calls, this.replicationFactor);
    this.replicaJoin = new ReplicaJoin(env, node, group, statuses, this.viewChange);
    this.rebalancing = new Rebalancing(env, selection);
    this.retirement = new StoreRetirement(node, group, statuses, selection, this.replicationFactor);
  }

  /** Returns the number of views that this node has committed. */
  get viewsChanged(): number {
    return this.viewChange.committedCount;
  }

  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "shard placement", () => this.loop());
  }

  /** Checks all shards now instead of with the next poll. A storage node requests this when a replica has a fault. */
  requestCheck(): void {
    Csp.offer(this.checkRequested, true);
  }

  private *loop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.takeWithin(this.env, this.checkRequested, Constants.statusPeriodMs);
      if (!this.group.hasLeaderLease()) {
        this.statuses.clear();
        continue;
      }
      yield* this.statuses.poll();
      const polledAt = this.env.monotonicMs();
      for (let shard = 0; shard < Constants.shardCount; shard += 1) this.checkShard(shard);
      yield* EnvironmentTools.sleep(this.env, polledAt + Constants.statusPollGapMs - this.env.monotonicMs());
    }
  }

  /** Starts the most urgent change of the shard, if it needs one and none is in progress. */
  private checkShard(shard: number): void {
    if (this.busy.has(shard)) return;
    const view = this.group.state.views[shard];
    if (!view) return this.checkFirstView(shard);
    const reason = this.trigger.reasonFor(view);
    if (reason !== undefined) this.startViewChange(shard, reason);
    else this.checkReplicas(view);
  }

  private startChange(shard: number, name: string, change: () => Task<unknown>): void {
    const { busy } = this;
    busy.add(shard);
    Csp.go(this.env.scope, `${name} shard ${shard}`, function* () {
      try {
        yield* change();
      } finally {
        busy.delete(shard);
      }
    });
  }

  private startViewChange(shard: number, reason: string): void {
    this.startChange(shard, "new view of", () => this.viewChange.run(shard, reason, []));
  }

  private checkFirstView(shard: number): void {
    const isDiscoveryOver = this.env.monotonicMs() - this.statuses.firstStoreAt > Constants.storeDiscoveryMs;
    if (isDiscoveryOver && this.selection.candidates(shard, []).length > 0)
      this.startChange(shard, "first view of", () => this.proposeFirstView(shard));
  }

  private *proposeFirstView(shard: number): Task<void> {
    const members: string[] = [];
    while (members.length < this.replicationFactor) {
      const [next] = this.selection.candidates(shard, members);
      if (!next) break;
      members.push(next.id);
    }
    const [leader] = [...members].sort(
      (left, right) => this.selection.leaderCount(left) - this.selection.leaderCount(right),
    );
    const view: ShardView = { shard, epoch: 1, members, lead: leader };
    this.selection.addProposedView(view);
    yield* this.viewChange.runFirst(view);
    this.selection.removeProposedView(shard);
  }

  /** Brings the number of replicas to the replication factor, moves replicas off retiring nodes, and rebalances. */
  private checkReplicas(view: ShardView): void {
    const { shard, members, lead: leader } = view;
    if (!this.statuses.isUp(leader) || this.statuses.replica(leader, shard)?.role !== "lead") return;
    const retiring = members.filter((id) => this.selection.isRetiring(id));
    const remaining = members.length - retiring.length;
    if (remaining < this.replicationFactor && this.addReplica(view, retiring)) return;
    if (retiring.length > 0 && remaining >= Constants.minReplicasForJobs)
      return this.startViewChange(shard, `retiring ${retiring.join(", ")}`);
    if (members.length > this.replicationFactor) return this.startViewChange(shard, "one copy too many");
    this.rebalance(view);
  }

  /** Starts to add a replica. Returns false if no storage node can take it. */
  private addReplica({ shard, members }: ShardView, retiring: string[]): boolean {
    if (members.length < this.replicationFactor && !this.viewChange.isBlocked(shard))
      this.env.log(1402, { shard, members });
    const [target] = this.selection.candidates(shard, members);
    if (!target) return false;
    const reason = retiring[0] ? `off retiring ${retiring[0]}` : "too few copies";
    this.startChange(shard, "fill", () => this.replicaJoin.run(shard, target, reason));
    return true;
  }

  private rebalance(view: ShardView): void {
    if (this.busy.size > 0) return;
    const move = this.rebalancing.nextMove(view);
    if (!move) return;
    this.startChange(view.shard, "move", () => this.replicaJoin.run(view.shard, move.target, move.reason));
  }
}
