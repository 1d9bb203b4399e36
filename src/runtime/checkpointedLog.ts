import { Fault, Result } from "../common/fault";
import { Task } from "./csp";
import { Environment } from "./env";
import { decodeFrame, decodeFrames, encodeFrame, scanLog } from "./recordFrames";

/** The content of a log when it is opened. */
export interface RecoveredLog {
  /** The state in the newest checkpoint; undefined before the first checkpoint. */
  readonly state: unknown;
  /** The records after the checkpoint, oldest first. */
  readonly records: unknown[];
}

/** The undecoded content of a log, as read by `CheckpointedLog.inspect`. */
export interface InspectedLog {
  readonly state: Buffer | undefined;
  readonly records: Buffer[];
}

interface Checkpoint {
  readonly generation: number;
  readonly state: unknown;
}

/** The first four bytes of log records and checkpoints by format: "PBRE" and "PBS1" in format 1, "PBR2" and "PBS2" in 2. */
const MAGICS: Readonly<Record<number, { readonly record: number; readonly checkpoint: number }>> = {
  1: { record: 0x50425245, checkpoint: 0x50425331 },
  2: { record: 0x50425232, checkpoint: 0x50425332 },
};
const MAGIC_BYTES = 4;
/** The first bytes of the magics of all formats. */
const MAGIC_PREFIXES = ["PBR", "PBS"];
const CHECKPOINT_FILES = ["slot-a", "slot-b"];
const LOG_PREFIX = "log-";

const generationOf = (logFile: string): number => +logFile.slice(LOG_PREFIX.length);

/** Returns the generations of the log files among these names, lowest first. */
const logGenerations = (names: readonly string[]): number[] =>
  names
    .filter((name) => /^log-\d+$/.test(name))
    .map(generationOf)
    .sort((left, right) => left - right);

/**
 * State on disk as a write-ahead log with checkpoints. Generation n consists of checkpoint n and of log n, which holds
 * the records after it; generation 0 has no checkpoint. Checkpoints are written alternately to two files, so that a torn
 * checkpoint loses nothing: log n − 1 is kept until checkpoint n + 1 is written. The files in the folder are `slot-a`
 * and `slot-b` for the checkpoints, and `log-<n>`.
 *
 * @example
 * const log = new CheckpointedLog(env, "data/shard-3");
 * const opened = yield* log.open();
 * yield* log.append([{ seq: 1 }]);
 * yield* log.checkpoint({ everything: true });
 */
export class CheckpointedLog {
  /** The generation of the current log. */
  private generation = 0;
  /** Whether the current log file exists and its directory entry is synced. */
  private hasLogFile = false;
  /** The size of the current log file in bytes. */
  private logEnd = 0;
  /** Whether a write has failed. The content on disk is then uncertain, so only `rewrite` writes more. */
  get hasFailed(): boolean {
    return this.failed;
  }
  private failed = false;
  /** The number of appends, each of which syncs the file. */
  syncCount = 0;
  /** The number of bytes that this process has appended since the last checkpoint. */
  logBytes = 0;

  /** @param format the format of the files; `open` fails on files of another format */
  constructor(
    private readonly env: Environment,
    private readonly folder: string,
    private readonly format = 1,
  ) {}

  /**
   * Reads the files as `open` would, but does not verify or change them.
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
   * Reads the newest undamaged checkpoint and all records after it. Fault: "disk", also if files are damaged, missing or
   * of another format; such files are not changed.
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

  /** Rejects further writes until a rewrite, because a file that belongs to the log could not be written. */
  markFailed(): void {
    this.failed = true;
  }

  /** Tests whether the disk accepts writes and syncs. */
  probe(): Task<Result<true>> {
    return this.env.disk.write(`${this.folder}/probe`, Buffer.from("probe"));
  }

