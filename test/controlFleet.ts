import { Daemon, RunningDaemon } from "../src/daemon/daemon";
import { Settings } from "../src/common/settings";
import { ProtocolAdapters } from "../src/adapters/protocolAdapters";
import { ControlNode } from "../src/control/controlNode";
import { Csp } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { IngressNode } from "../src/ingress/ingressNode";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";

export type OperatorResponse = { status: number; body: any; headers: Record<string, string> };
type Options = {
  controls?: number;
  stores?: number;
  agents?: number;
  ingresses?: number;
  founders?: number;
  losses?: number;
  adaptersFor?: (settings: Settings) => ProtocolAdapters;
  log?: (line: string) => void;
};
const zones = ["north", "east", "south", "west"];

/**
 * Control members and stores alone, in virtual time, for what needs neither callers nor replicas.
 *
 * @example
 * const fleet = new ControlFleet(7, { controls: 4, stores: 4 });
 * await fleet.run(3000);
 * await fleet.ask("PUT", "/v1/manifest", { bindings: {} }, { "if-match": "0" });
 */
export class ControlFleet {
  readonly world: SimWorld;
  readonly settings = new Map<string, Settings>();
  readonly running = new Map<string, RunningDaemon>();
  readonly disks = new Map<string, SimDisk>();
  readonly errors: string[] = [];
  readonly operator: SimProcess;
  private nextPort = 50_000;

