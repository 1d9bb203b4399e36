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
/** Notes in one put. */
const batchSize = 100;
const putTimeoutMs = 10_000;

/**
 * Ledger entries for decisions that no shard records, collected and put in batches. They are best effort: the oldest are
 * dropped when too many wait, and a batch that cannot be put is lost; both are counted.
 *
 * @example
 * const notes = new LedgerNotes(env, shardClient, "ingress-1", () => snapshot, counters);
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
    if (this.pending.length >= Constants.ledgerBatch) {
      this.pending.shift();
      this.counters.droppedNotes += 1;
    }
    this.pending.push({ subject, decision, cause });
  }

  /** Puts what is pending at each flush interval; never returns. */
  *flushLoop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.ledgerFlushMs);
      if (this.pending.length > 0 && this.snapshot().control) yield* this.flush();
    }
  }

  private *flush(): Task<void> {
    const entries = this.pending.splice(0, batchSize);
    this.batchCount += 1;
    const shard = this.shardClient.shardOf(this.selfId);
    const putId = `notes-${this.selfId}-${this.batchCount}`;
    const put = yield* this.shardClient.put(shard, putId, [{ op: "note", entries }], {}, putTimeoutMs);
    if (!put.ok) this.counters.droppedNotes += entries.length;
  }
}
