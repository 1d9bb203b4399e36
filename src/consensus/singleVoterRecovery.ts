import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ShardView } from "../controlState/shardView";
import { GroupRecovery } from "../controlState/groupRecovery";
import { ControlStateMachine } from "../controlState/controlStateMachine";
import { Task } from "../runtime/csp";
import { ConsensusEvent } from "./consensusEvents";
import { ConsensusReplica } from "./consensusReplica";
import { LeaderLease } from "./leaderLease";
import { PersistentState } from "./storageCodec";

/** An operator's order to continue from one voter. The names are those on the wire. */
export interface RecoveryRequest {
  /** Id of the group that has lost its majority. */
  group: string;
  /** Id of the voter to continue from. */
  voter: string;
  /** Who gave the order, for the ledger. */
  by: string;
}

/** The recovered group. The names are those on the wire. */
export interface RecoveryResult {
  /** Id of the new generation of the group. */
  group: string;
  /** Index up to which the surviving voter had the log. */
  upTo: number;
}

/**
 * Continues from one surviving voter after the majority is lost for good, by an operator's explicit order (etcd calls it
 * force-new-cluster). Everything on the survivor's disk counts as committed; what only the lost voters had is lost. The
 * group gets the id of a new generation, and its terms, indexes and epochs begin above all that the lost voters may have
 * given out.
 */
export class SingleVoterRecovery {
  constructor(
    private readonly replica: ConsensusReplica,
    private readonly lease: LeaderLease,
  ) {}

  /** The caller holds the disk lock. Faults: conflict (the order doesn't fit this server), disk. */
  *run(order: RecoveryRequest, views: ShardView[]): Task<Result<RecoveryResult>> {
    const { replica } = this;
    const { log } = replica;
    const rejectionReason = this.rejectionReason(order);
    if (rejectionReason !== undefined) return Fault.fail("conflict", "recover", replica.selfId, rejectionReason);
    const upTo = log.syncedIndex;
    const installed = yield* replica.installSnapshot(this.recoveredState(upTo, views, order.by));
    if (!installed.ok) return installed;
    const group = replica.groupId();
    replica.env.log(ConsensusEvent.recoveredFromOneVoter, { group, voter: replica.selfId, upTo });
    return Fault.ok({ group, upTo });
  }
  private rejectionReason(order: RecoveryRequest): string | undefined {
    const { replica } = this;
    const groupId = replica.groupId();
    if (order.group !== groupId) return `this voter belongs to group ${groupId || "none"}`;
    if (order.voter !== replica.selfId || !replica.isVoter())
      return `this is ${replica.selfId}, voters are ${replica.log.voters().join(", ")}`;
    return replica.role === "leader" && this.lease.isHeld() ? "the group has a lead" : undefined;
  }
  private recoveredState(upTo: number, views: ShardView[], orderedBy: string): PersistentState {
    const { replica } = this;
    const { log } = replica;
    const state = structuredClone(replica.state);
    for (const entry of log.entries)
      if (entry.index > replica.lastApplied && entry.index <= upTo)
        ControlStateMachine.apply(state, entry.index, entry.command);
    const term = log.currentTerm + Constants.recoveryIndexGap;
    const snapshotIndex = upTo + Constants.recoveryIndexGap;
    return {
      currentTerm: term,
      votedFor: "",
      snapshotIndex,
      snapshotTerm: term,
      snapshotState: GroupRecovery.recoveredState(state, snapshotIndex, replica.selfId, views, orderedBy),
      entries: [],
    };
  }
}
