/** Bodies of a node's responses to operators, described in docs/http.md. The field names are those on the wire. */

/** An error response (`application/problem+json`). */
export interface ProblemBody {
  code?: string;
  detail?: string;
  step?: string;
  member?: string;
  /** JSON pointers to the errors in the input. */
  paths?: string[];
  changeId?: string;
}
/** The outcome of a change. */
export interface ChangeBody {
  version: number;
  changeId: string;
}
/** A calendar entry: a planned operation and its state. */
export interface CalendarEntryBody {
  id: string;
  /** Milliseconds since 1970. */
  due: number;
  move: { kind: string };
  /** Its state: `pencilled` (scheduled), `started`, `finished`, `failed` or `removed`. */
  fate: string;
  detail?: string;
}
export interface LedgerEntryBody {
  stamp: string;
  subject: string;
  decision: string;
  cause: Record<string, unknown>;
}
/** Ledger entries on one subject, and the entries of their causes. */
export interface WhyBody {
  entries: LedgerEntryBody[];
  because: LedgerEntryBody[];
}
/** A shard view: the members of the shard, and which of them is the leader. */
export interface ShardViewBody {
  shard: number;
  epoch: number;
  members: string[];
  lead: string;
}
/** The cluster as one node knows it. */
export interface MembersBody {
  members: { id: string; program: string; district: string; address: string; state: string }[];
  /** Endpoints: the back-end processes that requests are forwarded to. */
  replicas: {
    id: string;
    pool: string;
    district: string;
    address: string;
    active: number;
    capacity: number;
    version: string;
  }[];
  group: string | null;
  /** Index in the control log of the node's control snapshot. */
  frame: number;
  /** Version of its configuration. */
  manifest: number;
  views: ShardViewBody[];
  drained: string[];
  retiring: string[];
}
/** The voters of the control group, as its leader sees them. */
export interface VotersBody {
  leader: string;
  voters: string[];
  /** Voters that can be reached and can write. */
  canWrite: string[];
  /** Number of voters that must be able to write. */
  needed: number;
}
/** The state of one shard replica. */
export interface ShardReplicaBody {
  shard: number;
  epoch: number;
  role: string;
  seq: number;
  lots: number;
  failing: string[];
}
/** The shard replicas and batch jobs of every storage node. */
export interface ShardsBody {
  stores: { store: string; shards: ShardReplicaBody[]; lots: Record<string, unknown>[] }[];
}
