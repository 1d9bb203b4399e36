/** Data that a replica writes to disk: snapshots, and the log records that follow the last snapshot. */
import type { ShardView } from "../../controlState/shardView";
import type { SerializedShard } from "../state/shardData";
import type { ShardLogEntry } from "./shardLog";

/** The state of a replica up to a position of the log. Stored and sent; the field names never change. */
export interface ReplicaSnapshot {
  /** Position of the last entry applied. */
  seq: number;
  /** Epoch of that entry. */
  lastEpoch: number;
  /** Epochs below this one are sealed: the replica rejects their entries. */
  sealed: number;
  view: ShardView | null;
  data: SerializedShard;
}

/** A record of the log file: an entry, a seal for the next epoch, or a new view. Stored. */
export type LogRecord =
  { tag: "entry"; entry: ShardLogEntry } | { tag: "seal"; epoch: number } | { tag: "view"; view: ShardView };
