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
 * The follower's side of log replication: entries, snapshots and chunks of either are checked and put on disk before they
 * are acknowledged (Raft, figure 2: AppendEntries RPC; figure 13: InstallSnapshot RPC).
 *
 * @example
 * const handler = new AppendEntriesHandler(replica);
 * rpc.handle("group.append", (body) => handler.onAppendEntries(body));
 */
export class AppendEntriesHandler {
  private readonly chunks = new ChunkReceiver();
  /** The last payload that was completed, and the response to it: true as long as the term lasts. */
  private completed: { transferId: string; response: AppendEntriesResponse } | undefined;

  constructor(private readonly replica: ConsensusReplica) {}

  /**
   * Handles an AppendEntries request. Faults: refused (meant for another server), invalid (malformed, of another group, or
   * in conflict with committed entries), disk.
   */
  *onAppendEntries(body: AppendEntriesRequestOnWire): Task<Result<AppendEntriesResponseOnWire>> {
    const { replica } = this;
    const { log } = replica;
    const misdirected = replica.rejectMisdirected(body.to, "append");
    if (misdirected) return misdirected;
    const decoded = MessageCodec.decodeAppendEntries(body);
    if (!decoded.ok) return this.reject(body.lead, decoded.defect);
    const request = decoded.message;
    // A group recovered from one voter takes in whoever belonged to its predecessor.
    const supersedesOurs = log.isBootstrapped() && GroupRecovery.supersedes(request.groupId, replica.groupId());
    if (log.isBootstrapped() && request.groupId !== replica.groupId() && !supersedesOurs)
      return this.reject(request.leaderId, "another group's append");
    if (log.hasDiskFailed()) return Fault.fail("disk", "append", replica.selfId, "disk failed");
    yield* Csp.take(log.diskLock);
    try {
      let response = yield* this.append(request, supersedesOurs);
      if (response.ok && response.value.success && request.chunk)
        response = yield* this.receiveChunk(body, request.chunk, supersedesOurs);
      return response.ok ? Fault.ok(MessageCodec.encodeAppendEntriesResponse(response.value)) : response;
    } finally {
      Csp.offer(log.diskLock, true);
    }
  }

  /** Takes in a chunk of a payload; with the last one, the payload itself. */
  private *receiveChunk(
    body: AppendEntriesRequestOnWire,
    chunk: PayloadChunk,
    supersedesOurs: boolean,
  ): Task<Result<AppendEntriesResponse>> {
    // The response to the last chunk was lost, and the leader has sent it again.
    if (this.completed?.transferId === chunk.transferId) return Fault.ok(this.completed.response);
    const result = this.chunks.receive(chunk);
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
        const response = yield* this.append(decoded.message, supersedesOurs);
        if (response.ok) this.completed = { transferId: chunk.transferId, response: response.value };
        return response;
      }
    }
  }

  /** Handles a well-formed request of this group, or of the one that supersedes it. The caller holds the disk lock. */
  private *append(request: AppendEntriesRequest, supersedesOurs: boolean): Task<Result<AppendEntriesResponse>> {
    const { replica } = this;
    const { log } = replica;
    if (request.term < log.currentTerm) return this.mismatch(log.lastIndex());
    if (!(yield* this.followLeader(request.leaderId, request.term)))
      return Fault.fail("disk", "append", replica.selfId, "term not saved");
    if (!supersedesOurs && this.conflictsWithCommitted(request))
      return replica.reject(
        ConsensusEvent.committedEntryConflict,
        "append",
        request.leaderId,
        "would replace committed entries",
      );
    if (request.snapshot && this.needsSnapshot(request.snapshot)) {
      const installed = yield* this.installSnapshot(request.snapshot);
      if (!installed.ok) return installed;
    } else if (supersedesOurs) {
      return this.awaitSnapshotOfSuccessor(request);
    }
    // Entries before our snapshot are committed, and therefore equal.
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
    replica.env.point(ConsensusFaultPoint.entriesStored);
    const committed = Math.min(request.leaderCommit, matchIndex);
    if (committed > replica.commitIndex) {
      replica.commitIndex = committed;
      replica.applyCommitted();
    }
    if (log.needsCompaction(replica.lastApplied)) Csp.offer(log.writeRequests, true);
    return Fault.ok({ term: log.currentTerm, success: true, matchIndex });
  }
  /** Nothing of the former group's log is compared with its successor's: the successor's snapshot comes first. */
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

  /** Follows the leader of a term at least as high as ours, and resets the election timer. False if the disk fails. */
  private *followLeader(leaderId: string, term: number): Task<boolean> {
    const { replica } = this;
    const { log } = replica;
    if (term > log.currentTerm || replica.role !== "follower") if (!(yield* replica.stepDown(term, true))) return false;
    replica.lastLeaderContactAt = replica.env.mono();
    replica.startedRecently = false;
    replica.resetElectionTimer();
    replica.leaderId = leaderId;
    // Entries appended here as a former leader that never reached this disk must not be acknowledged.
    return (yield* log.dropUnsynced(replica.commitIndex)).ok;
  }

  // ---------- log comparison ----------

  /**
   * The highest index at which the log may equal the leader's, given that it differs at this one: before all entries of
   * the term found there (Raft, end of section 5.3).
   */
  private lastPossibleMatch(index: number): number {
    const { log, commitIndex } = this.replica;
    if (index > log.lastIndex()) return log.lastIndex();
    const conflictTerm = log.termAt(index);
    let last = index - 1;
    while (last > commitIndex && log.termAt(last) === conflictTerm) last -= 1;
    return Math.max(last, commitIndex);
  }
  /** Every later leader has what is committed here (leader completeness): a request that contradicts it is none of this log. */
  private conflictsWithCommitted({ prevLogIndex, prevLogTerm, entries, snapshot }: AppendEntriesRequest): boolean {
    const { log, commitIndex } = this.replica;
    const positions = [{ index: prevLogIndex, term: prevLogTerm }, ...entries];
    if (snapshot) positions.push({ index: snapshot.lastIncludedIndex, term: snapshot.lastIncludedTerm });
    return positions.some(
      ({ index, term }) => index >= log.snapshotIndex && index <= commitIndex && !log.matches(index, term),
    );
  }
  /** Not needed if the log has the snapshot's last entry. A longer log without it may still be another leader's. */
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
