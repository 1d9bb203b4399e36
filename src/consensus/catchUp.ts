import { Constants } from "../common/constants";
import { ConsensusReplica } from "./consensusReplica";

/** Number of heartbeat periods without an acknowledgement after which a follower no longer counts as in contact. */
const CONTACT_HEARTBEATS = 3;

/**
 * Measures how far followers lag behind the leader: standbys (Raft learners) before they are promoted to voters, and
 * voters before one of them receives the leadership (Ongaro's thesis, sections 4.2.1 and 3.10).
 */
export class CatchUp {
  constructor(private readonly replica: ConsensusReplica) {}

  /** Number of entries by which a server lags behind, as known to the leader. */
  lag(id: string): number {
    return this.replica.log.lastIndex() - (this.replica.followers.get(id)?.matchIndex ?? 0);
  }
  /**
   * Whether a standby may become a voter: it has almost the whole log and has acknowledged the leader recently. A voter
   * without a log can neither acknowledge entries nor vote, and the group may need it for a majority.
   */
  isCaughtUp(id: string): boolean {
    const follower = this.replica.followers.get(id);
    if (!follower || follower.matchIndex === 0) return false;
    const sinceContactMs = this.replica.env.monotonicMs() - follower.lastContactAt;
    if (sinceContactMs > CONTACT_HEARTBEATS * Constants.heartbeatMs) return false;
    return this.lag(id) <= Constants.standbyMaxLag;
  }
  /** The caught-up voter with the smallest lag, which is the best next leader; undefined if no voter is caught up. */
  bestSuccessor(): string | undefined {
    const candidates = this.replica.log.voters().filter((id) => id !== this.replica.selfId && this.isCaughtUp(id));
    return candidates.sort((left, right) => this.lag(left) - this.lag(right))[0];
  }
}
