import type { Rpc } from "../rpc/rpc";
import { CheckedHandlers } from "./checkedHandlers";
import { isDigestRequest, isRepairRequest, isRepairSegmentsRequest } from "./messages/repairMessages";
import { isCatchUpRequest, isReplicateRequest } from "./messages/replicationMessages";
import {
  isCanExtendRequest,
  isOpenStateRequest,
  isSegmentChunkRequest,
  isSegmentsRequest,
} from "./messages/stateTransferMessages";
import {
  isStateTransferRequest,
  isInstallRequest,
  isLogSyncRequest,
  isSealRequest,
} from "./messages/viewChangeMessages";
import type { ShardReplica } from "./shardReplica";

/**
 * Registers the RPC methods of shard replicas, which other replicas of the shard and the control group call. A
 * malformed request gets the fault "invalid".
 *
 * @param replicaOf returns this node's replica of a shard, and creates it if there is none
 */
export function registerShardMethods(rpc: Rpc, selfId: string, replicaOf: (shard: number) => ShardReplica): void {
  const handlers = new CheckedHandlers(rpc, selfId, replicaOf);
  handlers.forShard("shard.replicate", isReplicateRequest, (replica, request) => replica.follower.onReplicate(request));
  handlers.forShard("shard.seal", isSealRequest, (replica, request) => replica.viewChange.onSeal(request));
  handlers.forShard("shard.install", isInstallRequest, (replica, request) => replica.viewChange.onInstall(request));
  handlers.forShard("shard.level", isLogSyncRequest, (replica, request) => replica.sealedLogSync.onLogSync(request));
  handlers.forShard("shard.catchUp", isCatchUpRequest, (replica, request) => replica.sealedLogSync.onCatchUp(request));
  handlers.forShard("shard.fill", isStateTransferRequest, (replica, request) =>
    replica.stateTransfer.onTransfer(request),
  );
  handlers.forShard("shard.goesOn", isCanExtendRequest, (replica, request) =>
    replica.stateTransfer.onCanExtend(request),
  );
  handlers.forShard("shard.openState", isOpenStateRequest, (replica, request) =>
    replica.stateTransfer.onOpenState(request),
  );
  handlers.forShard("shard.segments", isSegmentsRequest, (replica) => replica.stateTransfer.onSegments());
  handlers.forShard("shard.segmentPart", isSegmentChunkRequest, (replica, { kind, number, part, from }) =>
    replica.segments.readChunk(kind, number, part, from),
  );
  handlers.forShard("shard.digest", isDigestRequest, (replica, request) => replica.antiEntropy.onDigest(request));
  handlers.forShard("shard.mend", isRepairRequest, (replica, request) => replica.antiEntropy.onRepair(request));
  handlers.forShard("shard.mendSegments", isRepairSegmentsRequest, (replica, request) =>
    replica.antiEntropy.onRepairSegments(request),
  );
}
