import { Route } from "../src/controlState/configuration";
import { Constants } from "../src/common/constants";
import { Daemon, RunningDaemon } from "../src/daemon/daemon";
import { Fault, Result } from "../src/common/fault";
import { NodeContext } from "../src/node/nodeContext";
import { Node } from "../src/node/node";
import { Settings } from "../src/common/settings";
import { Csp, Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import type { SubmittedItem } from "../src/adapters/caller/callerOperations";
import type { BatchJobContext } from "../src/ingress/batchJobContext";
import { BatchJobReader } from "../src/ingress/batchJobReader";
import { BatchSubmission } from "../src/ingress/batchSubmission";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";
import { JobResultPage } from "../src/storage/messages/batchJobMessages";
import { ShardClient } from "../src/storage/shardClient";
import { StorageNode } from "../src/storage/storageNode";
import { StandInEventEndpoint } from "../src/tools/standInEventEndpoint";

const zoneOf = (index: number): string => ["north", "east", "south", "west"][index % 4];
const seedAddresses = ["127.0.0.1:1"];

/**
 * A simulated cluster for tests of batch jobs: one control node, several storage nodes, endpoints that stream events,
 * and two processes that submit jobs.
 *
 * @example
 * const fleet = await BatchJobFleet.start(7, { storageNodes: 3, endpoints: 2 });
 * await fleet.call((context) => new BatchSubmission(context).submit("L1", "b", route, items, 3000));
 */
export class BatchJobFleet {
  readonly world: SimWorld;
  readonly endpoints: StandInEventEndpoint[] = [];
  readonly storageNodes = new Map<string, StorageNode>();
  private readonly diskByProcess = new Map<string, SimDisk>();
  private readonly withdrawnEndpoints = new Set<string>();
  private version = 0;
  caller!: SimProcess;
  readonly contexts: BatchJobContext[] = [];
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
    readonly size: { storageNodes: number; endpoints: number; events: number; slots: number },
    log: (line: string) => void,
  ) {
    this.world = new SimWorld(seed, log);
  }
  static async start(
    seed: number,
    size: Partial<BatchJobFleet["size"]> = {},
    route: Partial<Route> = {},
    log: (line: string) => void = () => undefined,
  ): Promise<BatchJobFleet> {
    const fleet = new BatchJobFleet(seed, { storageNodes: 3, endpoints: 2, events: 4, slots: 8, ...size }, log);
    fleet.process("control-1", {
      program: "control",
      address: seedAddresses[0],
      founders: seedAddresses,
      data: "data/control-1",
    });
    for (let index = 1; index <= fleet.size.storageNodes; index += 1) fleet.startStorageNode(`store-${index}`);
    for (let index = 1; index <= 2; index += 1) await fleet.startCaller(index);
    for (let index = 1; index <= fleet.size.endpoints; index += 1) await fleet.startEndpoint(`r${index}`);
    for (
      let attempt = 0;
      attempt < 40 && Object.keys(fleet.node.snapshot().control?.views ?? {}).length < Constants.shardCount;
      attempt += 1
    )
      await fleet.world.run(500);
    await fleet.configure({ b: { ...BatchJobFleet.route, ...route } });
    await fleet.world.run(3000);
    return fleet;
  }
  private process(name: string, settings: Partial<Settings>): SimProcess {
    const disk = this.diskByProcess.get(name) ?? new SimDisk(this.world);
    this.diskByProcess.set(name, disk);
    const process = this.world.start(name, disk);
    const settingsWithDefaults = {
      cluster: "lots",
      district: zoneOf(this.world.processes.size),
      http: `127.0.0.1:${50_000 + +settings.address!.split(":")[1]}`,
      seeds: seedAddresses,
      ...settings,
    } as Settings;
    const fleet = this;
    Csp.go(process.scope, "main", function* () {
      const started: Result<RunningDaemon> = yield* Daemon.start(process.env, settingsWithDefaults);
      if (!started.ok) throw new Error(started.fault.detail);
      if (settingsWithDefaults.program === "store") fleet.storageNodes.set(name, started.value as StorageNode);
    });
    return process;
  }
  /** Starts a storage node, or starts it again with the disk that it had. */
  startStorageNode(name: string): void {
    this.process(name, {
      program: "store",
      address: `127.0.0.1:${10 + +name.slice(6)}`,
      data: `data/${name}`,
      district: zoneOf(+name.slice(6)),
    });
  }
  /** Starts a process that submits jobs. The first one also makes the calls of the tests. */
  private async startCaller(index: number): Promise<void> {
    const process = this.world.start(index === 1 ? "caller" : `caller-${index}`, new SimDisk(this.world));
    if (index === 1) this.caller = process;
    const { env } = process;
    const settings: Settings = {
      program: "agent",
      cluster: "lots",
      district: zoneOf(index),
      address: `127.0.0.1:${88 + 2 * index}`,
      http: `127.0.0.1:${89 + 2 * index}`,
      seeds: seedAddresses,
    };
    const started = await this.world.runTask(process, () => Node.start(env, settings, "agent"), 5000);
    if (!started?.ok) throw new Error("the submitting process did not start");
    const node = started.value;
    this.nodes.push(node);
    this.contexts.push({
      env,
      rpc: node.rpc,
      zone: settings.district,
      shardClient: new ShardClient(env, node.rpc, node.self.id, () => node.snapshot()),
      snapshot: () => node.snapshot(),
    });
  }
  get context(): BatchJobContext {
    return this.contexts[0];
  }
  get node(): Node {
    return this.nodes[0];
  }
  /** Starts an endpoint; the given node gets its announcements. */
  async startEndpoint(id: string, pool = "model", announcedTo = this.node): Promise<void> {
    const address = `127.0.0.1:${900 + +id.slice(1)}`;
    const process = this.world.start(`replica-${id}`, new SimDisk(this.world));
    const endpoint = new StandInEventEndpoint(process.env, address, `${id}-1`, {
      events: this.size.events,
      eventMs: 25,
      slots: this.size.slots,
    });
    this.endpoints.push(endpoint);
    await this.world.runTask(process, () => endpoint.start(), 1000);
    const fleet = this;
    Csp.go(this.caller.scope, `announce ${id}`, function* () {
      while (!fleet.withdrawnEndpoints.has(id)) {
        yield* NodeContext.of(announcedTo).announce({
          id,
          address,
          pool,
          district: "north",
          version: "v1",
          capacity: fleet.size.slots,
          active: 0,
          waiting: 0,
          instance: `${id}-1`,
        });
        yield* EnvironmentTools.sleep(fleet.caller.env, 900);
      }
      yield* NodeContext.of(announcedTo).withdraw(id);
    });
  }
  /** Ends the announcements of an endpoint and deregisters it. */
  withdrawEndpoint(id: string): void {
    this.withdrawnEndpoints.add(id);
  }
  /** Replaces all configured routes. */
  async configure(routes: Record<string, Route>): Promise<void> {
    const fleet = this;
    const change = (): Task<Result<{ version: number }>> =>
      NodeContext.of(fleet.node).control.request<{ version: number }>(
        {
          op: "change",
          command: {
            tag: "manifest",
            changeId: `c${fleet.version}`,
            ifVersion: fleet.version,
            doc: { bindings: routes },
            by: "test",
          },
        },
        8000,
      );
    let changed = await this.call(change);
    // A control group of one member waits for further voters before it accepts its first change.
    for (let attempt = 0; attempt < 10 && !changed?.ok; attempt += 1) {
      await this.world.run(1000);
      changed = await this.call(change);
    }
    if (!changed?.ok) throw new Error(JSON.stringify(changed));
    this.version = changed.value.version;
  }
  /** Runs a call in the first submitting process; undefined if it does not end in time. */
  call<T>(body: (context: BatchJobContext) => Task<T>, withinMs = 20_000): Promise<T | undefined> {
    return this.world.runTask(this.caller, () => body(this.context), withinMs);
  }
  items = (job: string, count: number, tokens = 100): SubmittedItem[] =>
    Array.from({ length: count }, (_each, index) => ({
      id: `${job}-i${index}`,
      target: `/b/${index}?x=1`,
      headers: { "X-Prompt-Parts": "shared:300,own:20" },
      body: Buffer.from(`body ${job} ${index}`).toString("base64"),
      tokens,
    }));
  submit = (job: string, count: number, tokens = 100, withinMs = 3000) =>
    this.call((context) =>
      new BatchSubmission(context).submit(
        job,
        "b",
        { ...BatchJobFleet.route, ...context.snapshot().control?.manifest.doc.bindings.b },
        this.items(job, count, tokens),
        withinMs,
      ),
    );
  /** Submits several jobs at once. Returns the time until each was accepted, ms; Infinity for a rejected job. */
  async submitAll(ids: string[], count: number): Promise<number[]> {
    const durations = new Map<string, number>();
    for (const id of ids) {
      const startedAt = this.world.now;
      const route = { ...BatchJobFleet.route, ...this.context.snapshot().control?.manifest.doc.bindings.b };
      const fleet = this;
      Csp.go(this.caller.scope, `submit ${id}`, function* () {
        const submitted = yield* new BatchSubmission(fleet.context).submit(
          id,
          "b",
          route,
          fleet.items(id, count),
          3000,
        );
        durations.set(id, submitted.ok ? fleet.world.now - startedAt : Infinity);
      });
    }
    while (durations.size < ids.length) await this.world.run(10);
    return ids.map((id) => durations.get(id)!);
  }
  async list(job: string, from = 0): Promise<JobResultPage | undefined> {
    const listed = await this.call((context) => new BatchJobReader(context).list(job, from, 0));
    return listed?.ok ? listed.value : undefined;
  }
  /** Reads a job until all its results are listed or the time-out has passed. */
  async readAll(job: string, withinMs: number): Promise<JobResultPage> {
    for (const until = this.world.now + withinMs; ;) {
      const listed = await this.list(job);
      if (listed && (listed.results.length === listed.total || this.world.now > until)) return listed;
      if (this.world.now > until)
        throw new Error(
          `job ${job} could not be read before the time-out: ${JSON.stringify(Fault.fail("timeout", "list", job, ""))}`,
        );
      await this.world.run(250);
    }
  }
  /** Name of the storage node that leads the job's shard; empty if none does. */
  leaderOf(job: string): string {
    const shard = this.context.shardClient.shardOf(job);
    return [...this.storageNodes].find(([, storageNode]) => storageNode.replicas.get(shard)?.holdsLease())?.[0] ?? "";
  }
  kill(name: string, powerLost = false): void {
    this.storageNodes.delete(name);
    this.world.kill(name, powerLost);
  }
  /** Erases the disk of a storage node that is down. */
  wipe(name: string): void {
    this.diskByProcess.get(name)!.wipe();
  }
  freeze(name: string): void {
    this.world.processes.get(name)!.freeze();
  }
  resume(name: string): void {
    this.world.processes.get(name)!.resume();
  }
  /** Errors that the simulated processes have recorded. */
  errors = (): string[] => [...this.world.processes.values()].flatMap((process) => process.errors);
}
