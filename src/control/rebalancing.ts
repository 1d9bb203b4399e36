import type { ShardView } from "../controlState/shardView";
import { Member } from "../membership/member";
import { Environment } from "../runtime/env";
import { StoreSelection } from "./storeSelection";

/** Minimum time between two replica moves, ms. */
const MOVE_INTERVAL_MS = 2000;
/** Minimum difference in replica counts for a move: a smaller one would only move the imbalance to the target. */
const MIN_DIFFERENCE = 2;

/** A planned move of a replica to a storage node with fewer replicas. */
export interface ReplicaMove {
  target: Member;
  /** Reason that is recorded in the ledger. */
  reason: string;
}

/** Selects replicas to move to newly added storage nodes, one shard at a time. */
export class Rebalancing {
  private lastMoveAt = -Infinity;

  constructor(
    private readonly env: Environment,
    private readonly selection: StoreSelection,
  ) {}

  /** Returns the move that the shard needs now, if any; the caller carries it out. */
  nextMove(view: ShardView): ReplicaMove | undefined {
    const now = this.env.monotonicMs();
    if (now - this.lastMoveAt < MOVE_INTERVAL_MS) return undefined;
    const [target] = this.selection.candidates(view.shard, view.members);
    if (!target) return undefined;
    const count = (id: string): number => this.selection.replicaCount(id);
    const [fullest] = view.members.filter((id) => id !== view.lead).sort((left, right) => count(right) - count(left));
    if (!fullest || count(fullest) - count(target.id) < MIN_DIFFERENCE) return undefined;
    this.lastMoveAt = now;
    const reason = `balance: ${fullest} holds ${count(fullest)} copies, ${target.id} ${count(target.id)}`;
    return { target, reason };
  }
}
