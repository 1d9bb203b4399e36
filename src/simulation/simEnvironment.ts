import { ConnectionEvents } from "../runtime/connectionEvents";
import { Chan, Csp, Task } from "../runtime/csp";
import { DatagramSocket, Environment, FaultPointContext, Link, Timer } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { SimHttp } from "./simHttp";
import { NetworkClock, SimNetwork } from "./simNetwork";
import type { SimProcess } from "./simProcess";

/** Wall time at the start of virtual time, in ms since 1970. */
export const WALL_CLOCK_START_MS = 1_790_000_000_000;
/** Monotonic time at the start of virtual time. */
const MONOTONIC_START_MS = 1000;
/** Maximum number of connections at one address that wait to be accepted. */
const ACCEPT_CAPACITY = 1024;
/** Maximum number of datagrams that wait at one socket. */
const DATAGRAM_CAPACITY = 1024;
/** Number of log lines kept for each process. */
const LOG_LINES_KEPT = 400;
/** Number of the log event for a failed task. */
const TASK_FAILED_EVENT = 1004;

interface Listener {
  process: SimProcess;
  acceptedLinks: Chan<Link>;
}
interface Socket {
  process: SimProcess;
  incoming: Chan<{ from: string; data: Buffer }>;
}
/** What the environments of all processes need from the simulated world. */
export interface SimEnvironmentHost extends NetworkClock {
  readonly network: SimNetwork;
  readonly http: SimHttp;
  readonly processes: ReadonlyMap<string, SimProcess>;
  /** Receives each line that a process logs. */
  log(line: string): void;
  /** Called when a process reaches a fault point. */
  reachFaultPoint(process: SimProcess, point: number, context?: FaultPointContext): void;
}

/** Creates the environment of each process, with virtual time, the simulated network and the process's simulated disk. */
export class SimEnvironments {
  private readonly listeners = new Map<string, Listener>();
  private readonly sockets = new Map<string, Socket>();

  constructor(private readonly host: SimEnvironmentHost) {}

  /** Frees all addresses of a process. */
  release(process: SimProcess): void {
    for (const [address, { process: owner }] of this.listeners) if (owner === process) this.listeners.delete(address);
    for (const [address, { process: owner }] of this.sockets) if (owner === process) this.sockets.delete(address);
    this.host.http.stopListening(process);
  }
  /** The environment of a process. */
  of(process: SimProcess): Environment {
    const { host } = this;
    const environments = this;
    const monotonicMs = (): number => MONOTONIC_START_MS + host.now;
    const log: Environment["log"] = (event, fields) => this.log(process, event, fields);
    return {
      name: process.name,
      scope: process.scope,
      disk: process.disk.forProcess(process),
      wallClockMs: () => WALL_CLOCK_START_MS + host.now + process.skewMs,
      monotonicMs,
      random: () => host.random(),
      timer: (ms) => this.timer(process, ms),
      *listen(address) {
        return environments.listen(process, address);
      },
      connect: (address, timeoutMs) => this.connect(process, address, timeoutMs),
      *bindDatagrams(address) {
        return Fault.ok(environments.bind(process, address));
      },
      *serveHttp(address, handler) {
        return host.http.serve(process, address, handler)
          ? Fault.ok(true as const)
          : Fault.fail("internal", "serve http", address, "address in use");
      },
      enterServingPhase: (phase) => host.http.enterServingPhase(process, phase),
      unfinishedRequests: () => host.http.unfinishedRequests(process),
      connectionEvents: new ConnectionEvents({ log, monotonicMs }),
      httpRequest: (address, outgoing) => host.http.request(process, address, outgoing),
      faultPoint: (number, context) => host.reachFaultPoint(process, number, context),
      log,
    };
  }

  private timer(process: SimProcess, ms: number): Timer {
    const closed = Csp.closeSignal();
    let cancelled = false;
    this.host.schedule(ms, () => {
      if (!cancelled) process.deliver(() => closed.close());
    });
    return { chan: closed, cancel: () => (cancelled = true) };
  }
  private listen(process: SimProcess, address: string): Result<Chan<Link>> {
    if (this.listeners.has(address)) return Fault.fail("internal", "listen", address, "address in use");
    const acceptedLinks = Csp.chan<Link>(ACCEPT_CAPACITY);
    this.listeners.set(address, { process, acceptedLinks });
    return Fault.ok(acceptedLinks);
  }
  private *connect(process: SimProcess, address: string, timeoutMs: number): Task<Result<Link>> {
    const { host } = this;
    const outcome = Csp.chan<{ value: Result<Link> }>(1);
    const settle = (result: Result<Link>): void => process.deliver(() => void Csp.offer(outcome, { value: result }));
    const refuse = (detail: string): void => settle(Fault.fail("refused", "connect", address, detail));
    host.schedule(timeoutMs, () => refuse("no connection in time"));
    const listener = this.listeners.get(address);
    if (listener)
      host.schedule(host.network.latency(), () => this.handshake(process, listener, address, settle, refuse));
    else if (this.isAnotherProcessRunning(process))
      host.schedule(host.network.latency(), () => refuse("connection refused"));
    return (yield* Csp.take(outcome))!.value;
  }
  private handshake(
    process: SimProcess,
    listener: Listener,
    address: string,
    settle: (result: Result<Link>) => void,
    refuse: (detail: string) => void,
  ): void {
    const { network } = this.host;
    if (!listener.process.alive) return refuse("connection refused");
    if (!process.alive) return;
    if (network.connected(process, listener.process))
      settle(Fault.ok(network.connect(process, listener.process, listener.acceptedLinks, address)));
    else if (network.partitionsReset) refuse("connection reset");
  }
  /** A connection to an address without a listener is refused if another process runs; otherwise it gets no response. */
  private isAnotherProcessRunning(process: SimProcess): boolean {
    return [...this.host.processes.values()].some((other) => other.alive && other !== process);
  }
  private bind(process: SimProcess, address: string): DatagramSocket {
    const { host } = this;
    const incoming = Csp.chan<{ from: string; data: Buffer }>(DATAGRAM_CAPACITY);
    this.sockets.set(address, { process, incoming });
    return {
      incoming,
      send: (to, data) => {
        const target = this.sockets.get(to);
        if (!target || host.random() < host.network.lossRate) return;
        host.network.send(process, target.process, () => void Csp.offer(target.incoming, { from: address, data }));
      },
    };
  }
  private log(process: SimProcess, event: number, fields?: Record<string, unknown>): void {
    const line = `${this.host.now.toFixed(1)} ${process.name} PB${event} ${fields ? JSON.stringify(fields) : ""}`;
    if (event === TASK_FAILED_EVENT) process.errors.push(line);
    process.logs.push(line);
    if (process.logs.length > LOG_LINES_KEPT) process.logs.shift();
    this.host.log(line);
  }
}
