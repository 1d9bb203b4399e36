import { CheckpointedLog } from "../runtime/checkpointedLog";
import { ShardReplica } from "../shard/shardReplica";
import { ShardView } from "../controlState/shardView";
import { History, LogPosition } from "../tools/history";
import { SimDisk } from "./simDisk";

const SLOT_COUNT = 2;

/** What the audit needs to know of the fleet. */
export interface AuditedFleet {
  wall(): number;
  readonly disks: ReadonlyMap<string, SimDisk>;
  /** Name of the process that holds a member's disk; undefined once that disk was taken from it. */
  readonly storeNameById: ReadonlyMap<string, string>;
  /** The committed view of each shard. */
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
 * Checks that every member of every committed view holds on its disk what the shard's leader has acknowledged.
 *
 * @example
 * audit.noteAcknowledged("store-1");
 * audit.recordDisks(history);
 */
export class DiskAudit {
  private readonly acknowledged = new Map<number, LogPosition>();
  constructor(private readonly fleet: AuditedFleet) {}

  /** Remembers the last entry that the leaders on a node have acknowledged. @example audit.noteAcknowledged("store-1"); */
  noteAcknowledged(name: string): void {
    for (const replica of this.fleet.replicasOf(name)) {
      if (replica.role !== "lead") continue;
      const known = this.acknowledged.get(replica.shard);
      const last = { epoch: replica.appliedEpoch, seq: replica.appliedSeq };
      if (!known || isAfter(last, known)) this.acknowledged.set(replica.shard, last);
    }
  }
  /** Records in the history how far each member's disk goes. @example audit.recordDisks(history); */
  recordDisks(history: History): void {
    for (const view of Object.values(this.fleet.views()))
      for (const id of view.members) {
        const name = this.fleet.storeNameById.get(id);
        const acknowledged = this.acknowledged.get(view.shard);
        if (!name || !acknowledged) continue;
        history.add({
          tag: "onDisk",
          at: this.fleet.wall(),
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
    const { state, records } = CheckpointedLog.inspect((file) => files.get(file), [...files.keys()], SLOT_COUNT);
    for (const record of records.reverse()) {
      const { tag, entry } = JSON.parse(record.toString("utf8")) as LogRecord;
      if (tag === "entry" && entry) return { epoch: entry.epoch, seq: entry.seq };
    }
    const saved = state ? (JSON.parse(state.toString("utf8")) as SavedShard) : { lastEpoch: 0, seq: 0 };
    return { epoch: saved.lastEpoch, seq: saved.seq };
  }
}
