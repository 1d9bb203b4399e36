import { Csp, Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { GroupRecovery } from "../controlState/groupRecovery";
import { ReplicatedLog } from "./log";
import { AppendRequest, AppendResponse, Messages, Snapshot } from "./messages";
import { ConsensusReplica } from "./replica";
import { TransferChunk, TransferReceiver } from "./transfer";

/**
 * The follower's side: appends, snapshots and pieces of either, checked and put on disk before they are acknowledged.
 *
 * @example
 * const receiver = new AppendReceiver(replica);
 * rpc.handle("group.append", (body) => receiver.onAppend(body));
 */
export class AppendReceiver {
  private readonly receiver = new TransferReceiver();
  /** The last transfer that was taken whole, and what was said to it: in the same term this stays true. */
  private completed: { transfer: string; appended: AppendResponse } | undefined;
  private readonly env: Env;
  private readonly self: string;
  private readonly log: ReplicatedLog;

  constructor(private readonly replica: ConsensusReplica) {
    this.env = replica.env;
    this.self = replica.self;
    this.log = replica.log;
  }

  /** Takes an append in, or says why not. */
  *onAppend(body: AppendRequest): Task<Result<AppendResponse>> {
    const misdirected = this.replica.forUs(body.to, "append");
    if (misdirected) return misdirected;
    const malformed = Messages.appendFault(body);
    if (malformed !== undefined) return this.replica.drop(1321, "append", body.lead, malformed);
    // a group recovered by an operator's word takes in whoever belonged to what it was
    const superseded = this.log.founded() && GroupRecovery.supersedes(body.group, this.replica.groupId());
    if (this.log.founded() && body.group !== this.replica.groupId() && !superseded)
      return this.replica.drop(1321, "append", body.lead, "another group's append");
    if (this.log.broken()) return Fault.fail("disk", "append", this.self, "disk failed");
    yield* Csp.take(this.log.diskToken);
    try {
      const appended = yield* this.appendFrom(body, superseded);
      if (!appended.ok || !appended.value.matched || !body.piece) return appended;
      return yield* this.takePiece(body, body.piece, superseded);
    } finally {
      Csp.offer(this.log.diskToken, true);
    }
  }
  /** One piece of an append; with the last of them, the append itself. */
  private *takePiece(body: AppendRequest, piece: TransferChunk, superseded: boolean): Task<Result<AppendResponse>> {
    // the response to the last piece was lost, and it came again
    if (this.completed?.transfer === piece.transfer) return Fault.ok(this.completed.appended);
    const taken = this.receiver.take(piece);
    switch (taken.tag) {
      case "more":
        return Fault.ok({ term: this.log.term, matched: false, last: this.replica.commit, received: taken.received });
      case "dropped":
        return this.replica.drop(1321, "append", body.lead, taken.cause);
      case "whole": {
        const whole: AppendRequest = { ...body, ...taken.content, piece: undefined };
        const malformed = Messages.appendFault(whole);
        if (malformed !== undefined) return this.replica.drop(1321, "append", body.lead, malformed);
        const appended = yield* this.appendFrom(whole, superseded);
        if (appended.ok) this.completed = { transfer: piece.transfer, appended: appended.value };
        return appended;
      }
      default: {
        const never: never = taken;
        return never;
      }
    }
  }
  /** An append that is well-formed and of this group, or of the one that supersedes it. */
  private *appendFrom(body: AppendRequest, superseded: boolean): Task<Result<AppendResponse>> {
    const unmatched = (last: number): Result<AppendResponse> => Fault.ok({ term: this.log.term, matched: false, last });
    if (body.term < this.log.term) return unmatched(this.log.lastIndex());
    if (!(yield* this.follow(body.lead, body.term))) return Fault.fail("disk", "append", this.self, "term not saved");
    if (!superseded && this.contradictsCommitted(body))
      return this.replica.drop(1320, "append", body.lead, "would replace committed entries");
    if (body.whole && this.needsSnapshot(body.whole)) {
      const done = yield* this.replica.install({
        term: this.log.term,
        votedFor: this.log.votedFor,
        baseIndex: body.whole.index,
        baseTerm: body.whole.term,
        base: body.whole.state,
        entries: [],
      });
      if (!done.ok) return done;
    } else if (superseded) {
      // nothing of the former group's log is compared with the new one's: its snapshot comes first
      const takesPieces = body.piece !== undefined && body.prevIndex === 0;
      return takesPieces ? Fault.ok({ term: this.log.term, matched: true, match: 0 }) : unmatched(this.log.lastIndex());
    }
    // what stands before our snapshot is committed, and equal
    if (body.prevIndex >= this.log.baseIndex && !this.log.holds(body.prevIndex, body.prevTerm))
      return unmatched(this.lastPossibleMatch(body.prevIndex));
    const done = yield* this.log.store(body.entries.filter((entry) => entry.index > this.log.baseIndex));
    if (!done.ok) return done;
    const match = Math.max(body.prevIndex + body.entries.length, this.log.baseIndex);
    this.log.synced = this.log.lastIndex();
    this.env.point(35);
    if (Math.min(body.commit, match) > this.replica.commit) {
      this.replica.commit = Math.min(body.commit, match);
      this.replica.applyCommitted();
    }
    if (this.log.isLong(this.replica.applied)) Csp.offer(this.log.writeWake, true);
    return Fault.ok({ term: this.log.term, matched: true, match });
  }
  /** Takes over a lead's term and its word that it lives. False if the disk doesn't take the term. */
  private *follow(leader: string, term: number): Task<boolean> {
    if (term > this.log.term || this.replica.role !== "follower")
      if (!(yield* this.replica.stepDown(term, true))) return false;
    this.replica.heardAt = this.env.mono();
    this.replica.newborn = false;
    this.replica.setElection();
    this.replica.leader = leader;
    // entries of our own time as lead that never reached our disk are not ours to acknowledge
    return (yield* this.log.dropUnsynced(this.replica.commit)).ok;
  }
  /** Where the log may equal the lead's, if it doesn't at this index: before the entries of the term found there. */
  private lastPossibleMatch(index: number): number {
    if (index > this.log.lastIndex()) return this.log.lastIndex();
    const differing = this.log.termAt(index);
    let last = index - 1;
    while (last > this.replica.commit && this.log.termAt(last) === differing) last -= 1;
    return Math.max(last, this.replica.commit);
  }
  /** What is committed here, every later lead has: an append that says otherwise is none of this group's log. */
  private contradictsCommitted(body: AppendRequest): boolean {
    const places = [
      { index: body.prevIndex, term: body.prevTerm },
      ...body.entries,
      ...(body.whole ? [body.whole] : []),
    ];
    return places.some(
      ({ index, term }) => index >= this.log.baseIndex && index <= this.replica.commit && !this.log.holds(index, term),
    );
  }
  /** A snapshot is needed unless the entry at its index is here, of its term: a longer log may still be another lead's. */
  private needsSnapshot = (snapshot: Snapshot): boolean =>
    snapshot.index > this.replica.commit && !this.log.holds(snapshot.index, snapshot.term);
}
