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

/** A value of a digest table is the object's number times this, plus the code of its outcome. Exceeds every code. */
const STATE_CODE_COUNT = 8;

/**
 * The segments of a shard: closed requests, closed jobs and old ledger entries, in immutable files. Every replica seals
 * the same objects under the same segment number, so that replicas can compare and copy segments as files. The index of
 * every segment is in memory.
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
  /** Sealed segments that aren't written yet, by the name of their `.seg` file. */
  private pending = new Map<string, PendingSegment>();
  /** Number of trimmed segments by kind: the object in the shard's data, which trim operations update. */
  trimmedCounts: SegmentCounts = { works: 0, lots: 0, ledger: 0 };
  /** Number of trimmed segments whose files are removed. */
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
   * Loads the indexes of all segments; the index of a pending segment is built from its objects. Returns the fault
   * "disk", which names the file's path, if an index is missing or damaged.
   *
   * @param trimmedCounts kept by reference, so that later changes to the object take effect
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
        this.tables[kind].set(id, body, objectNumber * STATE_CODE_COUNT + state);
      });
    index.ids = []; // saves memory: the digest table has them now
  }

  /** Adds a segment that isn't written yet, so that its objects can be found. */
  add(segment: PendingSegment): void {
    this.pending.set(this.files.name(segment.kind, segment.number, "seg"), segment);
    this.addIndex(SegmentFormat.buildIndex(segment, SegmentFormat.encodeObjects(segment)));
  }
  /** Writes the files of a pending segment, the index last. Snapshots then need not contain the segment. */
  *write(segment: PendingSegment): Task<Result<true>> {
    const { kind, number } = segment;
    const body = SegmentFormat.encodeObjects(segment);
    if (number >= this.trimmedCounts[kind]) {
      const written = yield* this.files.write(kind, number, "seg", body);
      if (!written.ok) return written;
    }
    this.env.faultPoint(15);
    const index = SegmentFormat.encodeIndex(SegmentFormat.buildIndex(segment, body));
    const indexed = yield* this.files.write(kind, number, "idx", index);
    if (!indexed.ok) return indexed;
    this.env.faultPoint(16);
    this.pending.delete(this.files.name(kind, number, "seg"));
    return Fault.ok(true as const);
  }

  /** Finds a sealed object without reading from disk. */
  find(kind: "works" | "lots", id: string): SealedObjectLocation | undefined {
    const entry = this.tables[kind].get(SegmentFormat.idDigest(id));
    if (!entry) return undefined;
    const state = entry.value % STATE_CODE_COUNT;
    const objectNumber = (entry.value - state) / STATE_CODE_COUNT;
    const objectIndex = objectNumber % Constants.segmentObjects[kind];
    const number = (objectNumber - objectIndex) / Constants.segmentObjects[kind];
    return {
      kind,
      number,
      objectIndex,
      body: entry.body,
      state: CLOSED_STATE_NAMES[state],
      trimmed: number < this.trimmedCounts[kind],
    };
  }
  /** Whether a sealed object has a body with this digest. */
  hasSameBody = (found: SealedObjectLocation, bodyHash: string): boolean =>
    found.body === SegmentFormat.bodyDigest(bodyHash);

  /**
   * Reads a closed request or job; undefined if there is none. Returns the fault "gone" if it was trimmed, and "disk"
   * if its file is damaged.
   */
  *readObject<Kind extends "works" | "lots">(kind: Kind, id: string): Task<Result<SegmentObject[Kind] | undefined>> {
    const found = this.find(kind, id);
    if (!found) return Fault.ok(undefined);
    if (found.trimmed) return Fault.fail("gone", "read segment", this.env.name, `${id} was trimmed by retention`);
    const body = yield* this.readBody(kind, found.number);
    if (!body.ok) return body;
    const object = SegmentFormat.decodeObject(kind, body.value, found.objectIndex);
    return Fault.ok(object.id === id ? object : undefined);
  }
  /** Reads the encoded objects of a segment and checks them against its index. */
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

  /** Number of the first segment of a kind that has an object from this time (ms) or later and isn't trimmed. */
  firstSegmentSince(kind: SegmentKind, time: number): number {
    let number = this.trimmedCounts[kind];
    while (number < this.indexes[kind].length && this.indexes[kind][number].to < time) number += 1;
    return number;
  }
  /** Removes the files of trimmed segments, except the indexes of requests and jobs. */
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

  /** Checksums of all segments that a replica must have, including pending ones. */
  list(): SegmentChecksum[] {
    return SEGMENT_KINDS.flatMap((kind) =>
      this.indexes[kind]
        .map(({ number, sum }) => ({ kind, number, sum }))
        .filter(({ number }) => kind !== "ledger" || number >= this.trimmedCounts.ledger),
    );
  }
  /** Digest of `list()`, by which replicas compare their segments cheaply. */
  digest = (): string => Hash.text(JSON.stringify(this.list()));
  /**
   * The written segment to check in this turn; undefined if there is none. Successive turns go through all segments.
   */
  segmentToScrub(turn: number): SegmentChecksum | undefined {
    const written = this.list().filter(
      ({ kind, number }) =>
        number >= this.trimmedCounts[kind] && !this.pending.has(this.files.name(kind, number, "seg")),
    );
    return written[turn % Math.max(1, written.length)];
  }

  /**
   * Reads a chunk of a segment file (base64) and the size of the file (bytes) for another replica. Returns the fault
   * "notFound" if there is no such file.
   *
   * @param from offset in the file, bytes
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
        part === "seg" ? body : SegmentFormat.encodeIndex(SegmentFormat.buildIndex(pending, body)),
      ),
    );
  }
}
