import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { ConsensusEvent } from "./consensusEvents";
import { ConsensusReplica } from "./consensusReplica";

/** The pause after an attempt is this many times as long as the one before it. */
const BACKOFF_FACTOR = 2;

/**
 * Takes the disk of a server into use again after a failed write, once it accepts writes. Until then the server grants
 * no vote and acknowledges no entry, since the content of the disk is unknown.
 */
export class DiskRecovery {
  private pauseMs: number = Constants.diskRetryMinMs;
  /** Time of the last recovery, on the monotonic clock, in ms. */
  private recoveredAt = -Infinity;

  constructor(private readonly replica: ConsensusReplica) {}

  /** Runs until its scope ends. A leader whose disk fails becomes a follower. */
  *run(): Task<void> {
    const { env, log } = this.replica;
    for (;;) {
      // A task that was restarted after a defect finds the disk failed, and its fault taken and logged already.
      const fault = log.hasDiskFailed() ? Csp.poll(log.diskFailures) : yield* Csp.take(log.diskFailures);
      const failedAt = env.monotonicMs();
      if (fault) env.log(ConsensusEvent.diskFailed, { fault });
      this.replica.becomeFollower();
      yield* this.retry(failedAt);
      this.recoveredAt = env.monotonicMs();
      env.log(ConsensusEvent.diskRecovered, {
        lastIndex: log.syncedIndex,
        afterMs: Math.round(this.recoveredAt - failedAt),
      });
    }
  }

  private *retry(failedAt: number): Task<void> {
    const { env } = this.replica;
    // A disk that fails again soon is not tried more often than one that does not recover.
    if (failedAt - this.recoveredAt > Constants.diskRetryMaxMs) this.pauseMs = Constants.diskRetryMinMs;
    for (;;) {
      yield* EnvironmentTools.sleep(env, this.pauseMs);
      this.pauseMs = Math.min(Constants.diskRetryMaxMs, BACKOFF_FACTOR * this.pauseMs);
      if (yield* this.attempt()) return;
    }
  }

  private *attempt(): Task<boolean> {
    const { replica } = this;
    const { log } = replica;
    yield* Csp.take(log.diskLock);
    try {
      const rewritten = yield* log.rewrite(replica.commitIndex);
      if (rewritten.ok) replica.resetElectionTimer();
      return rewritten.ok;
    } finally {
      Csp.offer(log.diskLock, true);
    }
  }
}
