import { Chan, Csp, Scope } from "../runtime/csp";
import { FaultPointContext, DatagramSocket, Env, HttpExchange, HttpResponse, Link, Timer } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { SimDisk } from "./simDisk";

type Event = { time: number; order: number; run: () => void };
/** Ends a process in the middle of its own code. */
class Killed extends Error {}

class Heap {
  private items: Event[] = [];
  private less = (left: Event, right: Event): boolean =>
    left.time < right.time || (left.time === right.time && left.order < right.order);
  peek = (): Event | undefined => this.items[0];
  push(item: Event): void {
    let at = this.items.push(item) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.less(this.items[at], this.items[parent])) break;
      [this.items[at], this.items[parent]] = [this.items[parent], this.items[at]];
      at = parent;
    }
  }
  pop(): Event | undefined {
    const top = this.items[0];
    const last = this.items.pop();
    if (last && this.items.length > 0) {
      this.items[0] = last;
      for (let at = 0; ;) {
        const left = 2 * at + 1;
        let least = at;
        if (left < this.items.length && this.less(this.items[left], this.items[least])) least = left;
        if (left + 1 < this.items.length && this.less(this.items[left + 1], this.items[least])) least = left + 1;
        if (least === at) break;
        [this.items[at], this.items[least]] = [this.items[least], this.items[at]];
        at = least;
      }
    }
    return top;
  }
}

/** A process of the simulated fleet. */
export class SimProcess {
  alive = true;
  frozen = false;
  /** Lost its power: what still stood in its send buffers is gone. */
  unsentLost = false;
  skewMs = 0;
  /** What its network link carries, each way; frames wait for their turn. 20 Mbit/s are 2500. */
  linkBytesPerMs = Infinity;
  sendFreeAt = 0;
  receiveFreeAt = 0;
  private deferred: (() => void)[] = [];
  readonly scope: Scope;
  readonly env: Env;
  readonly logs: string[] = [];
  readonly errors: string[] = [];
  pointHits = new Map<number, number>();
  constructor(
    readonly world: SimWorld,
    readonly name: string,
    readonly disk: SimDisk,
  ) {
    this.scope = new Scope(name, (task, error) => {
      if (error instanceof Killed) return;
      this.errors.push(`${name}: ${task}: ${(error as Error).stack ?? String(error)}`);
    });
    this.env = world.around(world.envOf(this));
  }
  /** Runs what came from outside, unless the process is frozen or gone. */
  deliver(run: () => void): void {
    if (!this.alive) return;
    if (this.frozen) this.deferred.push(run);
    else run();
  }
  freeze(): void {
    this.frozen = true;
  }
  wake(): void {
    if (!this.frozen) return;
    this.frozen = false;
    for (const run of this.deferred.splice(0)) run();
  }
}
type Armed = {
  process: string;
  point: number;
  hits: number;
  act: (process: SimProcess, about?: FaultPointContext) => void;
};
type Exchange = { client: SimProcess; server: SimProcess; breakClient: () => void; breakServer: () => void };
type Pair = { ends: [SimProcess, SimProcess]; close: () => void; reset: () => void };

/**
 * Virtual time, a lossy network and processes that can be killed, frozen and cut off. Time advances only
 * when no task can run; one seed gives one run.
 *
 * @example
 * const world = new SimWorld(7);
 * const process = world.start("store-1", new SimDisk(world));
 * await world.run(1000);
 */
