import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { ShardClient } from "./shardClient";

/** Which setting limits the age of which kind of sealed objects. */
const RETENTION_SETTINGS = [
  ["works", "requestsMs"],
  ["lots", "lotsMs"],
  ["ledger", "ledgerMs"],
] as const;

/** How long the put of a trim may take, ms; the next repair tries again. */
const TRIM_PUT_MS = 2000;

/**
 * Trims sealed objects that are older than the configuration's retention allows, by a decision in the ledger.
 *
 * @example
 * yield* retention.trim(replica);
 */
export class Retention {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly shardClient: ShardClient,
  ) {}

  /** Trims what a replica that leads its shard finds too old. */
  *trim(replica: ShardReplica): Task<void> {
    const configuration = this.node.snapshot().control?.manifest;
    for (const [kind, setting] of RETENTION_SETTINGS) {
      const maxAgeMs = configuration?.doc.retention?.[setting];
      if (maxAgeMs === undefined) continue;
      const before = this.env.wallClockMs() - maxAgeMs;
      const below = replica.segments.firstSegmentSince(kind, before);
      const trimmed = replica.data.trimmedCounts[kind];
      if (below <= trimmed) continue;
      const newest = new Date(before).toISOString();
      const detail = `trimmed ${kind} segments ${trimmed} to ${below - 1}: nothing in them is newer than ${newest}`;
      yield* this.shardClient.put(
        replica.shard,
        `trim-${replica.shard}-${kind}-${below}`,
        [{ op: "trim", kind, below, detail }],
        { manifest: configuration!.version, note: `retention ${setting} ${maxAgeMs}` },
        TRIM_PUT_MS,
      );
    }
  }
}
