import { Csp, Task } from "../runtime/csp";
import { Environment, FaultPointContext } from "../runtime/env";
import { EventQueue } from "./eventQueue";
import { SimDisk } from "./simDisk";
import { SimEnvironmentHost, SimEnvironments } from "./simEnvironment";
import { SimHttp } from "./simHttp";
import { SimNetwork } from "./simNetwork";
import { ProcessHost, ProcessKilled, SimProcess } from "./simProcess";

export { SimProcess } from "./simProcess";

/** Interval of virtual time between checks whether a task has finished. */
const TASK_CHECK_MS = 10;

/** Runs when a process reaches an armed fault point. */
export type FaultAction = (process: SimProcess, context?: FaultPointContext) => void;
interface ArmedPoint {
  processPrefix: string;
  point: number;
  hitsLeft: number;
  action: FaultAction;
}
/** Which messages of a partitioned process are dropped. */
export type PartitionDirection = "in" | "out" | "both";

/**
 * Simulates virtual time, a lossy network and processes that can be killed, frozen and partitioned. Time advances only when
 * no task can run, and all random numbers come from the seed, so runs with the same seed are identical.
 *
 * @example
 * const world = new SimWorld(7);
 * const process = world.start("store-1", new SimDisk(world));
 * await world.run(1000);
 */
export class SimWorld implements SimEnvironmentHost, ProcessHost {
  /** Virtual time, in ms. */
  now = 0;
  readonly processes = new Map<string, SimProcess>();
  readonly network = new SimNetwork(this);
  readonly http = new SimHttp(this, this.network);
  readonly log: (line: string) => void;
  /** Share of disk syncs that are slow. */
  slowDiskShare = 0.004;
  /** Wraps the environment of each process that starts, to measure or disturb the process. */
  wrapEnvironment: (env: Environment) => Environment = (env) => env;
  /** Called whenever a process reaches a fault point. */
  onFaultPoint: (process: SimProcess, point: number) => void = () => undefined;
  private readonly environments = new SimEnvironments(this);
  private readonly queue = new EventQueue();
  private scheduled = 0;
  private seed: number;
  private armed: ArmedPoint[] = [];

  constructor(seed: number, log: (line: string) => void = () => undefined) {
    this.seed = (seed * 2654435761 + 12345) >>> 0 || 1;
    this.log = log;
  }

  // ---------- time and randomness ----------
  /** The next random number from 0 to less than 1 (mulberry32). */
  random(): number {
    this.seed = (this.seed + 0x6d2b79f5) >>> 0;
    let mixed = this.seed;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
  /** Runs an action after a delay. */
  schedule(delayMs: number, run: () => void): void {
    this.scheduled += 1;
    this.queue.push({ time: this.now + Math.max(0, delayMs), order: this.scheduled, run });
  }
  /** Lets virtual time pass. */
  async run(ms: number): Promise<void> {
    const until = this.now + ms;
    await this.untilIdle();
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.time > until) break;
      this.now = Math.max(this.now, next.time);
      this.runDueEvents();
      await this.untilIdle();
    }
    this.now = Math.max(this.now, until);
  }
  private runDueEvents(): void {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.time > this.now) return;
      this.queue.pop()!.run();
    }
  }
  /** Resolves once no task can continue before virtual time advances. */
  private async untilIdle(): Promise<void> {
    for (;;) {
      const before = Csp.turns();
      await new Promise<void>((resolve) => setImmediate(resolve));
      if (Csp.turns() === before) return;
    }
  }
  /** Runs a task in a process and lets virtual time pass until it ends; undefined if it takes longer than `withinMs`. */
  async runTask<T>(process: SimProcess, body: () => Task<T>, withinMs: number): Promise<T | undefined> {
    let result: { value: T } | undefined;
    Csp.go(process.scope, "finish", function* () {
      result = { value: yield* body() };
    });
    for (const until = this.now + withinMs; this.now < until && !result;) await this.run(TASK_CHECK_MS);
    return result?.value;
  }

  // ---------- processes ----------
  start(name: string, disk: SimDisk): SimProcess {
    const process = new SimProcess(this, name, disk);
    this.processes.set(name, process);
    return process;
  }
  /** Creates the environment of a process that starts. */
  environmentFor(process: SimProcess): Environment {
    return this.wrapEnvironment(this.environments.of(process));
  }
  /** Kills a process. If its machine loses power, unsynced changes and unsent messages may be lost as well. */
  kill(name: string, powerLost = false): void {
    const process = this.processes.get(name);
    if (!process?.alive) return;
    process.alive = false;
    process.unsentMessagesLost = powerLost;
    process.scope.stop();
    if (powerLost) process.disk.losePower();
    this.environments.release(process);
    this.http.disconnectExchangesOf(process);
    this.network.closeLinksOf(process);
  }

  // ---------- fault points ----------
  /** Number of times that the current processes reached a fault point. */
  faultPointHits(point: number): number {
    return [...this.processes.values()].reduce((sum, process) => sum + (process.faultPointHits.get(point) ?? 0), 0);
  }
  /** Runs an action once, at the given hit of a fault point by processes whose names have the prefix. */
  arm(processPrefix: string, point: number, hits: number, action: FaultAction): void {
    this.armed.push({ processPrefix, point, hitsLeft: hits, action });
  }
  /** Disarms all fault points; returns how many were still armed. */
  disarm(): number {
    const armedCount = this.armed.length;
    this.armed = [];
    return armedCount;
  }
  /** Runs the armed action of a fault point. If the action kills the process, this throws to end the running task. */
  reachFaultPoint(process: SimProcess, point: number, context?: FaultPointContext): void {
    this.onFaultPoint(process, point);
    process.faultPointHits.set(point, (process.faultPointHits.get(point) ?? 0) + 1);
    for (const armed of this.armed) {
      if (armed.point !== point || !process.name.startsWith(armed.processPrefix)) continue;
      armed.hitsLeft -= 1;
      if (armed.hitsLeft > 0) continue;
      this.armed = this.armed.filter((other) => other !== armed);
      armed.action(process, context);
      if (!process.alive) throw new ProcessKilled(`killed at point ${point}`);
      return;
    }
  }

  // ---------- partitions ----------
  /** Whether a connection attempt across a partition is reset at once. Otherwise it gets no response. */
  get partitionsReset(): boolean {
    return this.network.partitionsReset;
  }
  set partitionsReset(reset: boolean) {
    this.network.partitionsReset = reset;
  }
  /** Drops all messages from one process to another. The opposite direction is unaffected. */
  partition(from: string, to: string): void {
    this.network.partition(from, to);
  }
  /** Partitions a set of processes from all others. */
  isolate(names: string[], direction: PartitionDirection): void {
    for (const name of names)
      for (const other of this.processes.keys())
        if (!names.includes(other)) {
          if (direction !== "in") this.partition(name, other);
          if (direction !== "out") this.partition(other, name);
        }
  }
  /** Resets the connections across a partition. */
  resetPartitioned(): void {
    this.network.resetPartitioned();
  }
  /** Ends all partitions. */
  heal(): void {
    this.network.heal();
  }
}
