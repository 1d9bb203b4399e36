import { Constants } from "../common/constants";
import { Daemon, RunningDaemon } from "../daemon/daemon";
import { Csp } from "../runtime/csp";
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
import { FleetObserver } from "./fleetObserver";
import { SimDisk } from "./simDisk";
import { WALL_CLOCK_START_MS } from "./simEnvironment";
import { ChangeOutcome, ConfigurationBody, NodeResponse, SimOperator } from "./simOperator";
import { SimProcess, SimWorld } from "./simWorld";
import { UnreachableWindows } from "./unreachableWindows";

const ACKNOWLEDGED_POINT = 47; // fault point: an entry is synced at every member of the view and was just acknowledged
const VIEW_COMMITTED_POINT = 38; // fault point: a shard view is committed but not installed yet
const READY_POLL_MS = 200; // interval between checks whether the fleet is ready
const CONFIGURE_ATTEMPTS = 60;
const READY_ATTEMPTS = 100;
const TERMINATION_TIMEOUT_MS = 15_000; // time that a process may take to end after SIGTERM
const RECONNECT_MS = 4000; // time after a start or the end of a partition until a node counts as reachable
const RESUME_RECONNECT_MS = 2500; // time after a resume until a node counts as reachable

/** How a machine restarts. */
export interface RestartOptions {
  withEmptyDisk?: boolean;
  atNewAddress?: boolean;
}
/** A stand-in endpoint and its process. */
export interface FleetEndpoint {
  process: SimProcess;
  endpoint: StandInEndpoint;
}

/**
 * A whole deployment in the simulator, with stand-in endpoints, callers and an operator.
 *
 * @example
 * const fleet = new SimFleet(deployment, 7);
 * await fleet.boot();
 * fleet.kill("store-1");
 * await fleet.run(12_000);
 * const violations = await fleet.stopAndCheck();
 */
export class SimFleet {
  readonly world: SimWorld;
  readonly plan: DeploymentPlan;
  readonly history = new History();
  readonly disks = new Map<string, SimDisk>();
  readonly daemons = new Map<string, RunningDaemon>();
  readonly endpoints = new Map<string, FleetEndpoint>();
  /** All endpoints that were ever started, including those that have ended. */
  readonly startedEndpoints: StandInEndpoint[] = [];
  /** Uncaught task errors of all processes. */
  readonly errors: string[] = [];
  callers!: Callers;
  private operator!: SimOperator;
  private observer!: FleetObserver;
  private readonly unreachable = new UnreachableWindows();
  private readonly audit = new DiskAudit(this);
  private settledAt = 0;
  private nextPort = 60_000;
  /** Whether the run has only planned operations and no faults. */
  plannedOnly = false;
  /** What was done to the fleet, as evidence that the scenario did something. */
  readonly actions: string[] = [];
  readonly notes: string[] = [];

  constructor(
    readonly deployment: Deployment,
    readonly seed: number,
    log: (line: string) => void = () => undefined,
  ) {
    Object.assign(Constants.segmentObjects, Constants.simSegmentObjects);
    this.world = new SimWorld(seed, log);
    this.plan = Deployment.plan(deployment, 30_000, "data");
    this.world.onFaultPoint = (process, point) => {
      if (point === ACKNOWLEDGED_POINT) this.audit.recordAcknowledged(process.name);
      if (point === VIEW_COMMITTED_POINT) this.audit.recordDisks(this.history);
    };
  }
  /** Process names of the storage nodes, by member id. A member whose disk was wiped is absent. */
  readonly storeNameById = new Map<string, string>();
  wallMs = (): number => WALL_CLOCK_START_MS + this.world.now;
  run = (ms: number): Promise<void> => this.world.run(ms);
  names = (program: string): string[] =>
    this.plan.processes.filter((each) => each.settings.program === program).map((each) => each.name);

