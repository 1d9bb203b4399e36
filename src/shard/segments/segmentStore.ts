import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Hash } from "../../common/hash";
import type { Task } from "../../runtime/csp";
import type { Environment } from "../../runtime/env";
import { DigestTable } from "./digestTable";
import { SealedLedger } from "./sealedLedger";
import { SegmentFiles } from "./segmentFiles";
import { CLOSED_STATE_NAMES, SegmentFormat } from "./segmentFormat";
import {
  PendingSegment,
  SEGMENT_KINDS,
  SealedObjectLocation,
  SegmentChecksum,
  SegmentCounts,
  SegmentIndex,
  SegmentKind,
  SegmentObject,
  SegmentPart,
} from "./segmentTypes";
import type { SealedObjects } from "../state/shardData";

/** A value of a digest table is the object's number times this, plus the code of its closed state. */
const STATE_CODES = 8;

/**
 * The segments of a shard: closed requests and jobs and old ledger entries, in files that are written once. Every
 * replica seals the same objects under the same number, so that replicas compare and copy segments as files. The index
 * of every segment is in memory.
 *
 * @example
 * const segments = new SegmentStore(env, "data/shard-3");
 * yield* segments.open({ works: 2, lots: 1, ledger: 4 }, { works: 0, lots: 0, ledger: 0 }, []);
 * segments.find("lots", "lot-17")?.state; // "finished"
 */
export class SegmentStore implements SealedObjects {
  readonly files: SegmentFiles;
  readonly ledger: SealedLedger;
  private indexes: Record<SegmentKind, SegmentIndex[]> = { works: [], lots: [], ledger: [] };
  private tables = { works: new DigestTable(), lots: new DigestTable() };
  /** By the name of the file with the objects. */
  private pending = new Map<string, PendingSegment>();
  /** The shard's own counts of the segments that its log has trimmed; their files are removed later. */
  trimmedCounts: SegmentCounts = { works: 0, lots: 0, ledger: 0 };
  private removedCounts: SegmentCounts = { works: 0, lots: 0, ledger: 0 };

  constructor(
    private readonly env: Environment,
    folder: string,
  ) {
    this.files = new SegmentFiles(env, folder);
    this.ledger = new SealedLedger({
      indexes: () => this.indexes.ledger,
      firstNumber: () => this.trimmedCounts.ledger,
      readBody: (number) => this.readBody("ledger", number),
    });
  }

  /**
   * Loads the indexes of all segments; those of pending ones are built from the objects. Gives the fault "disk" with the
   * file's path if an index is missing or damaged.
   *
   * @param trimmedCounts taken over, so that later changes of it are seen
   * @example yield* segments.open(data.segmentCounts, data.trimmedCounts, data.pendingSegments)
   */
  *open(counts: SegmentCounts, trimmedCounts: SegmentCounts, pending: PendingSegment[]): Task<Result<true>> {
    this.indexes = { works: [], lots: [], ledger: [] };
    this.tables = { works: new DigestTable(), lots: new DigestTable() };
    this.pending.clear();
    this.trimmedCounts = trimmedCounts;
    const firstNumbers = yield* this.files.firstNumbers(SEGMENT_KINDS);
    if (!firstNumbers.ok) return firstNumbers;
    SEGMENT_KINDS.forEach((kind, position) => {
      this.removedCounts[kind] = Math.min(trimmedCounts[kind], firstNumbers.value[position]);
    });
    for (const kind of SEGMENT_KINDS)
      for (let number = 0; number < counts[kind]; number += 1) {
        const opened = yield* this.openOne(
          kind,
          number,
          pending.find((segment) => segment.kind === kind && segment.number === number),
        );
        if (!opened.ok) return opened;
      }
    return Fault.ok(true as const);
  }
  private *openOne(kind: SegmentKind, number: number, pending: PendingSegment | undefined): Task<Result<true>> {
    if (pending) this.add(pending);
    else if (kind !== "ledger" || number >= this.trimmedCounts.ledger) {
      const index = yield* this.files.readIndex(kind, number);
      if (!index.ok) return index;
      this.addIndex(index.value);
    }
    return Fault.ok(true as const);
  }
  private addIndex(index: SegmentIndex): void {
    const { kind, number } = index;
    this.indexes[kind][number] = index;
    if (kind !== "ledger")
      index.ids.forEach(([id, body, state], position) => {
        const objectNumber = number * Constants.segmentObjects[kind] + position;
        this.tables[kind].set(id, body, objectNumber * STATE_CODES + state);
      });
    index.ids = []; // from now on only the table has them
  }

