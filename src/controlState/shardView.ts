/** Membership of a shard between two view changes (virtual synchrony). */
export interface ShardView {
  /** Number of the shard. */
  shard: number;
  /** Number of the view, which increases with each view of the shard. */
  epoch: number;
  /** Ids of the storage nodes that hold a replica; a put is acknowledged once all of them have synced it. */
  members: string[];
  /** Id of the leader; one of the members. */
  lead: string;
}
