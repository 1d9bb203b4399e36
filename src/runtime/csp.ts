// Type declarations and a task runner for js-csp, which is old and untyped; only this module uses the package directly.
// The processes of js-csp start each step with a timer turn, and an exception escapes into their dispatcher.
// This runner steps generators over js-csp channels, reports every error, and counts its steps so that the simulator
// can tell when nothing more can run.
const lib = require("js-csp") as {
  chan(buffer?: unknown): Chan<never>;
  buffers: { fixed(n: number): unknown; sliding(n: number): unknown; dropping(n: number): unknown };
  putAsync(channel: Chan<unknown>, value: unknown, callback?: (done: boolean) => void): void;
  offer(channel: Chan<unknown>, value: unknown): boolean;
  poll(channel: Chan<unknown>): unknown;
  NO_VALUE: unknown;
};

declare const valueType: unique symbol;
/** A js-csp channel. A take from a closed channel returns null, so null cannot be sent. */
export interface Chan<T> {
  readonly [valueType]?: T;
  close(): void;
  isClosed(): boolean;
}
type Instruction = { op: "take"; chans: Chan<unknown>[] } | { op: "put"; chan: Chan<unknown>; value: unknown };
/** The body of a task: a generator that yields channel operations to the runner. */
export type Task<T> = Generator<Instruction, T, unknown>;
/** The index of the channel that was taken from, and the value; null if that channel is closed. */
export type SelectResult<T> = { index: number; value: T | null };

type Handler = { isActive(): boolean; isBlockable(): boolean; commit(): (value: unknown) => void };

/** The internal js-csp interface that the runner takes values through. */
type TakeableChan = Chan<unknown> & { take(handler: Handler): { value: unknown } | null };

/**
 * A channel without values that is closed once, such as that of a timer. It needs a tenth of the memory and processor
 * time of a js-csp channel.
 */
class CloseSignal {
  private handlers: Handler[] = [];
  private closed = false;
  isClosed(): boolean {
    return this.closed;
  }
  close(): void {
    if (this.closed) return;
    this.closed = true;
    const takers = this.handlers;
    this.handlers = [];
    for (const handler of takers) if (handler.isActive()) handler.commit()(null);
  }
  take(handler: Handler): { value: null } | null {
    if (!handler.isActive()) return null;
    if (this.closed) {
      handler.commit();
      return { value: null };
    }
    this.handlers.push(handler);
    return null;
  }
}

/** A node of the supervision tree: its tasks and child scopes end together. */
export class Scope {
  alive = true;
  private readonly children = new Set<Scope>();
  private readonly stopCallbacks: (() => void)[] = [];
  constructor(
    readonly name: string,
    readonly onError: (task: string, error: unknown) => void,
    private readonly parent?: Scope,
  ) {
    parent?.children.add(this);
  }
  /** Creates a child scope. */
  branch(name: string): Scope {
    return new Scope(name, this.onError, this);
  }
  /** Calls the callback when the scope stops, or at once if it has stopped. */
  onStop(callback: () => void): void {
    if (this.alive) this.stopCallbacks.push(callback);
    else callback();
  }
  /** Stops the child scopes and this one; their tasks do not resume. */
  stop(): void {
    if (!this.alive) return;
    this.alive = false;
    for (const child of [...this.children]) child.stop();
    for (const callback of this.stopCallbacks) callback();
    this.parent?.children.delete(this);
  }
}

/** Counts every step of a task and every operation that may let a task continue. */
let stepCount = 0;

function step(scope: Scope, name: string, task: Task<unknown>, first: unknown): void {
  let value = first;
  for (;;) {
    if (!scope.alive) return;
    stepCount += 1;
    let stepped: IteratorResult<Instruction, unknown>;
    try {
      stepped = task.next(value);
    } catch (error) {
      if (scope.alive) scope.onError(name, error);
      return;
    }
    if (stepped.done) return;
    const instruction = stepped.value;
    // While the operation is being started: a result that is available at once continues the loop instead of recursing.
    let isSynchronous = true;
    let hasResult = false;
    const resume = (result: unknown): void => {
      stepCount += 1;
      if (isSynchronous) {
        hasResult = true;
        value = result;
      } else step(scope, name, task, result);
    };
    if (instruction.op === "put") {
      lib.putAsync(instruction.chan, instruction.value, resume);
    } else {
      let isPending = true;
      for (let index = 0; index < instruction.chans.length && isPending; index += 1) {
        const handler: Handler = {
          isActive: () => isPending,
          isBlockable: () => true,
          commit: () => {
            isPending = false;
            return (taken) => resume({ index, value: taken });
          },
        };
        const available = (instruction.chans[index] as TakeableChan).take(handler);
        if (available) resume({ index, value: available.value });
      }
    }
    isSynchronous = false;
    if (!hasResult) return;
  }
}

function* takeOne<T>(chan: Chan<T>): Task<T | null> {
  const selected = (yield { op: "take", chans: [chan] }) as SelectResult<T>;
  return selected.value;
}
function* putOne<T>(chan: Chan<T>, value: T): Task<boolean> {
  return (yield { op: "put", chan, value }) as boolean;
}
function* selectFirst<T>(chans: Chan<T>[]): Task<SelectResult<T>> {
  return (yield { op: "take", chans }) as SelectResult<T>;
}

/**
 * Channels and tasks in the style of communicating sequential processes.
 *
 * @example
 * const numbers = Csp.chan<number>(8);
 * Csp.go(scope, "reader", function* () { const n = yield* Csp.take(numbers); });
 * Csp.offer(numbers, 3);
 */
export const Csp = {
  /** Creates a channel with a bounded buffer; a put waits while the buffer is full. */
  chan: <T>(size: number): Chan<T> => lib.chan(lib.buffers.fixed(size)),
  /** Creates a channel whose buffer drops the oldest value when it is full. */
  sliding: <T>(size: number): Chan<T> => lib.chan(lib.buffers.sliding(size)),
  /**
   * Creates a channel without values that is only closed. Closing it resumes the takers synchronously, so only code
   * outside tasks may close it.
   */
  closeSignal: (): Chan<never> => new CloseSignal(),
  take: takeOne,
  put: putOne,
  select: selectFirst,
  /** Puts without waiting; returns false if the channel is full or closed. */
  offer: <T>(chan: Chan<T>, value: T): boolean => {
    stepCount += 1;
    return !chan.isClosed() && lib.offer(chan, value);
  },
  /** Takes without waiting; returns undefined if the channel is empty or closed. */
  poll: <T>(chan: Chan<T>): T | undefined => {
    const polled = lib.poll(chan);
    return polled === lib.NO_VALUE || polled === null ? undefined : (polled as T);
  },
  /** Starts a task in a scope. `name` identifies the task in error reports. */
  go(scope: Scope, name: string, body: () => Task<unknown>): void {
    stepCount += 1;
    setImmediate(() => {
      if (scope.alive) step(scope, name, body(), undefined);
    });
  },
  /** Returns a number that grows with every step of any task; the simulator detects idleness by it. */
  turns: (): number => stepCount,
};
