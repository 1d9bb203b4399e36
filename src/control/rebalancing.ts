import type { ShardView } from "../controlState/shardView";
import { Member } from "../membership/member";
import { Environment } from "../runtime/env";
import { StoreSelection } from "./storeSelection";

/** Shortest time between two moves of a replica, ms. */
const MOVE_INTERVAL_MS = 2000;
/** A replica moves only where the target holds so many fewer: any less would move the imbalance. */
const MIN_DIFFERENCE = 2;

/** A replica that is to move to a storage node with fewer replicas. */
export interface ReplicaMove {
  target: Member;
  /** For the ledger. */
  reason: string;
}

/** Moves replicas to storage nodes that were added, one shard at a time. */
export class Rebalancing {
  private lastMoveAt = -Infinity;

  constructor(
    private readonly env: Environment,
    private readonly selection: StoreSelection,
  ) {}

  /** The move that the shard needs now, if any; the caller carries it out. @example rebalancing.nextMove(view) */
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
