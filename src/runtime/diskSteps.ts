import { Task } from "./csp";
import { Result } from "../common/fault";

/**
 * The single steps that a disk is made of. After a loss of power a file's content is sure only up to its last sync, and a
 * name that was made, renamed or removed only once its folder was synced after; each by itself. DurableDisk puts the steps
 * in order; production and the simulator differ in the steps alone, so that the simulator proves the order itself.
 *
 * @example
 * yield* steps.writeAndSync("data/slot-a.new", "replace", bytes);
 * yield* steps.rename("data/slot-a.new", "data/slot-a");
 * yield* steps.syncFolder("data");
 */
export interface DiskSteps {
  read(file: string): Task<Result<Buffer | undefined>>;
  /** Names in a folder; none if it isn't there. */
  list(folder: string): Task<Result<string[]>>;
  exists(folder: string): Task<Result<boolean>>;
  /** One folder, whose parent is there; ok if it is there already. */
  makeFolder(folder: string): Task<Result<true>>;
  /** Makes the file if need be, empties it for "replace", writes and syncs the content. Its name isn't synced. */
  writeAndSync(file: string, mode: "replace" | "append", data: Buffer): Task<Result<true>>;
  truncateAndSync(file: string, size: number): Task<Result<true>>;
  syncFile(file: string): Task<Result<true>>;
  syncFolder(folder: string): Task<Result<true>>;
  rename(from: string, to: string): Task<Result<true>>;
  /** Ok if it isn't there. */
  remove(file: string): Task<Result<true>>;
  freeBytes(folder: string): Task<Result<number>>;
  /** Keeps other processes out of the folder, which is there. */
  lock(folder: string, owner: string): Task<Result<true>>;
}
