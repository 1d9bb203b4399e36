import { Result } from "../common/fault";
import { Task } from "./csp";

/** The local disk. All operations give the fault "disk" where the system refuses them. */
export interface Disk {
  /** Undefined if there is no such file. */
  read(path: string): Task<Result<Buffer | undefined>>;
  /** Replaces a file atomically and durably; after a loss of power before ok, it has its former content or this. */
  write(path: string, data: Buffer): Task<Result<true>>;
  /** Appends durably to a file that exists. After a loss of power before ok, any part of the data may be there. */
  append(path: string, data: Buffer): Task<Result<true>>;
  truncate(path: string, size: number): Task<Result<true>>;
  /** Names in a folder; none if there is no such folder. */
  list(folder: string): Task<Result<string[]>>;
  /** The name may come back after a loss of power, until its folder is synced. */
  remove(path: string): Task<Result<true>>;
  /** Makes what a former process wrote durable: it may have been killed before it synced. */
  syncFile(path: string): Task<Result<true>>;
  /** Makes the names durable that a former process created, renamed or removed. */
  syncFolder(folder: string): Task<Result<true>>;
  /** Free bytes. */
  freeBytes(folder: string): Task<Result<number>>;
  /**
   * Takes the folder for this process. One with the same owner (its address, which only one process can listen on) is the
   * same one, started again.
   */
  lock(folder: string, owner: string): Task<Result<true>>;
}
