import { ShardReplica } from "../../shard/shardReplica";
import { HttpResponse } from "../../runtime/env";

/** What is known of an item between its attempts; a new leader begins it anew. */
export interface ItemProgress {
  /** Id of the last event of its stream that was received; 0 for none. */
  lastEventId: number;
  /** Data of the events received so far. */
  events: string[];
  /** Attempts that failed. */
  failures: number;
  /** The next attempt starts at this monotonic time, ms, at the earliest. */
  notBefore: number;
  /** Key of the endpoint of the last attempt: another is preferred. */
  avoid: string;
}

/** A job whose items this node runs, as leader of its shard. */
export interface OpenJob {
  readonly id: string;
  readonly replica: ShardReplica;
  /** Epoch of the shard's view in which this node leads it. */
  epoch: number;
  /** Indexes of items to be started, in this order. */
  ready: number[];
  /** Indexes of items in backoff. */
  delayed: number[];
  readonly progress: Map<number, ItemProgress>;
  /** Items from the selection of an endpoint until their result is put, with the response as soon as it has begun. */
  readonly running: Map<number, HttpResponse | undefined>;
  /** Since when this node doesn't lead the shard, monotonic time, ms; Infinity while it does. */
  leadershipLostAt: number;
}

/** The progress of an item, begun if there is none. */
export function progressOf(open: OpenJob, item: number): ItemProgress {
  const progress = open.progress.get(item) ?? { lastEventId: 0, events: [], failures: 0, notBefore: 0, avoid: "" };
  open.progress.set(item, progress);
  return progress;
}
