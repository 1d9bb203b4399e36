import { Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { History } from "../tools/history";
import { CalendarEntryBody, ChangeBody, LedgerEntryBody } from "../cli/operator/responses";
import { DeploymentPlan } from "../tools/deployment";
import { SimProcess, SimWorld } from "./simWorld";

const RESPONSE_LIMIT_BYTES = 32_000_000;
const REQUEST_TIMEOUT_MS = 8000; // ms; of one request
const OPERATION_TIMEOUT_MS = 9000; // ms; with the time that the simulator needs to run it
const CALENDAR_ATTEMPTS = 5;
const CALENDAR_POLL_MS = 400; // ms; between reads of a planned operation's state

/** A node's response; the body is parsed JSON, or the text where it is no JSON. */
export interface NodeResponse {
  status: number;
  body: unknown;
  headers: Record<string, string>;
}
/** A versioned configuration, as the nodes give it out. */
export interface ConfigurationBody {
  version: number;
  doc: { bindings: Record<string, unknown> };
}
/** One page of the ledger. */
export interface LedgerPage {
  entries: LedgerEntryBody[];
  /** Stamp to go on from. */
  next: string;
}
/** What became of a configuration change, and the version that it made (0: none that is known). */
export interface ChangeOutcome {
  outcome: "acknowledged" | "refused" | "unknown" | "unread";
  version: number;
}
/** What an operator needs of the fleet that it drives. */
export interface OperatedFleet {
  readonly world: SimWorld;
  readonly plan: DeploymentPlan;
  readonly seed: number;
  /** Wall time, in milliseconds since 1970. */
  wall(): number;
}
/** One request of an operator to a node. */
export interface OperatorRequest {
  method: string;
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  address: string;
  timeoutMs: number;
}

const MARKER_ROUTE = { kind: "lookup", pool: "desk", path: "/mark", safe: true };
const MARKER_PREFIX = "mark-";

/** Names of the marker routes that a configuration holds: each change adds one. @example markersOf(doc) // "mark-1,mark-2" */
export const markersOf = (doc: { bindings: Record<string, unknown> }): string =>
  Object.keys(doc.bindings)
    .filter((name) => name.startsWith(MARKER_PREFIX))
    .join(",");

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** What an operator needs of the fleet that it operates. */
export interface OperatedFleet {
  readonly world: SimWorld;
  readonly plan: DeploymentPlan;
  readonly seed: number;
  /** Milliseconds since 1970, in the fleet's virtual time. */
  wall(): number;
}

/**
 * An operator of a simulated fleet: reads and changes it over HTTP, and notes in the history what was acknowledged.
 *
 * @example
 * const response = await operator.operate("GET", "/v1/members");
 * await operator.changeConfiguration();
 */
export class SimOperator {
  private changes = 0;
  constructor(
    private readonly fleet: OperatedFleet,
    readonly process: SimProcess,
    private readonly history: History,
  ) {}

  /** One request to a node, from a task; undefined where no response came. @example yield* operator.request({ method: "GET", path: "/readyz", address, timeoutMs: 400 }) */
  *request(request: OperatorRequest): Task<NodeResponse | undefined> {
    const { env } = this.process;
    const { method, path, body, headers = {}, address, timeoutMs } = request;
    const response = yield* env.httpRequest(address, {
      method,
      path,
      body: body === undefined ? undefined : JSON.stringify(body),
      headers,
      timeoutMs,
    });
    if (!response.ok) return undefined;
    const text = yield* EnvironmentTools.readBodyText(env, response.value, RESPONSE_LIMIT_BYTES, timeoutMs);
    if (text === undefined) return undefined;
    return { status: response.value.status, headers: response.value.headers, body: parseBody(text) };
  }
  /** One request to some running node, virtual time passing. @example await operator.operate("GET", "/v1/members"); */
  async operate(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    address = this.anyNode(),
  ): Promise<NodeResponse | undefined> {
    const request = { method, path, body, headers, address, timeoutMs: REQUEST_TIMEOUT_MS };
    return this.fleet.world.runTask(this.process, () => this.request(request), OPERATION_TIMEOUT_MS);
  }
  /** Adds marker routes to the configuration that is read first. @example await operator.changeConfiguration(1); */
  async changeConfiguration(routes = 1): Promise<ChangeOutcome> {
    const current = await this.operate("GET", "/v1/manifest");
    if (current?.status !== 200) return { outcome: "unread", version: 0 };
    return this.changeConfigurationFrom(current.body as ConfigurationBody, routes);
  }
  /** The same, read from and sent to one node. @example await operator.changeConfigurationAt(fleet.httpOf("control-1")); */
  async changeConfigurationAt(address: string): Promise<ChangeOutcome> {
    const current = await this.operate("GET", "/v1/manifest", undefined, {}, address);
    if (current?.status !== 200) return { outcome: "unread", version: 0 };
    return this.changeConfigurationFrom(current.body as ConfigurationBody, 1, address);
  }
  /** Adds marker routes to a configuration that was read before. @example await operator.changeConfigurationFrom(body, 400); */
  async changeConfigurationFrom(base: ConfigurationBody, routes = 1, address?: string): Promise<ChangeOutcome> {
    const number = this.nextNumber();
    const mark = `${MARKER_PREFIX}${number}`;
    const doc = { ...base.doc, bindings: { ...base.doc.bindings } };
    if (routes > 1) for (let n = 0; n < routes; n += 1) doc.bindings[`grown-${number}-${n}`] = { ...MARKER_ROUTE };
    doc.bindings[mark] = { ...MARKER_ROUTE };
    const changeId = `change-${this.fleet.seed}-${number}`;
    const headers = { "if-match": `"${base.version}"`, "x-change-id": changeId };
    const response = await this.operate("PUT", "/v1/manifest", doc, headers, address);
    const version = response?.status === 200 ? (response.body as ChangeBody).version : 0;
    const outcome = response?.status === 200 ? "acknowledged" : response?.status === 412 ? "refused" : "unknown";
    this.history.add({ tag: "change", at: this.fleet.wall(), what: "manifest", changeId, outcome, version, mark });
    return { outcome, version };
  }
  /** Enters a planned operation due now and follows it; its last known state. @example await operator.runPlanned({ kind: "drain", district: "north" }, 10_000); */
  async runPlanned(operation: Record<string, unknown>, withinMs: number): Promise<string> {
    const id = `move-${this.nextNumber()}`;
    const status = await this.enter(id, operation);
    if (status !== 200) return `not taken: ${status}`;
    const acknowledgedAt = this.fleet.wall();
    const zone = String(operation.district);
    if (operation.kind === "drain") this.history.add({ tag: "drained", at: acknowledgedAt, district: zone });
    const state = await this.follow(id, withinMs);
    if (operation.kind === "undrain") this.history.add({ tag: "undrained", at: acknowledgedAt, district: zone });
    return state;
  }
  /** All stamps of the ledger as one node tells them, page by page. @example await operator.readLedger(address, 1500, 30) */
  async readLedger(address: string, pageSize: number, pages: number): Promise<string[]> {
    const stamps: string[] = [];
    let after = "";
    for (let page = 0; page < pages; page += 1) {
      const path = `/v1/ledger?limit=${pageSize}&after=${encodeURIComponent(after)}`;
      const response = await this.operate("GET", path, undefined, {}, address);
      if (response?.status !== 200) break;
      const { entries, next } = response.body as LedgerPage;
      if (entries.length === 0) break;
      stamps.push(...entries.map((entry) => entry.stamp));
      after = next;
    }
    return stamps;
  }

  /** The fleet numbers configuration changes and planned operations together. */
  private nextNumber(): number {
    this.changes += 1;
    return this.changes;
  }
  private anyNode(): string {
    const { world, plan } = this.fleet;
    const running = plan.processes.filter(({ name }) => {
      const process = world.processes.get(name);
      return process?.alive && !process.frozen;
    });
    return running[Math.floor(world.random() * running.length)].settings.http;
  }
  private async enter(id: string, operation: Record<string, unknown>): Promise<number | undefined> {
    const body = { due: "now", move: operation };
    const headers = { "if-match": '"0"', "x-change-id": id };
    let status: number | undefined;
    for (let attempt = 0; attempt < CALENDAR_ATTEMPTS && status !== 200; attempt += 1)
      status = (await this.operate("PUT", `/v1/calendar/${id}`, body, headers))?.status;
    return status;
  }
  private async follow(id: string, withinMs: number): Promise<string> {
    const { world } = this.fleet;
    let state = "";
    for (const until = world.now + withinMs; world.now < until;) {
      const response = await this.operate("GET", `/v1/calendar/${id}`);
      if (response?.status === 200) {
        const { fate, detail } = response.body as CalendarEntryBody;
        state = `${fate}${detail ? `: ${detail}` : ""}`;
      }
      if (state.startsWith("finished") || state.startsWith("failed")) break;
      await world.run(CALENDAR_POLL_MS);
    }
    return state;
  }
}
