import { Constants } from "../common/constants";
import { Daemon, RunningDaemon } from "../daemon/daemon";
import { Csp, Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { ControlNode } from "../control/controlNode";
import { StorageNode } from "../storage/storageNode";
import { ShardView } from "../controlState/shardView";
import { ShardReplica } from "../shard/shardReplica";
import { Callers } from "../tools/callers/callers";
import { CheckOptions, Checker, Violation } from "../tools/checker/checker";
import { Deployment, DeploymentPlan, ProcessPlan } from "../tools/deployment";
import { History } from "../tools/history";
import { EndpointSettings, StandInEndpoint } from "../tools/standInEndpoint";
import { MembersBody } from "../cli/operator/responses";
import { DiskAudit } from "./diskAudit";
import { SimDisk } from "./simDisk";
import { WALL_CLOCK_START_MS } from "./simEnvironment";
import { ChangeOutcome, ConfigurationBody, LedgerPage, markersOf, NodeResponse, SimOperator } from "./simOperator";
import { SimProcess, SimWorld } from "./simWorld";
import { UnreachableWindows } from "./unreachableWindows";

const ACKNOWLEDGED_POINT = 47; // fault point: an entry is on every member of the view, just acknowledged
const VIEW_COMMITTED_POINT = 38; // fault point: a shard view was committed, not yet installed
const READY_PERIOD_MS = 200; // ms; between looks at whether the fleet is ready
const CONFIGURE_ATTEMPTS = 60;
const READY_ATTEMPTS = 100;
const SAMPLE_PERIOD_MS = 400; // ms; between samples of the configuration in force
const SAMPLE_TIMEOUT_MS = 400; // ms; of one such sample
const LEDGER_PERIOD_MS = 700; // ms; between reads of the ledger's new entries
const LEDGER_TIMEOUT_MS = 1500; // ms; of one such read
const TERMINATION_MS = 15_000; // ms; a process may take to end after SIGTERM
const IN_TOUCH_AGAIN_MS = 4000; // ms; after a start or the end of a partition, a node is in touch again
const AWAKE_AGAIN_MS = 2500; // ms; the same after a freeze
const CLOSING_LEDGER_PAGE = 1500; // entries; of one page, when the ledger is read back
const CLOSING_LEDGER_PAGES = 30;

/** How a machine comes back: with an empty disk, at a new address. */
export interface RestartOptions {
  empty?: boolean;
  moved?: boolean;
}
/** A stand-in endpoint and the process that it runs in. */
export interface FleetEndpoint {
  process: SimProcess;
  replica: StandInEndpoint;
}

/**
 * A whole deployment in the simulator, with stand-in replicas, callers and operators.
 *
 * @example
 * const fleet = new SimFleet(deployment, 7);
 * await fleet.boot();
 * fleet.kill("store-1");
 * await fleet.run(12_000);
 * const violations = await fleet.close();
 */
export class SimFleet {
  readonly world: SimWorld;
  readonly plan: DeploymentPlan;
  readonly history = new History();
  readonly disks = new Map<string, SimDisk>();
  readonly daemons = new Map<string, RunningDaemon>();
  readonly endpoints = new Map<string, FleetEndpoint>();
  readonly startedEndpoints: StandInEndpoint[] = [];
  readonly errors: string[] = [];
  callers!: Callers;
  private operator!: SimOperator;
  private readonly unreachable = new UnreachableWindows();
  private readonly audit = new DiskAudit(this);
  private settledAt = 0;
  private nextPort = 60_000;
  plannedOnly = false;
  /** What the scenario did, to show that it did something. */
  readonly actions: string[] = [];
  readonly notes: string[] = [];
  readonly followed: string[] = [];

  constructor(
    readonly deployment: Deployment,
    readonly seed: number,
    log: (line: string) => void = () => undefined,
  ) {
    Object.assign(Constants.segmentObjects, Constants.simSegmentObjects);
    this.world = new SimWorld(seed, log);
    this.plan = Deployment.plan(deployment, 30_000, "data");
    this.world.onFaultPoint = (process, point) => {
      if (point === ACKNOWLEDGED_POINT) this.audit.noteAcknowledged(process.name);
      if (point === VIEW_COMMITTED_POINT) this.audit.recordDisks(this.history);
    };
  }
  /** Store members by id, as long as they hold the disk they were born on. */
  readonly storeNameById = new Map<string, string>();
  wall = (): number => WALL_CLOCK_START_MS + this.world.now;
  /** @example await fleet.run(5000); */
  run = (ms: number): Promise<void> => this.world.run(ms);
  names = (program: string): string[] =>
    this.plan.processes.filter((each) => each.settings.program === program).map((each) => each.name);

  /** Starts everything, configures it, and starts the callers. @example await fleet.boot(); */
  async boot(load = 1): Promise<void> {
    this.operator = new SimOperator(this, this.world.start("operator", new SimDisk(this.world)), this.history);
    for (const each of this.plan.processes) this.start(each.name);
    for (const settings of this.plan.endpoints) this.startEndpoint(settings);
    await this.run(1500);
    await this.configure("manifest", this.deployment.manifest);
    await this.configure("policies", this.deployment.policies);
    await this.untilReady();
    const caller = this.world.start("callers", new SimDisk(this.world));
    this.callers = new Callers(caller.env, this.deployment.mix, this.plan.ingressHttp, this.history);
    this.callers.start(load);
    this.settledAt = this.wall();
    this.observe();
    await this.run(2000);
  }
  /** Sends a versioned document, by its name on the wire, until it is taken. */
  private async configure(document: string, content: unknown): Promise<void> {
    for (let attempt = 0; attempt < CONFIGURE_ATTEMPTS; attempt += 1) {
      const response = await this.send("PUT", `/v1/${document}`, content, { "if-match": '"0"' });
      if (response?.status === 200 || response?.status === 412) return;
      await this.run(READY_PERIOD_MS);
    }
    throw new Error(`${document} was not taken; ${this.tail()}`);
  }
  private async untilReady(): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      if (await this.everyIngressReady()) return;
      await this.run(READY_PERIOD_MS);
    }
    throw new Error(`fleet not ready; ${this.tail()}`);
  }
  private async everyIngressReady(): Promise<boolean> {
    const answers200 = async (path: string, address: string): Promise<boolean> =>
      (await this.send("GET", path, undefined, {}, address))?.status === 200;
    for (const address of this.plan.ingressHttp) if (!(await answers200("/readyz", address))) return false;
    return answers200("/v1/ledger?limit=1", this.plan.ingressHttp[0]);
  }
  private tail(): string {
    return [...this.world.processes.values()]
      .flatMap((process) => process.logs.slice(-3))
      .slice(-40)
      .join("\n");
  }
  /** Records for the checker which configuration is in force where, and the ledger as it grows. */
  private observe(): void {
    const { scope } = this.operator.process;
    Csp.go(scope, "sample configurations", () => this.sampleConfigurations());
    Csp.go(scope, "follow the ledger", () => this.followLedger());
  }
  private *sampleConfigurations(): Task<void> {
    for (;;) {
      for (const address of this.plan.ingressHttp) {
        const request = { method: "GET", path: "/v1/inforce", address, timeoutMs: SAMPLE_TIMEOUT_MS };
        const response = yield* this.operator.request(request);
        if (response?.status !== 200) continue;
        const { manifest } = response.body as { manifest: ConfigurationBody };
        const mark = markersOf(manifest.doc);
        this.history.add({ tag: "inForce", at: this.wall(), node: address, version: manifest.version, mark });
      }
      yield* EnvironmentTools.sleep(this.operator.process.env, SAMPLE_PERIOD_MS);
    }
  }
  /** What was read once must stand so at the end of the day. */
  private *followLedger(): Task<void> {
    const addresses = this.plan.ingressHttp;
    let after = "";
    for (let turn = 0; ; turn += 1) {
      const path = `/v1/ledger?limit=1000&after=${encodeURIComponent(after)}`;
      const address = addresses[turn % addresses.length];
      const response = yield* this.operator.request({ method: "GET", path, address, timeoutMs: LEDGER_TIMEOUT_MS });
      if (response?.status === 200) {
        const { entries, next } = response.body as LedgerPage;
        if (entries.length > 0) {
          this.followed.push(...entries.map((entry) => entry.stamp));
          after = next;
        }
      }
      yield* EnvironmentTools.sleep(this.operator.process.env, LEDGER_PERIOD_MS);
    }
  }

  // ---------- what runs, and the views ----------
  /** The running storage node of that name, if it runs. @example fleet.storageNode("store-1")?.replicas.size */
  private storageNode = (name: string): StorageNode | undefined =>
    this.names("store").includes(name) ? (this.daemons.get(name) as StorageNode | undefined) : undefined;
  /** The running control node of that name, if it runs. @example fleet.controlNode("control-1")?.group.hasLeaderLease() */
  private controlNode = (name: string): ControlNode | undefined =>
    this.names("control").includes(name) ? (this.daemons.get(name) as ControlNode | undefined) : undefined;

  /** The shard replicas of a running store. @example fleet.replicasOf("store-1").length */
  replicasOf(name: string): ShardReplica[] {
    return [...(this.storageNode(name)?.replicas.values() ?? [])];
  }
  /** The views that the control log holds, by the member that has applied most of it. @example fleet.views()["3"].members */
  views(): Record<string, ShardView> {
    const groups = this.names("control").flatMap((name) => this.controlNode(name)?.group ?? []);
    return groups.sort((left, right) => right.lastApplied - left.lastApplied)[0]?.state.views ?? {};
  }
  /** A store must be a member of some view again. @example fleet.expectInViews("store-1"); */
  expectInViews(name: string): void {
    const ids = [...this.storeNameById].filter(([, store]) => store === name).map(([id]) => id);
    if (!Object.values(this.views()).some((view) => view.members.some((id) => ids.includes(id))))
      throw new Error(`${name} is in no view again`);
  }
  /** Every shard has its copies, each in a district of its own. @example fleet.expectSpread("north"); */
  expectSpread(lost?: string): void {
    const zones = this.deployment.districts.filter((zone) => zone !== lost).length;
    const wanted = Math.min(
      Constants.replicasPerShard,
      zones,
      this.names("store").filter((name) => this.planOf(name).settings.district !== lost).length,
    );
    for (const view of Object.values(this.views())) {
      const held = new Set(view.members.map((id) => this.planOf(this.storeNameById.get(id)!).settings.district));
      if (view.members.length < wanted || held.size < wanted)
        throw new Error(`shard ${view.shard} has ${view.members.length} copies in ${[...held].join(", ")}`);
    }
  }
  private inZone = (zone: string): { processes: string[]; replicas: EndpointSettings[] } => ({
    processes: this.plan.processes.filter((each) => each.settings.district === zone).map((each) => each.name),
    replicas: this.plan.endpoints.filter((each) => each.district === zone),
  });
  /** Power is lost in a whole district. @example fleet.loseDistrict("north"); */
  loseZone(zone: string): void {
    this.fault(`district ${zone} lost`, true);
    const { processes, replicas: endpoints } = this.inZone(zone);
    for (const name of processes) this.kill(name, true);
    for (const { id } of endpoints) this.killEndpoint(id);
  }
  /** It comes back, its disks as they were or empty. @example fleet.restoreDistrict("north", true); */
  restoreZone(zone: string, empty: boolean): void {
    const { processes, replicas: endpoints } = this.inZone(zone);
    for (const name of processes) this.restart(name, { empty: empty && /^(store|control)/.test(name) });
    for (const endpoint of endpoints) this.startEndpoint(endpoint);
  }
  /** The newest control group's name and its voters. @example fleet.controlGroup().voters[0].name */
  controlGroup(): { group: string; voters: { name: string; id: string }[] } {
    const all = this.names("control").flatMap((name) => {
      const control = this.controlNode(name);
      return control ? [{ name, id: control.node.self.id, control }] : [];
    });
    const { state } = [...all].sort(
      (left, right) => right.control.group.lastApplied - left.control.group.lastApplied,
    )[0].control.group;
    return {
      group: state.group,
      voters: state.voters.flatMap((id) =>
        all.filter((each) => each.id === id).map((each) => ({ name: each.name, id })),
      ),
    };
  }
  /** A change read and made at one node. @example await fleet.changeAt(fleet.httpOf("control-1")); */
  changeAt = (address: string): Promise<ChangeOutcome> => this.operator.changeConfigurationAt(address);

  // ---------- processes ----------
  private planOf(name: string): ProcessPlan {
    const found = this.plan.processes.find((each) => each.name === name);
    if (!found) throw new Error(`no process ${name}`);
    return found;
  }
  /** @example fleet.start("store-1"); */
  start(name: string): void {
    const plan = this.planOf(name);
    const disk = this.disks.get(name) ?? new SimDisk(this.world);
    this.disks.set(name, disk);
    const process = this.world.start(name, disk);
    const fleet = this;
    this.unreachable.close(plan.settings.http, this.wall() + IN_TOUCH_AGAIN_MS);
    Csp.go(process.scope, "main", function* () {
      const started = yield* Daemon.start(process.env, plan.settings);
      if (started.ok) {
        fleet.daemons.set(name, started.value);
        const { node } = started.value as unknown as { node?: { self: { id: string } } };
        if (node && plan.settings.program === "store") fleet.storeNameById.set(node.self.id, name);
      } else {
        fleet.notes.push(`${name} refused to start: ${started.fault.detail}`);
        fleet.world.kill(name);
      }
    });
  }
  private keepErrors(name: string): void {
    const process = this.world.processes.get(name);
    if (process) this.errors.push(...process.errors.splice(0));
  }
  /** @example fleet.kill("store-1"); */
  kill(name: string, powerLost = false): void {
    this.actions.push(`${powerLost ? "power lost at" : "kill"} ${name} at ${this.world.now.toFixed(0)}`);
    this.keepErrors(name);
    this.world.kill(name, powerLost);
    this.daemons.delete(name);
    this.unreachable.open(this.httpOf(name), this.wall());
  }
  /** A machine comes back with its disk, or with an empty one, perhaps at a new address. @example fleet.restart("store-1", { empty: true, moved: true }); */
  restart(name: string, options: RestartOptions = {}): void {
    this.actions.push(`restart ${name} ${options.empty ? "empty" : ""}${options.moved ? " at a new address" : ""}`);
    this.restored(`${name} started again`);
    if (options.empty) this.wipe(name);
    if (options.moved) {
      const plan = this.planOf(name);
      plan.settings = {
        ...plan.settings,
        address: `127.0.0.1:${(this.nextPort += 1)}`,
        http: `127.0.0.1:${(this.nextPort += 1)}`,
      };
    }
    this.start(name);
  }
  /** The disk is gone, and with it the member that stood on it. @example fleet.wipe("store-1"); */
  wipe(name: string): void {
    this.disks.get(name)?.wipe();
    for (const [id, store] of this.storeNameById) if (store === name) this.storeNameById.delete(id);
  }
  /** A machine that was not there before. @example fleet.add("store", "store-5"); */
  add(program: "store" | "control", name: string): void {
    const like = this.plan.processes.find((each) => each.settings.program === program)!;
    const zone = this.deployment.districts[this.plan.processes.length % this.deployment.districts.length];
    this.plan.processes.push({
      name,
      settings: {
        ...like.settings,
        district: zone,
        address: `127.0.0.1:${(this.nextPort += 1)}`,
        http: `127.0.0.1:${(this.nextPort += 1)}`,
        data: `data/${name}`,
      },
    });
    this.actions.push(`add ${name}`);
    this.start(name);
  }
  /** SIGTERM, and whether it ended by itself. @example await fleet.terminate("ingress-1"); */
  async terminate(name: string): Promise<boolean> {
    this.actions.push(`terminate ${name}`);
    const process = this.world.processes.get(name)!;
    const running = this.daemons.get(name)!;
    const ended = await this.world.runTask(
      process,
      function* () {
        yield* running.stop();
        return true;
      },
      TERMINATION_MS,
    );
    const unanswered = "inFlight" in running ? Number((running as { inFlight: unknown }).inFlight) || 0 : 0;
    this.history.add({ tag: "stopped", at: this.wall(), process: name, unanswered });
    this.keepErrors(name);
    this.world.kill(name);
    this.daemons.delete(name);
    this.unreachable.open(this.httpOf(name), this.wall() - TERMINATION_MS);
    return ended === true;
  }
  /** @example fleet.freeze("store-1"); */
  freeze(name: string): void {
    this.actions.push(`freeze ${name}`);
    this.unreachable.open(this.httpOf(name), this.wall());
    this.world.processes.get(name)!.freeze();
  }
  wake(name: string): void {
    this.unreachable.closeOldest(this.httpOf(name), this.wall() + AWAKE_AGAIN_MS);
    this.world.processes.get(name)!.resume();
    this.restored(`${name} woke`);
  }
  private restored(what: string): void {
    this.history.add({ tag: "restored", at: this.wall(), what });
  }
  /** Cuts a set of processes off from all others. @example fleet.cutOff(["store-1"], "both"); */
  partition(names: string[], way: "in" | "out" | "both" = "both"): void {
    this.actions.push(`cut off ${names.join(" ")} ${way}`);
    for (const name of names) this.unreachable.open(this.httpOf(name), this.wall());
    this.world.isolate(names, way);
  }
  /** Nothing comes from some processes to another. @example fleet.deafen("ingress-1", ["store-1"]); */
  deafen(name: string, to: string[]): void {
    this.actions.push(`${name} hears nothing from ${to.join(" ")}`);
    this.unreachable.open(this.httpOf(name), this.wall());
    for (const other of to) this.world.partition(other, name);
  }
  heal(): void {
    this.world.heal();
    this.restored("cuts healed");
    this.unreachable.closeAll(this.wall() + IN_TOUCH_AGAIN_MS);
  }
  /** @example fleet.httpOf("store-1") */
  httpOf = (name: string): string => this.plan.processes.find((each) => each.name === name)?.settings.http ?? name;
  /** Notes a fault for the bounds in seconds. @example fleet.fault("store-1 lost", true); */
  fault(fault: string, heavy: boolean): void {
    this.history.add({ tag: "fault", at: this.wall(), fault, heavy });
  }

  // ---------- replicas ----------
  startEndpoint(settings: EndpointSettings): void {
    const process = this.world.start(`replica-${settings.id}`, new SimDisk(this.world));
    const endpoint = new StandInEndpoint(process.env, settings);
    this.endpoints.set(settings.id, { process, replica: endpoint });
    this.startedEndpoints.push(endpoint);
    this.history.add({ tag: "replicaStarted", at: this.wall(), replica: settings.id, capacity: settings.capacity });
    Csp.go(process.scope, "main", () => endpoint.start());
  }
  killEndpoint(id: string): void {
    this.actions.push(`kill replica ${id}`);
    this.world.kill(`replica-${id}`);
  }
  /** Goodbye, work in flight ends, then the process ends and a new one comes. @example await fleet.replaceReplica("model-1", "v2"); */
  async replaceEndpoint(id: string, version: string): Promise<void> {
    this.actions.push(`replace replica ${id}`);
    const { process, replica: endpoint } = this.endpoints.get(id)!;
    if (await this.world.runTask(process, () => endpoint.deregister(), 3000))
      this.history.add({ tag: "goodbye", at: this.wall(), replica: id });
    await this.run(4000);
    this.world.kill(`replica-${id}`);
    await this.run(300);
    this.startEndpoint({ ...endpoint.settings, version });
  }

  // ---------- operators ----------
  /** Asks some node, as an operator would. @example await fleet.operate("GET", "/v1/members"); */
  send = (
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
    address?: string,
  ): Promise<NodeResponse | undefined> => this.operator.operate(method, path, body, headers, address);
  /** A configuration with one more marked route, made against the version that is read first. @example await fleet.change(1); */
  changeConfiguration = (routes = 1): Promise<ChangeOutcome> => this.operator.changeConfiguration(routes);
  /** The same, made against a configuration read before. @example await fleet.changeFrom(body, 400); */
  changeFrom = (base: ConfigurationBody, routes = 1, address?: string): Promise<ChangeOutcome> =>
    this.operator.changeConfigurationFrom(base, routes, address);
  /** The id of the member that runs under a name, as some node knows it. @example await fleet.memberIdOf("store-1") */
  async memberIdOf(name: string): Promise<string> {
    const response = await this.send("GET", "/v1/members");
    const { members } = response!.body as MembersBody;
    const { address } = this.planOf(name).settings;
    return members.find((member) => member.address === address)!.id;
  }
  /** A calendar entry due now; its last known state. @example await fleet.move({ kind: "drain", district: "north" }, 10_000); */
  async move(move: Record<string, unknown>, withinMs: number): Promise<string> {
    this.actions.push(`move ${JSON.stringify(move).slice(0, 80)}`);
    return this.operator.runPlanned(move, withinMs);
  }
  /** The store that leads most shards now. @example fleet.busiestStore() */
  busiestStore(): string {
    const leaders = (name: string): number => {
      const replicas = this.storageNode(name)?.replicas;
      return replicas ? [...replicas.values()].filter((replica) => replica.role === "lead").length : -1;
    };
    return [...this.names("store")].sort((left, right) => leaders(right) - leaders(left))[0];
  }
  /** The control member that leads. @example fleet.controlLead() */
  controlLeader(): string {
    return (
      this.names("control").find((name) => this.controlNode(name)?.group.hasLeaderLease()) ?? this.names("control")[0]
    );
  }

  /** Ends the day: callers finish, everything is read back, the history is judged. @example const violations = await fleet.close(); */
  async stopAndCheck(): Promise<Violation[]> {
    this.world.heal();
    for (const process of this.world.processes.values()) process.resume();
    await this.finishCallers();
    await this.readBack();
    for (const name of this.world.processes.keys()) this.keepErrors(name);
    this.audit.recordDisks(this.history);
    const violations = this.judge();
    for (const name of [...this.world.processes.keys()]) this.world.kill(name);
    return violations;
  }
  private async finishCallers(): Promise<void> {
    this.callers.stopNew();
    for (let waited = 0; this.callers.callsInFlight > 0 && waited < 120; waited += 1) await this.run(1000);
    for (const address of this.plan.ingressHttp.slice(0, 3))
      await this.world.runTask(this.operator.process, () => this.callers.reread(address), 200_000);
  }
  private async readBack(): Promise<void> {
    const response = await this.send("GET", "/v1/manifest");
    const configuration = response?.status === 200 ? (response.body as ConfigurationBody) : undefined;
    const mark = configuration ? markersOf(configuration.doc) : "";
    this.history.add({ tag: "dayEnd", at: this.wall(), version: configuration?.version ?? 0, mark });
    this.history.add({ tag: "ledger", at: this.wall(), ingress: "the follower", stamps: this.followed });
    for (const address of this.plan.ingressHttp.slice(0, 2)) {
      const stamps = await this.operator.readLedger(address, CLOSING_LEDGER_PAGE, CLOSING_LEDGER_PAGES);
      this.history.add({ tag: "ledger", at: this.wall(), ingress: address, stamps });
    }
  }
  private judge(): Violation[] {
    const options: CheckOptions = {
      plannedOnly: this.plannedOnly,
      settledAt: this.settledAt,
      unreachable: (node, from, to) => this.unreachable.covers(node, from, to),
    };
    const violations = Checker.check(this.history, this.startedEndpoints, options);
    for (const error of this.errors) violations.push({ invariant: "no-task-error", detail: error.slice(0, 600) });
    const kinds = ["lookup", "streamEnd", "lotFinished"] as const;
    if (kinds.some((kind) => this.history.of(kind).length === 0))
      violations.push({ invariant: "exercised", detail: "the run served nothing of some kind: it proves nothing" });
    return violations;
  }
}
