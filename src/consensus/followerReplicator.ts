import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { ChunkedPayload } from "./chunkedPayload";
import { ConsensusReplica } from "./consensusReplica";
import { FollowerProgress } from "./followerProgress";
import { MessageCodec } from "./messageCodec";
import { AppendEntriesRequest, AppendEntriesResponse, AppendPayload, LogEntry } from "./messages";
import { PackedSnapshotCache } from "./packedSnapshotCache";
import { ConsensusMethod } from "./wireMessages";

/** Pause before the retry of a failed request, as a share of the heartbeat period. */
const RETRY_PAUSE_SHARE = 0.5;

/** State and callbacks shared by all replication tasks of one leader. */
export interface ReplicationContext {
  /** Is called after a follower has acknowledged entries. */
  advanceCommitIndex(): void;
  /** Returns an id that is unique among the chunked transfers of this server. */
  nextTransferId(): string;
  readonly packedSnapshots: PackedSnapshotCache;
}

/**
 * Replicates the leader's log to one follower in one term. It sends entries, or a snapshot if the follower's next entry
 * has been compacted. Each request also serves as a heartbeat (Raft, sections 5.3 and 7).
 */
export class FollowerReplicator {
  constructor(
    private readonly replica: ConsensusReplica,
    private readonly rpc: Rpc,
    private readonly followerId: string,
    private readonly term: number,
    private readonly context: ReplicationContext,
  ) {}

  /** Runs until this server is no longer the leader of the term, or the follower is neither a voter nor alive. */
  *run(): Task<void> {
    const { replica, followerId } = this;
    while (replica.isLeaderOf(this.term)) {
      const follower = replica.followers.get(followerId);
      if (!follower) return;
      const address = replica.hooks.addressOf(followerId);
      if (!address) {
        if (!this.isGroupMember()) return void replica.followers.delete(followerId);
        yield* EnvironmentTools.sleep(replica.env, Constants.heartbeatMs);
        continue;
      }
      const payload = this.nextPayload(follower);
      const sentAt = replica.env.monotonicMs();
      const response = this.needsChunks(payload)
        ? yield* this.sendInChunks(follower, payload)
        : yield* this.send(address, { ...this.header(), ...payload });
      if (!replica.isLeaderOf(this.term)) return;
      if (response.ok) {
        if (response.value.term > this.term) return void (yield* replica.stepDown(response.value.term, false));
        follower.lastContactAt = Math.max(follower.lastContactAt, sentAt);
        follower.diskFailedAt = Infinity;
        this.updateProgress(follower, response.value);
        if (follower.nextIndex <= this.lastIndexToSend()) continue;
      } else if (response.fault.tag === "disk") {
        follower.diskFailedAt = Math.min(follower.diskFailedAt, replica.env.monotonicMs());
      }
      const pauseMs = response.ok ? Constants.heartbeatMs : Constants.heartbeatMs * RETRY_PAUSE_SHARE;
      yield* EnvironmentTools.takeWithin(replica.env, follower.wakeUp, pauseMs);
    }
  }

  private isGroupMember(): boolean {
    const { log, hooks } = this.replica;
    return log.voters().includes(this.followerId) || hooks.otherNodes().includes(this.followerId);
  }

  private updateProgress(follower: FollowerProgress, response: AppendEntriesResponse): void {
    if (response.success) {
      follower.matchIndex = Math.max(follower.matchIndex, response.matchIndex);
      follower.nextIndex = follower.matchIndex + 1;
      this.context.advanceCommitIndex();
    } else {
      follower.nextIndex = Math.max(1, Math.min(follower.nextIndex - 1, response.lastPossibleMatch + 1));
    }
  }

  // ---------- what to send ----------

