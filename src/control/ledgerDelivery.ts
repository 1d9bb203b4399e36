import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { Decision } from "../controlState/controlState";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ShardClient } from "../storage/shardClient";

/** Pause between two deliveries, ms. */
const DELIVERY_INTERVAL_MS = 200;
/** Maximum number of decisions delivered before the progress is committed to the consensus log. */
const MAX_BATCH = 50;
/** Time for which the put of a decision is retried, ms. */
const PUT_TIMEOUT_MS = 5000;

/**
 * Delivers the decisions of the control group to the ledger, while this node leads the group. The ledger
 * deduplicates decisions by their log index, so that a repeated delivery adds nothing.
 */
export class LedgerDelivery {
  constructor(
    private readonly env: Environment,
    private readonly group: ConsensusGroup,
    private readonly shards: ShardClient,
  ) {}

  *run(): Task<void> {
    for (;;) {
      const isLeader = this.group.role === "leader";
      yield* EnvironmentTools.sleep(this.env, isLeader ? DELIVERY_INTERVAL_MS : Constants.leaderTaskPeriodMs);
      if (!this.group.hasLeaderLease()) continue;
      const undelivered = this.group.state.untold.slice(0, MAX_BATCH);
      const hasAllShards = Object.keys(this.group.state.views).length >= Constants.shardCount;
      if (undelivered.length > 0 && hasAllShards) yield* this.deliver(undelivered);
    }
  }

  /** Delivers decisions in order up to the first failure, and commits the last delivered index to the consensus log. */
  private *deliver(decisions: Decision[]): Task<void> {
    let upTo = 0;
    for (const decision of decisions) {
      const isDelivered = yield* this.put(decision);
      if (!isDelivered) break;
      upTo = decision.index;
    }
    this.env.faultPoint(37);
    if (upTo > 0) yield* this.group.propose({ tag: "told", upTo }, Constants.proposeTimeoutMs);
  }

  private *put({ index, subject, decision, cause }: Decision): Task<boolean> {
    const entries = [{ subject, decision, cause: { note: cause } }];
    const stored = yield* this.shards.put(
      this.shards.shardOf(subject),
      `control-${index}`,
      [{ op: "note", entries, once: { source: "control", index } }],
      {},
      PUT_TIMEOUT_MS,
    );
    return stored.ok;
  }
}
