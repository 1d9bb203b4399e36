import { Csp, Task } from "../runtime/csp";
import { Environment, FaultPointContext } from "../runtime/env";
import { EventQueue } from "./eventQueue";
import { SimDisk } from "./simDisk";
import { SimEnvironmentHost, SimEnvironments } from "./simEnvironment";
import { SimHttp } from "./simHttp";
import { SimNetwork } from "./simNetwork";
import { ProcessHost, ProcessKilled, SimProcess } from "./simProcess";

export { SimProcess } from "./simProcess";

const FINISH_STEP_MS = 10; // ms of virtual time between looks at whether a task has finished

/** What an armed fault point does to the process that reaches it. */
export type FaultAction = (process: SimProcess, context?: FaultPointContext) => void;
interface ArmedPoint {
  processPrefix: string;
  point: number;
  hitsLeft: number;
  action: FaultAction;
}
/** Which way a process is partitioned from the others. */
export type PartitionDirection = "in" | "out" | "both";

/**
 * Virtual time, a lossy network and processes that can be killed, frozen and partitioned. Time advances only when no task
 * can run, and all randomness comes from the seed: one seed gives one run.
 *
 * @example
 * const world = new SimWorld(7);
 * const process = world.start("store-1", new SimDisk(world));
 * await world.run(1000);
 */
export class SimWorld implements SimEnvironmentHost, ProcessHost {
  /** Virtual time, in milliseconds. */
  now = 0;
  readonly processes = new Map<string, SimProcess>();
  readonly network = new SimNetwork(this);
  readonly http = new SimHttp(this, this.network);
  readonly log: (line: string) => void;
  /** Share of disk operations that take much longer than the others. */
  slowDiskShare = 0.004;
  /** Wraps the environment of each process that starts, to count or to disturb what it does. */
  wrapEnvironment: (env: Environment) => Environment = (env) => env;
  /** Called at every fault point that a process reaches. */
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
  /** A number in [0, 1) from the seed (mulberry32). @example world.random() */
  random(): number {
    this.seed = (this.seed + 0x6d2b79f5) >>> 0;
    let mixed = this.seed;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
  /** Schedules an action, in milliseconds from now. @example world.at(100, () => world.kill("store-1")); */
  schedule(inMs: number, run: () => void): void {
    this.scheduled += 1;
    this.queue.push({ time: this.now + Math.max(0, inMs), order: this.scheduled, run });
  }
  /** Lets so much virtual time pass, in milliseconds. @example await world.run(5000); */
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
  /** Resolves once no task can run without virtual time passing. */
  private async untilIdle(): Promise<void> {
    for (;;) {
      const before = Csp.turns();
      await new Promise<void>((resolve) => setImmediate(resolve));
      if (Csp.turns() === before) return;
    }
  }
  /** Runs a task of a process to its end, virtual time passing; undefined if not in time. @example await world.finish(process, task, 5000) */
  async runTask<T>(process: SimProcess, body: () => Task<T>, withinMs: number): Promise<T | undefined> {
    let result: { value: T } | undefined;
    Csp.go(process.scope, "finish", function* () {
      result = { value: yield* body() };
    });
    for (const until = this.now + withinMs; this.now < until && !result;) await this.run(FINISH_STEP_MS);
    return result?.value;
  }

  // ---------- processes ----------
  /** @example world.start("store-1", disk) */
  start(name: string, disk: SimDisk): SimProcess {
    const process = new SimProcess(this, name, disk);
    this.processes.set(name, process);
    return process;
  }
  /** The environment that a process gets. @example world.environmentFor(process) */
  environmentFor(process: SimProcess): Environment {
    return this.wrapEnvironment(this.environments.of(process));
  }
  /** Ends a process at once; with its power, what it had not synced or was sending may be lost. @example world.kill("store-1", true); */
  kill(name: string, powerLost = false): void {
    const process = this.processes.get(name);
    if (!process?.alive) return;
    process.alive = false;
    process.unsentLost = powerLost;
    process.scope.stop();
    if (powerLost) process.disk.losePower();
    this.environments.release(process);
    this.http.breakExchangesOf(process);
    this.network.closeLinksOf(process);
  }

  // ---------- fault points ----------
  /** How often all processes together reached a fault point. @example world.hits(41) */
  hits(point: number): number {
    return [...this.processes.values()].reduce((sum, process) => sum + (process.pointHits.get(point) ?? 0), 0);
  }
  /** Acts once, at the given hit of a point by processes with the prefix. @example world.arm("store-", 41, 1, (process) => world.kill(process.name)); */
  arm(processPrefix: string, point: number, hits: number, action: FaultAction): void {
    this.armed.push({ processPrefix, point, hitsLeft: hits, action });
  }
  /** Disarms every point; how many were still armed. @example world.disarm() */
  disarm(): number {
    const left = this.armed.length;
    this.armed = [];
    return left;
  }
  /** Called by a process at a fault point; an armed action may end it there. @example world.reachPoint(process, 41); */
  reachPoint(process: SimProcess, point: number, context?: FaultPointContext): void {
    this.onFaultPoint(process, point);
    process.pointHits.set(point, (process.pointHits.get(point) ?? 0) + 1);
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
  /** Whether connections across a partition are refused at once, rather than left without a response. */
  get partitionsReset(): boolean {
    return this.network.partitionsReset;
  }
  set partitionsReset(reset: boolean) {
    this.network.partitionsReset = reset;
  }
  /** Loses all that one process sends to another. @example world.partition("control-1", "control-2"); */
  partition(from: string, to: string): void {
    this.network.partition(from, to);
  }
  /** Partitions a set of processes from all others. @example world.isolate(["store-1"], "both"); */
  isolate(names: string[], direction: PartitionDirection): void {
    for (const name of names)
      for (const other of this.processes.keys())
        if (!names.includes(other)) {
          if (direction !== "in") this.partition(name, other);
          if (direction !== "out") this.partition(other, name);
        }
  }
  /** Resets the connections that a partition crosses. @example world.resetPartitioned(); */
  resetPartitioned(): void {
    this.network.resetPartitioned();
  }
  /** Ends all partitions. @example world.heal(); */
  heal(): void {
    this.network.heal();
  }
}
