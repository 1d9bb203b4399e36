import { Chan, Csp } from "../runtime/csp";

/**
 * Replication progress of one follower, voter or standby, as tracked by the leader (Raft, figure 2: volatile state on
 * leaders).
 */
export interface FollowerProgress {
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index up to which the follower's log is known to match the leader's; 0 if none is known yet. */
  matchIndex: number;
  /**
   * Send time of the newest request that was answered, on the leader's monotonic clock, in ms; -Infinity before the
   * first.
   */
  lastContactAt: number;
  /**
   * Time at which the follower first reported that its disk had failed, on the leader's monotonic clock, in ms; Infinity
   * if it has acknowledged a request since.
   */
  diskFailedAt: number;
  /** Wakes the task that replicates to this follower. */
  wakeUp: Chan<true>;
}

/**
 * Returns the progress that a new leader assumes: the follower's log matches its own until a response shows otherwise.
 */
export const initialProgress = (lastLogIndex: number): FollowerProgress => ({
  nextIndex: lastLogIndex + 1,
  matchIndex: 0,
  lastContactAt: -Infinity,
  diskFailedAt: Infinity,
  wakeUp: Csp.sliding(1),
});
