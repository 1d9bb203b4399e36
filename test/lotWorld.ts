import { Route } from "../src/controlState/configuration";
import { Constants } from "../src/common/constants";
import { Daemon, RunningDaemon } from "../src/daemon/daemon";
import { Fault, Result } from "../src/common/fault";
import { NodeContext } from "../src/node/nodeContext";
import { Node } from "../src/node/node";
import { Settings } from "../src/common/settings";
import { Csp, Task } from "../src/runtime/csp";
import { EnvTools } from "../src/runtime/env";
import { SubmittedItem, BatchSubmissionHost, BatchSubmission } from "../src/ingress/batchSubmission";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";
import { JobResultPage } from "../src/storage/messages/batchJobMessages";
import { ShardClient } from "../src/storage/shardClient";
import { StorageNode } from "../src/storage/storageNode";
import { EventStandIn } from "../src/tools/eventStandIn";

const zone = (at: number): string => ["north", "east", "south", "west"][at % 4];
const seeds = ["127.0.0.1:1"];

/**
 * One control member, a few stores, replicas that stream events, and a host that hands lots in, in virtual time.
 *
 * @example
 * const lots = await LotWorld.start(7, { stores: 3, replicas: 2 });
 * await lots.ask((host) => LotIntake.handIn(host, "L1", "b", binding, items, 3000));
 */