  constructor(
    seed: number,
    private readonly options: Options = {},
  ) {
    this.world = new SimWorld(seed, options.log);
    const controls = Array.from({ length: options.controls ?? 4 }, () => this.place());
    const founders = controls.slice(0, options.founders ?? controls.length).map((each) => each.address);
    const seeds = controls.slice(0, 3).map((each) => each.address);
    const common = { cluster: "test", seeds, losses: options.losses ?? 1 };
    controls.forEach((place, at) => {
      const name = `control-${at + 1}`;
      this.settings.set(name, {
        program: "control",
        ...common,
        ...place,
        name,
        district: zones[at % 4],
        data: `data/${name}`,
        founders: founders.includes(place.address) ? founders : [],
      });
    });
    for (let at = 0; at < (options.stores ?? 0); at += 1) {
      const name = `store-${at + 1}`;
      this.settings.set(name, {
        program: "store",
        ...common,
        ...this.place(),
        name,
        district: zones[at % 4],
        data: `data/${name}`,
      });
    }
    for (let at = 0; at < (options.agents ?? 0); at += 1) {
      const name = `agent-${at + 1}`;
      this.settings.set(name, { program: "agent", ...common, ...this.place(), name, district: zones[at % 4] });
    }
    for (let at = 0; at < (options.ingresses ?? 0); at += 1) {
      const name = `ingress-${at + 1}`;
      this.settings.set(name, { program: "ingress", ...common, ...this.place(), name, district: zones[at % 4] });
    }
    this.operator = this.world.start("operator", new SimDisk(this.world));
    for (const name of this.settings.keys()) this.start(name);
  }
  private place(): { address: string; http: string } {
    return { address: `127.0.0.1:${(this.nextPort += 1)}`, http: `127.0.0.1:${(this.nextPort += 1)}` };
  }
  /** @example fleet.names("control") */
  names = (program: string): string[] =>
    [...this.settings].filter(([, settings]) => settings.program === program).map(([name]) => name);
  /** @example await fleet.run(3000); */
  run = (ms: number): Promise<void> => this.world.run(ms);
  /** @example fleet.start("control-1"); */
  start(name: string): void {
    const settings = this.settings.get(name)!;
    const disk = this.disks.get(name) ?? new SimDisk(this.world);
    this.disks.set(name, disk);
    const process = this.world.start(name, disk);
    const fleet = this;
    Csp.go(process.scope, "main", function* () {
      const started = yield* Daemon.start(process.env, settings, fleet.options.adaptersFor?.(settings));
      if (started.ok) fleet.running.set(name, started.value);
      else fleet.errors.push(`${name}: ${started.fault.detail}`);
    });
  }
  /** @example fleet.kill("control-1", true); */
  kill(name: string, powerLost = false): void {
    this.errors.push(...(this.world.processes.get(name)?.errors ?? []));
    this.world.kill(name, powerLost);
    this.running.delete(name);
  }
  /** SIGTERM, to its end. @example await fleet.terminate("control-1"); */
  async terminate(name: string): Promise<void> {
    const running = this.running.get(name)!;
    await this.world.finish(
      this.world.processes.get(name)!,
      function* () {
        yield* running.stop();
        return true;
      },
      15_000,
    );
    this.kill(name);
  }
  /** Started again, after a first start of all: it founds nothing. @example fleet.restart("control-1", { empty: true, moved: true }); */
  restart(name: string, how: { withEmptyDisk?: boolean; atNewAddress?: boolean; seeds?: string[] } = {}): void {
    const settings = this.settings.get(name)!;
    if (how.withEmptyDisk) this.disks.get(name)?.wipe();
    const founders = settings.program === "control" ? { founders: [] } : {};
    this.settings.set(name, {
      ...settings,
      ...founders,
      ...(how.atNewAddress ? this.place() : {}),
      ...(how.seeds ? { seeds: how.seeds } : {}),
    });
    this.start(name);
  }
  /** A machine like another, empty, at a new address. @example fleet.add("control-1", "control-5", "north"); */
  addMachine(like: string, name: string, zone?: string): void {
    const settings = this.settings.get(like)!;
    const founders = settings.program === "control" ? { founders: [] } : {};
    this.settings.set(name, {
      ...settings,
      ...founders,
      ...this.place(),
      name,
      data: `data/${name}`,
      ...(zone ? { district: zone } : {}),
    });
    this.start(name);
  }
  /** Settings files name living machines, three of them from the given one on, as the operator's list has them. @example fleet.reseed(); */
  updateSeeds(start = 0): void {
    const addresses = this.names("control").map((name) => this.settings.get(name)!.address);
    const seeds = [0, 1, 2].map((at) => addresses[(start + at) % addresses.length]);
    for (const settings of this.settings.values()) settings.seeds?.splice(0, settings.seeds.length, ...seeds);
  }
  /** Cuts machines off from all others, and leaves the operator a way to both sides. @example fleet.cutOff(["control-1"], "in"); */
  partition(island: string[], way: "in" | "out" | "both" = "both"): void {
    for (const inside of island)
      for (const outside of [...this.settings.keys()].filter((name) => !island.includes(name))) {
        if (way !== "in") this.world.partition(inside, outside);
        if (way !== "out") this.world.partition(outside, inside);
      }
    if (this.world.partitionsReset) this.world.resetPartitioned();
  }
  /** @example fleet.ingress("ingress-1")?.readiness.unreadyReason() */
  ingress = (name: string): IngressNode | undefined => this.running.get(name) as unknown as IngressNode | undefined;
  /** @example fleet.control("control-1")?.group.hasLeaderLease() */
  control = (name: string): ControlNode | undefined => this.running.get(name) as unknown as ControlNode | undefined;
  /** @example fleet.lead() // "control-2", or undefined */
  leader = (): string | undefined => this.names("control").find((name) => this.control(name)?.group.hasLeaderLease());
  /** Virtual time until something holds, or undefined. @example await fleet.until(() => fleet.lead() !== undefined, 3000) */
  async until(holds: () => boolean | Promise<boolean>, withinMs: number, stepMs = 20): Promise<number | undefined> {
    for (const from = this.world.now; this.world.now - from <= withinMs; await this.run(stepMs))
      if (await holds()) return this.world.now - from;
    return undefined;
  }
  /** Asks one address as an operator or a replica would; status 0: no answer. @example await fleet.ask("GET", "/v1/manifest") */
  async send(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    address?: string,
  ): Promise<OperatorResponse> {
    const { env } = this.operator;
    const up = this.names("control").find((name) => this.running.has(name));
    const to = address ?? (up ? this.settings.get(up)!.http : "127.0.0.1:1");
    const text = body === undefined || typeof body === "string" ? body : JSON.stringify(body);
    const answered = await this.world.finish(
      this.operator,
      function* () {
        const response = yield* env.httpRequest(to, { method, path, body: text, headers, timeoutMs: 8000 });
        if (!response.ok) return { status: 0, body: response.fault, headers: {} };
        const got = (yield* EnvironmentTools.readBodyText(env, response.value, 32_000_000, 8000)) ?? "";
        return {
          status: response.value.status,
          headers: response.value.headers,
          body: got.startsWith("{") ? JSON.parse(got) : got,
        };
      },
      9000,
    );
    return answered ?? { status: 0, body: "no answer", headers: {} };
  }
  /** Ends all; what went wrong inside. @example expect(fleet.close()).toEqual([]); */
  close(): string[] {
    for (const name of [...this.world.processes.keys()]) this.kill(name);
    return this.errors;
  }
}