  /** Adds a segment that isn't written yet; its objects are found from now on. @example segments.add(segment); */
  add(segment: PendingSegment): void {
    this.pending.set(this.files.name(segment.kind, segment.number, "seg"), segment);
    this.addIndex(SegmentFormat.indexOf(segment, SegmentFormat.encodeObjects(segment)));
  }
  /** Writes a pending segment, its index last; afterwards snapshots need not contain it. @example yield* segments.write(segment) */
  *write(segment: PendingSegment): Task<Result<true>> {
    const { kind, number } = segment;
    const body = SegmentFormat.encodeObjects(segment);
    if (number >= this.trimmedCounts[kind]) {
      const written = yield* this.files.write(kind, number, "seg", body);
      if (!written.ok) return written;
    }
    this.env.faultPoint(15);
    const index = SegmentFormat.encodeIndex(SegmentFormat.indexOf(segment, body));
    const indexed = yield* this.files.write(kind, number, "idx", index);
    if (!indexed.ok) return indexed;
    this.env.faultPoint(16);
    this.pending.delete(this.files.name(kind, number, "seg"));
    return Fault.ok(true as const);
  }

  /** Finds a closed and sealed object without a read of the disk. @example segments.find("works", "key-1") */
  find(kind: "works" | "lots", id: string): SealedObjectLocation | undefined {
    const entry = this.tables[kind].get(SegmentFormat.idDigest(id));
    if (!entry) return undefined;
    const state = entry.value % STATE_CODES;
    const objectNumber = (entry.value - state) / STATE_CODES;
    const at = objectNumber % Constants.segmentObjects[kind];
    const number = (objectNumber - at) / Constants.segmentObjects[kind];
    return {
      kind,
      number,
      at,
      body: entry.body,
      state: CLOSED_STATE_NAMES[state],
      trimmed: number < this.trimmedCounts[kind],
    };
  }
  /** Whether the body of a sealed object has a given digest. @example segments.hasSameBody(found, request.bodyHash) */
  hasSameBody = (found: SealedObjectLocation, bodyHash: string): boolean =>
    found.body === SegmentFormat.bodyDigest(bodyHash);

  /**
   * Reads a closed request or job; undefined if there is none. Gives the fault "gone" if it was trimmed, "disk" if its
   * file is damaged.
   * @example const job = yield* segments.readObject("lots", "lot-17");
   */
  *readObject<Kind extends "works" | "lots">(kind: Kind, id: string): Task<Result<SegmentObject[Kind] | undefined>> {
    const found = this.find(kind, id);
    if (!found) return Fault.ok(undefined);
    if (found.trimmed) return Fault.fail("gone", "read segment", this.env.name, `${id} was trimmed by retention`);
    const body = yield* this.readBody(kind, found.number);
    if (!body.ok) return body;
    const object = SegmentFormat.decodeObject(kind, body.value, found.at);
    return Fault.ok(object.id === id ? object : undefined);
  }
  /** The encoded objects of a segment, checked against its index. */
  private *readBody(kind: SegmentKind, number: number): Task<Result<Buffer>> {
    const pending = this.pending.get(this.files.name(kind, number, "seg"));
    if (pending) return Fault.ok(SegmentFormat.encodeObjects(pending));
    const decoded = yield* this.files.readBody(kind, number, "seg");
    if (!decoded.ok) return decoded;
    const read = decoded.value;
    if (read.tag === "body" && SegmentFormat.checksum(read.body) === this.indexes[kind][number]?.sum)
      return Fault.ok(read.body);
    const why = read.tag === "unreadable" ? read.why : "does not fit its index";
    return Fault.fail("disk", "read segment", this.env.name, `${this.files.path(kind, number, "seg")} ${why}`);
  }

