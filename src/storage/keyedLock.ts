import { Chan, Csp, Task } from "../runtime/csp";

/**
 * A lock for each key, so that two tasks never work on the same object at once.
 *
 * @example
 * yield* submissions.whenFree(job.id);
 * submissions.acquire(job.id);
 * try { ... } finally { submissions.release(job.id); }
 */
export class KeyedLock {
  private readonly locks = new Map<string, Chan<true>>();

  isLocked(key: string): boolean {
    return this.locks.has(key);
  }

  /** Waits until no task has the lock. It must be acquired, if at all, before the next wait. */
  *whenFree(key: string): Task<void> {
    for (let lock = this.locks.get(key); lock; lock = this.locks.get(key)) yield* Csp.take(lock);
  }

  /** Acquires a free lock. */
  acquire(key: string): void {
    this.locks.set(key, Csp.chan<true>(1));
  }

  /** Releases the lock and wakes all that wait for it. */
  release(key: string): void {
    const lock = this.locks.get(key);
    this.locks.delete(key);
    lock?.close();
  }
}
