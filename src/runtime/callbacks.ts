import { Chan, Csp, Scope, Task } from "./csp";

/** Host and port of an address. @example addressParts("10.0.0.1:80") // { host: "10.0.0.1", port: 80 } */
export const parseAddress = (address: string): { host: string; port: number } => {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: +address.slice(at + 1) };
};

/** Puts what streams in on a bounded channel and pauses the source while it is full. */
export function forwardToChannel(
  source: { pause(): unknown; resume(): unknown },
  chan: Chan<Buffer>,
): (chunk: Buffer) => void {
  const waiting: Buffer[] = [];
  let moving = false;
  const move = (scope: { go(body: () => Task<unknown>): void }): void => {
    if (moving) return;
    moving = true;
    scope.go(function* () {
      while (waiting.length > 0) yield* Csp.put(chan, waiting.shift()!);
      moving = false;
      source.resume();
    });
  };
  return (chunk) => {
    if (waiting.length === 0 && Csp.offer(chan, chunk)) return;
    waiting.push(chunk);
    source.pause();
    move({ go: (body) => void Csp.go(streamScope, "pump", body) });
  };
}
/** Tasks that move bytes between Node's streams and channels; they outlive the scope of any one process part. */
export const streamScope = new Scope("pumps", (task, error) => process.stderr.write(`${task}: ${String(error)}\n`));

/** Turns a callback of Node's into a take. */
export function* awaitCallback<T>(start: (done: (value: T) => void) => void): Task<T> {
  const chan = Csp.chan<{ value: T }>(1);
  start((value) => Csp.offer(chan, { value }));
  return (yield* Csp.take(chan))!.value;
}
