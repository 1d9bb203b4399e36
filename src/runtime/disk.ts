import { Result } from "../common/fault";
import { Task } from "./csp";

/** The local disk. All operations return the fault "disk" if the operating system reports an error. */
export interface Disk {
  /** Returns undefined if the file does not exist. */
  read(path: string): Task<Result<Buffer | undefined>>;
  /** Replaces a file atomically and durably. After a power loss during the write, it has its former content or the new. */
  write(path: string, data: Buffer): Task<Result<true>>;
  /** Appends durably to an existing file. After a power loss during the write, any part of the data may be in the file. */
  append(path: string, data: Buffer): Task<Result<true>>;
  truncate(path: string, size: number): Task<Result<true>>;
  /** Returns the names in a folder; none if the folder does not exist. */
  list(folder: string): Task<Result<string[]>>;
  /** Removes a file, which may reappear after a power loss until its folder is synced. */
  remove(path: string): Task<Result<true>>;
  /** Makes the content durable that an earlier process wrote: it may have been killed before it synced the file. */
  syncFile(path: string): Task<Result<true>>;
  /** Makes the names durable that an earlier process created, renamed or removed. */
  syncFolder(folder: string): Task<Result<true>>;
  freeBytes(folder: string): Task<Result<number>>;
  /**
   * Locks the folder for this process. The owner is the address of the process; since only one process can listen there,
   * a lock of the same owner is that of an earlier run, and is replaced.
   */
  lock(folder: string, owner: string): Task<Result<true>>;
}
