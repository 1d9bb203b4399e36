import { Constants } from "../common/constants";
import { ConsensusReplica } from "./consensusReplica";

/** A follower without an acknowledgement in so many heartbeats isn't counted on. */
const CONTACT_HEARTBEATS = 3;

/**
 * How far followers are behind the leader: standbys (learners) before they become voters, and voters before leadership is
 * transferred to one (Ongaro's thesis, sections 4.2.1 and 3.10).
 */
export class CatchUp {
  constructor(private readonly replica: ConsensusReplica) {}

  /** Entries that a server is behind, as known to the leader. */
  lag(id: string): number {
    return this.replica.log.lastIndex() - (this.replica.followers.get(id)?.matchIndex ?? 0);
  }
  /**
   * Whether a standby may become a voter: it has nearly the whole log and was in contact just now. One without a log
   * could neither acknowledge nor vote, and the group might need it to.
   */
  isCaughtUp(id: string): boolean {
    const follower = this.replica.followers.get(id);
    if (!follower || follower.matchIndex === 0) return false;
    const sinceContact = this.replica.env.mono() - follower.lastContactAt;
    if (sinceContact > CONTACT_HEARTBEATS * Constants.heartbeatMs) return false;
    return this.lag(id) <= Constants.standbyMaxLag;
  }
  /** The voter with the longest log, as the next leader; undefined if no voter is caught up. */
  bestSuccessor(): string | undefined {
    const candidates = this.replica.log.voters().filter((id) => id !== this.replica.selfId && this.isCaughtUp(id));
    return candidates.sort((left, right) => this.lag(left) - this.lag(right))[0];
  }
}
