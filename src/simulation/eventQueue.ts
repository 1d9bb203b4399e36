/** An action scheduled at a virtual time. */
export interface ScheduledEvent {
  /** Virtual time at which the action is due, in ms. */
  time: number;
  /** Sequence number of scheduling. Events due at the same time run in this order. */
  order: number;
  run: () => void;
}

const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean =>
  left.time < right.time || (left.time === right.time && left.order < right.order);

/** Priority queue of scheduled events, the earliest first, as a binary min-heap. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];

  /** Returns the earliest event and leaves it in the queue. */
  peek(): ScheduledEvent | undefined {
    return this.heap[0];
  }
  push(event: ScheduledEvent): void {
    let index = this.heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(this.heap[index], this.heap[parent])) break;
      this.swap(index, parent);
      index = parent;
    }
  }
  /** Removes and returns the earliest event. */
  pop(): ScheduledEvent | undefined {
    const earliest = this.heap[0];
    const last = this.heap.pop();
    if (last && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
    return earliest;
  }

  private siftDown(): void {
    for (let index = 0; ;) {
      const smallest = this.smallestOf(index, 2 * index + 1, 2 * index + 2);
      if (smallest === index) return;
      this.swap(index, smallest);
      index = smallest;
    }
  }
  private smallestOf(index: number, ...children: number[]): number {
    let smallest = index;
    for (const child of children)
      if (child < this.heap.length && isBefore(this.heap[child], this.heap[smallest])) smallest = child;
    return smallest;
  }
  private swap(left: number, right: number): void {
    [this.heap[left], this.heap[right]] = [this.heap[right], this.heap[left]];
  }
}
