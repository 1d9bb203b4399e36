import { Csp, Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { ConsensusReplica } from "./consensusReplica";
import { Replication } from "./replication";

/** Maximum interval between checks for entries to write and for compaction, in ms. */
const CHECK_PERIOD_MS = 1000;

/** Writes a leader's own entries to disk in batches, and compacts the log of any server once it is long enough. */
export class LogWriter {
  constructor(
    private readonly replica: ConsensusReplica,
    private readonly replication: Replication,
  ) {}

  /** Runs until its scope ends. A leader whose disk fails becomes a follower. */
  *run(): Task<void> {
    const { env, log } = this.replica;
    for (;;) {
      yield* EnvironmentTools.takeWithin(env, log.writeRequests, CHECK_PERIOD_MS);
      if (log.hasDiskFailed()) continue;
      yield* Csp.take(log.diskLock);
      try {
        yield* this.writeAndCompact();
      } finally {
        Csp.offer(log.diskLock, true);
      }
    }
  }
  private *writeAndCompact(): Task<void> {
    const { replica } = this;
    const { log } = replica;
    const synced = yield* log.sync();
    if (!synced.ok) {
      yield* replica.stepDown(log.currentTerm, true);
      return;
    }
    if (synced.value > 0 && replica.role === "leader") this.replication.advanceCommitIndex();
    if (log.needsCompaction(replica.lastApplied)) yield* log.compact(replica.state, replica.lastApplied);
  }
}