  private header(): Pick<AppendEntriesRequest, "targetId" | "groupId" | "term" | "leaderId" | "leaderCommit"> {
    const { replica } = this;
    return {
      targetId: this.followerId,
      groupId: replica.groupId(),
      term: replica.log.currentTerm,
      leaderId: replica.selfId,
      leaderCommit: replica.commitIndex,
    };
  }
  /**
   * Returns the last index to send to the follower. A follower that is not a voter receives committed entries only. If
   * a voter that is being removed received the uncommitted entry of its own removal, its log would be the longest, and
   * no voter of the previous membership could win an election without its vote.
   */
  private lastIndexToSend(): number {
    const { log, commitIndex } = this.replica;
    if (log.voters().includes(this.followerId)) return log.lastIndex();
    return Math.min(commitIndex, log.lastIndex());
  }
  /**
   * Returns the snapshot if the entry before the next one is no longer available; otherwise the next entries, up to a
   * size limit.
   */
  private nextPayload(follower: FollowerProgress): AppendPayload {
    const { log } = this.replica;
    if (follower.nextIndex <= log.precedingIndex) return this.snapshotPayload();
    const prevLogIndex = follower.nextIndex - 1;
    const lastIndex = this.lastIndexToSend();
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (let index = follower.nextIndex; index <= lastIndex; index += 1) {
      const entry = log.entryAt(index)!;
      bytes += log.bytesOf(entry);
      if (entries.length > 0 && bytes > Constants.appendEntriesMaxBytes) break;
      entries.push(entry);
    }
    return { prevLogIndex, prevLogTerm: log.termAt(prevLogIndex) ?? 0, entries };
  }
  private snapshotPayload(): AppendPayload {
    const { snapshotIndex, snapshotTerm, snapshotState } = this.replica.log;
    return {
      prevLogIndex: snapshotIndex,
      prevLogTerm: this.replica.log.termAt(snapshotIndex) ?? 0,
      entries: [],
      snapshot: { lastIncludedIndex: snapshotIndex, lastIncludedTerm: snapshotTerm, state: snapshotState },
    };
  }
  private needsChunks({ snapshot, entries }: AppendPayload): boolean {
    if (snapshot) return true;
    return entries.length === 1 && this.replica.log.bytesOf(entries[0]) > Constants.appendEntriesMaxBytes;
  }

  // ---------- sending ----------

  /** Sends one request. Faults: those of Rpc.call and of the follower; invalid if the response is malformed. */
  private *send(address: string, request: AppendEntriesRequest): Task<Result<AppendEntriesResponse>> {
    const body = MessageCodec.encodeAppendEntries(request);
    const response = yield* this.rpc.call(
      address,
      ConsensusMethod.appendEntries,
      body,
      Constants.appendEntriesTimeoutMs,
    );
    if (!response.ok) return response;
    const decoded = MessageCodec.decodeAppendEntriesResponse(response.value);
    return decoded.ok ? Fault.ok(decoded.message) : Fault.fail("invalid", "append", this.followerId, decoded.defect);
  }
  /**
   * Sends a long payload in chunks, one at a time. Each chunk also serves as a heartbeat and is short enough for that
   * on a slow link. After a lost chunk, the transfer continues at the number of bytes that the follower has received.
   * Returns the response to the last chunk.
   */
  private *sendInChunks(follower: FollowerProgress, payload: AppendPayload): Task<Result<AppendEntriesResponse>> {
    const { replica, context } = this;
    const transferId = context.nextTransferId();
    // The first chunk already checks whether the follower's log matches. Installing a snapshot does not require a
    // match.
    const prevEntry = payload.snapshot
      ? { prevLogIndex: 0, prevLogTerm: 0 }
      : { prevLogIndex: payload.prevLogIndex, prevLogTerm: payload.prevLogTerm };
    const packed = context.packedSnapshots.pack(payload);
    let chunkBytes: number = Constants.appendEntriesMaxBytes;
    let receivedBytes = 0;
    let failuresInARow = 0;
    for (;;) {
      const address = replica.hooks.addressOf(this.followerId);
      if (!address) return Fault.fail("refused", "append", this.followerId, "no address");
      const chunk = ChunkedPayload.chunk(transferId, packed, receivedBytes, chunkBytes);
      const sentAt = replica.env.monotonicMs();
      const response = yield* this.send(address, { ...this.header(), ...prevEntry, entries: [], chunk });
      if (!replica.isLeaderOf(this.term)) return response;
      if (!response.ok) {
        failuresInARow += 1;
        if (response.fault.tag === "invalid" || failuresInARow >= Constants.payloadChunkAttempts) return response;
        chunkBytes = Math.max(Constants.payloadChunkMinBytes, chunkBytes / 2);
        yield* EnvironmentTools.sleep(replica.env, Constants.heartbeatMs * RETRY_PAUSE_SHARE);
        continue;
      }
      if (response.value.term > this.term) return response;
      follower.lastContactAt = sentAt;
      if (response.value.success || response.value.receivedBytes === undefined) return response;
      failuresInARow = 0;
      receivedBytes = response.value.receivedBytes;
      chunkBytes = Math.min(Constants.appendEntriesMaxBytes, chunkBytes * 2);
    }
  }
}
