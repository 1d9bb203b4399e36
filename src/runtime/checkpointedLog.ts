import { Fault, Result } from "../common/fault";
import { Task } from "./csp";
import { Environment } from "./env";
import { decodeFrame, decodeFrames, encodeFrame, scanLog } from "./recordFrames";

/** What a start finds. */
export interface RecoveredLog {
  /** The newest checkpoint; undefined before the first. */
  readonly state: unknown;
  /** The records since, oldest first. */
  readonly records: unknown[];
}

/** What a disk holds, as bytes. */
export interface InspectedLog {
  readonly state: Buffer | undefined;
  readonly records: Buffer[];
}

interface Checkpoint {
  readonly generation: number;
  readonly state: unknown;
}

/** First four bytes of the records of a log and of a checkpoint, by format: "PBRE" and "PBS1", "PBR2" and "PBS2". */
const MAGICS: Readonly<Record<number, { readonly record: number; readonly checkpoint: number }>> = {
  1: { record: 0x50425245, checkpoint: 0x50425331 },
  2: { record: 0x50425232, checkpoint: 0x50425332 },
};
const MAGIC_BYTES = 4;
/** What the magics of all formats begin with. */
const MAGIC_PREFIXES = ["PBR", "PBS"];
const CHECKPOINT_FILES = ["slot-a", "slot-b"];
const LOG_PREFIX = "log-";

const generationOf = (logFile: string): number => +logFile.slice(LOG_PREFIX.length);

/** Generations of the logs among these names, lowest first. */
const logGenerations = (names: readonly string[]): number[] =>
  names
    .filter((name) => /^log-\d+$/.test(name))
    .map(generationOf)
    .sort((left, right) => left - right);

/**
 * State on disk as a write-ahead log with checkpoints. Checkpoints go in turn to two files, so that a torn one costs
 * nothing: checkpoint n comes before log n, and log n − 1 stays until checkpoint n + 1 is written. The files of a folder
 * are `slot-a` and `slot-b` for the checkpoints, and `log-<n>`.
 *
 * @example
 * const log = new CheckpointedLog(env, "data/shard-3");
 * const opened = yield* log.open();
 * yield* log.append([{ seq: 1 }]);
 * yield* log.checkpoint({ everything: true });
 */
export class CheckpointedLog {
  /** Number of the current log. */
  private generation = 0;
  /** Whether the file of the current log exists, with its name synced. */
  private hasLogFile = false;
  /** Size of the current log's file, bytes. */
  private logEnd = 0;
  /** A write has failed: what is on disk isn't certain, so nothing more is written. */
  hasFailed = false;
  /** Appends that were synced. */
  syncCount = 0;
  /** Appended by this process since the last checkpoint, bytes. */
  logBytes = 0;

  /** @param format number of the format of the files; a file of another format is refused */
  constructor(
    private readonly env: Environment,
    private readonly folder: string,
    private readonly format = 1,
  ) {}

  /**
   * What the files hold, as a start would find it, without touching them.
   * @example CheckpointedLog.inspect((name) => files.get(name), names, 2)
   */
  static inspect(read: (name: string) => Buffer | undefined, names: string[], format = 1): InspectedLog {
    const magics = MAGICS[format];
    const contentOf = (name: string): Buffer => read(name) ?? Buffer.alloc(0);
    const checkpoints = names
      .filter((name) => CHECKPOINT_FILES.includes(name))
      .flatMap((name) => decodeFrame(magics.checkpoint, contentOf(name)) ?? [])
      .sort((left, right) => right.number - left.number);
    const newest = checkpoints.at(0);
    const records = logGenerations(names)
      .filter((generation) => generation >= (newest?.number ?? 0))
      .flatMap((generation) => [...decodeFrames(magics.record, contentOf(`${LOG_PREFIX}${generation}`))]);
    return { state: newest?.body, records: records.map((record) => record.body) };
  }

