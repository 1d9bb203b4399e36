// The one place that knows js-csp, which is old and untyped: our typings and our task runner.
// js-csp's own process starts each step with a timer turn and lets a throw escape into its dispatcher;
// our runner steps generators over js-csp channels, keeps every error, and counts its turns so that
// the simulator knows when nothing more can run.
const lib = require("js-csp") as {
  chan(buffer?: unknown): Chan<never>;
  buffers: { fixed(n: number): unknown; sliding(n: number): unknown; dropping(n: number): unknown };
  putAsync(channel: Chan<unknown>, value: unknown, callback?: (done: boolean) => void): void;
  offer(channel: Chan<unknown>, value: unknown): boolean;
  poll(channel: Chan<unknown>): unknown;
  NO_VALUE: unknown;
};

declare const valueType: unique symbol;
/** A js-csp channel; null means closed, so null is never a value. */
export interface Chan<T> {
  readonly [valueType]?: T;
  close(): void;
  isClosed(): boolean;
}
type Instruction = { op: "take"; chans: Chan<unknown>[] } | { op: "put"; chan: Chan<unknown>; value: unknown };
/** A task's code: a generator that yields to channels. */
export type Task<T> = Generator<Instruction, T, unknown>;
export type SelectResult<T> = { index: number; value: T | null };

type Handler = { isActive(): boolean; isBlockable(): boolean; commit(): (value: unknown) => void };

/** The side of a channel that our runner uses. */
type TakeableChan = Chan<unknown> & { take(handler: Handler): { value: unknown } | null };

/** A channel that carries nothing and is closed once: what a timer is, at a tenth of the memory and work of a full one. */
class Alarm {
  private handlers: Handler[] = [];
  private closed = false;
  isClosed(): boolean {
    return this.closed;
  }
  close(): void {
    if (this.closed) return;
    this.closed = true;
    const waiting = this.handlers;
    this.handlers = [];
    for (const handler of waiting) if (handler.isActive()) handler.commit()(null);
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

/** A branch of the supervisor tree: tasks and further branches that end together. */
export class Scope {
  alive = true;
  private readonly branches = new Set<Scope>();
  private readonly enders: (() => void)[] = [];
  constructor(
    readonly name: string,
    readonly onError: (task: string, error: unknown) => void,
    private readonly parent?: Scope,
  ) {
    parent?.branches.add(this);
  }
  /** @example const connectionScope = nodeScope.branch("connection 7"); */
  branch(name: string): Scope {
    return new Scope(name, this.onError, this);
  }
  /** Runs when the branch ends. @example scope.whenStopped(() => socket.destroy()); */
  onStop(ender: () => void): void {
    if (this.alive) this.enders.push(ender);
    else ender();
  }
  /** Ends every task of this branch and below. @example connectionScope.stop(); */
  stop(): void {
    if (!this.alive) return;
    this.alive = false;
    for (const branch of [...this.branches]) branch.stop();
    for (const ender of this.enders) ender();
    this.parent?.branches.delete(this);
  }
}

let turns = 0;

function step(scope: Scope, name: string, task: Task<unknown>, first: unknown): void {
  let value = first;
  for (;;) {
    if (!scope.alive) return;
    turns += 1;
    let stepped: IteratorResult<Instruction, unknown>;
    try {
      stepped = task.next(value);
    } catch (error) {
      if (scope.alive) scope.onError(name, error);
      return;
    }
    if (stepped.done) return;
    const instruction = stepped.value;
    let inCall = true;
    let ready = false;
    const resume = (resumedWith: unknown): void => {
      turns += 1;
      if (inCall) {
        ready = true;
        value = resumedWith;
      } else step(scope, name, task, resumedWith);
    };
    if (instruction.op === "put") {
      lib.putAsync(instruction.chan, instruction.value, resume);
    } else {
      let open = true;
      for (let index = 0; index < instruction.chans.length && open; index += 1) {
        const handler: Handler = {
          isActive: () => open,
          isBlockable: () => true,
          commit: () => {
            open = false;
            return (taken) => resume({ index, value: taken });
          },
        };
        const box = (instruction.chans[index] as TakeableChan).take(handler);
        if (box) resume({ index, value: box.value });
      }
    }
    inCall = false;
    if (!ready) return;
  }
}

function* takeOne<T>(chan: Chan<T>): Task<T | null> {
  const picked = (yield { op: "take", chans: [chan] }) as SelectResult<T>;
  return picked.value;
}
function* putOne<T>(chan: Chan<T>, value: T): Task<boolean> {
  return (yield { op: "put", chan, value }) as boolean;
}
function* selectFirst<T>(chans: Chan<T>[]): Task<SelectResult<T>> {
  return (yield { op: "take", chans }) as SelectResult<T>;
}

/**
 * Channels and tasks.
 *
 * @example
 * const numbers = Csp.chan<number>(8);
 * Csp.go(scope, "reader", function* () { const n = yield* Csp.take(numbers); });
 * Csp.offer(numbers, 3);
 */
export const Csp = {
  /** A bounded buffer; a putter waits when it is full. @example Csp.chan<string>(16) */
  chan: <T>(size: number): Chan<T> => lib.chan(lib.buffers.fixed(size)),
  /** Keeps the newest. @example Csp.sliding<number>(1) */
  sliding: <T>(size: number): Chan<T> => lib.chan(lib.buffers.sliding(size)),
  /** Only ever closed, and its takers go on at once: to be closed by what runs no task. @example Csp.alarm() */
  closeSignal: (): Chan<never> => new Alarm(),
  take: takeOne,
  put: putOne,
  select: selectFirst,
  /** Puts without waiting; false if full or closed. @example if (!Csp.offer(ch, 1)) dropped += 1; */
  offer: <T>(chan: Chan<T>, value: T): boolean => {
    turns += 1;
    return !chan.isClosed() && lib.offer(chan, value);
  },
  /** Takes without waiting. @example const next = Csp.poll(ch); */
  poll: <T>(chan: Chan<T>): T | undefined => {
    const polled = lib.poll(chan);
    return polled === lib.NO_VALUE || polled === null ? undefined : (polled as T);
  },
  /** Starts a task in a branch of the tree. @example Csp.go(scope, "pump", function* () { ... }); */
  go(scope: Scope, name: string, body: () => Task<unknown>): void {
    turns += 1;
    setImmediate(() => {
      if (scope.alive) step(scope, name, body(), undefined);
    });
  },
  /** Grows with every step any task takes; the simulator reads it. @example Csp.turns() */
  turns: (): number => turns,
};
