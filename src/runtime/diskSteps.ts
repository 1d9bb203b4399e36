import { Task } from "./csp";
import { Result } from "../common/fault";

/**
 * The primitive operations that `DurableDisk` combines. After a power loss only the content of a file up to its last
 * sync is certain, and the creation, renaming or removal of a name only if its folder was synced afterwards; the two are
 * independent of each other. Production and the simulator have the same `DurableDisk` and differ only in these steps, so
 * that simulated power losses test the order of the steps.
 *
 * @example
 * yield* steps.writeAndSync("data/slot-a.new", "replace", bytes);
 * yield* steps.rename("data/slot-a.new", "data/slot-a");
 * yield* steps.syncFolder("data");
 */
export interface DiskSteps {
  read(file: string): Task<Result<Buffer | undefined>>;
  /** Returns the names in a folder; none if the folder does not exist. */
  list(folder: string): Task<Result<string[]>>;
  exists(folder: string): Task<Result<boolean>>;
  /** Creates a folder whose parent exists; ok if the folder exists already. */
  makeFolder(folder: string): Task<Result<true>>;
  /** Creates the file if it does not exist, or empties it for "replace"; writes and syncs the content, but not the name. */
  writeAndSync(file: string, mode: "replace" | "append", data: Buffer): Task<Result<true>>;
  truncateAndSync(file: string, size: number): Task<Result<true>>;
  syncFile(file: string): Task<Result<true>>;
  syncFolder(folder: string): Task<Result<true>>;
  rename(from: string, to: string): Task<Result<true>>;
  /** Ok if the file does not exist. */
  remove(file: string): Task<Result<true>>;
  freeBytes(folder: string): Task<Result<number>>;
  /** Locks an existing folder against other processes. */
  lock(folder: string, owner: string): Task<Result<true>>;
}