  /**
   * The newest readable checkpoint and every record since. Faults: disk, also where files are damaged, missing or of
   * another format; they are left as they are.
   * @example yield* log.open()
   */
  *open(): Task<Result<RecoveredLog>> {
    const names = yield* this.env.disk.list(this.folder);
    if (!names.ok) return names;
    if (names.value.length > 0) {
      const synced = yield* this.env.disk.syncFolder(this.folder);
      if (!synced.ok) return synced;
    }
    const logs = logGenerations(names.value);
    const damaged: string[] = [];
    const newest = yield* this.openCheckpoints(names.value, damaged);
    if (!newest.ok) return newest;
    const base = newest.value ?? { generation: 0, state: undefined };
    const gap = this.checkComplete(base.generation, logs, damaged);
    if (gap) return gap;
    if (damaged.length > 0) this.env.log(1410, { files: damaged });
    const records: unknown[] = [];
    this.logEnd = 0;
    for (const generation of logs.filter((each) => each >= base.generation)) {
      const read = yield* this.openLog(this.logFile(generation));
      if (!read.ok) return read;
      records.push(...read.value);
    }
    this.generation = Math.max(base.generation, logs.at(-1) ?? 0);
    this.hasLogFile = logs.includes(this.generation);
    if (!this.hasLogFile) this.logEnd = 0;
    return Fault.ok({ state: base.state, records });
  }

  /** Whether the disk takes a write now. @example const probed = yield* log.probe(); */
  probe(): Task<Result<true>> {
    return this.env.disk.write(`${this.folder}/probe`, Buffer.from("probe"));
  }

  /** Appends records; they are durable once this returns ok. Fault: disk. @example yield* log.append([record]) */
  *append(records: unknown[]): Task<Result<true>> {
    if (this.hasFailed) return Fault.fail("disk", "append", this.env.name, "an earlier write failed");
    const { record: magic } = MAGICS[this.format];
    const number = this.logEnd + 1;
    const frames = Buffer.concat(
      records.map((record) => encodeFrame(magic, number, Buffer.from(JSON.stringify(record), "utf8"))),
    );
    this.env.faultPoint(11);
    const file = this.logFile(this.generation);
    const { disk } = this.env;
    const done = this.hasLogFile ? yield* disk.append(file, frames) : yield* disk.write(file, frames);
    this.hasLogFile = true;
    this.logBytes += frames.length;
    this.logEnd += frames.length;
    this.syncCount += 1;
    if (!done.ok) this.hasFailed = true;
    this.env.faultPoint(12);
    return done;
  }

  /** Writes a checkpoint and starts the next log. Fault: disk. @example yield* log.checkpoint(state) */
  *checkpoint(state: unknown): Task<Result<true>> {
    if (this.hasFailed) return Fault.fail("disk", "rotate", this.env.name, "an earlier write failed");
    const next = this.generation + 1;
    const body = Buffer.from(JSON.stringify(state), "utf8");
    const frame = encodeFrame(MAGICS[this.format].checkpoint, next, body);
    const written = yield* this.env.disk.write(this.checkpointFile(next), frame);
    this.env.faultPoint(13);
    const started = written.ok ? yield* this.env.disk.write(this.logFile(next), Buffer.alloc(0)) : written;
    if (!started.ok) {
      this.hasFailed = true;
      return started;
    }
    const superseded = this.generation - 1;
    this.logBytes = 0;
    this.logEnd = 0;
    this.generation = next;
    this.hasLogFile = true;
    this.env.faultPoint(14);
    if (superseded >= 0) yield* this.env.disk.remove(this.logFile(superseded));
    return Fault.ok(true as const);
  }

