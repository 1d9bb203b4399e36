import { Csp, Scope, Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import { NodeEnvironment } from "../../runtime/nodeEnvironment";
import { Program } from "../../membership/member";
import { LightweightMember } from "./lightweightMember";
import { SimulatedMembership } from "./simulatedMembership";
import { Counts, Meter } from "./meter";

export type WorkerOrder = {
  from: number;
  to: number;
  members: number;
  replicas: number;
  zones: number;
  regions: number;
  startEveryMs: number;
};
export type WorkerReport = {
  counts: Counts;
  members: number;
  othersLeast: number;
  replicasLeast: number;
  suspicions: number;
  deaths: number;
  inForce: number;
  cpuMs: number;
  rss: number;
  stallMs: number;
  dropped: number;
};

/** A loopback address of each member's own. */
const addressOf = (at: number): string => `127.${20 + (at >> 14)}.${(at >> 7) & 127}.${1 + (at & 127)}:7100`;

/**
 * The lightweight members of a full-scale run that one operating system process runs; its parent controls it over IPC.
 *
 * @example
 * new FullScaleWorker(order).start();
 */
export class FullScaleWorker {
  private readonly meter = new Meter();
  private readonly members: LightweightMember[] = [];
  private readonly scope: Scope;
  private suspicions = 0;
  private deaths = 0;
  private stallMs = 0;
  constructor(private readonly order: WorkerOrder) {
    this.scope = new Scope("whole", (task, error) =>
      process.stderr.write(`${task}: ${String((error as Error).stack ?? error)}\n`),
    );
  }
  /** @example worker.start(); */
  start(): void {
    Csp.go(this.scope, "start", () => this.startAll());
    Csp.go(this.scope, "stalls", () => this.watchStalls());
  }
  private *watchStalls(): Task<void> {
    const env = NodeEnvironment.make("stalls", this.scope, () => undefined);
    for (;;) {
      const from = env.monotonicMs();
      yield* EnvironmentTools.sleep(env, 50);
      this.stallMs = Math.max(this.stallMs, env.monotonicMs() - from - 50);
    }
  }
  private *startAll(): Task<void> {
    const { from, to, members, replicas: endpoints, zones, regions, startEveryMs } = this.order;
    const seeds = [0, 1, 2].map(addressOf);
    for (let at = from; at < to; at += 1) {
      const scope = this.scope.branch(`hollow-${at}`);
      const env = this.meter.around(NodeEnvironment.make(`hollow-${at}`, scope, (event) => this.count(event)));
      const zone = `r${(at % zones) % regions}-z${at % zones}`;
      const program: Program = at < 3 ? "control" : "agent";
      const started = yield* LightweightMember.start(env, { program, district: zone, address: addressOf(at), seeds });
      if (!started.ok) {
        process.stderr.write(`hollow ${at}: ${started.fault.detail}\n`);
        continue;
      }
      this.members.push(started.value);
      const ids = Array.from({ length: endpoints }, (_none, endpoint) => endpoint)
        .filter((endpoint) => endpoint % members === at)
        .map((endpoint) => `replica-${endpoint}`);
      if (ids.length > 0) started.value.announce(ids, zone);
      yield* EnvironmentTools.sleep(env, startEveryMs);
    }
  }
  private count(event: number): void {
    if (event === 1102) this.suspicions += 1;
    if (event === 1103) this.deaths += 1;
  }
  /** Makes a configuration known at the first member. @example worker.offer(100, 1); */
  offer(routes: number, index: number): void {
    this.members[0]?.node.gossip.offerSnapshot(SimulatedMembership.snapshot(routes, index));
  }
  /** @example worker.say().rss */
  report(): WorkerReport {
    const used = process.cpuUsage();
    const stallMs = this.stallMs;
    this.stallMs = 0;
    const least = (pick: (member: LightweightMember) => number): number =>
      this.members.reduce((low, member) => Math.min(low, pick(member)), Infinity);
    return {
      counts: this.meter.copy(),
      members: this.members.length,
      othersLeast: least((member) => member.otherMemberCount()),
      replicasLeast: least((member) => member.endpointCount()),
      suspicions: this.suspicions,
      deaths: this.deaths,
      inForce: this.members.filter((member) => (member.node.gossip.snapshot?.index ?? 0) > 0).length,
      cpuMs: (used.user + used.system) / 1000,
      rss: process.memoryUsage().rss,
      stallMs,
      dropped: this.members.reduce((sum, member) => sum + member.node.membership.droppedDatagramCount, 0),
    };
  }
  /** Runs in the forked process: handles its parent's messages and ends with it. @example FullScaleWorker.serve(); */
  static serve(): void {
    let worker: FullScaleWorker | undefined;
    process.on("disconnect", () => process.exit(0));
    process.on(
      "message",
      (
        message:
          { tag: "start"; order: WorkerOrder } | { tag: "say" } | { tag: "offer"; bindings: number; index: number },
      ) => {
        switch (message.tag) {
          case "start":
            worker = new FullScaleWorker(message.order);
            worker.start();
            break;
          case "offer":
            worker?.offer(message.bindings, message.index);
            break;
          case "say":
            if (worker) process.send?.(worker.report());
            break;
          default: {
            const never: never = message;
            throw new Error(String(never));
          }
        }
      },
    );
  }
}
if (require.main === module) FullScaleWorker.serve();
