import { Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { History } from "../tools/history";
import { CalendarEntryBody, ChangeBody, LedgerEntryBody } from "../cli/operator/responses";
import { DeploymentPlan } from "../tools/deployment";
import { SimProcess, SimWorld } from "./simWorld";

const RESPONSE_LIMIT_BYTES = 32_000_000;
const REQUEST_TIMEOUT_MS = 8000;
/** Virtual time that the task of one request may take. It is longer than the time-out of the request itself. */
const REQUEST_TASK_TIMEOUT_MS = 9000;
const CALENDAR_ATTEMPTS = 5;
/** Interval between reads of a planned operation's state. */
const CALENDAR_POLL_MS = 400;

/** A node's response. The body is the parsed JSON, or the text if it is not JSON. */
export interface NodeResponse {
  status: number;
  body: unknown;
  headers: Record<string, string>;
}
/** Response body of a read of the configuration. */
export interface ConfigurationBody {
  version: number;
  doc: { bindings: Record<string, unknown> };
}
/** One page of the ledger. */
export interface LedgerPage {
  entries: LedgerEntryBody[];
  /** Stamp after which the next page starts. */
  next: string;
}
/** Outcome of a configuration change and the resulting version, or 0 if no version is known. */
export interface ChangeOutcome {
  outcome: "acknowledged" | "refused" | "unknown" | "unread";
  version: number;
}
/** What an operator needs from the fleet. */
export interface OperatedFleet {
  readonly world: SimWorld;
  readonly plan: DeploymentPlan;
  readonly seed: number;
  /** Wall time, in ms since 1970. */
  wallMs(): number;
}
/** A request of an operator to a node. */
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

/** Names of the marker routes in a configuration. Each change adds one. @example markersOf(doc) // "mark-1,mark-2" */
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

/** What an operator needs from the fleet. */
export interface OperatedFleet {
  readonly world: SimWorld;
  readonly plan: DeploymentPlan;
  readonly seed: number;
  /** Wall time, in ms since 1970. */
  wallMs(): number;
}

/**
 * An operator of a simulated fleet. It reads and changes the fleet over HTTP and records the outcomes in the history.
 *
 * @example
 * const response = await operator.send("GET", "/v1/members");
 * await operator.changeConfiguration();
 */
export class SimOperator {
  private changes = 0;
  constructor(
    private readonly fleet: OperatedFleet,
    readonly process: SimProcess,
    private readonly history: History,
  ) {}

  /** Sends a request from within a task; undefined if no complete response came. */
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
  /** Sends a request, by default to a random running node, and lets virtual time pass until the response. */
  async send(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    address = this.anyNode(),
  ): Promise<NodeResponse | undefined> {
    const request = { method, path, body, headers, address, timeoutMs: REQUEST_TIMEOUT_MS };
    return this.fleet.world.runTask(this.process, () => this.request(request), REQUEST_TASK_TIMEOUT_MS);
  }
  /** Reads the configuration and adds a marker route; for `routes` above 1 it also adds that many other routes. */
  async changeConfiguration(routes = 1): Promise<ChangeOutcome> {
    const current = await this.send("GET", "/v1/manifest");
    if (current?.status !== 200) return { outcome: "unread", version: 0 };
    return this.changeConfigurationFrom(current.body as ConfigurationBody, routes);
  }
  /** Like changeConfiguration, with both requests to one node. */
  async changeConfigurationAt(address: string): Promise<ChangeOutcome> {
    const current = await this.send("GET", "/v1/manifest", undefined, {}, address);
    if (current?.status !== 200) return { outcome: "unread", version: 0 };
    return this.changeConfigurationFrom(current.body as ConfigurationBody, 1, address);
  }
  /** Like changeConfiguration, based on a configuration that was read before. */
  async changeConfigurationFrom(base: ConfigurationBody, routes = 1, address?: string): Promise<ChangeOutcome> {
    const number = this.nextNumber();
    const mark = `${MARKER_PREFIX}${number}`;
    const doc = { ...base.doc, bindings: { ...base.doc.bindings } };
    if (routes > 1) for (let n = 0; n < routes; n += 1) doc.bindings[`grown-${number}-${n}`] = { ...MARKER_ROUTE };
    doc.bindings[mark] = { ...MARKER_ROUTE };
    const changeId = `change-${this.fleet.seed}-${number}`;
    const headers = { "if-match": `"${base.version}"`, "x-change-id": changeId };
    const response = await this.send("PUT", "/v1/manifest", doc, headers, address);
    const version = response?.status === 200 ? (response.body as ChangeBody).version : 0;
    const outcome = response?.status === 200 ? "acknowledged" : response?.status === 412 ? "refused" : "unknown";
    this.history.add({ tag: "change", at: this.fleet.wallMs(), what: "manifest", changeId, outcome, version, mark });
    return { outcome, version };
  }
  /** Schedules a planned operation for now and waits until it ends, at most `withinMs`. Returns its last known state. */
  async runPlannedOperation(operation: Record<string, unknown>, withinMs: number): Promise<string> {
    const id = `move-${this.nextNumber()}`;
    const status = await this.submitOperation(id, operation);
    if (status !== 200) return `not accepted: ${status}`;
    const acknowledgedAt = this.fleet.wallMs();
    const zone = String(operation.district);
    if (operation.kind === "drain") this.history.add({ tag: "drained", at: acknowledgedAt, district: zone });
    const state = await this.pollState(id, withinMs);
    if (operation.kind === "undrain") this.history.add({ tag: "undrained", at: acknowledgedAt, district: zone });
    return state;
  }
  /** Reads the stamps of all ledger entries from one node, page by page. */
  async readLedger(address: string, pageSize: number, maxPages: number): Promise<string[]> {
    const stamps: string[] = [];
    let after = "";
    for (let page = 0; page < maxPages; page += 1) {
      const path = `/v1/ledger?limit=${pageSize}&after=${encodeURIComponent(after)}`;
      const response = await this.send("GET", path, undefined, {}, address);
      if (response?.status !== 200) break;
      const { entries, next } = response.body as LedgerPage;
      if (entries.length === 0) break;
      stamps.push(...entries.map((entry) => entry.stamp));
      after = next;
    }
    return stamps;
  }

  /** The next number of the sequence that configuration changes and planned operations share. */
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
  private async submitOperation(id: string, operation: Record<string, unknown>): Promise<number | undefined> {
    const body = { due: "now", move: operation };
    const headers = { "if-match": '"0"', "x-change-id": id };
    let status: number | undefined;
    for (let attempt = 0; attempt < CALENDAR_ATTEMPTS && status !== 200; attempt += 1)
      status = (await this.send("PUT", `/v1/calendar/${id}`, body, headers))?.status;
    return status;
  }
  private async pollState(id: string, withinMs: number): Promise<string> {
    const { world } = this.fleet;
    let state = "";
    for (const until = world.now + withinMs; world.now < until;) {
      const response = await this.send("GET", `/v1/calendar/${id}`);
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