export class SimWorld {
  now = 0;
  private order = 0;
  private heap = new Heap();
  private seed: number;
  readonly processes = new Map<string, SimProcess>();
  private listeners = new Map<string, { process: SimProcess; accept: Chan<Link> }>();
  private sockets = new Map<string, { process: SimProcess; incoming: Chan<{ from: string; data: Buffer }> }>();
  private servers = new Map<string, { process: SimProcess; handler: (incoming: HttpExchange) => Task<void> }>();
  private exchanges = new Set<Exchange>();
  private pairs = new Set<Pair>();
  private cuts = new Set<string>(); // "from>to", by process name
  private armed: Armed[] = [];
  lossRate = 0.003;
  latencyMs: [number, number] = [0.15, 1.2];
  slowDiskShare = 0.004;
  delivered = 0;
  /** Put around the environment of each process that starts, to count what it does. */
  around: (env: Env) => Env = (env) => env;
  readonly log: (line: string) => void;
  constructor(seed: number, log: (line: string) => void = () => undefined) {
    this.seed = (seed * 2654435761 + 12345) >>> 0 || 1;
    this.log = log;
  }
  /** A number in [0, 1) out of the seed. @example world.random() */
  random(): number {
    this.seed = (this.seed + 0x6d2b79f5) >>> 0;
    let mixed = this.seed;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
  /** @example world.at(100, () => world.kill("store-1")); */
  at(inMs: number, run: () => void): void {
    this.heap.push({ time: this.now + Math.max(0, inMs), order: (this.order += 1), run });
  }
  private async settle(): Promise<void> {
    for (;;) {
      const before = Csp.turns();
      await new Promise<void>((resolve) => setImmediate(resolve));
      if (Csp.turns() === before) return;
    }
  }
  /** Lets so much virtual time pass. @example await world.run(5000); */
  async run(ms: number): Promise<void> {
    const until = this.now + ms;
    await this.settle();
    for (;;) {
      const next = this.heap.peek();
      if (!next || next.time > until) break;
      this.now = Math.max(this.now, next.time);
      while (this.heap.peek() && this.heap.peek()!.time <= this.now) this.heap.pop()!.run();
      await this.settle();
    }
    this.now = Math.max(this.now, until);
  }
  /** Runs a task of a process to its end, virtual time passing; undefined if not in time. @example await world.finish(process, task, 5000) */
  async finish<T>(process: SimProcess, body: () => Task<T>, withinMs: number): Promise<T | undefined> {
    let result: { value: T } | undefined;
    Csp.go(process.scope, "finish", function* () {
      result = { value: yield* body() };
    });
    for (const until = this.now + withinMs; this.now < until && !result;) await this.run(10);
    return result?.value;
  }

  // ---------- processes ----------
  /** @example world.start("store-1", disk) */
  start(name: string, disk: SimDisk): SimProcess {
    const process = new SimProcess(this, name, disk);
    this.processes.set(name, process);
    return process;
  }
  /** Ends a process at once; with its power, what it had not synced or was sending may be lost. @example world.kill("store-1", true); */
  kill(name: string, powerLost = false): void {
    const process = this.processes.get(name);
    if (!process?.alive) return;
    process.alive = false;
    process.unsentLost = powerLost;
    process.scope.stop();
    if (powerLost) process.disk.losePower();
    for (const table of [this.listeners, this.sockets, this.servers] as Map<string, { process: SimProcess }>[])
      for (const [address, entry] of table) if (entry.process === process) table.delete(address);
    for (const exchange of [...this.exchanges]) {
      if (exchange.server === process) this.after(process, exchange.client, () => exchange.breakClient());
      if (exchange.client === process) this.after(process, exchange.server, () => exchange.breakServer());
      if (exchange.server === process || exchange.client === process) this.exchanges.delete(exchange);
    }
    for (const pair of [...this.pairs]) if (pair.ends.includes(process)) pair.close();
  }
  /** Whether a point was reached by a process. @example world.hits(41) */
  hits(point: number): number {
    return [...this.processes.values()].reduce((sum, process) => sum + (process.pointHits.get(point) ?? 0), 0);
  }
  /** Told of every point as it is reached. */
  watch: (process: SimProcess, point: number) => void = () => undefined;
  /** Does something the next time processes with the prefix reach a point. @example world.arm("store-", 41, 1, (p) => world.kill(p.name)); */
  arm(
    process: string,
    point: number,
    hits: number,
    act: (process: SimProcess, about?: FaultPointContext) => void,
  ): void {
    this.armed.push({ process, point, hits, act });
  }
  disarm(): number {
    const left = this.armed.length;
    this.armed = [];
    return left;
  }
  private reached(process: SimProcess, point: number, about?: FaultPointContext): void {
    this.watch(process, point);
    process.pointHits.set(point, (process.pointHits.get(point) ?? 0) + 1);
    for (const armed of this.armed)
      if (armed.point === point && process.name.startsWith(armed.process) && (armed.hits -= 1) <= 0) {
        this.armed = this.armed.filter((each) => each !== armed);
        armed.act(process, about);
        if (!process.alive) throw new Killed(`killed at point ${point}`);
        return;
      }
  }

  // ---------- network ----------
  /** One way. @example world.cut("control-1", "control-2"); */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }
  /** @example world.cutOff(["store-1"], "both"); */
  cutOff(names: string[], way: "in" | "out" | "both"): void {
    for (const name of names)
      for (const other of this.processes.keys())
        if (!names.includes(other)) {
          if (way !== "in") this.cut(name, other);
          if (way !== "out") this.cut(other, name);
        }
  }
  /** Whether connections over a cut are refused at once, rather than left without an answer. */
  cutsReset = false;
  /** Resets the connections that a cut crosses. @example world.resetCut(); */
  resetCut(): void {
    for (const pair of [...this.pairs]) if (!this.joined(...pair.ends)) pair.reset();
  }
  private joined = (left: SimProcess, right: SimProcess): boolean =>
    this.reachable(left, right) && this.reachable(right, left);
  /** Ends all cuts. @example world.heal(); */
  heal(): void {
    this.cuts.clear();
  }
  private reachable = (from: SimProcess, to: SimProcess): boolean => !this.cuts.has(`${from.name}>${to.name}`);
  private latency = (): number =>
    this.latencyMs[0] + this.random() * this.latencyMs[1] + (this.random() < 0.002 ? 15 * this.random() : 0);
  private after(from: SimProcess, to: SimProcess, run: () => void, inMs = this.latency()): void {
    if (!this.reachable(from, to)) return;
    this.at(inMs, () => {
      if (!this.reachable(from, to)) return;
      this.delivered += 1;
      to.deliver(run);
    });
  }
  /** When so many bytes have passed the links of both ends. */
  private carried(from: SimProcess, to: SimProcess, bytes: number): number {
    from.sendFreeAt = Math.max(this.now, from.sendFreeAt) + bytes / from.linkBytesPerMs;
    to.receiveFreeAt = Math.max(from.sendFreeAt, to.receiveFreeAt) + bytes / to.linkBytesPerMs;
    return to.receiveFreeAt;
  }
  /** Messages between two processes in order; a cut loses them and the connection never recovers. */
  private pipe(from: SimProcess, to: SimProcess): (run: () => void, bytes?: number) => void {
    let last = 0;
    let dead = false;
    return (run, bytes = 0) => {
      if (!this.reachable(from, to)) dead = true;
      if (dead) return;
      const due = Math.max(last + 0.0001, this.carried(from, to, bytes) + this.latency());
      last = due;
      this.at(due - this.now, () => {
        if (!this.reachable(from, to) || from.unsentLost) dead = true;
        if (dead) return;
        this.delivered += 1;
        to.deliver(run);
      });
    };
  }
  private linkPair(client: SimProcess, server: SimProcess, accept: Chan<Link>, address: string): Link {
    const toServer = this.pipe(client, server);
    const toClient = this.pipe(server, client);
    const atServer = Csp.chan<Buffer>(4096);
    const atClient = Csp.chan<Buffer>(4096);
    const pair: Pair = {
      ends: [client, server],
      close: () => {
        this.pairs.delete(pair);
        toServer(() => atServer.close());
        toClient(() => atClient.close());
        if (!client.alive) atClient.close();
        if (!server.alive) atServer.close();
      },
      reset: () => {
        this.pairs.delete(pair);
        client.deliver(() => atClient.close());
        server.deliver(() => atServer.close());
      },
    };
    this.pairs.add(pair);
    const link = (
      member: string,
      incoming: Chan<Buffer>,
      send: (run: () => void, bytes?: number) => void,
      other: Chan<Buffer>,
    ): Link => ({
      member,
      incoming,
      send: (snapshot) => {
        if (incoming.isClosed()) return false;
        send(() => void Csp.offer(other, snapshot), snapshot.length);
        return true;
      },
      close: () => {
        incoming.close();
        pair.close();
      },
    });
    server.deliver(() => void Csp.offer(accept, link(client.name, atServer, toClient, atClient)));
    return link(address, atClient, toServer, atServer);
  }

