import { Csp, Task } from "../runtime/csp";
import { EnvironmentTools, StreamFraming } from "../runtime/env";
import { Route } from "../controlState/configuration";
import { CallerClient } from "../tools/callers/callerClient";
import { callDirect } from "../tools/callers/directCaller";
import { ANNOUNCE_INTERVAL_MS, announceEndpoint } from "../tools/endpointAnnouncements";
import { RequestBehavior, StandInEventEndpoint } from "../tools/standInEventEndpoint";
import { SecondResponseMoment, secondResponseMoments } from "./simConnections";
import { SimDisk } from "./simDisk";
import type { SimFleet } from "./simFleet";
import { ConfigurationBody } from "./simOperator";
import type { SimProcess } from "./simWorld";

const HOST = "direct.example";
const POOL = "direct";
/** Start of the names of the endpoints' processes. */
const PROCESS_PREFIX = "replica-direct-";
const FIRST_ENDPOINT_PORT = 900;
const EVENTS_PER_RESPONSE = 8;
const EVENT_INTERVAL_MS = 15;
const ENDPOINT_SLOTS = 24;
const CALL_INTERVAL_MS = 25;
/** Time after which new routes and endpoints are known at every node, ms. */
const ANNOUNCED_AFTER_MS = 3000;

/** The kinds of direct requests, which are also the first segments of their paths. */
const kinds = ["lookup", "unsafe-lookup", "resumable-stream", "stream"] as const;
type DirectKind = (typeof kinds)[number];

const isStream = (kind: DirectKind): boolean => kind.endsWith("stream");
const isRepeatable = (kind: DirectKind): boolean => kind === "lookup" || kind === "resumable-stream";
const routeOf = (kind: DirectKind, maxAttempts: number): Route => ({
  kind: isStream(kind) ? "stream" : "lookup",
  pool: POOL,
  path: "/",
  safe: isRepeatable(kind),
  deadlineMs: 4000,
  continues: kind === "resumable-stream" ? "exact" : "no",
  prefixBytes: 0,
  host: HOST,
  prefix: `/${kind}/`,
  rounds: maxAttempts,
  targetMs: 400,
});
const kindOf = (requestId: string): DirectKind => kinds.find((kind) => requestId.endsWith(`.${kind}`))!;

/** Statuses that promise that the request did not run and never will. */
const promisesNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The number of endpoints, and of attempts that a route allows. */
export interface DirectTrafficSize {
  endpoints: number;
  maxAttempts: number;
}
const DEFAULT_SIZE: DirectTrafficSize = { endpoints: 4, maxAttempts: 2 };

/**
 * Traffic of requests that are forwarded by host and path, in addition to the usual traffic of a simulated fleet. Its
 * endpoints frame their responses in every way, and break off, refuse, fail or send twice a share of them.
 *
 * @example
 * const traffic = await DirectTraffic.start(fleet);
 * traffic.cutShare = 0.3;
 */
export class DirectTraffic {
  /** The share of the responses that the endpoints break off. */
  cutShare = 0;
  /** The share of the requests that the endpoints refuse without running them. */
  refusalShare = 0;
  /** The share of the requests that the endpoints run and answer with status 500. */
  failureShare = 0;
  /** The number of responses that the endpoints were told to break off, by framing. */
  readonly cuts: Record<StreamFraming, number> = { chunked: 0, connection: 0 };
  /** The number of responses that were sent a second time, by the moment. */
  readonly secondResponses: Record<SecondResponseMoment, number> = {
    whileIdle: 0,
    withNextRequest: 0,
    whileNextRequestRuns: 0,
  };
  /** The number of requests that were answered with the promise that they did not run. */
  promisedCount = 0;
  private readonly endpoints: StandInEventEndpoint[] = [];
  private readonly promisedIds = new Set<string>();
  private constructor(
    private readonly fleet: SimFleet,
    private readonly size: DirectTrafficSize,
  ) {}

  /** Adds the routes to the configuration, starts the endpoints and begins to send requests. */
  static async start(fleet: SimFleet, size = DEFAULT_SIZE): Promise<DirectTraffic> {
    const traffic = new DirectTraffic(fleet, size);
    await traffic.addRoutes();
    for (let index = 1; index <= size.endpoints; index += 1) await traffic.startEndpoint(index);
    await fleet.run(ANNOUNCED_AFTER_MS);
    traffic.startCaller();
    return traffic;
  }

  /** Throws if a request that may not be repeated ran twice, or another one more often than its route allows. */
  expectAttemptsWithinLimits(): void {
    const runs = new Map<string, number>();
    for (const { id } of this.endpoints.flatMap((endpoint) => endpoint.runs)) runs.set(id, (runs.get(id) ?? 0) + 1);
    for (const [id, count] of runs) {
      const limit = isRepeatable(kindOf(id)) ? this.size.maxAttempts : 1;
      if (count > limit) throw new Error(`${id} ran ${count} times, at most ${limit} allowed`);
    }
  }

