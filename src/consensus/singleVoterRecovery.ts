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

/** An operator's request to recover a group from one voter. Fields have their wire names. */
export interface RecoveryRequest {
  /** Id of the group that has lost its majority. */
  group: string;
  /** Id of the voter whose log is kept. */
  voter: string;
  /** Name of the operator, for the ledger. */
  by: string;
}

/** The recovered group. Fields have their wire names. */
export interface RecoveryResult {
  /** Id of the new generation of the group. */
  group: string;
  /** Index of the last entry that the surviving voter had on disk. */
  upTo: number;
}

/**
 * Recovers a group from one surviving voter after the permanent loss of its majority, at an operator's explicit request
 * (etcd calls this force-new-cluster). All entries on the survivor's disk count as committed; entries that only the
 * lost voters had are lost. The group gets the id of a new generation. Its terms, indexes and epochs start above all
 * that the lost voters may have assigned.
 */
export class SingleVoterRecovery {
  constructor(
    private readonly replica: ConsensusReplica,
    private readonly lease: LeaderLease,
  ) {}

  /** The caller must hold the disk lock. Faults: conflict (the request does not apply to this server), disk. */
  *run(request: RecoveryRequest, views: ShardView[]): Task<Result<RecoveryResult>> {
    const { replica } = this;
    const { log } = replica;
    const rejectionReason = this.rejectionReason(request);
    if (rejectionReason !== undefined) return Fault.fail("conflict", "recover", replica.selfId, rejectionReason);
    const upTo = log.syncedIndex;
    const installed = yield* replica.installSnapshot(this.recoveredState(upTo, views, request.by));
    if (!installed.ok) return installed;
    const group = replica.groupId();
    replica.env.log(ConsensusEvent.recoveredFromOneVoter, { group, voter: replica.selfId, upTo });
    return Fault.ok({ group, upTo });
  }
  private rejectionReason(request: RecoveryRequest): string | undefined {
    const { replica } = this;
    const groupId = replica.groupId();
    if (request.group !== groupId) return `this voter belongs to group ${groupId || "none"}`;
    if (request.voter !== replica.selfId || !replica.isVoter())
      return `this is ${replica.selfId}, voters are ${replica.log.voters().join(", ")}`;
    return replica.role === "leader" && this.lease.isHeld() ? "the group has a lead" : undefined;
  }
  private recoveredState(upTo: number, views: ShardView[], requestedBy: string): PersistentState {
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
      snapshotState: GroupRecovery.recoveredState(state, snapshotIndex, replica.selfId, views, requestedBy),
      entries: [],
    };
  }
}
