import { Constants } from "../common/constants";
import { ConsensusReplica } from "./consensusReplica";

/**
 * The leader's lease: while a majority has acknowledged it recently, no other server can have been elected, so the leader
 * answers reads from its own state (Ongaro's thesis, section 6.4.1). The age of an acknowledgement counts from the sending
 * of the request; followers grant no vote for `electionTimeoutMinMs` after an append, which is longer than the lease.
 *
 * @example
 * const lease = new LeaderLease(replica);
 * if (!lease.isHeld()) return notLeader();
 */
export class LeaderLease {
  constructor(private readonly replica: ConsensusReplica) {}

  /** Whether the lease is valid and an entry of the leader's own term is applied, so that its state is current. */
  isHeld(): boolean {
    if (!this.replica.hasAppliedOwnTerm()) return false;
    return this.votersInContactWithin(Constants.controlLeaseMs).length >= this.replica.majority();
  }
  /** Voters that acknowledged a request sent less than so long ago; the leader itself is one. */
  votersInContactWithin(ms: number): string[] {
    const now = this.replica.env.mono();
    return this.replica.log.voters().filter((id) => id === this.replica.selfId || now - this.lastContactAt(id) < ms);
  }
  /**
   * The newest time T on this server's monotonic clock such that a majority of the voters acknowledged this leader in
   * response to requests begun at T or later; the leader itself counts as acknowledged now. What the leader had applied at
   * T was current then: the read index of the thesis, section 6.4. -Infinity on any other server, and until an entry of
   * the leader's own term is applied.
   */
  quorumContactAt(): number {
    if (!this.replica.hasAppliedOwnTerm()) return -Infinity;
    const contacts = this.replica.log
      .voters()
      .map((id) => (id === this.replica.selfId ? this.replica.env.mono() : this.lastContactAt(id)))
      .sort((left, right) => right - left);
    return contacts[this.replica.majority() - 1] ?? -Infinity;
  }
  private lastContactAt(id: string): number {
    return this.replica.followers.get(id)?.lastContactAt ?? -Infinity;
  }
}
