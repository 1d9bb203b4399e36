/** Types that the shard layer exports to other layers: the objects that shards store, and the operations on them. */
export type { BatchItem, BatchItemState, BatchJob, BatchJobSpec, ItemOutcome, ItemRequest } from "./state/batchJob";
export type { Cause, LedgerEntry } from "../common/ledgerEntry";
export type { LiveRequest, LiveRequestSpec, LiveRequestState, StreamChunk } from "./state/liveRequest";
export type { OperationOf, Put, PutOutcome, ShardOperation } from "./state/operations";
