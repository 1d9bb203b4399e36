import { Constants } from "../common/constants";
import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import type { Cause } from "../shard/shardTypes";
import { ShardClient } from "../storage/shardClient";
import { IngressCounters } from "./ingressCounters";

interface LedgerNote {
  subject: string;
  decision: string;
  cause: Cause;
}
/** The maximum number of notes in one write to the shard. */
const BATCH_SIZE = 100;
const PUT_TIMEOUT_MS = 10_000;

/**
 * Collects ledger entries for decisions that no shard records, and writes them in batches. They are best effort: the oldest
 * are dropped when too many are pending, and a batch that cannot be written is lost; both are counted.
 *
 * @example
 * notes.add("request r1", "replied 200", cause);
 */
export class LedgerNotes {
  private readonly pending: LedgerNote[] = [];
  private batchCount = 0;
  constructor(
    private readonly env: Environment,
    private readonly shardClient: ShardClient,
    private readonly selfId: string,
    private readonly snapshot: () => ClusterSnapshot,
    private readonly counters: IngressCounters,
  ) {}

  add(subject: string, decision: string, cause: Cause): void {
    if (this.pending.length >= Constants.ledgerBufferMax) {
      this.pending.shift();
      this.counters.droppedNotes += 1;
    }
    this.pending.push({ subject, decision, cause });
  }

  /** Writes a batch of pending notes at each flush interval; never returns. */
  *flushLoop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.ledgerFlushMs);
      if (this.pending.length > 0 && this.snapshot().control) yield* this.flush();
    }
  }

  private *flush(): Task<void> {
    const entries = this.pending.splice(0, BATCH_SIZE);
    this.batchCount += 1;
    const shard = this.shardClient.shardOf(this.selfId);
    const putId = `notes-${this.selfId}-${this.batchCount}`;
    const put = yield* this.shardClient.put(shard, putId, [{ op: "note", entries }], {}, PUT_TIMEOUT_MS);
    if (!put.ok) this.counters.droppedNotes += entries.length;
  }
}
