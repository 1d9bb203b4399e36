import { Fault, Result } from "../common/fault";
import type { RequestOf, ResponseOf, TypedMethod } from "../rpc/methods";
import type { Rpc } from "../rpc/rpc";
import type { Task } from "../runtime/csp";
import { isDigestRequest, isRepairRequest, isRepairSegmentsRequest } from "./messages/repairMessages";
import { isCatchUpRequest, isReplicateRequest } from "./messages/replicationMessages";
import {
  isGoesOnRequest,
  isOpenStateRequest,
  isSegmentPartRequest,
  isSegmentsRequest,
} from "./messages/stateTransferMessages";
import { isFillRequest, isInstallRequest, isLevelRequest, isSealRequest } from "./messages/viewChangeMessages";
import type { ShardReplica } from "./shardReplica";

/** Methods whose request names a shard. */
type ShardMethod = {
  [Method in TypedMethod]: RequestOf<Method> extends { shard: number } ? Method : never;
}[TypedMethod];

/**
 * Registers the methods that replicas of a shard and control call on each other's replicas. A malformed request gets the
 * fault "invalid".
 *
 * @param replicaOf this node's replica of a shard, made if there is none
 * @example registerShardMethods(rpc, "node-1", (shard) => storage.replica(shard));
 */
export function registerShardMethods(rpc: Rpc, selfId: string, replicaOf: (shard: number) => ShardReplica): void {
  function* malformed(method: string): Task<Result<never>> {
    return Fault.fail("invalid", method, selfId, "malformed request");
  }
  function register<Method extends ShardMethod>(
    method: Method,
    isRequest: (body: unknown) => body is RequestOf<Method> & { shard: number },
    handler: (replica: ShardReplica, request: RequestOf<Method>) => Task<Result<ResponseOf<Method>>>,
  ): void {
    const name: string = method;
    rpc.handle(name, (body: unknown) => (isRequest(body) ? handler(replicaOf(body.shard), body) : malformed(method)));
  }
  register("shard.replicate", isReplicateRequest, (replica, request) => replica.follower.onReplicate(request));
  register("shard.seal", isSealRequest, (replica, request) => replica.viewChange.onSeal(request));
  register("shard.install", isInstallRequest, (replica, request) => replica.viewChange.onInstall(request));
  register("shard.level", isLevelRequest, (replica, request) => replica.sealedLogSync.onLevel(request));
  register("shard.catchUp", isCatchUpRequest, (replica, request) => replica.sealedLogSync.onCatchUp(request));
  register("shard.fill", isFillRequest, (replica, request) => replica.stateTransfer.onFill(request));
  register("shard.goesOn", isGoesOnRequest, (replica, request) => replica.stateTransfer.onGoesOn(request));
  register("shard.openState", isOpenStateRequest, (replica, request) => replica.stateTransfer.onOpenState(request));
  register("shard.segments", isSegmentsRequest, (replica) => replica.stateTransfer.onSegments());
  register("shard.segmentPart", isSegmentPartRequest, (replica, { kind, number, part, from }) =>
    replica.segments.readChunk(kind, number, part, from),
  );
  register("shard.digest", isDigestRequest, (replica, request) => replica.antiEntropy.onDigest(request));
  register("shard.mend", isRepairRequest, (replica, request) => replica.antiEntropy.onRepair(request));
  register("shard.mendSegments", isRepairSegmentsRequest, (replica, request) =>
    replica.antiEntropy.onRepairSegments(request),
  );
}
