import { Fault, Result } from "../common/fault";
import { GroupRecovery } from "../controlState/groupRecovery";
import { Csp, Task } from "../runtime/csp";
import { ChunkReceiver } from "./chunkReceiver";
import { ConsensusEvent, ConsensusFaultPoint } from "./consensusEvents";
import { ConsensusReplica } from "./consensusReplica";
import { MessageCodec } from "./messageCodec";
import { AppendEntriesRequest, AppendEntriesResponse, PayloadChunk, Snapshot } from "./messages";
import { AppendEntriesRequestOnWire, AppendEntriesResponseOnWire } from "./wireMessages";

/**
 * The follower's side of log replication. It checks entries, snapshots and chunks of either, and acknowledges entries
 * and snapshots only after writing them to disk (Raft, figure 2: AppendEntries RPC; figure 13: InstallSnapshot RPC).
 */
export class AppendEntriesHandler {
  private readonly chunkReceiver = new ChunkReceiver();
  /**
   * Transfer id of the last payload that was received completely, and the response to it. The response is valid for the
   * rest of the term.
   */
  private lastCompleted: { transferId: string; response: AppendEntriesResponse } | undefined;

  constructor(private readonly replica: ConsensusReplica) {}

  /**
   * Handles an AppendEntries request. Faults: refused (the request is addressed to another server), invalid (the
   * request is malformed, belongs to another group, or conflicts with committed entries), disk.
   */
  *onAppendEntries(body: AppendEntriesRequestOnWire): Task<Result<AppendEntriesResponseOnWire>> {
    const { replica } = this;
    const { log } = replica;
    const misdirected = replica.rejectMisdirected(body.to, "append");
    if (misdirected) return misdirected;
    const decoded = MessageCodec.decodeAppendEntries(body);
    if (!decoded.ok) return this.reject(body.lead, decoded.defect);
    const request = decoded.message;
    // A group recovered from a single voter accepts the members of its predecessor.
    const supersedesOwnGroup = log.isBootstrapped() && GroupRecovery.supersedes(request.groupId, replica.groupId());
    if (log.isBootstrapped() && request.groupId !== replica.groupId() && !supersedesOwnGroup)
      return this.reject(request.leaderId, "another group's append");
    yield* Csp.take(log.diskLock);
    try {
      if (log.hasDiskFailed()) return Fault.fail("disk", "append", replica.selfId, "disk failed");
      let response = yield* this.append(request, supersedesOwnGroup);
      if (response.ok && response.value.success && request.chunk)
        response = yield* this.receiveChunk(body, request.chunk, supersedesOwnGroup);
      return response.ok ? Fault.ok(MessageCodec.encodeAppendEntriesResponse(response.value)) : response;
    } finally {
      Csp.offer(log.diskLock, true);
    }
  }

  /** Stores one chunk of a payload; once the last chunk has arrived, handles the whole payload. */
  private *receiveChunk(
    body: AppendEntriesRequestOnWire,
    chunk: PayloadChunk,
    supersedesOwnGroup: boolean,
  ): Task<Result<AppendEntriesResponse>> {
    // The leader retransmits the last chunk if the response to it was lost.
    if (this.lastCompleted?.transferId === chunk.transferId) return Fault.ok(this.lastCompleted.response);
    const result = this.chunkReceiver.receive(chunk);
    switch (result.tag) {
      case "incomplete":
        return Fault.ok({
          term: this.replica.log.currentTerm,
          success: false,
          lastPossibleMatch: this.replica.commitIndex,
          receivedBytes: result.receivedBytes,
        });
      case "rejected":
        return this.reject(body.lead, result.defect);
      case "complete": {
        const decoded = MessageCodec.decodeAppendEntries({ ...body, ...result.payload, piece: undefined });
        if (!decoded.ok) return this.reject(body.lead, decoded.defect);
        const response = yield* this.append(decoded.message, supersedesOwnGroup);
        if (response.ok) this.lastCompleted = { transferId: chunk.transferId, response: response.value };
        return response;
      }
    }
  }

