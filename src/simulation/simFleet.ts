import { Constants } from "../common/constants";
import { Daemon, RunningDaemon } from "../daemon/daemon";
import { Csp, Task } from "../runtime/csp";
import { EnvTools } from "../runtime/env";
import { TwoSlots } from "../runtime/twoSlots";
import { ControlNode } from "../control/controlNode";
import { StorageNode } from "../storage/storageNode";
import { ShardView } from "../controlState/shardView";
import { ShardReplica } from "../shard/shardReplica";
import { Callers } from "../tools/callers";
import { CheckOptions, Checker, Violation } from "../tools/checker";
import { Deployment, Plan, ProcessPlan } from "../tools/deployment";
import { History, Place } from "../tools/history";
import { ReplicaSettings, StandInReplica } from "../tools/standIns";
import { SimDisk } from "./simDisk";
import { SimProcess, SimWorld } from "./simWorld";

type Said = { status: number; body: any; headers: Record<string, string> } | undefined;
type Window = { node: string; from: number; to: number };

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
  readonly plan: Plan;
  readonly history = new History();
  readonly disks = new Map<string, SimDisk>();
  readonly running = new Map<string, RunningDaemon>();
  readonly endpoints = new Map<string, { process: SimProcess; replica: StandInReplica }>();
  readonly pastEndpoints: StandInReplica[] = [];
  readonly errors: string[] = [];
  callers!: Callers;
  private operator!: SimProcess;
  private windows: Window[] = [];
  private settledAt = 0;
  private marks = 0;
  private nextPort = 60_000;
  plannedOnly = false;
  /** What the scenario did, to show that it did something. */
  readonly acts: string[] = [];
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
    this.world.watch = (process, point) => {
      if (point === 47) this.noteAcknowledged(process.name);
      if (point === 38) this.lookAtDisks();
    };
  }
  /** Store members by id, as long as they hold the disk they were born on. */
  readonly storeOf = new Map<string, string>();
  private acknowledged = new Map<number, Place>();
  wall = (): number => 1_790_000_000_000 + this.world.now;
  /** @example await fleet.run(5000); */
  run = (ms: number): Promise<void> => this.world.run(ms);
  names = (program: string): string[] =>
    this.plan.processes.filter((each) => each.settings.program === program).map((each) => each.name);

  /** Starts everything, configures it, and starts the callers. @example await fleet.boot(); */
  async boot(load = 1): Promise<void> {
    this.operator = this.world.start("operator", new SimDisk(this.world));
    for (const each of this.plan.processes) this.start(each.name);
    for (const settings of this.plan.replicas) this.startEndpoint(settings);
    await this.run(1500);
    for (const [what, doc] of [
      ["manifest", this.deployment.manifest],
      ["policies", this.deployment.policies],
    ] as const) {
      let done = false;
      for (let round = 0; round < 60 && !done; round += 1) {
        const put = await this.operate("PUT", `/v1/${what}`, doc, { "if-match": '"0"' });
        done = put?.status === 200 || put?.status === 412;
        if (!done) await this.run(200);
      }
      if (!done) throw new Error(`${what} was not taken; ${this.tail()}`);
    }
    for (let round = 0; round < 100; round += 1) {
      if (await this.everyReady()) break;
      await this.run(200);
      if (round === 99) throw new Error(`fleet not ready; ${this.tail()}`);
    }
    const caller = this.world.start("callers", new SimDisk(this.world));
    this.callers = new Callers(caller.env, this.deployment.mix, this.plan.ingressHttp, this.history);
    this.callers.start(load);
    this.settledAt = this.wall();
    this.sample();
    await this.run(2000);
  }
  private async everyReady(): Promise<boolean> {
    for (const address of this.plan.ingressHttp)
      if ((await this.operate("GET", "/readyz", undefined, {}, address))?.status !== 200) return false;
    return (await this.operate("GET", "/v1/ledger?limit=1", undefined, {}, this.plan.ingressHttp[0]))?.status === 200;
  }
  private tail(): string {
    return [...this.world.processes.values()]
      .flatMap((process) => process.logs.slice(-3))
      .slice(-40)
      .join("\n");
  }
  /** Which configuration is in force where, twice a second. */
  private sample(): void {
    const fleet = this;
    Csp.go(this.operator.scope, "sample", function* () {
      for (;;) {
        for (const address of fleet.plan.ingressHttp) {
          const said = yield* fleet.ask(fleet.operator, "GET", "/v1/inforce", undefined, {}, address, 400);
          if (said?.status === 200)
            fleet.history.add({
              tag: "inForce",
              at: fleet.wall(),
              node: address,
              version: said.body.manifest.version,
              mark: Object.keys(said.body.manifest.doc.bindings)
                .filter((name) => name.startsWith("mark-"))
                .join(","),
            });
        }
        yield* EnvTools.sleep(fleet.operator.env, 400);
      }
    });
    // and the ledger is followed as it grows: what was read once must stand so at day's end
    Csp.go(this.operator.scope, "follow the ledger", function* () {
      let after = "";
      for (let turn = 0; ; turn += 1) {
        const address = fleet.plan.ingressHttp[turn % fleet.plan.ingressHttp.length];
        const said = yield* fleet.ask(
          fleet.operator,
          "GET",
          `/v1/ledger?limit=1000&after=${encodeURIComponent(after)}`,
          undefined,
          {},
          address,
          1500,
        );
        if (said?.status === 200 && said.body.entries.length > 0) {
          fleet.followed.push(...said.body.entries.map((entry: { stamp: string }) => entry.stamp));
          after = said.body.next;
        }
        yield* EnvTools.sleep(fleet.operator.env, 700);
      }
    });
  }

  /** The running storage node of that name, if it runs. @example fleet.storageNode("store-1")?.replicas.size */
  private storageNode = (name: string): StorageNode | undefined =>
    this.names("store").includes(name) ? (this.running.get(name) as StorageNode | undefined) : undefined;
  /** The running control node of that name, if it runs. @example fleet.controlNode("control-1")?.group.hasLeaderLease() */
  private controlNode = (name: string): ControlNode | undefined =>
    this.names("control").includes(name) ? (this.running.get(name) as ControlNode | undefined) : undefined;

  // ---------- what is on the disks ----------
  private replicasOf(name: string): ShardReplica[] {
    return [...(this.storageNode(name)?.replicas.values() ?? [])];
  }
  /** What a lead has answered stands on every copy: its last applied entry. */
  private noteAcknowledged(name: string): void {
    for (const replica of this.replicasOf(name)) {
      if (replica.role !== "lead") continue;
      const known = this.acknowledged.get(replica.shard);
      const place = { epoch: replica.appliedEpoch, seq: replica.appliedSeq };
      if (!known || place.epoch > known.epoch || (place.epoch === known.epoch && place.seq > known.seq))
        this.acknowledged.set(replica.shard, place);
    }
  }
  /** The views that the control log holds, by the member that has applied most of it. @example fleet.views()["3"].members */
  views(): Record<string, ShardView> {
    const groups = this.names("control").flatMap((name) => this.controlNode(name)?.group ?? []);
    return groups.sort((left, right) => right.lastApplied - left.lastApplied)[0]?.state.views ?? {};
  }
  /** A store must be a member of some view again. @example fleet.expectInViews("store-1"); */
  expectInViews(name: string): void {
    const ids = [...this.storeOf].filter(([, store]) => store === name).map(([id]) => id);
    if (!Object.values(this.views()).some((view) => view.members.some((id) => ids.includes(id))))
      throw new Error(`${name} is in no view again`);
  }
  /** Every shard has its copies, each in a district of its own. @example fleet.expectSpread("north"); */
  expectSpread(lost?: string): void {
    const zones = this.deployment.districts.filter((zone) => zone !== lost).length;
    const wanted = Math.min(
      Constants.replicas,
      zones,
      this.names("store").filter((name) => this.planOf(name).settings.district !== lost).length,
    );
    for (const view of Object.values(this.views())) {
      const held = new Set(view.members.map((id) => this.planOf(this.storeOf.get(id)!).settings.district));
      if (view.members.length < wanted || held.size < wanted)
        throw new Error(`shard ${view.shard} has ${view.members.length} copies in ${[...held].join(", ")}`);
    }
  }
  private inZone = (zone: string): { processes: string[]; replicas: ReplicaSettings[] } => ({
    processes: this.plan.processes.filter((each) => each.settings.district === zone).map((each) => each.name),
    replicas: this.plan.replicas.filter((each) => each.district === zone),
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
  async changeAt(address: string): Promise<{ outcome: string; version: number }> {
    const read = await this.operate("GET", "/v1/manifest", undefined, {}, address);
    return read?.status === 200 ? this.changeFrom(read.body, 1, address) : { outcome: "unread", version: 0 };
  }
  /** How far the synced log of a copy goes. */
  private lastOnDisk(name: string, shard: number): Place {
    const files = this.disks.get(name)!.under(`data/${name}/shard-${shard}`);
    const { state, records } = TwoSlots.peek((each) => files.get(each), [...files.keys()], 2);
    for (const record of records.reverse()) {
      const read = JSON.parse(record.toString("utf8"));
      if (read.tag === "entry") return { epoch: read.entry.epoch, seq: read.entry.seq };
    }
    const saved = state ? JSON.parse(state.toString("utf8")) : { lastEpoch: 0, seq: 0 };
    return { epoch: saved.lastEpoch, seq: saved.seq };
  }
  /** Every member of every committed view holds what was acknowledged, as far as its disk was not taken from it. */
  private lookAtDisks(): void {
    for (const view of Object.values(this.views()))
      for (const id of view.members) {
        const name = this.storeOf.get(id);
        const acknowledged = this.acknowledged.get(view.shard);
        if (name && acknowledged)
          this.history.add({
            tag: "onDisk",
            at: this.wall(),
            shard: view.shard,
            epoch: view.epoch,
            member: name,
            stands: this.lastOnDisk(name, view.shard),
            acknowledged,
          });
      }
  }

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
    for (const window of this.windows)
      if (window.node === plan.settings.http && window.to === Infinity) window.to = this.wall() + 4000;
    Csp.go(process.scope, "main", function* () {
      const started = yield* Daemon.start(process.env, plan.settings);
      if (started.ok) {
        fleet.running.set(name, started.value);
        const { node } = started.value as unknown as { node?: { self: { id: string } } };
        if (node && plan.settings.program === "store") fleet.storeOf.set(node.self.id, name);
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
    this.acts.push(`${powerLost ? "power lost at" : "kill"} ${name} at ${this.world.now.toFixed(0)}`);
    this.keepErrors(name);
    this.world.kill(name, powerLost);
    this.running.delete(name);
    this.windows.push({ node: this.httpOf(name), from: this.wall(), to: Infinity });
  }
  /** A machine comes back with its disk, or with an empty one, perhaps at a new address. @example fleet.restart("store-1", { empty: true, moved: true }); */
  restart(name: string, how: { empty?: boolean; moved?: boolean } = {}): void {
    this.acts.push(`restart ${name} ${how.empty ? "empty" : ""}${how.moved ? " at a new address" : ""}`);
    this.restored(`${name} started again`);
    if (how.empty) this.wipe(name);
    if (how.moved) {
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
    for (const [id, store] of this.storeOf) if (store === name) this.storeOf.delete(id);
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
    this.acts.push(`add ${name}`);
    this.start(name);
  }
  /** SIGTERM, and whether it ended by itself. @example await fleet.terminate("ingress-1"); */
  async terminate(name: string): Promise<boolean> {
    this.acts.push(`terminate ${name}`);
    const process = this.world.processes.get(name)!;
    const running = this.running.get(name)!;
    const ended = await this.world.finish(
      process,
      function* () {
        yield* running.stop();
        return true;
      },
      15_000,
    );
    const unanswered = "inFlight" in running ? Number((running as { inFlight: unknown }).inFlight) || 0 : 0;
    this.history.add({ tag: "stopped", at: this.wall(), process: name, unanswered });
    this.keepErrors(name);
    this.world.kill(name);
    this.running.delete(name);
    this.windows.push({ node: this.httpOf(name), from: this.wall() - 15_000, to: Infinity });
    return ended === true;
  }
  /** @example fleet.freeze("store-1"); */
  freeze(name: string): void {
    this.acts.push(`freeze ${name}`);
    this.windows.push({ node: this.httpOf(name), from: this.wall(), to: Infinity });
    this.world.processes.get(name)!.freeze();
  }
  wake(name: string): void {
    const window = this.windows.find((each) => each.node === this.httpOf(name) && each.to === Infinity);
    if (window) window.to = this.wall() + 2500;
    this.world.processes.get(name)!.wake();
    this.restored(`${name} woke`);
  }
  private restored(what: string): void {
    this.history.add({ tag: "restored", at: this.wall(), what });
  }
  /** Cuts a set of processes off from all others. @example fleet.cutOff(["store-1"], "both"); */
  cutOff(names: string[], way: "in" | "out" | "both" = "both"): void {
    this.acts.push(`cut off ${names.join(" ")} ${way}`);
    for (const name of names) this.windows.push({ node: this.httpOf(name), from: this.wall(), to: Infinity });
    this.world.cutOff(names, way);
  }
  /** Nothing comes from some processes to another. @example fleet.deafen("ingress-1", ["store-1"]); */
  deafen(name: string, to: string[]): void {
    this.acts.push(`${name} hears nothing from ${to.join(" ")}`);
    this.windows.push({ node: this.httpOf(name), from: this.wall(), to: Infinity });
    for (const other of to) this.world.cut(other, name);
  }
  heal(): void {
    this.world.heal();
    this.restored("cuts healed");
    for (const window of this.windows) if (window.to === Infinity) window.to = this.wall() + 4000;
  }
  /** @example fleet.httpOf("store-1") */
  httpOf = (name: string): string => this.plan.processes.find((each) => each.name === name)?.settings.http ?? name;
  /** Notes a fault for the bounds in seconds. @example fleet.fault("store-1 lost", true); */
  fault(fault: string, heavy: boolean): void {
    this.history.add({ tag: "fault", at: this.wall(), fault, heavy });
  }

  // ---------- replicas ----------
  startEndpoint(settings: ReplicaSettings): void {
    const process = this.world.start(`replica-${settings.id}`, new SimDisk(this.world));
    const endpoint = new StandInReplica(process.env, settings);
    this.endpoints.set(settings.id, { process, replica: endpoint });
    this.pastEndpoints.push(endpoint);
    this.history.add({ tag: "replicaStarted", at: this.wall(), replica: settings.id, capacity: settings.capacity });
    Csp.go(process.scope, "main", () => endpoint.start());
  }
  killEndpoint(id: string): void {
    this.acts.push(`kill replica ${id}`);
    this.world.kill(`replica-${id}`);
  }
  /** Goodbye, work in flight ends, then the process ends and a new one comes. @example await fleet.replaceReplica("model-1", "v2"); */
  async replaceEndpoint(id: string, version: string): Promise<void> {
    this.acts.push(`replace replica ${id}`);
    const { process, replica: endpoint } = this.endpoints.get(id)!;
    if (await this.world.finish(process, () => endpoint.goodbye(), 3000))
      this.history.add({ tag: "goodbye", at: this.wall(), replica: id });
    await this.run(4000);
    this.world.kill(`replica-${id}`);
    await this.run(300);
    this.startEndpoint({ ...endpoint.settings, version });
  }

  // ---------- operators ----------
  private *ask(
    process: SimProcess,
    method: string,
    path: string,
    body: unknown,
    headers: Record<string, string>,
    address: string,
    timeoutMs: number,
  ): Task<Said> {
    const response = yield* process.env.http(address, {
      method,
      path,
      body: body === undefined ? undefined : JSON.stringify(body),
      headers,
      timeoutMs,
    });
    if (!response.ok) return undefined;
    const text = yield* EnvTools.bodyOf(process.env, response.value, 32_000_000, timeoutMs);
    if (text === undefined) return undefined;
    try {
      return { status: response.value.status, headers: response.value.headers, body: JSON.parse(text) };
    } catch {
      return { status: response.value.status, headers: response.value.headers, body: text };
    }
  }
  private anyNode(): string {
    const up = this.plan.processes.filter(
      (each) => this.world.processes.get(each.name)?.alive && !this.world.processes.get(each.name)?.frozen,
    );
    return up[Math.floor(this.world.random() * up.length)].settings.http;
  }
  /** Asks some node, as an operator would. @example await fleet.operate("GET", "/v1/members"); */
  async operate(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    address = this.anyNode(),
  ): Promise<Said> {
    return this.world.finish(
      this.operator,
      () => this.ask(this.operator, method, path, body, headers, address, 8000),
      9000,
    );
  }
  /** A manifest with one more marked binding, made against the version that is read first. @example await fleet.change(1); */
  async change(routes = 1): Promise<{ outcome: string; version: number }> {
    const read = await this.operate("GET", "/v1/manifest");
    if (read?.status !== 200) return { outcome: "unread", version: 0 };
    return this.changeFrom(read.body, routes);
  }
  async changeFrom(
    base: { version: number; doc: { bindings: Record<string, unknown> } },
    routes = 1,
    address?: string,
  ): Promise<{ outcome: string; version: number }> {
    const n = (this.marks += 1);
    const doc = { ...base.doc, bindings: { ...base.doc.bindings } };
    const marks: string[] = [];
    for (let at = 0; at < routes; at += 1) {
      const mark = routes === 1 ? `mark-${n}` : `grown-${n}-${at}`;
      if (routes === 1 || at === 0) marks.push(mark);
      doc.bindings[mark] = { kind: "lookup", pool: "desk", path: "/mark", safe: true };
    }
    doc.bindings[`mark-${n}`] = { kind: "lookup", pool: "desk", path: "/mark", safe: true };
    const changeId = `change-${this.seed}-${n}`;
    const put = await this.operate(
      "PUT",
      "/v1/manifest",
      doc,
      { "if-match": `"${base.version}"`, "x-change-id": changeId },
      address,
    );
    const outcome = put?.status === 200 ? "acknowledged" : put?.status === 412 ? "refused" : "unknown";
    this.history.add({
      tag: "change",
      at: this.wall(),
      what: "manifest",
      changeId,
      outcome,
      version: put?.status === 200 ? put.body.version : 0,
      mark: `mark-${n}`,
    });
    return { outcome, version: put?.status === 200 ? put.body.version : 0 };
  }
  /** A calendar entry due now; answers its end, or how far it came. @example await fleet.move({ kind: "drain", district: "north" }, 10_000); */
  async move(move: Record<string, unknown>, withinMs: number): Promise<string> {
    const id = `move-${(this.marks += 1)}`;
    this.acts.push(`move ${JSON.stringify(move).slice(0, 80)}`);
    let put: Said;
    for (let round = 0; round < 5 && put?.status !== 200; round += 1)
      put = await this.operate(
        "PUT",
        `/v1/calendar/${id}`,
        { due: "now", move },
        { "if-match": '"0"', "x-change-id": id },
      );
    if (put?.status !== 200) return `not taken: ${put?.status}`;
    const acknowledgedAt = this.wall();
    if (move.kind === "drain")
      this.history.add({ tag: "drained", at: acknowledgedAt, district: String(move.district) });
    let fate = "";
    for (const until = this.world.now + withinMs; this.world.now < until;) {
      const read = await this.operate("GET", `/v1/calendar/${id}`);
      fate = read?.status === 200 ? `${read.body.fate}${read.body.detail ? `: ${read.body.detail}` : ""}` : fate;
      if (fate.startsWith("finished") || fate.startsWith("failed")) break;
      await this.run(400);
    }
    if (move.kind === "undrain")
      this.history.add({ tag: "undrained", at: acknowledgedAt, district: String(move.district) });
    return fate;
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

  /** Day's end: callers finish, everything is read back, the history is judged. @example const violations = await fleet.close(); */
  async close(): Promise<Violation[]> {
    this.world.heal();
    for (const process of this.world.processes.values()) process.wake();
    this.callers.stopNew();
    for (let waited = 0; this.callers.running > 0 && waited < 120; waited += 1) await this.run(1000);
    const operator = this.operator;
    const fleet = this;
    for (const address of this.plan.ingressHttp.slice(0, 3))
      await this.world.finish(operator, () => fleet.callers.reread(address), 200_000);
    const configuration = await this.operate("GET", "/v1/manifest");
    if (configuration?.status === 200)
      this.history.add({
        tag: "dayEnd",
        at: this.wall(),
        version: configuration.body.version,
        mark: Object.keys(configuration.body.doc.bindings)
          .filter((name) => name.startsWith("mark-"))
          .join(","),
      });
    else this.history.add({ tag: "dayEnd", at: this.wall(), version: 0, mark: "" });
    this.history.add({ tag: "ledger", at: this.wall(), ingress: "the follower", stamps: this.followed });
    for (const address of this.plan.ingressHttp.slice(0, 2)) {
      const stamps: string[] = [];
      let after = "";
      for (let page = 0; page < 30; page += 1) {
        const read = await this.operate(
          "GET",
          `/v1/ledger?limit=1500&after=${encodeURIComponent(after)}`,
          undefined,
          {},
          address,
        );
        if (read?.status !== 200 || read.body.entries.length === 0) break;
        stamps.push(...read.body.entries.map((entry: { stamp: string }) => entry.stamp));
        after = read.body.next;
      }
      this.history.add({ tag: "ledger", at: this.wall(), ingress: address, stamps });
    }
    for (const name of this.world.processes.keys()) this.keepErrors(name);
    this.lookAtDisks();
    const options: CheckOptions = {
      plannedOnly: this.plannedOnly,
      settledAt: this.settledAt,
      unreachable: (node, from, to) =>
        this.windows.some((window) => window.node === node && window.from <= to && window.to >= from),
    };
    const violations = Checker.check(this.history, this.pastEndpoints, options);
    for (const error of this.errors) violations.push({ invariant: "no-task-error", detail: error.slice(0, 600) });
    if (
      this.history.of("lookup").length === 0 ||
      this.history.of("streamEnd").length === 0 ||
      this.history.of("lotFinished").length === 0
    )
      violations.push({ invariant: "exercised", detail: "the run served nothing of some kind: it proves nothing" });
    for (const name of [...this.world.processes.keys()]) this.world.kill(name);
    return violations;
  }
}
