import { Csp, Task } from "../../src/runtime/csp";
import { HeaderNames, defaultHeaderNames } from "../../src/forwarding/headerNames";
import { Result } from "../../src/common/fault";
import { Disk } from "../../src/runtime/env";
import { SimDisk } from "../../src/simulation/simDisk";
import { SimProcess } from "../../src/simulation/simWorld";
import { StandInEventEndpoint } from "../../src/tools/standInEventEndpoint";
import { EndpointSettings, StandInEndpoint } from "../../src/tools/standInEndpoint";
import { Rpc } from "../../src/rpc/rpc";
import { OperatorResponse, ControlFleet } from "../controlFleet";
import { Exchange } from "./exchange";

type CallOptions = { body?: unknown; headers?: Record<string, string>; at?: string; address?: string; label?: string };
type FleetOptions = NonNullable<ConstructorParameters<typeof ControlFleet>[1]>;

/**
 * A simulated fleet that records the HTTP exchanges of `call` and every log line.
 *
 * @example
 * const golden = new GoldenFleet(11, { controls: 1, stores: 1, ingresses: 1 });
 * await golden.fleet.run(5000);
 * await golden.call("GET", "/v1/manifest");
 * golden.exchanges[0].status;
 */
export class GoldenFleet {
  readonly fleet: ControlFleet;
  readonly exchanges: Exchange[] = [];
  readonly logLines: string[] = [];
  /** The event endpoints, in the order in which they were started. */
  readonly eventEndpoints: StandInEventEndpoint[] = [];
  private readonly rpc: Rpc;

  constructor(seed: number, options: FleetOptions) {
    this.fleet = new ControlFleet(seed, { ...options, log: (line) => this.logLines.push(line) });
    this.rpc = new Rpc(this.fleet.operator.env, "test", "golden-operator");
  }

  /** Returns the HTTP address of a process. */
  http = (name: string): string => this.fleet.settings.get(name)!.http;

  /** Sends a request to a process, by default to control-1, and records the exchange. */
  call = async (method: string, target: string, options: CallOptions = {}): Promise<Exchange> => {
    const address = options.address ?? this.http(options.at ?? "control-1");
    const response = await this.fleet.send(method, target, options.body, options.headers ?? {}, address);
    const label = options.label ?? (options.at ?? "control-1").split("-")[0];
    const exchange: Exchange = { request: `${method} ${target} ${label}`, ...response };
    this.exchanges.push(exchange);
    return exchange;
  };
  /** Repeats a request until it succeeds, at most 60 times. The exchanges are not recorded. */
  async waitFor(method: string, target: string, options: CallOptions = {}): Promise<void> {
    const address = options.address ?? this.http(options.at ?? "control-1");
    let last: OperatorResponse | undefined;
    for (let attempt = 0; attempt < 60; attempt += 1) {
      const response = await this.fleet.send(method, target, options.body, options.headers ?? {}, address);
      if (response.status >= 200 && response.status < 300) return;
      last = response;
      await this.fleet.run(250);
    }
    throw new Error(`${method} ${target} at ${address}: ${JSON.stringify(last)}`);
  }
  /** Sends an RPC to a process, as a member of the cluster would. */
  sendRpc(name: string, method: string, body: unknown): Promise<Result<unknown> | undefined> {
    const { address } = this.fleet.settings.get(name)!;
    return this.fleet.world.runTask(this.fleet.operator, () => this.rpc.call(address, method, body, 2000), 3000);
  }
  /** Sends raw bytes to the RPC address of a process over a new connection. */
  async sendBytes(name: string, bytes: Buffer): Promise<void> {
    const { env } = this.fleet.operator;
    const { address } = this.fleet.settings.get(name)!;
    await this.fleet.world.runTask(
      this.fleet.operator,
      function* () {
        const connection = yield* env.connect(address, 500);
        if (connection.ok) connection.value.send(bytes);
        return true;
      },
      1000,
    );
    await this.fleet.run(100);
  }
  /** Writes files to the data folder of a stopped process. */
  async writeFiles(name: string, files: Record<string, Buffer>): Promise<void> {
    await this.runOnDisk(name, function* (disk) {
      for (const [file, content] of Object.entries(files)) yield* disk.write(`data/${name}/${file}`, content);
      return true;
    });
  }
  /** Appends to a file in the data folder of a stopped process. */
  async appendFile(name: string, file: string, content: Buffer): Promise<void> {
    await this.runOnDisk(name, (disk) => disk.append(`data/${name}/${file}`, content));
  }
  /** Runs a task with the disk of a process, in a temporary process of its own. */
  private async runOnDisk(name: string, task: (disk: Disk) => Task<unknown>): Promise<void> {
    const { world } = this.fleet;
    const writer = world.start(`writer of ${name}`, this.fleet.disks.get(name)!);
    await world.runTask(writer, () => task(writer.env.disk), 60_000);
    world.kill(`writer of ${name}`);
  }

  private startProcess = (name: string): SimProcess => this.fleet.world.start(name, new SimDisk(this.fleet.world));
  /** Starts an endpoint that uses the internal format and announces itself to the ingresses. */
  startEndpoint(id: string, pool: string, port: number, announceTo: string[]): void {
    const settings: EndpointSettings = {
      id,
      pool,
      address: `127.0.0.1:${port}`,
      district: "north",
      version: "v1",
      capacity: 8,
      announceTo: announceTo.map(this.http),
      prefillMs: 40,
      prefillCachedMs: 20,
      pieceMs: 30,
      pieces: 4,
      itemMs: 40,
    };
    const process = this.startProcess(`replica-${id}`);
    const endpoint = new StandInEndpoint(process.env, settings);
    Csp.go(process.scope, "main", () => endpoint.start());
  }
  /** Starts an event endpoint, which takes plain HTTP requests. The caller announces it. */
  startEventEndpoint(id: string, port: number, names: HeaderNames = defaultHeaderNames): void {
    const address = `127.0.0.1:${port}`;
    const process = this.startProcess(`replica-${id}`);
    const endpoint = new StandInEventEndpoint(process.env, address, id, { events: 3, eventMs: 20, slots: 8 }, names);
    this.eventEndpoints.push(endpoint);
    Csp.go(process.scope, "main", () => endpoint.start());
  }
  /** Repeats a request every 900 ms, as an endpoint does to renew its announcement. */
  repeatRequest(method: string, path: string, body: unknown, address: string): void {
    const { env } = this.fleet.operator;
    const { world } = this.fleet;
    const sendOnce = (): void => {
      Csp.go(env.scope, "renew an announcement", function* () {
        yield* env.httpRequest(address, { method, path, body: JSON.stringify(body), timeoutMs: 500 });
      });
      world.schedule(900, sendOnce);
    };
    sendOnce();
  }
}