export class LotWorld {
  readonly world: SimWorld;
  readonly endpoints: EventStandIn[] = [];
  readonly stores = new Map<string, StorageNode>();
  private readonly disks = new Map<string, SimDisk>();
  private readonly gone = new Set<string>();
  private version = 0;
  caller!: SimProcess;
  readonly hosts: BatchSubmissionHost[] = [];
  readonly nodes: Node[] = [];
  static readonly route: Route = {
    kind: "item",
    pool: "model",
    path: "/",
    safe: true,
    deadlineMs: 10_000,
    continues: "exact",
    prefixBytes: 0,
    host: "kiln.example",
    prefix: "/b/",
    rounds: 3,
    completionMs: 10_000,
    giveUpMs: 40_000,
  };
  private constructor(
    seed: number,
    readonly size: { stores: number; replicas: number; events: number; slots: number },
    log: (line: string) => void,
  ) {
    this.world = new SimWorld(seed, log);
  }
  static async start(
    seed: number,
    size: Partial<LotWorld["size"]> = {},
    route: Partial<Route> = {},
    log: (line: string) => void = () => undefined,
  ): Promise<LotWorld> {
    const jobs = new LotWorld(seed, { stores: 3, replicas: 2, events: 4, slots: 8, ...size }, log);
    jobs.process("control-1", { program: "control", address: seeds[0], founders: seeds, data: "data/control-1" });
    for (let at = 1; at <= jobs.size.stores; at += 1) jobs.startStore(`store-${at}`);
    for (let at = 1; at <= 2; at += 1) await jobs.startCaller(at);
    for (let at = 1; at <= jobs.size.replicas; at += 1) await jobs.startEndpoint(`r${at}`);
    for (
      let round = 0;
      round < 40 && Object.keys(jobs.node.snapshot().control?.views ?? {}).length < Constants.shardCount;
      round += 1
    )
      await jobs.world.run(500);
    await jobs.configure({ b: { ...LotWorld.route, ...route } });
    await jobs.world.run(3000);
    return jobs;
  }
  private process(name: string, settings: Partial<Settings>): SimProcess {
    const disk = this.disks.get(name) ?? new SimDisk(this.world);
    this.disks.set(name, disk);
    const process = this.world.start(name, disk);
    const whole = {
      cluster: "lots",
      district: zone(this.world.processes.size),
      http: `127.0.0.1:${50_000 + +settings.address!.split(":")[1]}`,
      seeds,
      ...settings,
    } as Settings;
    const jobs = this;
    Csp.go(process.scope, "main", function* () {
      const started: Result<RunningDaemon> = yield* Daemon.start(process.env, whole);
      if (!started.ok) throw new Error(started.fault.detail);
      if (whole.program === "store") jobs.stores.set(name, started.value as StorageNode);
    });
    return process;
  }
  startStore(name: string): void {
    this.process(name, {
      program: "store",
      address: `127.0.0.1:${10 + +name.slice(6)}`,
      data: `data/${name}`,
      district: zone(+name.slice(6)),
    });
  }
  /** Where lots are handed in; the first does what the tests ask. */
  private async startCaller(at: number): Promise<void> {
    const process = this.world.start(at === 1 ? "caller" : `caller-${at}`, new SimDisk(this.world));
    if (at === 1) this.caller = process;
    const { env } = process;
    const settings: Settings = {
      program: "agent",
      cluster: "lots",
      district: zone(at),
      address: `127.0.0.1:${88 + 2 * at}`,
      http: `127.0.0.1:${89 + 2 * at}`,
      seeds,
    };
    const started = await this.world.finish(process, () => Node.start(env, settings, "agent"), 5000);
    if (!started?.ok) throw new Error("no caller");
    const node = started.value;
    this.nodes.push(node);
    this.hosts.push({
      env,
      rpc: node.rpc,
      settings: { district: settings.district },
      shardClient: new ShardClient(env, node.rpc, node.self.id, () => node.snapshot()),
      snapshot: () => node.snapshot(),
    });
  }
  get host(): BatchSubmissionHost {
    return this.hosts[0];
  }
  get node(): Node {
    return this.nodes[0];
  }
  async startEndpoint(id: string): Promise<void> {
    const address = `127.0.0.1:${900 + +id.slice(1)}`;
    const process = this.world.start(`replica-${id}`, new SimDisk(this.world));
    const endpoint = new EventStandIn(process.env, address, `${id}-1`, {
      events: this.size.events,
      eventMs: 25,
      slots: this.size.slots,
    });
    this.endpoints.push(endpoint);
    await this.world.finish(process, () => endpoint.start(), 1000);
    const jobs = this;
    Csp.go(this.caller.scope, `announce ${id}`, function* () {
      while (!jobs.gone.has(id)) {
        yield* NodeContext.of(jobs.node).announce({
          id,
          address,
          pool: "model",
          district: "north",
          version: "v1",
          capacity: jobs.size.slots,
          active: 0,
          waiting: 0,
          instance: `${id}-1`,
        });
        yield* EnvTools.sleep(jobs.caller.env, 900);
      }
      yield* NodeContext.of(jobs.node).goodbye(id);
    });
  }
  goodbye(id: string): void {
    this.gone.add(id);
  }
  /** @example await lots.configure({ b: LotWorld.binding }); */
  async configure(routes: Record<string, Route>): Promise<void> {
    const jobs = this;
    const change = (): Task<Result<{ version: number }>> =>
      NodeContext.of(jobs.node).control.request<{ version: number }>(
        {
          op: "change",
          command: {
            tag: "manifest",
            changeId: `c${jobs.version}`,
            ifVersion: jobs.version,
            doc: { bindings: routes },
            by: "test",
          },
        },
        8000,
      );
    let done = await this.ask(change);
    // a group of one waits a while for further voters before it takes its first change
    for (let round = 0; round < 10 && !done?.ok; round += 1) {
      await this.world.run(1000);
      done = await this.ask(change);
    }
    if (!done?.ok) throw new Error(JSON.stringify(done));
    this.version = done.value.version;
  }
  /** @example await lots.ask((host) => LotIntake.list(host, "L1", 0, 0)) */
  ask<T>(body: (host: BatchSubmissionHost) => Task<T>, withinMs = 20_000): Promise<T | undefined> {
    return this.world.finish(this.caller, () => body(this.host), withinMs);
  }
  items = (job: string, count: number, tokens = 100): SubmittedItem[] =>
    Array.from({ length: count }, (_each, at) => ({
      id: `${job}-i${at}`,
      target: `/b/${at}?x=1`,
      headers: { "X-Prompt-Parts": "shared:300,own:20" },
      body: Buffer.from(`body ${job} ${at}`).toString("base64"),
      tokens,
    }));
  handIn = (job: string, count: number, tokens = 100, withinMs = 3000) =>
    this.ask((host) =>
      BatchSubmission.submit(
        host,
        job,
        "b",
        { ...LotWorld.route, ...host.snapshot().control?.manifest.doc.bindings.b },
        this.items(job, count, tokens),
        withinMs,
      ),
    );
  /** Several handed in at once; how long each took until it was kept. @example await lots.handInAll(["A", "B"], 3) */
  async handInAll(ids: string[], count: number): Promise<number[]> {
    const took = new Map<string, number>();
    for (const id of ids) {
      const startedAt = this.world.now;
      const route = { ...LotWorld.route, ...this.host.snapshot().control?.manifest.doc.bindings.b };
      const jobs = this;
      Csp.go(this.caller.scope, `hand in ${id}`, function* () {
        const handed = yield* BatchSubmission.submit(jobs.host, id, "b", route, jobs.items(id, count), 3000);
        took.set(id, handed.ok ? jobs.world.now - startedAt : Infinity);
      });
    }
    while (took.size < ids.length) await this.world.run(10);
    return ids.map((id) => took.get(id)!);
  }
  async list(job: string, from = 0): Promise<JobResultPage | undefined> {
    const listed = await this.ask((host) => BatchSubmission.list(host, job, from, 0));
    return listed?.ok ? listed.value : undefined;
  }
  /** Reads until all is listed, or for so long. @example await lots.whole("L1", 8000) */
  async whole(job: string, withinMs: number): Promise<JobResultPage> {
    for (const until = this.world.now + withinMs; ;) {
      const listed = await this.list(job);
      if (listed && (listed.results.length === listed.total || this.world.now > until)) return listed;
      if (this.world.now > until)
        throw new Error(`lot ${job} not to be read: ${JSON.stringify(Fault.fail("timeout", "list", job, ""))}`);
      await this.world.run(250);
    }
  }
  /** The store that leads the lot's shard. @example lots.leadOf("L1") */
  leaderOf(job: string): string {
    const shard = this.host.shardClient.shardOf(job);
    return [...this.stores].find(([, store]) => store.replicas.get(shard)?.holdsLease())?.[0] ?? "";
  }
  kill(name: string, powerLost = false): void {
    this.stores.delete(name);
    this.world.kill(name, powerLost);
  }
  /** The disk is gone while the machine is down. @example lots.wipe("store-2"); */
  wipe(name: string): void {
    this.disks.get(name)!.wipe();
  }
  freeze(name: string): void {
    this.world.processes.get(name)!.freeze();
  }
  wake(name: string): void {
    this.world.processes.get(name)!.wake();
  }
  errors = (): string[] => [...this.world.processes.values()].flatMap((process) => process.errors);
}
