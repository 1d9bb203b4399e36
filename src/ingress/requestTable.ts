import type { Result } from "../common/fault";

/** Identifies one use of a slot; a handle from an earlier use of the slot is invalid. */
export interface RequestHandle {
  index: number;
  generation: number;
}

interface Slot<T> {
  generation: number;
  /** Undefined while the slot is free. */
  continuation: ((outcome: T) => void) | undefined;
  /** The index of the next free slot; -1 if there is none. */
  nextFree: number;
}

/**
 * Holds the continuations of pending requests, in a table of bounded size. A handle has the index and the generation of its
 * slot: an outcome that arrives after its request has ended finds another generation or a free slot, and is dropped.
 *
 * @example
 * const table = new RequestTable<string>(64);
 * const handle = table.open((outcome) => exchange.send(200, {}, outcome));
 * table.complete(handle!, "done"); // true, once
 */
export class RequestTable<T = Result<unknown>> {
  private readonly slots: Slot<T>[] = [];
  private firstFree = -1;
  /** The number of slots in use. */
  usedSlots = 0;
  /** The number of outcomes that arrived after their request had ended. */
  lateOutcomes = 0;
  constructor(private readonly size: number) {}

  /** Allocates a slot; returns undefined when all are in use. */
  open(continuation: (outcome: T) => void): RequestHandle | undefined {
    const index = this.takeFreeSlot();
    if (index === undefined) return undefined;
    const slot = this.slots[index];
    slot.generation += 1;
    slot.continuation = continuation;
    this.usedSlots += 1;
    return { index, generation: slot.generation };
  }

  /** Completes a request with its outcome; returns false if it has already ended. */
  complete(handle: RequestHandle, outcome: T): boolean {
    const continuation = this.release(handle);
    continuation?.(outcome);
    return continuation !== undefined;
  }

  /** Ends a request without an outcome, because its caller has disconnected. */
  cancel(handle: RequestHandle): void {
    this.release(handle);
  }

  /** Whether the request is still pending. */
  isOpen(handle: RequestHandle): boolean {
    const slot = this.slots[handle.index];
    return slot !== undefined && slot.generation === handle.generation && slot.continuation !== undefined;
  }

  private takeFreeSlot(): number | undefined {
    const index = this.firstFree;
    if (index >= 0) {
      this.firstFree = this.slots[index].nextFree;
      return index;
    }
    if (this.slots.length >= this.size) return undefined;
    return this.slots.push({ generation: 0, continuation: undefined, nextFree: -1 }) - 1;
  }

  private release(handle: RequestHandle): ((outcome: T) => void) | undefined {
    if (!this.isOpen(handle)) {
      this.lateOutcomes += 1;
      return undefined;
    }
    const slot = this.slots[handle.index];
    const { continuation } = slot;
    slot.continuation = undefined;
    slot.nextFree = this.firstFree;
    this.firstFree = handle.index;
    this.usedSlots -= 1;
    return continuation;
  }
}
