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

  /** File name, relative to the shard's folder. @example files.name("lots", 3, "seg") // "lots-3.seg" */
  name = (kind: SegmentKind, number: number, part: SegmentPart): string => `${kind}-${number}.${part}`;
  /** Path, including the shard's folder. @example files.path("lots", 3, "seg") // "data/shard-3/lots-3.seg" */
  path = (kind: SegmentKind, number: number, part: SegmentPart): string =>
    `${this.folder}/${this.name(kind, number, part)}`;

  /** Reads a file as it is on disk; undefined if it is missing. */
  read(kind: SegmentKind, number: number, part: SegmentPart): Task<Result<Buffer | undefined>> {
    return this.env.disk.read(this.path(kind, number, part));
  }

  /** Reads a file and checks its header and body. */
  *readBody(kind: SegmentKind, number: number, part: SegmentPart): Task<Result<DecodedFile>> {
    const file = yield* this.read(kind, number, part);
    return file.ok ? Fault.ok(SegmentFormat.decodeFile(part, file.value)) : file;
  }

  /**
   * Reads the index of a segment. Returns the fault "disk", which names the path, if the index is missing or damaged.
   */
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

  /** Writes a file that consists of a header and the given body. */
  write(kind: SegmentKind, number: number, part: SegmentPart, body: Buffer): Task<Result<true>> {
    return this.env.disk.write(this.path(kind, number, part), SegmentFormat.encodeFile(part, body));
  }

  /** Writes a file received from another replica. Returns the fault "invalid" if it is damaged. */
  *writeReceived(kind: SegmentKind, number: number, part: SegmentPart, file: Buffer): Task<Result<true>> {
    const decoded = SegmentFormat.decodeFile(part, file);
    if (decoded.tag === "unreadable")
      return Fault.fail("invalid", "take segment", this.env.name, `${this.name(kind, number, part)} ${decoded.why}`);
    return yield* this.env.disk.write(this.path(kind, number, part), file);
  }

  /**
   * Whether the files of a segment exist, undamaged and with the given checksum. A trimmed segment needs only its
   * index.
   */
  *isIntact({ kind, number, sum }: SegmentChecksum, isTrimmed: boolean): Task<boolean> {
    const index = yield* this.readBody(kind, number, "idx");
    if (!index.ok || index.value.tag !== "body") return false;
    if (SegmentFormat.decodeIndex(index.value.body).sum !== sum) return false;
    if (isTrimmed) return true;
    const objects = yield* this.readBody(kind, number, "seg");
    return objects.ok && objects.value.tag === "body" && SegmentFormat.checksum(objects.value.body) === sum;
  }

  /** For each kind, the smallest number of a segment whose `.seg` file is on disk; Infinity if there is none. */
  *firstNumbers(kinds: readonly SegmentKind[]): Task<Result<number[]>> {
    const names = yield* this.env.disk.list(this.folder);
    if (!names.ok) return names;
    const numbersOf = (kind: SegmentKind): number[] =>
      names.value
        .filter((name) => name.startsWith(`${kind}-`) && name.endsWith(".seg"))
        .map((name) => +name.slice(kind.length + 1, -".seg".length));
    return Fault.ok(kinds.map((kind) => Math.min(Infinity, ...numbersOf(kind))));
  }

  /** Removes a file. The removal is durable after `sync`. */
  remove(kind: SegmentKind, number: number, part: SegmentPart): Task<Result<true>> {
    return this.env.disk.remove(this.path(kind, number, part));
  }

  /** Syncs the folder, so that created and removed file names are durable. */
  sync(): Task<Result<true>> {
    return this.env.disk.syncFolder(this.folder);
  }
}
