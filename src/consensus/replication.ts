import { Constants } from "../common/constants";
import { Command } from "../controlState/command";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { ConsensusFaultPoint } from "./consensusEvents";
import { ConsensusReplica } from "./consensusReplica";
import { initialProgress } from "./followerProgress";
import { FollowerReplicator } from "./followerReplicator";
import { LogEntry } from "./messages";
import { PackedSnapshotCache } from "./packedSnapshotCache";

/**
 * The leader's side of log replication (Raft, section 5.3): it appends new entries, runs one replication task per
 * follower and advances the commit index.
 */
export class Replication {
  private readonly packedSnapshots = new PackedSnapshotCache();
  private transferCount = 0;

  constructor(
    private readonly replica: ConsensusReplica,
    private readonly rpc: Rpc,
  ) {}

  /** Appends a command in the current term, and wakes the log writer and the replication tasks. */
  append(command: Command): LogEntry {
    const { log } = this.replica;
    const entry: LogEntry = { index: log.lastIndex() + 1, term: log.currentTerm, command };
    log.append(entry);
    this.wakeFollowers();
    return entry;
  }

  /** Runs one replication task per follower, voter or standby, as long as this server is the leader of the term. */
  *replicateToAll(term: number): Task<void> {
    const { replica } = this;
    const running = new Set<string>();
    while (replica.isLeaderOf(term)) {
      const followers = new Set([...replica.log.voters(), ...replica.hooks.otherNodes()]);
      followers.delete(replica.selfId);
      for (const id of followers) if (!running.has(id)) this.startReplicator(id, term, running);
      yield* EnvironmentTools.sleep(replica.env, Constants.heartbeatMs);
    }
    this.packedSnapshots.clear();
  }
  private startReplicator(id: string, term: number, running: Set<string>): void {
    const { replica } = this;
    running.add(id);
    replica.followers.set(id, initialProgress(replica.log.lastIndex()));
    const replicator = new FollowerReplicator(replica, this.rpc, id, term, {
      advanceCommitIndex: () => this.advanceCommitIndex(),
      nextTransferId: () => this.nextTransferId(term),
      packedSnapshots: this.packedSnapshots,
    });
    Csp.go(replica.env.scope, `replicate to ${id}`, function* () {
      yield* replicator.run();
      running.delete(id);
    });
  }
  private nextTransferId(term: number): string {
    this.transferCount += 1;
    return `${this.replica.selfId}-${term}-${this.transferCount}`;
  }

  /**
   * Commits entries that a majority of the newest membership has on disk, if the last of them is of the leader's own
   * term. Entries of earlier terms are only ever committed together with it (Raft, section 5.4.2). A leader steps down
   * once its own removal is committed.
   */
  advanceCommitIndex(): void {
    const { replica } = this;
    const { log } = replica;
    const matches = log
      .voters()
      .map((id) => (id === replica.selfId ? log.syncedIndex : (replica.followers.get(id)?.matchIndex ?? 0)))
      .sort((left, right) => right - left);
    const majorityIndex = matches[this.replica.majority() - 1];
    if (majorityIndex <= replica.commitIndex || log.termAt(majorityIndex) !== log.currentTerm) return;
    replica.commitIndex = majorityIndex;
    replica.env.faultPoint(ConsensusFaultPoint.commitIndexAdvanced);
    replica.applyCommitted();
    this.wakeFollowers();
    if (!replica.state.voters.includes(replica.selfId)) replica.becomeFollower();
  }
  private wakeFollowers(): void {
    for (const follower of this.replica.followers.values()) Csp.offer(follower.wakeUp, true);
  }
}
