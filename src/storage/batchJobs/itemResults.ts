import { Constants } from "../../common/constants";
import { Node } from "../../node/node";
import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { ItemOutcome, ShardOperation } from "../../shard/shardTypes";
import { ShardWriter } from "../shardWriter";
import { ItemCounters } from "./itemCounters";
import { OpenJob } from "./openJob";
import { OpenJobs } from "./openJobs";

/** The put of results is retried for this long, ms, which is longer than a change of the shard's leader takes. */
const PUT_TIMEOUT_MS = 12_000;

interface PendingResult {
  open: OpenJob;
  outcome: ItemOutcome;
}

/**
 * Stores the results of items. Results of one shard that arrive within a short period share a put. An item counts as
 * running until its result is on every replica.
 *
 * @example
 * results.add(open, { item: 3, state: "done", result: text }, "");
 */
export class ItemResults {
  private readonly pendingByShard = new Map<number, PendingResult[]>();
  private readonly flushingShards = new Set<number>();
  private batchNumber = 0;

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly writer: ShardWriter,
    private readonly openJobs: OpenJobs,
    private readonly counters: ItemCounters,
  ) {}

  /**
   * Adds a result to the next put.
   * @param why reason that is logged for an abandoned item
   */
  add(open: OpenJob, outcome: ItemOutcome, why: string): void {
    if (outcome.state === "done") this.counters.done += 1;
    else {
      this.counters.abandoned += 1;
      this.env.log(1701, { lot: open.id, item: outcome.item, why });
    }
    open.running.set(outcome.item, undefined);
    const { shard } = open.replica;
    this.pendingByShard.set(shard, [...(this.pendingByShard.get(shard) ?? []), { open, outcome }]);
    this.startFlushing(shard);
  }

  private startFlushing(shard: number): void {
    if (this.flushingShards.has(shard)) return;
    this.flushingShards.add(shard);
    const results = this;
    Csp.go(this.env.scope, `results of shard ${shard}`, function* () {
      try {
        yield* results.flush(shard);
      } finally {
        results.flushingShards.delete(shard);
      }
    });
  }

  /** Puts the pending results of a shard in batches until none is left. */
  private *flush(shard: number): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.itemResultBatchMs);
      const batch = this.pendingByShard.get(shard) ?? [];
      this.pendingByShard.delete(shard);
      if (batch.length === 0) return;
      this.batchNumber += 1;
      const putId = `results-${this.node.self.id}-${this.batchNumber}-${Math.floor(this.env.wallClockMs())}`;
      const put = yield* this.writer.put(shard, putId, operationsOf(batch), {}, PUT_TIMEOUT_MS);
      for (const { open, outcome } of batch) {
        open.running.delete(outcome.item);
        open.progress.delete(outcome.item);
        // After a failed put this node adds the results again while it leads the shard. Otherwise a new leader has the
        // results or runs the items again.
        if (!put.ok && this.openJobs.mayContinue(open)) this.add(open, outcome, "put again");
      }
    }
  }
}

/** The operations that store a batch, one for each job. */
function operationsOf(batch: PendingResult[]): ShardOperation[] {
  const byJob = new Map<string, ItemOutcome[]>();
  for (const { open, outcome } of batch) byJob.set(open.id, [...(byJob.get(open.id) ?? []), outcome]);
  return [...byJob].map(([lot, results]) => ({ op: "itemResults", lot, results }));
}