  /** Appends records; they are durable once this returns ok. Fault: "disk". */
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
    const written = this.hasLogFile ? yield* disk.append(file, frames) : yield* disk.write(file, frames);
    this.hasLogFile = true;
    this.logBytes += frames.length;
    this.logEnd += frames.length;
    this.syncCount += 1;
    if (!written.ok) this.failed = true;
    this.env.faultPoint(12);
    return written;
  }

  /** Writes a checkpoint of the state and starts the next log. Fault: "disk". */
  *checkpoint(state: unknown): Task<Result<true>> {
    if (this.hasFailed) return Fault.fail("disk", "rotate", this.env.name, "an earlier write failed");
    const started = yield* this.startGeneration(state);
    if (!started.ok) this.failed = true;
    return started;
  }

  /**
   * Takes the disk into use again after a failed write. The state is written to new files for both checkpoints, because
   * the files of a failed write have unknown content; the logs before them are removed. Fault: "disk"; then nothing is
   * accepted but another rewrite.
   *
   * @param state all that must not be lost, which the caller has in memory or has read and checked
   */
  *rewrite(state: unknown): Task<Result<true>> {
    const probed = yield* this.probe();
    if (!probed.ok) return probed;
    for (let written = 0; written < CHECKPOINT_FILES.length; written += 1) {
      const started = yield* this.startGeneration(state);
      if (!started.ok) return started;
    }
    this.failed = false;
    return Fault.ok(true as const);
  }

  private *startGeneration(state: unknown): Task<Result<true>> {
    const next = this.generation + 1;
    const body = Buffer.from(JSON.stringify(state), "utf8");
    const frame = encodeFrame(MAGICS[this.format].checkpoint, next, body);
    const written = yield* this.env.disk.write(this.checkpointFile(next), frame);
    this.env.faultPoint(13);
    const started = written.ok ? yield* this.env.disk.write(this.logFile(next), Buffer.alloc(0)) : written;
    if (!started.ok) return started;
    const obsolete = this.generation - 1;
    this.logBytes = 0;
    this.logEnd = 0;
    this.generation = next;
    this.hasLogFile = true;
    this.env.faultPoint(14);
    if (obsolete >= 0) yield* this.env.disk.remove(this.logFile(obsolete));
    return Fault.ok(true as const);
  }

  /** Returns the newest undamaged checkpoint, and adds damaged checkpoint files to `damaged`. */
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

  /**
   * Returns the records of one log. Truncates a torn tail and syncs the file, since a process that was killed may not
   * have synced it.
   */
  private *openLog(file: string): Task<Result<unknown[]>> {
    const { disk } = this.env;
    const data = yield* disk.read(file);
    if (!data.ok) return data;
    const bytes = data.value ?? Buffer.alloc(0);
    const otherFormat = this.checkFormat(file, bytes);
    if (otherFormat) return otherFormat;
    if (this.hasForeignStart(bytes)) return this.openFault(`${file} is damaged at byte 0, or not ours`);
    const { bodies, end, damaged } = scanLog(MAGICS[this.format].record, bytes);
    if (damaged) return this.openFault(`${file} is damaged at byte ${end}`);
    const isTorn = end < bytes.length;
    if (isTorn) this.env.log(1409, { file, bytes: bytes.length - end });
    const synced = isTorn ? yield* disk.truncate(file, end) : yield* disk.syncFile(file);
    if (!synced.ok) return synced;
    this.logEnd = end;
    return Fault.ok(bodies.map((body): unknown => JSON.parse(body.toString("utf8"))));
  }

  /** Returns a fault if a checkpoint or a log is missing between generation `base` and the newest log. */
  private checkComplete(base: number, logs: readonly number[], damaged: readonly string[]): Result<never> | undefined {
    const newest = logs.at(-1) ?? 0;
    if (base === 0 && damaged.length > 0 && !logs.includes(0))
      return this.openFault(`no readable slot: ${damaged.join(", ")}`);
    for (let generation = Math.max(1, base); generation < newest; generation += 1)
      if (!logs.includes(generation)) return this.openFault(`${this.logFile(generation)} is missing`);
    if (base === 0 && newest > 0 && !logs.includes(0) && !logs.includes(1))
      return this.openFault(`no slot before ${this.logFile(newest)}`);
    return undefined;
  }

  /** Returns a fault if a file has another format; such a file is never truncated or overwritten. */
  private checkFormat(file: string, data: Buffer): Result<never> | undefined {
    if (data.length < MAGIC_BYTES) return undefined;
    const text = data.toString("latin1", 0, MAGIC_BYTES);
    if (!MAGIC_PREFIXES.some((prefix) => text.startsWith(prefix))) return undefined;
    const magic = data.readUInt32BE(0);
    const matches = (each: (typeof MAGICS)[number]): boolean => each.record === magic || each.checkpoint === magic;
    if (matches(MAGICS[this.format])) return undefined;
    const known = Object.entries(MAGICS).find(([, magics]) => matches(magics));
    const format = known ? known[0] : `unknown (${JSON.stringify(text)})`;
    return this.openFault(`${file} has format ${format}; this version reads format ${this.format}`);
  }

  /**
   * Returns whether the first bytes of a log cannot come from a torn write of this class, which leaves only bytes of the
   * magic or zeros there.
   */
  private hasForeignStart(data: Buffer): boolean {
    const magic = Buffer.alloc(MAGIC_BYTES);
    magic.writeUInt32BE(MAGICS[this.format].record);
    return [...data.subarray(0, MAGIC_BYTES)].some((byte, index) => byte !== 0 && byte !== magic[index]);
  }

  private openFault(detail: string): Result<never> {
    return Fault.fail("disk", "open", this.env.name, detail);
  }

  private checkpointFile(generation: number): string {
    return `${this.folder}/${CHECKPOINT_FILES[generation % 2]}`;
  }

  private logFile(generation: number): string {
    return `${this.folder}/${LOG_PREFIX}${generation}`;
  }
}
