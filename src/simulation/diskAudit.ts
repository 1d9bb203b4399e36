import { CheckpointedLog } from "../runtime/checkpointedLog";
import { ShardReplica } from "../shard/shardReplica";
import { ShardView } from "../controlState/shardView";
import { History, LogPosition } from "../tools/history";
import { SimDisk } from "./simDisk";

const CHECKPOINT_FILE_COUNT = 2;

/** What the audit reads from the fleet. */
export interface AuditedFleet {
  /** Wall time, in ms since 1970. */
  wallMs(): number;
  readonly disks: ReadonlyMap<string, SimDisk>;
  /** Name of the process with a member's disk, by member id. A member whose disk was wiped is absent. */
  readonly storeNameById: ReadonlyMap<string, string>;
  /** Committed view of each shard. */
  views(): Record<string, ShardView>;
  replicasOf(name: string): ShardReplica[];
}
interface LogRecord {
  tag: string;
  entry?: LogPosition;
}
interface SavedShard {
  lastEpoch: number;
  seq: number;
}

const isAfter = (left: LogPosition, right: LogPosition): boolean =>
  left.epoch > right.epoch || (left.epoch === right.epoch && left.seq > right.seq);

/**
 * Records in the history what the leader of each shard acknowledged and what the disk of each member holds. From this the
 * checker sees whether every member of every committed view has all acknowledged entries on its disk.
 */
export class DiskAudit {
  private readonly acknowledged = new Map<number, LogPosition>();
  constructor(private readonly fleet: AuditedFleet) {}

  /** Remembers the last entry acknowledged by each shard leader on the node. */
  recordAcknowledged(name: string): void {
    for (const replica of this.fleet.replicasOf(name)) {
      if (replica.role !== "lead") continue;
      const known = this.acknowledged.get(replica.shard);
      const last = { epoch: replica.appliedEpoch, seq: replica.appliedSeq };
      if (!known || isAfter(last, known)) this.acknowledged.set(replica.shard, last);
    }
  }
  /** Adds to the history, for each member of each view, the last entry on its disk and the last one acknowledged. */
  recordDisks(history: History): void {
    for (const view of Object.values(this.fleet.views()))
      for (const id of view.members) {
        const name = this.fleet.storeNameById.get(id);
        const acknowledged = this.acknowledged.get(view.shard);
        if (!name || !acknowledged) continue;
        history.add({
          tag: "onDisk",
          at: this.fleet.wallMs(),
          shard: view.shard,
          epoch: view.epoch,
          member: name,
          stands: this.lastEntryOnDisk(name, view.shard),
          acknowledged,
        });
      }
  }

  private lastEntryOnDisk(name: string, shard: number): LogPosition {
    const files = this.fleet.disks.get(name)!.under(`data/${name}/shard-${shard}`);
    const { state, records } = CheckpointedLog.inspect(
      (file) => files.get(file),
      [...files.keys()],
      CHECKPOINT_FILE_COUNT,
    );
    for (const record of records.reverse()) {
      const { tag, entry } = JSON.parse(record.toString("utf8")) as LogRecord;
      if (tag === "entry" && entry) return { epoch: entry.epoch, seq: entry.seq };
    }
    const saved = state ? (JSON.parse(state.toString("utf8")) as SavedShard) : { lastEpoch: 0, seq: 0 };
    return { epoch: saved.lastEpoch, seq: saved.seq };
  }
}
