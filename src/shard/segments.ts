import { crc32 } from "zlib";
import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Fault, Result } from "../common/fault";
import { Stamp } from "../common/stamp";
import { Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { IdTable } from "./idTable";
import type { LedgerEntry, BatchJob, LiveRequest } from "./shardState";

export type SegmentKind = "works" | "lots" | "ledger";
type ObjectOf = { works: LiveRequest; lots: BatchJob; ledger: LedgerEntry };
/** Objects that will not change any more, by a number that every copy gives them alike. */
export type PendingSegment = { kind: SegmentKind; number: number; objects: ObjectOf[SegmentKind][] };
/** What stays in memory, and on disk after the objects were trimmed: id digest, body digest, outcome. */
export type SegmentIndex = {
  kind: SegmentKind;
  number: number;
  sum: number;
  bytes: number;
  to: number; // ms; the newest stamp in it
  ids: [id: number, body: number, state: number][]; // works and lots
  first?: Stamp;
  last?: Stamp;
  subjects?: string; // ledger
};
export type SealedObjectLocation = {
  kind: SegmentKind;
  number: number;
  at: number;
  body: number;
  state: string;
  trimmed: boolean;
};
export type SegmentCounts = Record<SegmentKind, number>;
const kinds: SegmentKind[] = ["works", "lots", "ledger"];
const states = ["done", "failed", "unknown", "finished", "ended"];
const bodyMagic = 0x50425342; // "PBSB"
const indexMagic = 0x50425349; // "PBSI"
const format = 2;

const digestOf = (text: string): number => parseInt(Hash.text(text).slice(0, 13), 16);
const bodyDigest = (hash: string): number => parseInt(hash.slice(0, 13), 16) || 0;
function wrap(magic: number, body: Buffer): Buffer {
  const head = Buffer.alloc(16);
  head.writeUInt32BE(magic, 0);
  head.writeUInt32BE(format, 4);
  head.writeUInt32BE(body.length, 8);
  head.writeUInt32BE(crc32(body) >>> 0, 12);
  return Buffer.concat([head, body]);
}
/** The body of a file, or in words why it is not to be had. */
function unwrap(magic: number, file: Buffer | undefined): Buffer | string {
  if (!file) return "is missing";
  if (file.length < 16 || file.readUInt32BE(0) !== magic) return "is not a segment of ours";
  if (file.readUInt32BE(4) !== format) return `has format ${file.readUInt32BE(4)}; this version reads format ${format}`;
  const body = file.subarray(16);
  return body.length === file.readUInt32BE(8) && crc32(body) >>> 0 === file.readUInt32BE(12) ? body : "is damaged";
}
/** Names a ledger entry can be asked after by; one bit pattern a name. */
function subjectsOf(entry: LedgerEntry): string[] {
  const cut = entry.subject.lastIndexOf("/");
  const change = /^change (\S+) /.exec(entry.cause.note ?? "");
  return [entry.subject, ...(cut > 0 ? [entry.subject.slice(0, cut)] : []), ...(change ? [`change ${change[1]}`] : [])];
}
const bitsOf = (name: string, size: number): number[] =>
  [0, 1, 2, 3].map((turn) => Hash.number(`${turn}|${name}`) % size);
function filterOf(entries: LedgerEntry[]): string {
  const names = new Set(entries.flatMap(subjectsOf));
  const filter = Buffer.alloc(Math.max(8, Math.ceil((names.size * Constants.segmentBitsPerSubject) / 8)));
  for (const name of names) for (const bit of bitsOf(name, filter.length * 8)) filter[bit >> 3] |= 1 << (bit & 7);
  return filter.toString("base64");
}

/**
 * What a shard keeps for good: closed requests and lots, old ledger, in segments that are written once. Every copy
 * seals the same objects under the same number, so that segments are compared and handed on as files.
 *
 * @example
 * const segments = new Segments(env, "data/shard-3");
 * yield* segments.open({ works: 2, lots: 1, ledger: 4 }, { works: 0, lots: 0, ledger: 0 }, []);
 * segments.find("lots", "lot-17")?.state; // "finished"
 */
export class Segments {
  private indexes: Record<SegmentKind, SegmentIndex[]> = { works: [], lots: [], ledger: [] };
  private tables = { works: new IdTable(), lots: new IdTable() };
  private unwritten = new Map<string, PendingSegment>();
  /** The shard's own counts of what its log has trimmed; the files follow. */
  trimmed: SegmentCounts = { works: 0, lots: 0, ledger: 0 };
  private removed: SegmentCounts = { works: 0, lots: 0, ledger: 0 };
  constructor(
    private readonly env: Env,
    private readonly folder: string,
  ) {}
  private name = (kind: SegmentKind, number: number, part: "seg" | "idx"): string => `${kind}-${number}.${part}`;
  private path = (kind: SegmentKind, number: number, part: "seg" | "idx"): string =>
    `${this.folder}/${this.name(kind, number, part)}`;

  /** Takes up the indexes of so many segments; those still in memory are given along. @example yield* segments.open(counts, trimmed, sealing) */
  *open(counts: SegmentCounts, trimmed: SegmentCounts, sealing: PendingSegment[]): Task<Result<true>> {
    this.indexes = { works: [], lots: [], ledger: [] };
    this.tables = { works: new IdTable(), lots: new IdTable() };
    this.unwritten.clear();
    this.trimmed = trimmed;
    const names = yield* this.env.disk.list(this.folder);
    if (!names.ok) return names;
    for (const kind of kinds)
      this.removed[kind] = Math.min(
        trimmed[kind],
        ...names.value
          .filter((name) => name.startsWith(`${kind}-`) && name.endsWith(".seg"))
          .map((name) => +name.slice(kind.length + 1, -4)),
      );
    for (const kind of kinds)
      for (let number = 0; number < counts[kind]; number += 1) {
        const pending = sealing.find((each) => each.kind === kind && each.number === number);
        if (pending) {
          this.add(pending);
          continue;
        }
        if (kind === "ledger" && number < trimmed.ledger) continue;
        const file = yield* this.env.disk.read(this.path(kind, number, "idx"));
        if (!file.ok) return file;
        const body = unwrap(indexMagic, file.value);
        if (typeof body === "string")
          return Fault.fail("disk", "open segments", this.env.name, `${this.path(kind, number, "idx")} ${body}`);
        this.remember(JSON.parse(body.toString("utf8")) as SegmentIndex);
      }
    return Fault.ok(true as const);
  }
  private remember(index: SegmentIndex): void {
    this.indexes[index.kind][index.number] = index;
    const { kind, number } = index;
    if (kind !== "ledger")
      index.ids.forEach(([id, body, state], at) =>
        this.tables[kind].set(id, body, (number * Constants.segmentObjects[kind] + at) * 8 + state),
      );
    index.ids = []; // the table has them
  }
  private static bodyOf = (sealing: PendingSegment): Buffer =>
    Buffer.from(sealing.objects.map((object) => JSON.stringify(object)).join("\n"), "utf8");
  private static indexOf(sealing: PendingSegment, body: Buffer): SegmentIndex {
    const common = { kind: sealing.kind, number: sealing.number, sum: crc32(body) >>> 0, bytes: body.length };
    if (sealing.kind === "ledger") {
      const entries = sealing.objects as LedgerEntry[];
      return {
        ...common,
        to: entries[entries.length - 1].stamp.time,
        ids: [],
        first: entries[0].stamp,
        last: entries[entries.length - 1].stamp,
        subjects: filterOf(entries),
      };
    }
    const held = sealing.objects as (LiveRequest | BatchJob)[];
    return {
      ...common,
      to: Math.max(...held.map((object) => object.closedAt?.time ?? 0)),
      ids: held.map((object) => [
        digestOf(object.id),
        bodyDigest(object.bodyHash),
        states.indexOf("state" in object ? object.state : object.ended ? "ended" : "finished"),
      ]),
    };
  }
  /** Known from now on, though not yet on disk as a file. @example segments.take(sealing); */
  add(sealing: PendingSegment): void {
    this.unwritten.set(this.name(sealing.kind, sealing.number, "seg"), sealing);
    this.remember(Segments.indexOf(sealing, Segments.bodyOf(sealing)));
  }
  /** Writes a sealed one, its index last; from then on the slots need not carry it. @example yield* segments.write(sealing) */
  *write(sealing: PendingSegment): Task<Result<true>> {
    const { kind, number } = sealing;
    const body = Segments.bodyOf(sealing);
    if (number >= this.trimmed[kind]) {
      const written = yield* this.env.disk.write(this.path(kind, number, "seg"), wrap(bodyMagic, body));
      if (!written.ok) return written;
    }
    this.env.point(15);
    const indexed = yield* this.env.disk.write(
      this.path(kind, number, "idx"),
      wrap(indexMagic, Buffer.from(JSON.stringify(Segments.indexOf(sealing, body)), "utf8")),
    );
    if (!indexed.ok) return indexed;
    this.env.point(16);
    this.unwritten.delete(this.name(kind, number, "seg"));
    return Fault.ok(true as const);
  }

  /** Whether an id was closed and sealed, without touching the disk. @example segments.find("works", "key-1") */
  find(kind: "works" | "lots", id: string): SealedObjectLocation | undefined {
    const known = this.tables[kind].get(digestOf(id));
    if (!known) return undefined;
    const state = known.value % 8;
    const place = (known.value - state) / 8;
    const at = place % Constants.segmentObjects[kind];
    const number = (place - at) / Constants.segmentObjects[kind];
    return { kind, number, at, body: known.body, state: states[state], trimmed: number < this.trimmed[kind] };
  }
  /** @example segments.sameBody(found, work.bodyHash) */
  hasSameBody = (found: SealedObjectLocation, bodyHash: string): boolean => found.body === bodyDigest(bodyHash);
  private *bodyBytes(kind: SegmentKind, number: number): Task<Result<Buffer>> {
    const pending = this.unwritten.get(this.name(kind, number, "seg"));
    if (pending) return Fault.ok(Segments.bodyOf(pending));
    const file = yield* this.env.disk.read(this.path(kind, number, "seg"));
    if (!file.ok) return file;
    const body = unwrap(bodyMagic, file.value);
    if (typeof body !== "string" && crc32(body) >>> 0 === this.indexes[kind][number]?.sum) return Fault.ok(body);
    return Fault.fail(
      "disk",
      "read segment",
      this.env.name,
      `${this.path(kind, number, "seg")} ${typeof body === "string" ? body : "does not fit its index"}`,
    );
  }
  /** One closed request or lot, from its segment. @example const lot = yield* segments.object("lots", "lot-17"); */
  *readObject<K extends "works" | "lots">(kind: K, id: string): Task<Result<ObjectOf[K] | undefined>> {
    const found = this.find(kind, id);
    if (!found) return Fault.ok(undefined);
    if (found.trimmed) return Fault.fail("gone", "read segment", this.env.name, `${id} was trimmed by retention`);
    const body = yield* this.bodyBytes(kind, found.number);
    if (!body.ok) return body;
    const object = JSON.parse(body.value.toString("utf8").split("\n")[found.at]) as ObjectOf[K];
    return Fault.ok(object.id === id ? object : undefined);
  }
  /**
   * Sealed ledger entries after a stamp, oldest first: at least so many and the whole of the last one's put, or all
   * there are. @example yield* segments.ledgerAfter(stamp, 100)
   */
  *ledgerAfter(after: Stamp, enough: number): Task<Result<{ entries: LedgerEntry[]; all: boolean }>> {
    const found: LedgerEntry[] = [];
    const lacking = (): boolean =>
      found.length <= enough || Stamp.compare(found[found.length - 1].stamp, found[enough - 1].stamp) === 0;
    let number = this.firstAfter(after);
    for (; number < this.indexes.ledger.length && lacking(); number += 1) {
      const entries = yield* this.ledger(number);
      if (!entries.ok) return entries;
      for (const entry of entries.value) if (Stamp.compare(entry.stamp, after) > 0) found.push(entry);
    }
    return Fault.ok({ entries: found, all: number >= this.indexes.ledger.length });
  }
  private firstAfter(after: Stamp): number {
    let low = this.trimmed.ledger;
    let high = this.indexes.ledger.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (Stamp.compare(this.indexes.ledger[middle].last!, after) > 0) high = middle;
      else low = middle + 1;
    }
    return low;
  }
  private *ledger(number: number): Task<Result<LedgerEntry[]>> {
    const body = yield* this.bodyBytes("ledger", number);
    return body.ok
      ? Fault.ok(
          body.value
            .toString("utf8")
            .split("\n")
            .map((line) => JSON.parse(line) as LedgerEntry),
        )
      : body;
  }
  /** Sealed entries of which one of the names may be the subject, from a time on. @example yield* segments.ledgerAbout(["lot L1"], 0, about, 500) */
  *ledgerAbout(
    names: string[],
    from: number,
    fits: (entry: LedgerEntry) => boolean,
    enough: number,
  ): Task<Result<LedgerEntry[]>> {
    const found: LedgerEntry[] = [];
    for (
      let number = this.firstAfter({ time: from, node: "", seq: -1 });
      number < this.indexes.ledger.length && found.length < enough;
      number += 1
    ) {
      const filter = Buffer.from(this.indexes.ledger[number].subjects!, "base64");
      if (
        !names.some((name) =>
          bitsOf(name, filter.length * 8).every((bit) => (filter[bit >> 3] & (1 << (bit & 7))) !== 0),
        )
      )
        continue;
      const entries = yield* this.ledger(number);
      if (!entries.ok) return entries;
      found.push(...entries.value.filter(fits));
    }
    return Fault.ok(found);
  }
  /** The oldest ledger entry still kept here. @example segments.oldest()?.time */
  oldestLedgerStamp = (): Stamp | undefined => this.indexes.ledger[this.trimmed.ledger]?.first;
  /** How many segments of a kind hold only what is older than a time. @example segments.olderThan("lots", now - retentionMs) */
  endOfOlderThan(kind: SegmentKind, time: number): number {
    let number = this.trimmed[kind];
    while (number < this.indexes[kind].length && this.indexes[kind][number].to < time) number += 1;
    return number;
  }
  /** Lets the files of trimmed segments go; what their ids were is kept. @example yield* segments.removeTrimmed() */
  *removeTrimmed(): Task<Result<true>> {
    let any = false;
    for (const kind of kinds)
      for (; this.removed[kind] < this.trimmed[kind]; this.removed[kind] += 1) {
        const number = this.removed[kind];
        for (const part of kind === "ledger" ? (["seg", "idx"] as const) : (["seg"] as const)) {
          const removed = yield* this.env.disk.remove(this.path(kind, number, part));
          if (!removed.ok) return removed;
        }
        any = true;
      }
    return any ? yield* this.env.disk.syncFolder(this.folder) : Fault.ok(true as const);
  }
  /** Names and checksums of what others need, written ones and unwritten. @example segments.list()[0].name */
  list(): { kind: SegmentKind; number: number; sum: number }[] {
    return kinds.flatMap((kind) =>
      this.indexes[kind]
        .map(({ number, sum }) => ({ kind, number, sum }))
        .filter(({ number }) => kind !== "ledger" || number >= this.trimmed.ledger),
    );
  }
  /** One digest over all of them, for a quick look whether two copies agree. @example segments.digest() */
  digest = (): string => Hash.text(JSON.stringify(this.list()));
  /** The next written one in turn, to be looked at whether it is still whole. @example segments.next(7) */
  segmentToScrub(turn: number): { kind: SegmentKind; number: number; sum: number } | undefined {
    const written = this.list().filter(
      ({ kind, number }) => number >= this.trimmed[kind] && !this.unwritten.has(this.name(kind, number, "seg")),
    );
    return written[turn % Math.max(1, written.length)];
  }
  /** A part of a file, as it is on disk, for a copy that is being filled. @example yield* segments.part("lots", 3, "seg", 0) */
  *readChunk(
    kind: SegmentKind,
    number: number,
    part: "seg" | "idx",
    from: number,
  ): Task<Result<{ data: string; size: number }>> {
    const pending = this.unwritten.get(this.name(kind, number, "seg"));
    let file: Buffer | undefined;
    if (pending) {
      const body = Segments.bodyOf(pending);
      file =
        part === "seg"
          ? wrap(bodyMagic, body)
          : wrap(indexMagic, Buffer.from(JSON.stringify(Segments.indexOf(pending, body)), "utf8"));
    } else {
      const read = yield* this.env.disk.read(this.path(kind, number, part));
      if (!read.ok) return read;
      file = read.value;
    }
    if (!file) return Fault.fail("notFound", "segment part", this.env.name, this.path(kind, number, part));
    return Fault.ok({
      data: file.subarray(from, from + Constants.fillPieceBytes).toString("base64"),
      size: file.length,
    });
  }
  /** Whether a segment is here whole, by its checksum. @example yield* segments.holds("lots", 3, sum, false) */
  *isIntact(kind: SegmentKind, number: number, sum: number, trimmed: boolean): Task<boolean> {
    const file = yield* this.env.disk.read(this.path(kind, number, "idx"));
    const index = file.ok ? unwrap(indexMagic, file.value) : "";
    if (typeof index === "string" || (JSON.parse(index.toString("utf8")) as SegmentIndex).sum !== sum) return false;
    if (trimmed) return true;
    const seg = yield* this.env.disk.read(this.path(kind, number, "seg"));
    const body = seg.ok ? unwrap(bodyMagic, seg.value) : "";
    return typeof body !== "string" && crc32(body) >>> 0 === sum;
  }
  /** Takes a whole file that came from another copy; a damaged one is refused. @example yield* segments.put("lots", 3, "seg", file) */
  *writeFile(kind: SegmentKind, number: number, part: "seg" | "idx", file: Buffer): Task<Result<true>> {
    const body = unwrap(part === "seg" ? bodyMagic : indexMagic, file);
    if (typeof body === "string")
      return Fault.fail("invalid", "take segment", this.env.name, `${this.name(kind, number, part)} ${body}`);
    return yield* this.env.disk.write(this.path(kind, number, part), file);
  }
}
