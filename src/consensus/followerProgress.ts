import { Chan, Csp } from "../runtime/csp";

/** What a leader knows of a follower, voter or standby (Raft, figure 2: volatile state on leaders). */
export interface FollowerProgress {
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index up to which the follower's log is known to equal the leader's; 0 if not known yet. */
  matchIndex: number;
  /** Leader's monotonic clock when the newest request that got a response was sent, ms; -Infinity before the first. */
  lastContactAt: number;
  /** Wakes the task that replicates to this follower. */
  wakeUp: Chan<true>;
}

/** A new leader takes each follower's log to equal its own until a response says otherwise. */
export const initialProgress = (lastLogIndex: number): FollowerProgress => ({
  nextIndex: lastLogIndex + 1,
  matchIndex: 0,
  lastContactAt: -Infinity,
  wakeUp: Csp.sliding(1),
});