  /** Throws if a request that may not be repeated ran although its caller was promised that it did not. */
  expectPromisesKept(): void {
    for (const { id } of this.endpoints.flatMap((endpoint) => endpoint.runs))
      if (this.promisedIds.has(id)) throw new Error(`${id} ran although its caller was promised that it did not`);
  }

  /** Lets the endpoints of this traffic send a share of their whole responses a second time. */
  sendTwice(share: number): void {
    const { world } = this.fleet;
    world.http.secondResponseMoment = ({ name }) => {
      if (!name.startsWith(PROCESS_PREFIX) || world.random() >= share) return undefined;
      const moment = secondResponseMoments[Math.floor(world.random() * secondResponseMoments.length)];
      this.secondResponses[moment] += 1;
      return moment;
    };
  }

  private async addRoutes(): Promise<void> {
    const { fleet } = this;
    const current = await fleet.send("GET", "/v1/manifest");
    const { version, doc } = current!.body as ConfigurationBody;
    const routes = Object.fromEntries(kinds.map((kind) => [`direct-${kind}`, routeOf(kind, this.size.maxAttempts)]));
    const changed = await fleet.changeConfigurationFrom({
      version,
      doc: { ...doc, bindings: { ...doc.bindings, ...routes } },
    });
    if (changed.outcome !== "acknowledged") throw new Error(`the direct routes were not accepted: ${changed.outcome}`);
  }

  private async startEndpoint(index: number): Promise<void> {
    const { fleet } = this;
    const id = `direct-${index}`;
    const address = `127.0.0.1:${FIRST_ENDPOINT_PORT + index}`;
    const process = fleet.world.start(`${PROCESS_PREFIX}${index}`, new SimDisk(fleet.world));
    const options = { events: EVENTS_PER_RESPONSE, eventMs: EVENT_INTERVAL_MS, slots: ENDPOINT_SLOTS };
    const endpoint = new StandInEventEndpoint(process.env, address, `${id}-1`, options);
    endpoint.behavior = (requestId) => this.nextBehavior(requestId);
    this.endpoints.push(endpoint);
    await fleet.world.runTask(process, () => endpoint.start(), 1000);
    Csp.go(process.scope, `announce ${id}`, () => this.announceLoop(process, id, endpoint));
  }

  private *announceLoop({ env }: SimProcess, id: string, endpoint: StandInEventEndpoint): Task<void> {
    const { deployment, plan } = this.fleet;
    for (let turn = 0; ; turn += 1) {
      yield* announceEndpoint(env, plan.ingressHttp[turn % plan.ingressHttp.length], {
        id,
        address: endpoint.address,
        pool: POOL,
        district: deployment.districts[0],
        version: "v1",
        capacity: ENDPOINT_SLOTS,
        active: endpoint.active,
        waiting: 0,
        instance: endpoint.instance,
      });
      yield* EnvironmentTools.sleep(env, ANNOUNCE_INTERVAL_MS);
    }
  }

  private nextBehavior(requestId: string): RequestBehavior {
    const { world } = this.fleet;
    const framing = world.random() < 0.5 ? "chunked" : "connection";
    const contentType = isStream(kindOf(requestId)) ? "text/event-stream" : "text/plain";
    if (this.refusalShare > 0 && world.random() < this.refusalShare) return { tag: "notRun" };
    if (this.failureShare > 0 && world.random() < this.failureShare) return { tag: "status", status: 500 };
    if (world.random() >= this.cutShare) return { tag: "complete", framing, contentType };
    this.cuts[framing] += 1;
    return { tag: "cut", after: Math.floor(world.random() * EVENTS_PER_RESPONSE), framing, contentType };
  }

  private startCaller(): void {
    const { fleet } = this;
    const { env } = fleet.world.start("direct-callers", new SimDisk(fleet.world));
    const traffic = this;
    const client = new CallerClient(env, fleet.plan.ingressHttp, fleet.history);
    Csp.go(env.scope, "direct calls", function* () {
      for (let n = 1; ; n += 1) {
        const kind = kinds[n % kinds.length];
        const id = `${client.idPrefix}-${n}.${kind}`;
        const expectedBody = StandInEventEndpoint.bodyOf(id, EVENTS_PER_RESPONSE);
        const call = { id, host: HOST, path: `/${kind}/${n}`, expectedBody };
        Csp.go(env.scope, `direct call ${n}`, function* () {
          traffic.noteStatus(id, yield* callDirect(client, call));
        });
        yield* EnvironmentTools.sleep(env, CALL_INTERVAL_MS * (0.5 + env.random()));
      }
    });
  }

  private noteStatus(id: string, status: number): void {
    if (!promisesNotRun.has(status)) return;
    this.promisedCount += 1;
    if (!isRepeatable(kindOf(id))) this.promisedIds.add(id);
  }
}
