import { crc32 } from "zlib";
import { Task } from "./csp";
import { Environment } from "./env";
import { Program } from "../membership/member";
import { Fault, Result } from "../common/fault";

/** Whose folder it is. */
export type Identity = { id: string; cluster: string; program: Program };
type Stored = Partial<Identity> & { format?: number; sum?: number };
const format = 1;
const beginning = '{"id":"';
/** What a first start that was cut short may leave beside a torn identity. */
const leftByFirstStart = ["lock", "identity", "identity.new"];

const sumOf = ({ id, cluster, program }: Partial<Identity>): number =>
  crc32(JSON.stringify([id, cluster, program])) >>> 0;
function parse(data: Buffer): Stored | undefined {
  try {
    const value: unknown = JSON.parse(data.toString("utf8"));
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
/** Whether a write of ours that was cut short may have left this: nothing, zeros, or the beginning of an identity. */
function isTorn(data: Buffer): boolean {
  const text = data.toString("utf8").replace(/\0+$/, "");
  return text.startsWith(beginning) || beginning.startsWith(text);
}

/**
 * The data folder of a process: locked, and named after the node that it belongs to. A damaged folder, one of another
 * node, cluster or format is refused by name and left as it is.
 *
 * @example
 * const opened = yield* DataFolder.open(env, "/data/petrelbeam", "10.0.0.1:7660", { id, cluster, program: "store" });
 * if (opened.ok) opened.value; // the node's id, from its first start on
 */
export const DataFolder = {
  /** The node's id: the one that stands in the folder, or the one given, once it is on disk. @example yield* DataFolder.open(env, folder, address, identity) */
  *open(env: Environment, folder: string, address: string, first: Identity): Task<Result<string>> {
    const opened = yield* openFolder(env, folder, address, first);
    if (!opened.ok) env.log(1006, { reason: opened.fault.detail, folder });
    return opened;
  },
};
function* openFolder(env: Environment, folder: string, address: string, first: Identity): Task<Result<string>> {
  const locked = yield* env.disk.lock(folder, address);
  if (!locked.ok) return locked;
  const file = `${folder}/identity`;
  const read = yield* env.disk.read(file);
  if (!read.ok) return read;
  const stored = read.value && parse(read.value);
  if (read.value && (stored || !isTorn(read.value))) {
    const known = check(file, stored ?? {}, first);
    if (!known.ok) return known;
    // a process that was killed may have left the name unsynced
    const synced = yield* env.disk.syncFolder(folder);
    return synced.ok ? known : synced;
  }
  const names = yield* env.disk.list(folder);
  if (!names.ok) return names;
  const others = names.value.filter((name) => !leftByFirstStart.includes(name));
  if (others.length > 0) {
    const lacking = read.value ? "its identity is damaged" : "has no identity";
    const detail = `folder is not empty and ${lacking}: ${others.slice(0, 3).join(", ")}`;
    return Fault.fail("invalid", "open data folder", folder, detail);
  }
  const body = JSON.stringify({ ...first, format, sum: sumOf(first) });
  const written = yield* env.disk.write(file, Buffer.from(body));
  return written.ok ? Fault.ok(first.id) : written;
}
function check(file: string, stored: Stored, expected: Identity): Result<string> {
  const refuse = (detail: string): Result<never> => Fault.fail("invalid", "open data folder", file, detail);
  if (stored.format !== undefined && stored.format !== format)
    return refuse(`folder has format ${stored.format}; this version reads format ${format}`);
  if (stored.sum !== undefined && stored.sum !== sumOf(stored)) return refuse("identity is damaged");
  if (stored.cluster !== expected.cluster || stored.program !== expected.program || !stored.id)
    return refuse(`folder belongs to ${stored.program ?? "nobody readable"} of ${stored.cluster ?? "no cluster"}`);
  return Fault.ok(stored.id);
}
