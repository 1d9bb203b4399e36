import { Chan, Csp, Scope, Task } from "./csp";

/** Splits HOST:PORT. @example parseAddress("10.0.0.1:80") // { host: "10.0.0.1", port: 80 } */
export const parseAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: +address.slice(colon + 1) };
};

/** Returns a data listener that forwards chunks to a bounded channel, and pauses the source while the channel is full. */
export function forwardToChannel(
  source: { pause(): unknown; resume(): unknown },
  chan: Chan<Buffer>,
): (chunk: Buffer) => void {
  const pending: Buffer[] = [];
  let isFlushing = false;
  const flush = (starter: { go(body: () => Task<unknown>): void }): void => {
    if (isFlushing) return;
    isFlushing = true;
    starter.go(function* () {
      while (pending.length > 0) yield* Csp.put(chan, pending.shift()!);
      isFlushing = false;
      source.resume();
    });
  };
  return (chunk) => {
    if (pending.length === 0 && Csp.offer(chan, chunk)) return;
    pending.push(chunk);
    source.pause();
    flush({ go: (body) => void Csp.go(streamScope, "pump", body) });
  };
}
/** The scope of the tasks that forward Node.js streams to channels; it is never stopped. */
export const streamScope = new Scope("pumps", (task, error) => process.stderr.write(`${task}: ${String(error)}\n`));

/** Waits for the first value that `start` passes to its callback. */
export function* awaitCallback<T>(start: (done: (value: T) => void) => void): Task<T> {
  const chan = Csp.chan<{ value: T }>(1);
  start((value) => Csp.offer(chan, { value }));
  return (yield* Csp.take(chan))!.value;
}
