import { Fault, Result } from "../../common/fault";
import type { Task } from "../../runtime/csp";
import type { Environment } from "../../runtime/env";
import { DecodedFile, SegmentFormat } from "./segmentFormat";
import type { SegmentChecksum, SegmentIndex, SegmentKind, SegmentPart } from "./segmentTypes";

/**
 * The segment files of one shard on disk.
 *
 * @example
 * const files = new SegmentFiles(env, "data/shard-3");
 * yield* files.write("works", 0, "seg", body);
 */
export class SegmentFiles {
  constructor(
    private readonly env: Environment,
    private readonly folder: string,
  ) {}

  /** Name of a file in the shard's folder. @example files.name("lots", 3, "seg") // "lots-3.seg" */
  name = (kind: SegmentKind, number: number, part: SegmentPart): string => `${kind}-${number}.${part}`;
  /** Name with the folder. @example files.path("lots", 3, "seg") // "data/shard-3/lots-3.seg" */
  path = (kind: SegmentKind, number: number, part: SegmentPart): string =>
    `${this.folder}/${this.name(kind, number, part)}`;

  /** A file as it is on disk; undefined if missing. @example yield* files.read("lots", 3, "seg") */
  read(kind: SegmentKind, number: number, part: SegmentPart): Task<Result<Buffer | undefined>> {
    return this.env.disk.read(this.path(kind, number, part));
  }

  /** The checked body of a file. @example yield* files.readBody("lots", 3, "seg") */
  *readBody(kind: SegmentKind, number: number, part: SegmentPart): Task<Result<DecodedFile>> {
    const file = yield* this.read(kind, number, part);
    return file.ok ? Fault.ok(SegmentFormat.decodeFile(part, file.value)) : file;
  }

  /** The index of a segment; the fault "disk" with the path where it can't be read. @example yield* files.readIndex("lots", 3) */
  *readIndex(kind: SegmentKind, number: number): Task<Result<SegmentIndex>> {
    const decoded = yield* this.readBody(kind, number, "idx");
    if (!decoded.ok) return decoded;
    if (decoded.value.tag === "unreadable")
      return Fault.fail(
        "disk",
        "open segments",
        this.env.name,
        `${this.path(kind, number, "idx")} ${decoded.value.why}`,
      );
    return Fault.ok(SegmentFormat.decodeIndex(decoded.value.body));
  }

  /** Writes a body under a header. @example yield* files.write("lots", 3, "seg", body) */
  write(kind: SegmentKind, number: number, part: SegmentPart, body: Buffer): Task<Result<true>> {
    return this.env.disk.write(this.path(kind, number, part), SegmentFormat.encodeFile(part, body));
  }

  /** Writes a file from another replica; the fault "invalid" if it is damaged. @example yield* files.writeReceived("lots", 3, "seg", file) */
  *writeReceived(kind: SegmentKind, number: number, part: SegmentPart, file: Buffer): Task<Result<true>> {
    const decoded = SegmentFormat.decodeFile(part, file);
    if (decoded.tag === "unreadable")
      return Fault.fail("invalid", "take segment", this.env.name, `${this.name(kind, number, part)} ${decoded.why}`);
    return yield* this.env.disk.write(this.path(kind, number, part), file);
  }

  /**
   * Whether the files of a segment are there, undamaged and with the given checksum; of a trimmed one only the index.
   * @example yield* files.isIntact({ kind: "lots", number: 3, sum }, false)
   */
  *isIntact({ kind, number, sum }: SegmentChecksum, isTrimmed: boolean): Task<boolean> {
    const index = yield* this.readBody(kind, number, "idx");
    if (!index.ok || index.value.tag !== "body") return false;
    if (SegmentFormat.decodeIndex(index.value.body).sum !== sum) return false;
    if (isTrimmed) return true;
    const objects = yield* this.readBody(kind, number, "seg");
    return objects.ok && objects.value.tag === "body" && SegmentFormat.checksum(objects.value.body) === sum;
  }

  /** Smallest number of a segment of the kind whose objects are on disk; Infinity if there is none. */
  *firstNumbers(kinds: readonly SegmentKind[]): Task<Result<number[]>> {
    const names = yield* this.env.disk.list(this.folder);
    if (!names.ok) return names;
    const numbersOf = (kind: SegmentKind): number[] =>
      names.value
        .filter((name) => name.startsWith(`${kind}-`) && name.endsWith(".seg"))
        .map((name) => +name.slice(kind.length + 1, -".seg".length));
    return Fault.ok(kinds.map((kind) => Math.min(Infinity, ...numbersOf(kind))));
  }

  /** Removes a file; the removal is durable after `sync`. @example yield* files.remove("lots", 3, "seg") */
  remove(kind: SegmentKind, number: number, part: SegmentPart): Task<Result<true>> {
    return this.env.disk.remove(this.path(kind, number, part));
  }

  /** Syncs the names in the folder. @example yield* files.sync() */
  sync(): Task<Result<true>> {
    return this.env.disk.syncFolder(this.folder);
  }
}
