import { ShardReplica } from "../../shard/shardReplica";
import { HttpResponse } from "../../runtime/env";

/** State of an item between its attempts. It is kept in memory only, so a new leader starts without it. */
export interface ItemProgress {
  /** Id of the last event of its stream that was received; 0 for none. */
  lastEventId: number;
  /** Data of the events received so far. */
  events: string[];
  /** Number of failed attempts. */
  failures: number;
  /** Earliest start of the next attempt: monotonic time, ms. */
  notBefore: number;
  /** Key of the endpoint of the last attempt. The next attempt prefers another endpoint. */
  avoid: string;
}

/** A job whose items this node runs as the leader of its shard. */
export interface OpenJob {
  readonly id: string;
  readonly replica: ShardReplica;
  /** Epoch of the shard's view in which this node leads it. */
  epoch: number;
  /** Indexes of the items to be started, in the order of their start. */
  ready: number[];
  /** Indexes of items in backoff. */
  delayed: number[];
  readonly progress: Map<number, ItemProgress>;
  /**
   * Indexes of the running items, each with its response once that has begun. An item is running from the selection of
   * its endpoint until its result is put.
   */
  readonly running: Map<number, HttpResponse | undefined>;
  /** When this node stopped leading the shard: monotonic time, ms; Infinity while it leads. */
  leadershipLostAt: number;
}

/** The progress of an item, which is created if there is none. */
export function progressOf(open: OpenJob, item: number): ItemProgress {
  const progress = open.progress.get(item) ?? { lastEventId: 0, events: [], failures: 0, notBefore: 0, avoid: "" };
  open.progress.set(item, progress);
  return progress;
}
