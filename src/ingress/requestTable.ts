import type { Result } from "../common/fault";

/** Names one use of a slot; a handle of an earlier use of the slot is no longer good. */
export interface RequestHandle {
  index: number;
  generation: number;
}

interface Slot<T> {
  generation: number;
  /** Undefined while the slot is free. */
  continuation: ((outcome: T) => void) | undefined;
  /** The next free slot, -1 for none. */
  nextFree: number;
}

/**
 * Continuations of pending requests, in a table of bounded size. A slot is found by index and generation: a late outcome
 * finds another generation in its slot and reaches nobody.
 *
 * @example
 * const table = new RequestTable<string>(64);
 * const handle = table.open((outcome) => exchange.send(200, {}, outcome));
 * table.complete(handle!, "done"); // true, once
 */
export class RequestTable<T = Result<unknown>> {
  private readonly slots: Slot<T>[] = [];
  private firstFree = -1;
  /** Slots in use. */
  usedSlots = 0;
  /** Outcomes that came after their request had ended. */
  lateOutcomes = 0;
  constructor(private readonly size: number) {}

  /** Takes a slot; undefined when all are in use. */
  open(continuation: (outcome: T) => void): RequestHandle | undefined {
    const index = this.takeFreeSlot();
    if (index === undefined) return undefined;
    const slot = this.slots[index];
    slot.generation += 1;
    slot.continuation = continuation;
    this.usedSlots += 1;
    return { index, generation: slot.generation };
  }

  /** Ends a request with its outcome; false if it has already ended. */
  complete(handle: RequestHandle, outcome: T): boolean {
    const continuation = this.release(handle);
    continuation?.(outcome);
    return continuation !== undefined;
  }

  /** Ends a request without an outcome: its caller has disconnected. */
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