  /** The newest readable checkpoint; adds the files that aren't readable to `damaged`. */
  private *openCheckpoints(names: readonly string[], damaged: string[]): Task<Result<Checkpoint | undefined>> {
    const checkpoints: Checkpoint[] = [];
    for (const name of CHECKPOINT_FILES.filter((each) => names.includes(each))) {
      const file = `${this.folder}/${name}`;
      const data = yield* this.env.disk.read(file);
      if (!data.ok) return data;
      const otherFormat = data.value && this.checkFormat(file, data.value);
      if (otherFormat) return otherFormat;
      const frame = data.value && decodeFrame(MAGICS[this.format].checkpoint, data.value);
      if (frame) checkpoints.push({ generation: frame.number, state: JSON.parse(frame.body.toString("utf8")) });
      else damaged.push(file);
    }
    checkpoints.sort((left, right) => right.generation - left.generation);
    return Fault.ok(checkpoints.at(0));
  }

  /** The records of one log; a torn tail is cut off, and the rest synced: a killed process may not have done that. */
  private *openLog(file: string): Task<Result<unknown[]>> {
    const { disk } = this.env;
    const data = yield* disk.read(file);
    if (!data.ok) return data;
    const bytes = data.value ?? Buffer.alloc(0);
    const otherFormat = this.checkFormat(file, bytes);
    if (otherFormat) return otherFormat;
    if (this.startsOtherwise(bytes)) return this.refuse(`${file} is damaged at byte 0, or not ours`);
    const { bodies, end, damaged } = scanLog(MAGICS[this.format].record, bytes);
    if (damaged) return this.refuse(`${file} is damaged at byte ${end}`);
    const isTorn = end < bytes.length;
    if (isTorn) this.env.log(1409, { file, bytes: bytes.length - end });
    const synced = isTorn ? yield* disk.truncate(file, end) : yield* disk.syncFile(file);
    if (!synced.ok) return synced;
    this.logEnd = end;
    return Fault.ok(bodies.map((body): unknown => JSON.parse(body.toString("utf8"))));
  }

  /** A fault if a checkpoint or a log is missing between the base and the newest log. */
  private checkComplete(base: number, logs: readonly number[], damaged: readonly string[]): Result<never> | undefined {
    const newest = logs.at(-1) ?? 0;
    if (base === 0 && damaged.length > 0 && !logs.includes(0))
      return this.refuse(`no readable slot: ${damaged.join(", ")}`);
    for (let generation = Math.max(1, base); generation < newest; generation += 1)
      if (!logs.includes(generation)) return this.refuse(`${this.logFile(generation)} is missing`);
    if (base === 0 && newest > 0 && !logs.includes(0) && !logs.includes(1))
      return this.refuse(`no slot before ${this.logFile(newest)}`);
    return undefined;
  }

  /** A fault for a file of another format, which is never cut or overwritten. */
  private checkFormat(file: string, data: Buffer): Result<never> | undefined {
    if (data.length < MAGIC_BYTES) return undefined;
    const text = data.toString("latin1", 0, MAGIC_BYTES);
    if (!MAGIC_PREFIXES.some((prefix) => text.startsWith(prefix))) return undefined;
    const magic = data.readUInt32BE(0);
    const matches = (each: (typeof MAGICS)[number]): boolean => each.record === magic || each.checkpoint === magic;
    if (matches(MAGICS[this.format])) return undefined;
    const known = Object.entries(MAGICS).find(([, magics]) => matches(magics));
    const format = known ? known[0] : `unknown (${JSON.stringify(text)})`;
    return this.refuse(`${file} has format ${format}; this version reads format ${this.format}`);
  }

  /** Whether a log begins with what no torn write of ours can leave there: neither our bytes nor zeros. */
  private startsOtherwise(data: Buffer): boolean {
    const ours = Buffer.alloc(MAGIC_BYTES);
    ours.writeUInt32BE(MAGICS[this.format].record);
    return [...data.subarray(0, MAGIC_BYTES)].some((byte, index) => byte !== 0 && byte !== ours[index]);
  }

  private refuse(detail: string): Result<never> {
    return Fault.fail("disk", "open", this.env.name, detail);
  }

  private checkpointFile(generation: number): string {
    return `${this.folder}/${CHECKPOINT_FILES[generation % 2]}`;
  }

  private logFile(generation: number): string {
    return `${this.folder}/${LOG_PREFIX}${generation}`;
  }
}
