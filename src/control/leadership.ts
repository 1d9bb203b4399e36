import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Node } from "../node/node";
import { ReadIndex } from "../node/readIndexConfirmation";

/** What this node tells others about the leader of the consensus group. */
export class Leadership {
  constructor(
    private readonly node: Node,
    private readonly group: ConsensusGroup,
  ) {}

  /**
   * As the leader: the log index past which nothing that nodes get was committed when contact with a majority last began.
   * @example leadership.readIndex()?.index
   */
  readIndex(): ReadIndex | undefined {
    const { group } = this;
    if (!group.hasLeaderLease()) return undefined;
    return { group: group.groupId(), index: group.state.frameIndex ?? group.lastApplied, at: group.quorumContactAt() };
  }

  /** Address of another node that leads, as far as this one knows. @example leadership.leaderAddress() */
  leaderAddress(): string | undefined {
    const { leaderId } = this.group;
    return leaderId === "" || leaderId === this.node.self.id ? undefined : this.node.addressOf(leaderId);
  }

  /** The fault "notLead" with the leader's address as its detail, or "". @example return leadership.notLeader(); */
  notLeader(): Result<never> {
    const address = this.group.role === "leader" ? "" : (this.leaderAddress() ?? "");
    return Fault.fail("notLead", "control op", this.node.self.id, address);
  }
}
