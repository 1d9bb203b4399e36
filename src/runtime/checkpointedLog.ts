import { crc32 } from "zlib";
import { Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { Env } from "./env";

type Opened = { state: unknown; records: unknown[] };
/** By the format of what is kept: "PBRE" and "PBS1" of the first, "PBR2" and "PBS2" of the second. */
const magics: Record<number, { record: number; slot: number }> = {
  1: { record: 0x50425245, slot: 0x50425331 },
  2: { record: 0x50425232, slot: 0x50425332 },
};
const checksum = crc32 as (data: Buffer) => number;

function frame(magic: number, number: number, body: Buffer): Buffer {
  const head = Buffer.alloc(16);
  head.writeUInt32BE(magic, 0);
  head.writeUInt32BE(body.length, 4);
  head.writeUInt32BE(number, 8);
  head.writeUInt32BE(checksum(Buffer.concat([head.subarray(0, 12), body])) >>> 0, 12);
  return Buffer.concat([head, body]);
}
function unframe(magic: number, data: Buffer, at: number): { number: number; body: Buffer; end: number } | undefined {
  if (at + 16 > data.length || data.readUInt32BE(at) !== magic) return undefined;
  const end = at + 16 + data.readUInt32BE(at + 4);
  if (end > data.length) return undefined;
  const body = data.subarray(at + 16, end);
  if (checksum(Buffer.concat([data.subarray(at, at + 12), body])) >>> 0 !== data.readUInt32BE(at + 12))
    return undefined;
  return { number: data.readUInt32BE(at + 8), body, end };
}

function* frames(magic: number, bytes: Buffer): Generator<{ number: number; body: Buffer; end: number }> {
  for (let read = unframe(magic, bytes, 0); read; read = unframe(magic, bytes, read.end)) yield read;
}

type Scanned = { bodies: Buffer[]; end: number; damaged: boolean };
/**
 * The whole records from the start of a log, where they end, and whether what follows is damage. Each record carries the
 * place in the file at which its append began, plus one. Appends are synced one by one, so only the last one can be torn,
 * anywhere in it: a whole record of a later append behind the end means that something synced was lost. Records of former
 * versions carry nothing; one of them behind the end is damage.
 */
function scan(magic: number, bytes: Buffer): Scanned {
  const bodies: Buffer[] = [];
  let end = 0;
  for (const read of frames(magic, bytes)) {
    bodies.push(read.body);
    end = read.end;
  }
  let damaged = false;
  for (let at = end + 1; at + 16 <= bytes.length && !damaged; at += 1) {
    const later = unframe(magic, bytes, at);
    damaged = later !== undefined && (later.number === 0 || later.number - 1 > end);
  }
  return { bodies, end, damaged };
}

/**
 * State on disk: two slots written in turn and a short log between. Slot n stands before log n;
 * log n−1 is kept until slot n+1 is down, so that a damaged slot costs nothing.
 *
 * @example
 * const slots = new TwoSlots(env, "data/shard-3");
 * const opened = yield* slots.open();
 * yield* slots.append([{ seq: 1 }]);
 * yield* slots.rotate({ everything: true });
 */
export class CheckpointedLog {
  private generation = 0;
  private started = false; // whether the current log's file stands, with its folder synced
  hasFailed = false;
  syncCount = 0;
  logBytes = 0; // written by this process since the last slot
  private logEnd = 0; // of the current log's file
  constructor(
    private readonly env: Env,
    private readonly folder: string,
    private readonly format = 1,
  ) {}
  /** A file of another format is refused by name, never cut or overwritten. */
  private foreign(file: string, data: Buffer): Result<never> | undefined {
    const ours = magics[this.format];
    if (data.length < 4 || !["PBR", "PBS"].includes(data.toString("latin1", 0, 3))) return undefined;
    const magic = data.readUInt32BE(0);
    if (magic === ours.record || magic === ours.slot) return undefined;
    const known = Object.entries(magics).find(([, each]) => each.record === magic || each.slot === magic);
    const format = known ? known[0] : `unknown (${JSON.stringify(data.toString("latin1", 0, 4))})`;
    return this.refuse(`${file} has format ${format}; this version reads format ${this.format}`);
  }
  /** Whether a log begins with what no torn write of ours can leave there: neither our bytes nor none. */
  private startsOtherwise(data: Buffer): boolean {
    const ours = Buffer.alloc(4);
    ours.writeUInt32BE(magics[this.format].record);
    return [...data.subarray(0, 4)].some((byte, at) => byte !== 0 && byte !== ours[at]);
  }
  private refuse = (detail: string): Result<never> => Fault.fail("disk", "open", this.env.name, detail);
  private slotFile = (generation: number): string => `${this.folder}/slot-${generation % 2 === 0 ? "a" : "b"}`;
  private logFile = (generation: number): string => `${this.folder}/log-${generation}`;

  /** What a disk holds synced, as a start would find it, without touching it. @example TwoSlots.peek((name) => files.get(name), names, 2) */
  static inspect(
    read: (name: string) => Buffer | undefined,
    names: string[],
    format = 1,
  ): { state: Buffer | undefined; records: Buffer[] } {
    const slots = names.flatMap((name) => {
      const whole = ["slot-a", "slot-b"].includes(name)
        ? unframe(magics[format].slot, read(name) ?? Buffer.alloc(0), 0)
        : undefined;
      return whole ? [whole] : [];
    });
    slots.sort((left, right) => right.number - left.number);
    const base = slots[0]?.number ?? 0;
    const logs = names
      .filter((name) => /^log-\d+$/.test(name) && +name.slice(4) >= base)
      .sort((left, right) => +left.slice(4) - +right.slice(4));
    return {
      state: slots[0]?.body,
      records: logs.flatMap((name) =>
        [...frames(magics[format].record, read(name) ?? Buffer.alloc(0))].map((each) => each.body),
      ),
    };
  }
  /** What was last written: the newest whole slot and every record since. @example yield* slots.open() */
  *open(): Task<Result<Opened>> {
    const names = yield* this.env.disk.list(this.folder);
    if (!names.ok) return names;
    if (names.value.length > 0) {
      const synced = yield* this.env.disk.syncFolder(this.folder);
      if (!synced.ok) return synced;
    }
    const logs = names.value
      .filter((name) => /^log-\d+$/.test(name))
      .map((name) => +name.slice(4))
      .sort((left, right) => left - right);
    const slots: { generation: number; state: unknown }[] = [];
    const damaged: string[] = [];
    for (const name of ["slot-a", "slot-b"].filter((slot) => names.value.includes(slot))) {
      const data = yield* this.env.disk.read(`${this.folder}/${name}`);
      if (!data.ok) return data;
      const foreign = data.value && this.foreign(`${this.folder}/${name}`, data.value);
      if (foreign) return foreign;
      const read = data.value && unframe(magics[this.format].slot, data.value, 0);
      if (read) slots.push({ generation: read.number, state: JSON.parse(read.body.toString("utf8")) });
      else damaged.push(`${this.folder}/${name}`);
    }
    slots.sort((left, right) => right.generation - left.generation);
    const base = slots[0] ?? { generation: 0, state: undefined };
    const newestLog = logs[logs.length - 1] ?? 0;
    if (base.generation === 0 && damaged.length > 0 && !logs.includes(0))
      return this.refuse(`no readable slot: ${damaged.join(", ")}`);
    for (let generation = Math.max(1, base.generation); generation < newestLog; generation += 1)
      if (!logs.includes(generation)) return this.refuse(`${this.logFile(generation)} is missing`);
    if (base.generation === 0 && newestLog > 0 && !logs.includes(0) && !logs.includes(1))
      return this.refuse(`no slot before ${this.logFile(newestLog)}`);
    if (damaged.length > 0) this.env.log(1410, { files: damaged });
    const records: unknown[] = [];
    this.logEnd = 0;
    for (const generation of logs.filter((each) => each >= base.generation)) {
      const read = yield* this.openLog(this.logFile(generation));
      if (!read.ok) return read;
      records.push(...read.value);
    }
    this.generation = Math.max(base.generation, newestLog);
    this.started = logs.includes(this.generation);
    if (!this.started) this.logEnd = 0;
    return Fault.ok({ state: base.state, records });
  }
  /** The records of one log, its torn tail cut, and all of it synced: a process that was killed may have left it unsynced. */
  private *openLog(file: string): Task<Result<unknown[]>> {
    const data = yield* this.env.disk.read(file);
    if (!data.ok) return data;
    const bytes = data.value ?? Buffer.alloc(0);
    const foreign = this.foreign(file, bytes);
    if (foreign) return foreign;
    if (this.startsOtherwise(bytes)) return this.refuse(`${file} is damaged at byte 0, or not ours`);
    const { bodies, end, damaged } = scan(magics[this.format].record, bytes);
    if (damaged) return this.refuse(`${file} is damaged at byte ${end}`);
    if (end < bytes.length) this.env.log(1409, { file, bytes: bytes.length - end });
    const synced = end < bytes.length ? yield* this.env.disk.truncate(file, end) : yield* this.env.disk.syncFile(file);
    if (!synced.ok) return synced;
    this.logEnd = end;
    return Fault.ok(bodies.map((body): unknown => JSON.parse(body.toString("utf8"))));
  }

  /** Whether the disk takes a write now. @example const probed = yield* slots.probe(); */
  probe = (): Task<Result<true>> => this.env.disk.write(`${this.folder}/probe`, Buffer.from("probe"));
  /** On disk when this returns ok. @example yield* slots.append([record]) */
  *append(records: unknown[]): Task<Result<true>> {
    if (this.hasFailed) return Fault.fail("disk", "append", this.env.name, "an earlier write failed");
    const framed = Buffer.concat(
      records.map((record) =>
        frame(magics[this.format].record, this.logEnd + 1, Buffer.from(JSON.stringify(record), "utf8")),
      ),
    );
    this.env.point(11);
    const file = this.logFile(this.generation);
    const done = this.started ? yield* this.env.disk.append(file, framed) : yield* this.env.disk.write(file, framed);
    this.started = true;
    this.logBytes += framed.length;
    this.logEnd += framed.length;
    this.syncCount += 1;
    if (!done.ok) this.hasFailed = true;
    this.env.point(12);
    return done;
  }

  /** Folds everything into the other slot and starts the next log. @example yield* slots.rotate(state) */
  *checkpoint(state: unknown): Task<Result<true>> {
    if (this.hasFailed) return Fault.fail("disk", "rotate", this.env.name, "an earlier write failed");
    const next = this.generation + 1;
    const body = Buffer.from(JSON.stringify(state), "utf8");
    const written = yield* this.env.disk.write(this.slotFile(next), frame(magics[this.format].slot, next, body));
    this.env.point(13);
    const started: Result<true> = written.ok
      ? yield* this.env.disk.write(this.logFile(next), Buffer.alloc(0))
      : written;
    if (!started.ok) {
      this.hasFailed = true;
      return started;
    }
    const old = next - 2;
    this.logBytes = 0;
    this.logEnd = 0;
    this.generation = next;
    this.started = true;
    this.env.point(14);
    if (old >= 0) yield* this.env.disk.remove(this.logFile(old));
    return Fault.ok(true as const);
  }
}
