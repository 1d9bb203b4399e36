import { Chan, Csp, Task } from "../runtime/csp";

/**
 * Holds one mutual exclusion lock for each key, so that two tasks never change the same object at once.
 *
 * @example
 * yield* locks.waitUntilFree(job.id);
 * locks.acquire(job.id);
 * try { ... } finally { locks.release(job.id); }
 */
export class KeyedLock {
  private readonly lockByKey = new Map<string, Chan<true>>();

  isLocked(key: string): boolean {
    return this.lockByKey.has(key);
  }

  /** Waits until no task holds the lock. A caller that wants the lock must acquire it before it next yields. */
  *waitUntilFree(key: string): Task<void> {
    for (let lock = this.lockByKey.get(key); lock; lock = this.lockByKey.get(key)) yield* Csp.take(lock);
  }

  /** Acquires the lock, which must be free. */
  acquire(key: string): void {
    this.lockByKey.set(key, Csp.chan<true>(1));
  }

  /** Releases the lock and wakes all tasks that wait for it. */
  release(key: string): void {
    const lock = this.lockByKey.get(key);
    this.lockByKey.delete(key);
    lock?.close();
  }
}
