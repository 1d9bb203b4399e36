import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Node } from "../node/node";
import { ReadIndex } from "../node/readIndexConfirmation";

/** Provides other nodes with information about the leader of the consensus group. */
export class Leadership {
  constructor(
    private readonly node: Node,
    private readonly group: ConsensusGroup,
  ) {}

  /**
   * Returns a read index if this node is the leader with a valid lease. When the contact with a majority last began, no
   * entry past this index that changes the control snapshot had been committed.
   */
  readIndex(): ReadIndex | undefined {
    const { group } = this;
    if (!group.hasLeaderLease()) return undefined;
    return { group: group.groupId(), index: group.state.frameIndex ?? group.lastApplied, at: group.quorumContactAt() };
  }

  /** Returns the address of another node that leads, as far as this node knows. */
  leaderAddress(): string | undefined {
    const { leaderId } = this.group;
    return leaderId === "" || leaderId === this.node.self.id ? undefined : this.node.addressOf(leaderId);
  }

  /** Returns the fault "notLead"; its detail is the leader's address, or "" if that is unknown. */
  notLeader(): Result<never> {
    const address = this.group.role === "leader" ? "" : (this.leaderAddress() ?? "");
    return Fault.fail("notLead", "control op", this.node.self.id, address);
  }
}