  /**
   * Handles a well-formed request from this group or from the group that supersedes it. The caller must hold the disk
   * lock.
   */
  private *append(request: AppendEntriesRequest, supersedesOwnGroup: boolean): Task<Result<AppendEntriesResponse>> {
    const { replica } = this;
    const { log } = replica;
    if (request.term < log.currentTerm) return this.mismatch(log.lastIndex());
    if (!(yield* this.followLeader(request.leaderId, request.term)))
      return Fault.fail("disk", "append", replica.selfId, "term not saved");
    if (!supersedesOwnGroup && this.conflictsWithCommitted(request))
      return replica.reject(
        ConsensusEvent.committedEntryConflict,
        "append",
        request.leaderId,
        "would replace committed entries",
      );
    if (request.snapshot && this.needsSnapshot(request.snapshot)) {
      const installed = yield* this.installSnapshot(request.snapshot);
      if (!installed.ok) return installed;
    } else if (supersedesOwnGroup) {
      return this.awaitSnapshotOfSuccessor(request);
    }
    // Entries covered by the local snapshot are committed, so they equal the leader's and need no comparison.
    const { prevLogIndex, prevLogTerm } = request;
    if (prevLogIndex >= log.snapshotIndex && !log.matches(prevLogIndex, prevLogTerm))
      return this.mismatch(this.lastPossibleMatch(prevLogIndex));
    return yield* this.storeEntries(request);
  }
  private *storeEntries(request: AppendEntriesRequest): Task<Result<AppendEntriesResponse>> {
    const { replica } = this;
    const { log } = replica;
    const stored = yield* log.storeFromLeader(request.entries.filter((entry) => entry.index > log.snapshotIndex));
    if (!stored.ok) return stored;
    const matchIndex = Math.max(request.prevLogIndex + request.entries.length, log.snapshotIndex);
    log.syncedIndex = log.lastIndex();
    replica.env.faultPoint(ConsensusFaultPoint.entriesStored);
    const committed = Math.min(request.leaderCommit, matchIndex);
    if (committed > replica.commitIndex) {
      replica.commitIndex = committed;
      replica.applyCommitted();
    }
    if (log.needsCompaction(replica.lastApplied)) Csp.offer(log.writeRequests, true);
    return Fault.ok({ term: log.currentTerm, success: true, matchIndex });
  }
  /**
   * The log of the former group is not comparable with its successor's, so this server waits for the successor's
   * snapshot.
   */
  private awaitSnapshotOfSuccessor(request: AppendEntriesRequest): Result<AppendEntriesResponse> {
    const isChunkOfSnapshot = request.chunk !== undefined && request.prevLogIndex === 0;
    if (!isChunkOfSnapshot) return this.mismatch(this.replica.log.lastIndex());
    return Fault.ok({ term: this.replica.log.currentTerm, success: true, matchIndex: 0 });
  }
  private installSnapshot(snapshot: Snapshot): Task<Result<true>> {
    const { log } = this.replica;
    return this.replica.installSnapshot({
      currentTerm: log.currentTerm,
      votedFor: log.votedFor,
      snapshotIndex: snapshot.lastIncludedIndex,
      snapshotTerm: snapshot.lastIncludedTerm,
      snapshotState: snapshot.state,
      entries: [],
    });
  }

  /**
   * Follows a leader whose term is not older than the local one, and resets the election timer. Returns false if the
   * disk fails.
   */
  private *followLeader(leaderId: string, term: number): Task<boolean> {
    const { replica } = this;
    const { log } = replica;
    if (term > log.currentTerm || replica.role !== "follower") if (!(yield* replica.stepDown(term, true))) return false;
    replica.lastLeaderContactAt = replica.env.monotonicMs();
    replica.startedRecently = false;
    replica.resetElectionTimer();
    replica.leaderId = leaderId;
    // Entries that this server appended as a former leader and never synced to its disk must not be acknowledged.
    return (yield* log.dropUnsynced(replica.commitIndex)).ok;
  }

  // ---------- log comparison ----------

  /**
   * Returns the highest index at which the log may still match the leader's, given a mismatch at `index`. It skips all
   * entries of the conflicting term (Raft, end of section 5.3).
   */
  private lastPossibleMatch(index: number): number {
    const { log, commitIndex } = this.replica;
    if (index > log.lastIndex()) return log.lastIndex();
    const conflictTerm = log.termAt(index);
    let last = index - 1;
    while (last > commitIndex && log.termAt(last) === conflictTerm) last -= 1;
    return Math.max(last, commitIndex);
  }
  /**
   * Every later leader has the entries committed here (leader completeness), so a conflicting request belongs to a
   * different log.
   */
  private conflictsWithCommitted({ prevLogIndex, prevLogTerm, entries, snapshot }: AppendEntriesRequest): boolean {
    const { log, commitIndex } = this.replica;
    const positions = [{ index: prevLogIndex, term: prevLogTerm }, ...entries];
    if (snapshot) positions.push({ index: snapshot.lastIncludedIndex, term: snapshot.lastIncludedTerm });
    return positions.some(
      ({ index, term }) => index >= log.snapshotIndex && index <= commitIndex && !log.matches(index, term),
    );
  }
  /**
   * A log that contains the snapshot's last entry needs no snapshot. A longer log without that entry may come from
   * another leader.
   */
  private needsSnapshot({ lastIncludedIndex, lastIncludedTerm }: Snapshot): boolean {
    const { log, commitIndex } = this.replica;
    return lastIncludedIndex > commitIndex && !log.matches(lastIncludedIndex, lastIncludedTerm);
  }

  // ---------- responses ----------

  private mismatch(lastPossibleMatch: number): Result<AppendEntriesResponse> {
    return Fault.ok({ term: this.replica.log.currentTerm, success: false, lastPossibleMatch });
  }
  private reject(leaderId: unknown, reason: string): Result<never> {
    return this.replica.reject(ConsensusEvent.messageRejected, "append", leaderId, reason);
  }
}
