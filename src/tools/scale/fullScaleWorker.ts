import { Csp, Scope, Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import { NodeEnvironment } from "../../runtime/nodeEnvironment";
import { Program } from "../../membership/member";
import { LightweightMember } from "./lightweightMember";
import { SimulatedMembership } from "./simulatedMembership";
import { Counts, Meter } from "./meter";

/** The members that one worker runs, `from` to `to` (exclusive) of all, and the size of the whole run. */
export type WorkerSetup = {
  from: number;
  to: number;
  members: number;
  replicas: number;
  zones: number;
  regions: number;
  startEveryMs: number;
};
/** State of one worker's members; counts, suspicions, deaths and CPU time are totals since its start. */
export type WorkerReport = {
  counts: Counts;
  members: number;
  /** The fewest other members and endpoints that any of the members knows. */
  othersLeast: number;
  replicasLeast: number;
  suspicions: number;
  deaths: number;
  /** How many members have a configuration. */
  inForce: number;
  cpuMs: number;
  rss: number;
  /** The longest stall of the event loop since the previous report. */
  stallMs: number;
  /** Datagrams that the members dropped. */
  dropped: number;
};

/** Gives each member a loopback address of its own. */
const addressOf = (index: number): string =>
  `127.${20 + (index >> 14)}.${(index >> 7) & 127}.${1 + (index & 127)}:7100`;

/** Runs a part of a full-scale run's lightweight members in an operating system process, which its parent controls over IPC. */
export class FullScaleWorker {
  private readonly meter = new Meter();
  private readonly members: LightweightMember[] = [];
  private readonly scope: Scope;
  private suspicions = 0;
  private deaths = 0;
  private stallMs = 0;
  constructor(private readonly setup: WorkerSetup) {
    this.scope = new Scope("full-scale worker", (task, error) =>
      process.stderr.write(`${task}: ${String((error as Error).stack ?? error)}\n`),
    );
  }
  start(): void {
    Csp.go(this.scope, "start", () => this.startAll());
    Csp.go(this.scope, "stalls", () => this.measureStalls());
  }
  private *measureStalls(): Task<void> {
    const env = NodeEnvironment.make("stalls", this.scope, () => undefined);
    for (;;) {
      const startedAt = env.monotonicMs();
      yield* EnvironmentTools.sleep(env, 50);
      this.stallMs = Math.max(this.stallMs, env.monotonicMs() - startedAt - 50);
    }
  }
  private *startAll(): Task<void> {
    const { from, to, members, replicas: endpoints, zones, regions, startEveryMs } = this.setup;
    const seeds = [0, 1, 2].map(addressOf);
    for (let index = from; index < to; index += 1) {
      const scope = this.scope.branch(`member-${index}`);
      const env = this.meter.wrap(NodeEnvironment.make(`member-${index}`, scope, (event) => this.countEvent(event)));
      const zone = `r${(index % zones) % regions}-z${index % zones}`;
      const program: Program = index < 3 ? "control" : "agent";
      const started = yield* LightweightMember.start(env, {
        program,
        district: zone,
        address: addressOf(index),
        seeds,
      });
      if (!started.ok) {
        process.stderr.write(`lightweight member ${index}: ${started.fault.detail}\n`);
        continue;
      }
      this.members.push(started.value);
      const ids = Array.from({ length: endpoints }, (_none, endpoint) => endpoint)
        .filter((endpoint) => endpoint % members === index)
        .map((endpoint) => `replica-${endpoint}`);
      if (ids.length > 0) started.value.announce(ids, zone);
      yield* EnvironmentTools.sleep(env, startEveryMs);
    }
  }
  /** Counts the log events of suspected members (1102) and of members declared dead (1103). */
  private countEvent(event: number): void {
    if (event === 1102) this.suspicions += 1;
    if (event === 1103) this.deaths += 1;
  }
  /** Offers a configuration at the first member, from which gossip distributes it. */
  offer(routes: number, index: number): void {
    this.members[0]?.node.gossip.offerSnapshot(SimulatedMembership.snapshot(routes, index));
  }
  report(): WorkerReport {
    const cpu = process.cpuUsage();
    const stallMs = this.stallMs;
    this.stallMs = 0;
    const smallest = (pick: (member: LightweightMember) => number): number =>
      this.members.reduce((min, member) => Math.min(min, pick(member)), Infinity);
    return {
      counts: this.meter.copy(),
      members: this.members.length,
      othersLeast: smallest((member) => member.otherMemberCount()),
      replicasLeast: smallest((member) => member.endpointCount()),
      suspicions: this.suspicions,
      deaths: this.deaths,
      inForce: this.members.filter((member) => (member.node.gossip.snapshot?.index ?? 0) > 0).length,
      cpuMs: (cpu.user + cpu.system) / 1000,
      rss: process.memoryUsage().rss,
      stallMs,
      dropped: this.members.reduce((sum, member) => sum + member.node.membership.droppedDatagramCount, 0),
    };
  }
  /** Handles the messages of the parent process, and exits when the parent does. */
  static serve(): void {
    let worker: FullScaleWorker | undefined;
    process.on("disconnect", () => process.exit(0));
    process.on(
      "message",
      (
        message:
          { tag: "start"; order: WorkerSetup } | { tag: "say" } | { tag: "offer"; bindings: number; index: number },
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