  /** Starts and configures all nodes, waits until they are ready and starts the callers. */
  async boot(load = 1): Promise<void> {
    this.operator = new SimOperator(this, this.world.start("operator", new SimDisk(this.world)), this.history);
    this.observer = new FleetObserver(this, this.operator, this.history);
    for (const each of this.plan.processes) this.start(each.name);
    for (const settings of this.plan.endpoints) this.startEndpoint(settings);
    await this.run(1500);
    await this.configure("manifest", this.deployment.manifest);
    await this.configure("policies", this.deployment.policies);
    await this.waitUntilReady();
    const caller = this.world.start("callers", new SimDisk(this.world));
    this.callers = new Callers(caller.env, this.deployment.mix, this.plan.ingressHttp, this.history);
    this.callers.start(load);
    this.settledAt = this.wallMs();
    this.observer.start();
    await this.run(2000);
  }
  /** Sends a versioned document, by its name on the wire, until a node accepts it. */
  private async configure(document: string, content: unknown): Promise<void> {
    for (let attempt = 0; attempt < CONFIGURE_ATTEMPTS; attempt += 1) {
      const response = await this.send("PUT", `/v1/${document}`, content, { "if-match": '"0"' });
      if (response?.status === 200 || response?.status === 412) return;
      await this.run(READY_POLL_MS);
    }
    throw new Error(`${document} was not accepted; ${this.recentLogLines()}`);
  }
  private async waitUntilReady(): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      if (await this.isEveryIngressReady()) return;
      await this.run(READY_POLL_MS);
    }
    throw new Error(`fleet not ready; ${this.recentLogLines()}`);
  }
  private async isEveryIngressReady(): Promise<boolean> {
    const respondsWith200 = async (path: string, address: string): Promise<boolean> =>
      (await this.send("GET", path, undefined, {}, address))?.status === 200;
    for (const address of this.plan.ingressHttp) if (!(await respondsWith200("/readyz", address))) return false;
    return respondsWith200("/v1/ledger?limit=1", this.plan.ingressHttp[0]);
  }
  private recentLogLines(): string {
    return [...this.world.processes.values()]
      .flatMap((process) => process.logs.slice(-3))
      .slice(-40)
      .join("\n");
  }
  /** The storage node of a process, if it runs. */
  private storageNode = (name: string): StorageNode | undefined =>
    this.names("store").includes(name) ? (this.daemons.get(name) as StorageNode | undefined) : undefined;
  /** The control node of a process, if it runs. */
  private controlNode = (name: string): ControlNode | undefined =>
    this.names("control").includes(name) ? (this.daemons.get(name) as ControlNode | undefined) : undefined;

  /** The shard replicas of a storage node; none if it does not run. */
  replicasOf(name: string): ShardReplica[] {
    return [...(this.storageNode(name)?.replicas.values() ?? [])];
  }
  /** The view of each shard, according to the control node that has applied most of the log. */
  views(): Record<string, ShardView> {
    const groups = this.names("control").flatMap((name) => this.controlNode(name)?.group ?? []);
    return groups.sort((left, right) => right.lastApplied - left.lastApplied)[0]?.state.views ?? {};
  }
  /** Throws unless a storage node is again a member of some view. */
  expectInViews(name: string): void {
    const ids = [...this.storeNameById].filter(([, store]) => store === name).map(([id]) => id);
    if (!Object.values(this.views()).some((view) => view.members.some((id) => ids.includes(id))))
      throw new Error(`${name} did not become a member of any view again`);
  }
  /** Throws unless every shard has as many replicas as possible, each in a different zone. @param lostZone zone without nodes */
  expectReplicasSpreadOverZones(lostZone?: string): void {
    const zones = this.deployment.districts.filter((zone) => zone !== lostZone).length;
    const replicaCount = Math.min(
      Constants.replicasPerShard,
      zones,
      this.names("store").filter((name) => this.planOf(name).settings.district !== lostZone).length,
    );
    for (const view of Object.values(this.views())) {
      const usedZones = new Set(view.members.map((id) => this.planOf(this.storeNameById.get(id)!).settings.district));
      if (view.members.length < replicaCount || usedZones.size < replicaCount)
        throw new Error(`shard ${view.shard} has ${view.members.length} replicas in ${[...usedZones].join(", ")}`);
    }
  }
  private processesAndEndpointsIn = (zone: string): { processes: string[]; endpoints: EndpointSettings[] } => ({
    processes: this.plan.processes.filter((each) => each.settings.district === zone).map((each) => each.name),
    endpoints: this.plan.endpoints.filter((each) => each.district === zone),
  });
  /** Simulates a power loss of all machines in a zone. */
  loseZone(zone: string): void {
    this.recordFault(`district ${zone} lost`, true);
    const { processes, endpoints } = this.processesAndEndpointsIn(zone);
    for (const name of processes) this.kill(name, true);
    for (const { id } of endpoints) this.killEndpoint(id);
  }
  /** Restarts all machines of a zone, with their former disks or with empty ones. */
  restoreZone(zone: string, empty: boolean): void {
    const { processes, endpoints } = this.processesAndEndpointsIn(zone);
    for (const name of processes) this.restart(name, { withEmptyDisk: empty && /^(store|control)/.test(name) });
    for (const endpoint of endpoints) this.startEndpoint(endpoint);
  }
  /** The current control group's name and its voters, according to the control node that has applied most of the log. */
  controlGroup(): { group: string; voters: { name: string; id: string }[] } {
    const controls = this.names("control").flatMap((name) => {
      const control = this.controlNode(name);
      return control ? [{ name, id: control.node.self.id, control }] : [];
    });
    const { state } = [...controls].sort(
      (left, right) => right.control.group.lastApplied - left.control.group.lastApplied,
    )[0].control.group;
    return {
      group: state.group,
      voters: state.voters.flatMap((id) =>
        controls.filter((each) => each.id === id).map((each) => ({ name: each.name, id })),
      ),
    };
  }
  /** Like changeConfiguration, with both requests to one node. */
  changeConfigurationAt = (address: string): Promise<ChangeOutcome> => this.operator.changeConfigurationAt(address);

  private planOf(name: string): ProcessPlan {
    const found = this.plan.processes.find((each) => each.name === name);
    if (!found) throw new Error(`no process ${name}`);
    return found;
  }
  start(name: string): void {
    const plan = this.planOf(name);
    const disk = this.disks.get(name) ?? new SimDisk(this.world);
    this.disks.set(name, disk);
    const process = this.world.start(name, disk);
    const fleet = this;
    this.unreachable.close(plan.settings.http, this.wallMs() + RECONNECT_MS);
    Csp.go(process.scope, "main", function* () {
      const started = yield* Daemon.start(process.env, plan.settings);
      if (started.ok) {
        fleet.daemons.set(name, started.value);
        const { node } = started.value as unknown as { node?: { self: { id: string } } };
        if (node && plan.settings.program === "store") fleet.storeNameById.set(node.self.id, name);
      } else {
        fleet.notes.push(`${name} failed to start: ${started.fault.detail}`);
        fleet.world.kill(name);
      }
    });
  }
  private collectErrors(name: string): void {
    const process = this.world.processes.get(name);
    if (process) this.errors.push(...process.errors.splice(0));
  }
  kill(name: string, powerLost = false): void {
    this.actions.push(`${powerLost ? "power lost at" : "kill"} ${name} at ${this.world.now.toFixed(0)}`);
    this.collectErrors(name);
    this.world.kill(name, powerLost);
    this.daemons.delete(name);
    this.unreachable.open(this.httpOf(name), this.wallMs());
  }
  /** Starts a machine again. @example fleet.restart("store-1", { withEmptyDisk: true, atNewAddress: true }); */
  restart(name: string, how: RestartOptions = {}): void {
    this.actions.push(
      `restart ${name} ${how.withEmptyDisk ? "empty" : ""}${how.atNewAddress ? " at a new address" : ""}`,
    );
    this.recordRestored(`${name} started again`);
    if (how.withEmptyDisk) this.wipe(name);
    if (how.atNewAddress) {
      const plan = this.planOf(name);
      plan.settings = {
        ...plan.settings,
        address: `127.0.0.1:${(this.nextPort += 1)}`,
        http: `127.0.0.1:${(this.nextPort += 1)}`,
      };
    }
    this.start(name);
  }
  /** Empties a disk, and forgets the member that was stored on it. */
  wipe(name: string): void {
    this.disks.get(name)?.wipe();
    for (const [id, store] of this.storeNameById) if (store === name) this.storeNameById.delete(id);
  }
  /** Adds a machine to the deployment. */
  add(program: "store" | "control", name: string): void {
    const template = this.plan.processes.find((each) => each.settings.program === program)!;
    const zone = this.deployment.districts[this.plan.processes.length % this.deployment.districts.length];
    this.plan.processes.push({
      name,
      settings: {
        ...template.settings,
        district: zone,
        address: `127.0.0.1:${(this.nextPort += 1)}`,
        http: `127.0.0.1:${(this.nextPort += 1)}`,
        data: `data/${name}`,
      },
    });
    this.actions.push(`add ${name}`);
    this.start(name);
  }
  /** Shuts a process down gracefully, as SIGTERM does. Returns whether it ended in time. */
  async terminate(name: string): Promise<boolean> {
    this.actions.push(`terminate ${name}`);
    const process = this.world.processes.get(name)!;
    const running = this.daemons.get(name)!;
    const hasEnded = await this.world.runTask(
      process,
      function* () {
        yield* running.stop();
        return true;
      },
      TERMINATION_TIMEOUT_MS,
    );
    const unanswered = "inFlight" in running ? Number((running as { inFlight: unknown }).inFlight) || 0 : 0;
    this.history.add({ tag: "stopped", at: this.wallMs(), process: name, unanswered });
    this.collectErrors(name);
    this.world.kill(name);
    this.daemons.delete(name);
    this.unreachable.open(this.httpOf(name), this.wallMs() - TERMINATION_TIMEOUT_MS);
    return hasEnded === true;
  }
  freeze(name: string): void {
    this.actions.push(`freeze ${name}`);
    this.unreachable.open(this.httpOf(name), this.wallMs());
    this.world.processes.get(name)!.freeze();
  }
  resume(name: string): void {
    this.unreachable.closeOldest(this.httpOf(name), this.wallMs() + RESUME_RECONNECT_MS);
    this.world.processes.get(name)!.resume();
    this.recordRestored(`${name} woke`);
  }
  private recordRestored(what: string): void {
    this.history.add({ tag: "restored", at: this.wallMs(), what });
  }
  /** Partitions a set of processes from all others. */
  partition(names: string[], direction: "in" | "out" | "both" = "both"): void {
    this.actions.push(`partition ${names.join(" ")} ${direction}`);
    for (const name of names) this.unreachable.open(this.httpOf(name), this.wallMs());
    this.world.isolate(names, direction);
  }
  /** Drops all messages from the senders to a process. */
  blockIncoming(name: string, senders: string[]): void {
    this.actions.push(`${name} receives nothing from ${senders.join(" ")}`);
    this.unreachable.open(this.httpOf(name), this.wallMs());
    for (const sender of senders) this.world.partition(sender, name);
  }
  heal(): void {
    this.world.heal();
    this.recordRestored("cuts healed");
    this.unreachable.closeAll(this.wallMs() + RECONNECT_MS);
  }
  /** HTTP address of a process. */
  httpOf = (name: string): string => this.plan.processes.find((each) => each.name === name)?.settings.http ?? name;
  /** Records a fault in the history. After a heavy one the checker expects the service to return within a time limit. */
  recordFault(fault: string, isHeavy: boolean): void {
    this.history.add({ tag: "fault", at: this.wallMs(), fault, heavy: isHeavy });
  }

  startEndpoint(settings: EndpointSettings): void {
    const process = this.world.start(`replica-${settings.id}`, new SimDisk(this.world));
    const endpoint = new StandInEndpoint(process.env, settings);
    this.endpoints.set(settings.id, { process, endpoint });
    this.startedEndpoints.push(endpoint);
    this.history.add({ tag: "replicaStarted", at: this.wallMs(), replica: settings.id, capacity: settings.capacity });
    Csp.go(process.scope, "main", () => endpoint.start());
  }
  killEndpoint(id: string): void {
    this.actions.push(`kill endpoint ${id}`);
    this.world.kill(`replica-${id}`);
  }
  /** Deregisters an endpoint, lets its requests in flight end, and replaces its process. */
  async replaceEndpoint(id: string, version: string): Promise<void> {
    this.actions.push(`replace endpoint ${id}`);
    const { process, endpoint } = this.endpoints.get(id)!;
    if (await this.world.runTask(process, () => endpoint.deregister(), 3000))
      this.history.add({ tag: "goodbye", at: this.wallMs(), replica: id });
    await this.run(4000);
    this.world.kill(`replica-${id}`);
    await this.run(300);
    this.startEndpoint({ ...endpoint.settings, version });
  }

  /** Sends a request of an operator, by default to a random running node. */
  send = (
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
    address?: string,
  ): Promise<NodeResponse | undefined> => this.operator.send(method, path, body, headers, address);
  /** Reads the configuration and adds a marker route; for `routes` above 1 it also adds that many other routes. */
  changeConfiguration = (routes = 1): Promise<ChangeOutcome> => this.operator.changeConfiguration(routes);
  /** Like changeConfiguration, based on a configuration that was read before. */
  changeConfigurationFrom = (base: ConfigurationBody, routes = 1, address?: string): Promise<ChangeOutcome> =>
    this.operator.changeConfigurationFrom(base, routes, address);
  /** Member id of a process, as a random node knows it. */
  async memberIdOf(name: string): Promise<string> {
    const response = await this.send("GET", "/v1/members");
    const { members } = response!.body as MembersBody;
    const { address } = this.planOf(name).settings;
    return members.find((member) => member.address === address)!.id;
  }
  /** Schedules a planned operation for now and waits until it ends, at most `withinMs`. Returns its last known state. */
  async runPlannedOperation(operation: Record<string, unknown>, withinMs: number): Promise<string> {
    this.actions.push(`planned operation ${JSON.stringify(operation).slice(0, 80)}`);
    return this.operator.runPlannedOperation(operation, withinMs);
  }
  /** The storage node that leads the most shards. */
  busiestStore(): string {
    const leaderCount = (name: string): number => {
      const replicas = this.storageNode(name)?.replicas;
      return replicas ? [...replicas.values()].filter((replica) => replica.role === "lead").length : -1;
    };
    return [...this.names("store")].sort((left, right) => leaderCount(right) - leaderCount(left))[0];
  }
  /** The control node that leads the group. */
  controlLeader(): string {
    return (
      this.names("control").find((name) => this.controlNode(name)?.group.hasLeaderLease()) ?? this.names("control")[0]
    );
  }

  /** Lets the callers finish, reads all results back, checks the invariants and kills all processes. */
  async stopAndCheck(): Promise<Violation[]> {
    this.world.heal();
    for (const process of this.world.processes.values()) process.resume();
    await this.finishCallers();
    await this.observer.readBack();
    for (const name of this.world.processes.keys()) this.collectErrors(name);
    this.audit.recordDisks(this.history);
    const violations = this.checkHistory();
    for (const name of [...this.world.processes.keys()]) this.world.kill(name);
    return violations;
  }
  private async finishCallers(): Promise<void> {
    this.callers.stopNew();
    for (let waited = 0; this.callers.callsInFlight > 0 && waited < 120; waited += 1) await this.run(1000);
    for (const address of this.plan.ingressHttp.slice(0, 3))
      await this.world.runTask(this.operator.process, () => this.callers.reread(address), 200_000);
  }
  private checkHistory(): Violation[] {
    const options: CheckOptions = {
      plannedOnly: this.plannedOnly,
      settledAt: this.settledAt,
      unreachable: (node, from, to) => this.unreachable.covers(node, from, to),
    };
    const violations = Checker.check(this.history, this.startedEndpoints, options);
    for (const error of this.errors) violations.push({ invariant: "no-task-error", detail: error.slice(0, 600) });
    const kinds = ["lookup", "streamEnd", "lotFinished"] as const;
    if (kinds.some((kind) => this.history.of(kind).length === 0))
      violations.push({
        invariant: "exercised",
        detail: "the run served nothing of some kind: it proves nothing",
      });
    return violations;
  }
}
