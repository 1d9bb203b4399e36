import { Scope } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { SimDisk } from "./simDisk";

/** Thrown at a fault point to end a process in the middle of its own code. */
export class ProcessKilled extends Error {}

/** What a simulated process needs of the world it runs in. */
export interface ProcessHost {
  /** The environment that the process gets. */
  environmentFor(process: SimProcess): Environment;
}

/**
 * One process of the simulated fleet: its tasks, disk, clock skew, network link and collected log.
 *
 * @example
 * const process = new SimProcess(world, "store-1", disk);
 * process.freeze();
 */
export class SimProcess {
  alive = true;
  frozen = false;
  /** Its machine lost power: what still stood in its send buffers is gone. */
  unsentLost = false;
  /** How far its wall clock is ahead of virtual time, in milliseconds. */
  skewMs = 0;
  /** Bandwidth of its network link, each way, in bytes per millisecond; 20 Mbit/s are 2500. */
  linkBytesPerMs = Infinity;
  /** Virtual time at which its link is free to send, or to receive, the next message. */
  sendFreeAt = 0;
  receiveFreeAt = 0;
  readonly scope: Scope;
  readonly env: Environment;
  /** Its newest log lines. */
  readonly logs: string[] = [];
  /** Errors of its tasks that nobody caught. */
  readonly errors: string[] = [];
  /** How often it reached each numbered fault point. */
  readonly pointHits = new Map<number, number>();
  private deferred: (() => void)[] = [];

  constructor(
    host: ProcessHost,
    readonly name: string,
    readonly disk: SimDisk,
  ) {
    this.scope = new Scope(name, (task, error) => {
      if (error instanceof ProcessKilled) return;
      this.errors.push(`${name}: ${task}: ${(error as Error).stack ?? String(error)}`);
    });
    this.env = host.environmentFor(this);
  }
  /** Runs what came from outside: later if the process is frozen, never if it has ended. @example process.deliver(() => chan.close()); */
  deliver(run: () => void): void {
    if (!this.alive) return;
    if (this.frozen) this.deferred.push(run);
    else run();
  }
  /** Stops the process, as SIGSTOP does. @example process.freeze(); */
  freeze(): void {
    this.frozen = true;
  }
  /** Lets a frozen process go on: what came meanwhile is delivered in order. @example process.wake(); */
  resume(): void {
    if (!this.frozen) return;
    this.frozen = false;
    for (const run of this.deferred.splice(0)) run();
  }
}
