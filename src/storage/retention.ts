import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { ShardClient } from "./shardClient";

/** Kinds of sealed objects, each with the retention setting that limits its age. */
const RETENTION_SETTINGS = [
  ["works", "requestsMs"],
  ["lots", "lotsMs"],
  ["ledger", "ledgerMs"],
] as const;

/** Time-out of the put of a trim, ms. After a time-out the next repair pass tries again. */
const TRIM_PUT_TIMEOUT_MS = 2000;

/**
 * Removes sealed objects that are older than the configured retention. Each removal is a put, which all replicas apply
 * and the ledger records.
 */
export class Retention {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly shardClient: ShardClient,
  ) {}

  /** Trims the expired segments of a shard. The replica must lead the shard. */
  *trim(replica: ShardReplica): Task<void> {
    const configuration = this.node.snapshot().control?.manifest;
    for (const [kind, setting] of RETENTION_SETTINGS) {
      const maxAgeMs = configuration?.doc.retention?.[setting];
      if (maxAgeMs === undefined) continue;
      const cutoff = this.env.wallClockMs() - maxAgeMs;
      const below = replica.segments.firstSegmentSince(kind, cutoff);
      const trimmed = replica.data.trimmedCounts[kind];
      if (below <= trimmed) continue;
      const newest = new Date(cutoff).toISOString();
      const detail = `trimmed ${kind} segments ${trimmed} to ${below - 1}: nothing in them is newer than ${newest}`;
      yield* this.shardClient.put(
        replica.shard,
        `trim-${replica.shard}-${kind}-${below}`,
        [{ op: "trim", kind, below, detail }],
        { manifest: configuration!.version, note: `retention ${setting} ${maxAgeMs}` },
        TRIM_PUT_TIMEOUT_MS,
      );
    }
  }
}