  /** Number of the first segment of a kind with something from a time on. @example segments.endOfOlderThan("lots", now - retentionMs) */
  firstSegmentSince(kind: SegmentKind, time: number): number {
    let number = this.trimmedCounts[kind];
    while (number < this.indexes[kind].length && this.indexes[kind][number].to < time) number += 1;
    return number;
  }
  /** Removes the files of trimmed segments; the indexes of requests and jobs stay. @example yield* segments.removeTrimmed() */
  *removeTrimmed(): Task<Result<true>> {
    let removedAny = false;
    for (const kind of SEGMENT_KINDS)
      for (; this.removedCounts[kind] < this.trimmedCounts[kind]; this.removedCounts[kind] += 1) {
        const parts: SegmentPart[] = kind === "ledger" ? ["seg", "idx"] : ["seg"];
        for (const part of parts) {
          const removed = yield* this.files.remove(kind, this.removedCounts[kind], part);
          if (!removed.ok) return removed;
        }
        removedAny = true;
      }
    return removedAny ? yield* this.files.sync() : Fault.ok(true as const);
  }

  /** Checksums of all segments that a replica must have, pending ones included. @example segments.list()[0].number */
  list(): SegmentChecksum[] {
    return SEGMENT_KINDS.flatMap((kind) =>
      this.indexes[kind]
        .map(({ number, sum }) => ({ kind, number, sum }))
        .filter(({ number }) => kind !== "ledger" || number >= this.trimmedCounts.ledger),
    );
  }
  /** One digest over the list, to compare replicas cheaply. @example segments.digest() */
  digest = (): string => Hash.text(JSON.stringify(this.list()));
  /** The written segment whose turn it is to be checked; undefined if there is none. @example segments.segmentToScrub(7) */
  segmentToScrub(turn: number): SegmentChecksum | undefined {
    const written = this.list().filter(
      ({ kind, number }) =>
        number >= this.trimmedCounts[kind] && !this.pending.has(this.files.name(kind, number, "seg")),
    );
    return written[turn % Math.max(1, written.length)];
  }

  /**
   * A chunk of a segment's file, in base64, and the file's size, for another replica. Gives the fault "notFound" if there
   * is no such file.
   *
   * @param from offset in the file, bytes
   * @example yield* segments.readChunk("lots", 3, "seg", 0)
   */
  *readChunk(
    kind: SegmentKind,
    number: number,
    part: SegmentPart,
    from: number,
  ): Task<Result<{ data: string; size: number }>> {
    const file = yield* this.readFile(kind, number, part);
    if (!file.ok) return file;
    if (!file.value) return Fault.fail("notFound", "segment part", this.env.name, this.files.path(kind, number, part));
    return Fault.ok({
      data: file.value.subarray(from, from + Constants.segmentChunkBytes).toString("base64"),
      size: file.value.length,
    });
  }
  private *readFile(kind: SegmentKind, number: number, part: SegmentPart): Task<Result<Buffer | undefined>> {
    const pending = this.pending.get(this.files.name(kind, number, "seg"));
    if (!pending) return yield* this.files.read(kind, number, part);
    const body = SegmentFormat.encodeObjects(pending);
    return Fault.ok(
      SegmentFormat.encodeFile(
        part,
        part === "seg" ? body : SegmentFormat.encodeIndex(SegmentFormat.indexOf(pending, body)),
      ),
    );
  }
}
