import { Scope } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { SimDisk } from "./simDisk";

/** Thrown at a fault point to end the running task of a process that was killed there. */
export class ProcessKilled extends Error {}

/** What a simulated process needs from the simulated world. */
export interface ProcessHost {
  environmentFor(process: SimProcess): Environment;
}

/** A simulated process: its tasks, disk, clock skew, network link and recent log lines. */
export class SimProcess {
  alive = true;
  frozen = false;
  /** Whether its machine lost power, so that messages in its send buffers are lost. */
  unsentMessagesLost = false;
  /** Skew of its wall clock against virtual time, in ms. */
  skewMs = 0;
  /** Bandwidth of its network link in each direction, in bytes per ms; 20 Mbit/s are 2500. */
  linkBytesPerMs = Infinity;
  /** Virtual time at which its link can send the next message. */
  sendFreeAt = 0;
  /** Virtual time at which its link can receive the next message. */
  receiveFreeAt = 0;
  readonly scope: Scope;
  readonly env: Environment;
  /** Its most recent log lines. */
  readonly logs: string[] = [];
  /** Uncaught errors of its tasks. */
  readonly errors: string[] = [];
  /** Number of times it reached each fault point. */
  readonly faultPointHits = new Map<number, number>();
  /** Actions to run when the process is resumed. */
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
  /** Runs an action that comes from outside: after the resume if the process is frozen, never if it has ended. */
  deliver(run: () => void): void {
    if (!this.alive) return;
    if (this.frozen) this.deferred.push(run);
    else run();
  }
  /** Suspends the process, as SIGSTOP does. */
  freeze(): void {
    this.frozen = true;
  }
  /** Resumes a frozen process and runs the deferred actions in order. */
  resume(): void {
    if (!this.frozen) return;
    this.frozen = false;
    for (const run of this.deferred.splice(0)) run();
  }
}
