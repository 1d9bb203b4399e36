/** An action due at a virtual time. */
export interface ScheduledEvent {
  /** Virtual time at which it is due, in milliseconds. */
  time: number;
  /** Order of scheduling: events due at one time run in it. */
  order: number;
  run: () => void;
}

const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean =>
  left.time < right.time || (left.time === right.time && left.order < right.order);

/**
 * Scheduled events as a binary min-heap, the earliest first.
 *
 * @example
 * queue.push({ time: 10, order: 1, run });
 * queue.pop()?.run();
 */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];

  /** The earliest event, left in the queue. @example queue.peek()?.time */
  peek(): ScheduledEvent | undefined {
    return this.heap[0];
  }
  /** @example queue.push({ time: 10, order: 1, run }); */
  push(event: ScheduledEvent): void {
    let index = this.heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(this.heap[index], this.heap[parent])) break;
      this.swap(index, parent);
      index = parent;
    }
  }
  /** The earliest event, taken out. @example queue.pop()?.run(); */
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
