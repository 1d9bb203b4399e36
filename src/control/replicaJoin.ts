import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Member } from "../membership/member";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { StoreStatuses } from "./storeStatuses";
import { ViewChange } from "./viewChange";

/** Response to "shard.fill"; the tag is "ok" once the replica holds the shard's state. */
interface StateTransferResponse {
  tag: string;
}

/** Adds a replica to a shard: the replica copies the state from the leader, then joins by a view change. */
export class ReplicaJoin {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
    private readonly viewChange: ViewChange,
  ) {}

  /**
   * Adds one replica. A state transfer that outlasts the call continues at the target; the next call checks whether it
   * has ended.
   */
  *run(shard: number, target: Member, reason: string): Task<void> {
    const { epoch, lead: leader } = this.group.state.views[shard];
    const source = this.node.addressOf(leader);
    if (!source) return;
    const response = yield* this.node.rpc.call<StateTransferResponse>(
      target.address,
      "shard.fill",
      { shard, from: source },
      Constants.stateTransferCallTimeoutMs,
      () => !this.statuses.isResponsive(target.id),
    );
    if (!response.ok || response.value.tag !== "ok") return;
    if (!this.group.hasLeaderLease() || this.group.state.views[shard].epoch !== epoch) return;
    this.env.faultPoint(40, { shard, joiners: [target.id] });
    yield* this.viewChange.run(shard, `${reason}: ${target.id} filled`, [target.id]);
  }
}