  envOf(process: SimProcess): Env {
    const world = this;
    const oneShot = <T>(): Chan<{ value: T }> => Csp.chan<{ value: T }>(1);
    return {
      name: process.name,
      scope: process.scope,
      disk: process.disk.of(process),
      wall: () => 1_790_000_000_000 + world.now + process.skewMs,
      mono: () => 1000 + world.now,
      random: () => world.random(),
      timer(ms): Timer {
        const chan = Csp.alarm();
        let cancelled = false;
        world.at(ms, () => {
          if (!cancelled) process.deliver(() => chan.close());
        });
        return { chan, cancel: () => (cancelled = true) };
      },
      *listen(address) {
        if (world.listeners.has(address)) return Fault.fail("internal", "listen", address, "address in use");
        const accept = Csp.chan<Link>(1024);
        world.listeners.set(address, { process, accept });
        return Fault.ok(accept);
      },
      *connect(address, timeoutMs) {
        const done = oneShot<Result<Link>>();
        const settle = (result: Result<Link>): void => void Csp.offer(done, { value: result });
        world.at(timeoutMs, () =>
          process.deliver(() => settle(Fault.fail("refused", "connect", address, "no connection in time"))),
        );
        const listener = world.listeners.get(address);
        const target =
          listener?.process ?? [...world.processes.values()].find((each) => each.alive && each !== process);
        if (!listener) {
          if (target)
            world.at(world.latency(), () =>
              process.deliver(() => settle(Fault.fail("refused", "connect", address, "connection refused"))),
            );
        } else
          world.at(world.latency(), () => {
            if (!listener.process.alive)
              return process.deliver(() => settle(Fault.fail("refused", "connect", address, "connection refused")));
            if (!process.alive) return;
            if (!world.joined(process, listener.process)) {
              if (world.cutsReset)
                process.deliver(() => settle(Fault.fail("refused", "connect", address, "connection reset")));
              return;
            }
            const link = world.linkPair(process, listener.process, listener.accept, address);
            process.deliver(() => settle(Fault.ok(link)));
          });
        return (yield* Csp.take(done))!.value;
      },
      *datagrams(address) {
        const incoming = Csp.chan<{ from: string; data: Buffer }>(1024);
        world.sockets.set(address, { process, incoming });
        const socket: DatagramSocket = {
          incoming,
          send(to, data) {
            const target = world.sockets.get(to);
            if (!target || world.random() < world.lossRate) return;
            world.after(
              process,
              target.process,
              () => void Csp.offer(incoming === target.incoming ? incoming : target.incoming, { from: address, data }),
            );
          },
        };
        return Fault.ok(socket);
      },
      *serveHttp(address, handler) {
        if (world.servers.has(address)) return Fault.fail("internal", "serve http", address, "address in use");
        world.servers.set(address, { process, handler });
        return Fault.ok(true as const);
      },
      stopServing() {
        for (const [address, server] of world.servers) if (server.process === process) world.servers.delete(address);
      },
      *http(address, out) {
        const done = oneShot<Result<HttpResponse>>();
        let state: "connecting" | "sent" | "replied" | "over" = "connecting";
        const settle = (result: Result<HttpResponse>): void => {
          if (state === "replied" || state === "over") return;
          state = result.ok ? "replied" : "over";
          Csp.offer(done, { value: result });
        };
        world.at(out.timeoutMs, () =>
          process.deliver(() => {
            if (state === "connecting" || state === "sent") {
              settle(Fault.fail(state === "sent" ? "timeout" : "refused", "http request", address, "no reply in time"));
              exchange?.breakServer();
            }
          }),
        );
        const server = world.servers.get(address);
        let exchange: Exchange | undefined;
        if (out.cancellation)
          out.cancellation.cancel = () => {
            settle(Fault.fail("broken", "http request", address, "given up by whoever asked"));
            exchange?.breakClient();
            exchange?.breakServer();
          };
        if (!server)
          world.at(world.latency(), () =>
            process.deliver(() => settle(Fault.fail("refused", "http request", address, "connection refused"))),
          );
        else
          world.at(world.latency(), () => {
            if (!server.process.alive)
              return process.deliver(() =>
                settle(Fault.fail("refused", "http request", address, "connection refused")),
              );
            if (
              !world.reachable(process, server.process) ||
              !world.reachable(server.process, process) ||
              !process.alive ||
              state !== "connecting"
            )
              return;
            state = "sent";
            const toClient = world.pipe(server.process, process);
            const chunks = Csp.chan<Buffer>(8192);
            const gone = Csp.chan<true>(1);
            let whole = false;
            let headed = false;
            exchange = {
              client: process,
              server: server.process,
              breakClient: () => {
                settle(Fault.fail("broken", "http request", address, "connection reset"));
                chunks.close();
              },
              breakServer: () =>
                world.after(process, server.process, () => {
                  gone.close();
                  incoming.onGone?.();
                  world.exchanges.delete(exchange!);
                }),
            };
            world.exchanges.add(exchange);
            const current = exchange;
            const response = (status: number, headers: Record<string, string>): void =>
              toClient(() =>
                settle(
                  Fault.ok({
                    status,
                    headers,
                    chunks,
                    broken: () => !whole,
                    finish: () => undefined,
                    abort: () => {
                      state = "over";
                      chunks.close();
                      current.breakServer();
                    },
                  }),
                ),
              );
            const end = (): void => {
              world.exchanges.delete(current);
              gone.close();
              toClient(() => {
                whole = true;
                chunks.close();
              });
            };
            const url = new URL(out.path, "http://host");
            const incoming: HttpExchange = {
              method: out.method,
              path: url.pathname,
              target: out.path,
              query: url.searchParams,
              headers: out.headers ?? {},
              caller: process.name,
              gone,
              *body(limit) {
                const data =
                  typeof out.body === "string" ? Buffer.from(out.body, "utf8") : (out.body ?? Buffer.alloc(0));
                return data.length > limit
                  ? Fault.fail("invalid", "read body", "caller", "body over the limit")
                  : Fault.ok(data);
              },
              send(status, headers, body) {
                if (headed) return;
                headed = true;
                response(status, headers);
                toClient(() => void Csp.offer(chunks, Buffer.from(body as string)));
                end();
              },
              open(status, headers) {
                if (headed) return;
                headed = true;
                response(status, headers);
              },
              write: (chunk) => toClient(() => void Csp.offer(chunks, Buffer.from(chunk as string))),
              end,
              abort: () => toClient(() => current.breakClient()),
            };
            server.process.deliver(
              () => void Csp.go(server.process.scope, `${out.method} ${out.path}`, () => server.handler(incoming)),
            );
          });
        return (yield* Csp.take(done))!.value;
      },
      point: (number, about) => world.reached(process, number, about),
      log: (event, fields) => {
        const line = `${world.now.toFixed(1)} ${process.name} PB${event} ${fields ? JSON.stringify(fields) : ""}`;
        if (event === 1004) process.errors.push(line);
        process.logs.push(line);
        if (process.logs.length > 400) process.logs.shift();
        world.log(line);
      },
    };
  }
}
