import { Constants } from "../common/constants";
import { ConsensusReplica } from "./consensusReplica";

/**
 * The leader's lease. While a majority has acknowledged the leader recently, no other server can have been elected, so
 * the leader may serve reads from its own state (Ongaro's thesis, section 6.4.1). The age of an acknowledgement is
 * measured from the sending of the request. Followers grant no vote for `electionTimeoutMinMs` after an AppendEntries
 * request, which is longer than the lease.
 */
export class LeaderLease {
  constructor(private readonly replica: ConsensusReplica) {}

  /** Whether the lease is valid and the leader has applied an entry of its own term, so that its state is current. */
  isHeld(): boolean {
    if (!this.replica.hasAppliedOwnTerm()) return false;
    return this.votersInContactWithin(Constants.controlLeaseMs).length >= this.replica.majority();
  }
  /**
   * Returns the voters that acknowledged a request sent within the last `ms` milliseconds; the leader itself always
   * counts.
   */
  votersInContactWithin(ms: number): string[] {
    const now = this.replica.env.monotonicMs();
    return this.replica.log.voters().filter((id) => id === this.replica.selfId || now - this.lastContactAt(id) < ms);
  }
  /**
   * Returns the latest time T on this server's monotonic clock such that a majority of the voters acknowledged requests
   * that this leader sent at T or later. The leader itself counts as having acknowledged now. The state that the leader
   * had applied at T was current at T, as with the read index of the thesis, section 6.4. Returns -Infinity on any
   * other server, and until the leader has applied an entry of its own term.
   */
  quorumContactAt(): number {
    if (!this.replica.hasAppliedOwnTerm()) return -Infinity;
    const contacts = this.replica.log
      .voters()
      .map((id) => (id === this.replica.selfId ? this.replica.env.monotonicMs() : this.lastContactAt(id)))
      .sort((left, right) => right - left);
    return contacts[this.replica.majority() - 1] ?? -Infinity;
  }
  private lastContactAt(id: string): number {
    return this.replica.followers.get(id)?.lastContactAt ?? -Infinity;
  }
}
