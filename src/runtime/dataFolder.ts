import { crc32 } from "zlib";
import { Task } from "./csp";
import { Environment } from "./env";
import { Program } from "../membership/member";
import { Fault, Result } from "../common/fault";

/** The node that a data folder belongs to. */
export type Identity = { id: string; cluster: string; program: Program };
/** The content of an identity file; files of earlier versions have no format and no checksum. */
type StoredIdentity = Partial<Identity> & { format?: number; sum?: number };
/** The format of data folders that this version reads and writes. */
const FORMAT = 1;
/** The first characters of every identity file. */
const IDENTITY_START = '{"id":"';
/** The files that an interrupted first start may leave in the folder. */
const FIRST_START_FILES = ["lock", "identity", "identity.new"];

const checksumOf = ({ id, cluster, program }: Partial<Identity>): number =>
  crc32(JSON.stringify([id, cluster, program])) >>> 0;
function parse(data: Buffer): StoredIdentity | undefined {
  try {
    const value: unknown = JSON.parse(data.toString("utf8"));
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
/** Returns whether an interrupted write may have left this content: nothing, zeros, or the start of an identity. */
function isTorn(data: Buffer): boolean {
  const text = data.toString("utf8").replace(/\0+$/, "");
  return text.startsWith(IDENTITY_START) || IDENTITY_START.startsWith(text);
}

/**
 * The data folder of a process. It is locked, and holds the identity of the node that it belongs to. A folder that is
 * damaged, or that belongs to another program, cluster or format, is rejected with a fault that names it, and is not
 * changed.
 *
 * @example
 * const opened = yield* DataFolder.open(env, "/data/petrelbeam", "10.0.0.1:7660", { id, cluster, program: "store" });
 * if (opened.ok) opened.value; // the id of the node, the same since its first start
 */
export const DataFolder = {
  /**
   * Locks the folder and returns the id of the node. That is the id stored in the folder; an empty folder gets the
   * initial identity, and its id is returned once it is durable.
   */
  *open(env: Environment, folder: string, address: string, initial: Identity): Task<Result<string>> {
    const opened = yield* openFolder(env, folder, address, initial);
    if (!opened.ok) env.log(1006, { reason: opened.fault.detail, folder });
    return opened;
  },
};
function* openFolder(env: Environment, folder: string, address: string, initial: Identity): Task<Result<string>> {
  const locked = yield* env.disk.lock(folder, address);
  if (!locked.ok) return locked;
  const file = `${folder}/identity`;
  const read = yield* env.disk.read(file);
  if (!read.ok) return read;
  const stored = read.value && parse(read.value);
  if (read.value && (stored || !isTorn(read.value))) {
    const checked = check(file, stored ?? {}, initial);
    if (!checked.ok) return checked;
    // A process that was killed may not have synced the directory entry.
    const synced = yield* env.disk.syncFolder(folder);
    return synced.ok ? checked : synced;
  }
  const names = yield* env.disk.list(folder);
  if (!names.ok) return names;
  const others = names.value.filter((name) => !FIRST_START_FILES.includes(name));
  if (others.length > 0) {
    const defect = read.value ? "its identity is damaged" : "has no identity";
    const detail = `folder is not empty and ${defect}: ${others.slice(0, 3).join(", ")}`;
    return Fault.fail("invalid", "open data folder", folder, detail);
  }
  const body = JSON.stringify({ ...initial, format: FORMAT, sum: checksumOf(initial) });
  const written = yield* env.disk.write(file, Buffer.from(body));
  return written.ok ? Fault.ok(initial.id) : written;
}
/** Returns the stored id, or a fault if the folder has another format or owner or is damaged. */
function check(file: string, stored: StoredIdentity, expected: Identity): Result<string> {
  const fail = (detail: string): Result<never> => Fault.fail("invalid", "open data folder", file, detail);
  if (stored.format !== undefined && stored.format !== FORMAT)
    return fail(`folder has format ${stored.format}; this version reads format ${FORMAT}`);
  if (stored.sum !== undefined && stored.sum !== checksumOf(stored)) return fail("identity is damaged");
  if (stored.cluster !== expected.cluster || stored.program !== expected.program || !stored.id)
    return fail(`folder belongs to ${stored.program ?? "nobody readable"} of ${stored.cluster ?? "no cluster"}`);
  return Fault.ok(stored.id);
}
