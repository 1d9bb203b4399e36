export type RequestHandle = { index: number; generation: number };
type Slot<T> = { generation: number; continuation: ((outcome: T) => void) | undefined; next: number };

/**
 * Continuations of requests, by index and generation: a late reply finds its slot taken by
 * another generation and reaches nobody.
 *
 * @example
 * const slab = new Slab<string>(64);
 * const ticket = slab.open((outcome) => incoming.send(200, {}, outcome));
 * slab.resume(ticket!, "done"); // true, once
 */
export class RequestTable<T> {
  private readonly slots: Slot<T>[] = [];
  private free = -1;
  used = 0;
  lateOutcomes = 0;
  constructor(private readonly size: number) {}
  /** Undefined when every slot is taken. @example const ticket = slab.open(reply); */
  open(continuation: (outcome: T) => void): RequestHandle | undefined {
    let index = this.free;
    if (index >= 0) this.free = this.slots[index].next;
    else if (this.slots.length < this.size)
      index = this.slots.push({ generation: 0, continuation: undefined, next: -1 }) - 1;
    else return undefined;
    const slot = this.slots[index];
    slot.generation += 1;
    slot.continuation = continuation;
    this.used += 1;
    return { index, generation: slot.generation };
  }
  private take(ticket: RequestHandle): ((outcome: T) => void) | undefined {
    const slot = this.slots[ticket.index];
    if (!slot || slot.generation !== ticket.generation || !slot.continuation) {
      this.lateOutcomes += 1;
      return undefined;
    }
    const { continuation } = slot;
    slot.continuation = undefined;
    slot.next = this.free;
    this.free = ticket.index;
    this.used -= 1;
    return continuation;
  }
  /** False if the ticket is no longer good. @example slab.resume(ticket, outcome) */
  resume(ticket: RequestHandle, outcome: T): boolean {
    const continuation = this.take(ticket);
    continuation?.(outcome);
    return continuation !== undefined;
  }
  /** The caller has gone. @example slab.drop(ticket); */
  cancel(ticket: RequestHandle): void {
    this.take(ticket);
  }
  /** @example slab.holds(ticket) */
  isOpen(ticket: RequestHandle): boolean {
    const slot = this.slots[ticket.index];
    return slot !== undefined && slot.generation === ticket.generation && slot.continuation !== undefined;
  }
}
