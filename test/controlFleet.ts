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
type ControlFleetOptions = {
  controls?: number;
  stores?: number;
  agents?: number;
  ingresses?: number;
  founders?: number;
  losses?: number;
  adaptersFor?: (settings: Settings) => ProtocolAdapters;
  log?: (line: string) => void;
};
const ZONES = ["north", "east", "south", "west"];

/**
 * A simulated cluster in virtual time for tests of the control group: control processes, and on request storage nodes,
 * agents and ingresses, without callers or endpoints.
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
    private readonly options: ControlFleetOptions = {},
  ) {
    this.world = new SimWorld(seed, options.log);
    const controls = Array.from({ length: options.controls ?? 4 }, () => this.allocateAddresses());
    const founders = controls.slice(0, options.founders ?? controls.length).map((each) => each.address);
    const seeds = controls.slice(0, 3).map((each) => each.address);
    const common = { cluster: "test", seeds, losses: options.losses ?? 1 };
    controls.forEach((addresses, at) => {
      const name = `control-${at + 1}`;
      this.settings.set(name, {
        program: "control",
        ...common,
        ...addresses,
        name,
        district: ZONES[at % 4],
        data: `data/${name}`,
        founders: founders.includes(addresses.address) ? founders : [],
      });
    });
    for (let at = 0; at < (options.stores ?? 0); at += 1) {
      const name = `store-${at + 1}`;
      this.settings.set(name, {
        program: "store",
        ...common,
        ...this.allocateAddresses(),
        name,
        district: ZONES[at % 4],
        data: `data/${name}`,
      });
    }
    for (let at = 0; at < (options.agents ?? 0); at += 1) {
      const name = `agent-${at + 1}`;
      this.settings.set(name, {
        program: "agent",
        ...common,
        ...this.allocateAddresses(),
        name,
        district: ZONES[at % 4],
      });
    }
    for (let at = 0; at < (options.ingresses ?? 0); at += 1) {
      const name = `ingress-${at + 1}`;
      this.settings.set(name, {
        program: "ingress",
        ...common,
        ...this.allocateAddresses(),
        name,
        district: ZONES[at % 4],
      });
    }
    this.operator = this.world.start("operator", new SimDisk(this.world));
    for (const name of this.settings.keys()) this.start(name);
  }
  private allocateAddresses(): { address: string; http: string } {
    return { address: `127.0.0.1:${(this.nextPort += 1)}`, http: `127.0.0.1:${(this.nextPort += 1)}` };
  }
  names = (program: string): string[] =>
    [...this.settings].filter(([, settings]) => settings.program === program).map(([name]) => name);
  run = (ms: number): Promise<void> => this.world.run(ms);
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
  kill(name: string, powerLost = false): void {
    this.errors.push(...(this.world.processes.get(name)?.errors ?? []));
    this.world.kill(name, powerLost);
    this.running.delete(name);
  }
  /** Shuts a process down as after SIGTERM, and waits until it has stopped. */
  async terminate(name: string): Promise<void> {
    const running = this.running.get(name)!;
    await this.world.runTask(
      this.world.processes.get(name)!,
      function* () {
        yield* running.stop();
        return true;
      },
      15_000,
    );
    this.kill(name);
  }
  /** Starts a process again. A restarted control process takes part in no bootstrap. */
  restart(name: string, how: { withEmptyDisk?: boolean; atNewAddress?: boolean; seeds?: string[] } = {}): void {
    const settings = this.settings.get(name)!;
    if (how.withEmptyDisk) this.disks.get(name)?.wipe();
    const founders = settings.program === "control" ? { founders: [] } : {};
    this.settings.set(name, {
      ...settings,
      ...founders,
      ...(how.atNewAddress ? this.allocateAddresses() : {}),
      ...(how.seeds ? { seeds: how.seeds } : {}),
    });
    this.start(name);
  }
  /** Adds a machine with an empty disk and a new address; its other settings are those of an existing one. */
  addMachine(template: string, name: string, zone?: string): void {
    const settings = this.settings.get(template)!;
    const founders = settings.program === "control" ? { founders: [] } : {};
    this.settings.set(name, {
      ...settings,
      ...founders,
      ...this.allocateAddresses(),
      name,
      data: `data/${name}`,
      ...(zone ? { district: zone } : {}),
    });
    this.start(name);
  }
  /** Replaces the seeds in all settings with three existing control machines, starting at the given position. */
  updateSeeds(start = 0): void {
    const addresses = this.names("control").map((name) => this.settings.get(name)!.address);
    const seeds = [0, 1, 2].map((at) => addresses[(start + at) % addresses.length]);
    for (const settings of this.settings.values()) settings.seeds?.splice(0, settings.seeds.length, ...seeds);
  }
  /** Partitions machines from all others in one or both directions. The operator still reaches both sides. */
  partition(isolated: string[], direction: "in" | "out" | "both" = "both"): void {
    for (const inside of isolated)
      for (const outside of [...this.settings.keys()].filter((name) => !isolated.includes(name))) {
        if (direction !== "in") this.world.partition(inside, outside);
        if (direction !== "out") this.world.partition(outside, inside);
      }
    if (this.world.partitionsReset) this.world.resetPartitioned();
  }
  ingress = (name: string): IngressNode | undefined => this.running.get(name) as unknown as IngressNode | undefined;
  control = (name: string): ControlNode | undefined => this.running.get(name) as unknown as ControlNode | undefined;
  leader = (): string | undefined => this.names("control").find((name) => this.control(name)?.group.hasLeaderLease());
  /** Returns the virtual time until the condition holds, ms, or undefined if it does not hold in time. */
  async until(condition: () => boolean | Promise<boolean>, withinMs: number, stepMs = 20): Promise<number | undefined> {
    for (const from = this.world.now; this.world.now - from <= withinMs; await this.run(stepMs))
      if (await condition()) return this.world.now - from;
    return undefined;
  }
  /** Sends an HTTP request to one address, by default that of a running control process. Status 0 means no response. */
  async send(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    address?: string,
  ): Promise<OperatorResponse> {
    const { env } = this.operator;
    const running = this.names("control").find((name) => this.running.has(name));
    const target = address ?? (running ? this.settings.get(running)!.http : "127.0.0.1:1");
    const text = body === undefined || typeof body === "string" ? body : JSON.stringify(body);
    const result = await this.world.runTask(
      this.operator,
      function* () {
        const response = yield* env.httpRequest(target, { method, path, body: text, headers, timeoutMs: 8000 });
        if (!response.ok) return { status: 0, body: response.fault, headers: {} };
        const bodyText = (yield* EnvironmentTools.readBodyText(env, response.value, 32_000_000, 8000)) ?? "";
        return {
          status: response.value.status,
          headers: response.value.headers,
          body: bodyText.startsWith("{") ? JSON.parse(bodyText) : bodyText,
        };
      },
      9000,
    );
    return result ?? { status: 0, body: "no response", headers: {} };
  }
  /** Kills all processes, and returns the errors of failed starts and tasks. */
  close(): string[] {
    for (const name of [...this.world.processes.keys()]) this.kill(name);
    return this.errors;
  }
}
