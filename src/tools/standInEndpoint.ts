import { Result } from "../common/fault";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../runtime/env";
import {
  ANNOUNCE_INTERVAL_MS,
  ANNOUNCE_RESPONSE_LIMIT_BYTES,
  ANNOUNCE_TIMEOUT_MS,
  announceEndpoint,
} from "./endpointAnnouncements";

const BODY_LIMIT_BYTES = 4_000_000;
const ANNOUNCE_RETRY_MS = 100;
/** How long the announcement loop sleeps at a time once it is over, ms: if it returned, its supervisor would restart it. */
const IDLE_MS = 3_600_000;
/** Number of leading characters of a prompt that form its prefix. */
const PREFIX_LENGTH = 512;
/** Maximum number of cached prefixes. */
const PREFIX_CACHE_SIZE = 12;
/** Number of characters at the end of a prompt that each chunk repeats. */
const CHUNK_PROMPT_LENGTH = 24;
/** Size of the body that the behavior "endless" sends, in bytes. */
const ENDLESS_BODY_BYTES = 5_000_000;
const ENDLESS_WRITE_BYTES = 65_536;

/** Identity and speed of an endpoint, with the field names of deployment files and announcements. */
export interface EndpointSettings {
  id: string;
  /** Address that the endpoint listens on, `IP:port`. */
  address: string;
  pool: string;
  /** Zone that the endpoint is in. */
  district: string;
  version: string;
  /** Maximum number of requests that the endpoint runs at a time. */
  capacity: number;
  /** Addresses of the ingresses that the endpoint announces itself to. */
  announceTo: string[];
  /** Time to the first chunk of a stream, ms. */
  prefillMs: number;
  /** Time to the first chunk of a stream whose prompt has a cached prefix, ms. */
  prefillCachedMs: number;
  /** Time between chunks, ms. */
  pieceMs: number;
  /** Number of chunks of a stream if the request does not say. */
  pieces: number;
  /** Time to process a request with a single response, ms. */
  itemMs: number;
}
/** One execution of a request. */
export interface EndpointRun {
  /** Id of the request, or `job/item` for a batch item. */
  id: string;
  attempt: number;
  /** Wall-clock time of the start, ms. */
  at: number;
  kind: "stream" | "single";
  /** Number of chunks that earlier attempts had delivered; the stream continues after them. */
  continued: number;
}
/** How the endpoint handles requests. `overloaded` rejects them in the correct way; the others but `healthy` are faults. */
export type EndpointBehavior = "healthy" | "unresponsive" | "malformed" | "endless" | "overloaded";

/** Body of a request, with its field names on the wire. */
interface RequestBody {
  prompt?: string;
  pieces?: number;
  continueFrom?: string[];
}

/**
 * A stand-in endpoint that simulates both a model, which streams chunks and caches prompt prefixes, and a service with
 * single responses. It records its runs, which tell the checker whether a request ran twice.
 *
 * @example
 * const endpoint = new StandInEndpoint(env, settings);
 * yield* endpoint.start();
 */
export class StandInEndpoint {
  readonly runs: EndpointRun[] = [];
  behavior: EndpointBehavior = "healthy";
  /** Number of streams whose prefix was cached. */
  cacheHits = 0;
  /** Number of streams whose prefix was not cached. */
  cacheMisses = 0;
  /** Id of this incarnation of the endpoint. */
  readonly instance: string;
  /** Number of requests in progress. */
  private active = 0;
  private deregistered = false;
  /** Cached prefixes, the least recently used first. */
  private readonly cachedPrefixes = new Set<string>();

  constructor(
    private readonly env: Environment,
    readonly settings: EndpointSettings,
  ) {
    this.instance = EnvironmentTools.randomId(env, "i");
  }

  /** Returns the n-th chunk of a stream, counted from 1. Callers compare received chunks with it. */
  static chunkAt(prompt: string, n: number): string {
    return `${n}:${prompt.slice(-CHUNK_PROMPT_LENGTH)} `;
  }

  /** Starts to serve requests and to announce the endpoint; fails if the address is in use. */
  *start(): Task<Result<true>> {
    const served = yield* this.env.serveHttp(this.settings.address, (exchange) => this.serve(exchange));
    if (!served.ok) return served;
    EnvironmentTools.runSupervised(this.env, this.env.scope, "announce", () => this.announceLoop());
    return served;
  }
  /** Deregisters at one of the ingresses and completes the requests in progress; returns whether an ingress accepted it. */
  *deregister(): Task<boolean> {
    this.deregistered = true;
    for (const address of this.settings.announceTo) {
      const response = yield* this.env.httpRequest(address, {
        method: "DELETE",
        path: `/v1/replicas/${this.settings.id}`,
        timeoutMs: ANNOUNCE_TIMEOUT_MS,
      });
      if (response.ok && response.value.status === 200) {
        yield* EnvironmentTools.readBodyText(
          this.env,
          response.value,
          ANNOUNCE_RESPONSE_LIMIT_BYTES,
          ANNOUNCE_TIMEOUT_MS,
        );
        return true;
      }
    }
    return false;
  }

  private *announceLoop(): Task<void> {
    const { announceTo } = this.settings;
    for (let turn = Math.floor(this.env.random() * 100); !this.deregistered; turn += 1) {
      const announced = yield* this.announce(announceTo[turn % announceTo.length]);
      yield* EnvironmentTools.sleep(this.env, announced ? ANNOUNCE_INTERVAL_MS : ANNOUNCE_RETRY_MS);
    }
    for (;;) yield* EnvironmentTools.sleep(this.env, IDLE_MS);
  }
  private announce(ingress: string): Task<boolean> {
    const { id, address, pool, district, version, capacity } = this.settings;
    const { active, instance } = this;
    const announcement = { id, address, pool, district, version, capacity, active, waiting: 0, instance };
    return announceEndpoint(this.env, ingress, announcement);
  }

  private *serve(exchange: HttpExchange): Task<void> {
    const received = yield* exchange.body(BODY_LIMIT_BYTES);
    if (!received.ok) return;
    if (this.behavior === "overloaded" || this.active >= this.settings.capacity) {
      const headers = { "x-accepted": "no", "content-type": "application/json" };
      exchange.send(503, headers, JSON.stringify({ accepted: false }));
      return;
    }
    const body = JSON.parse(received.value.toString("utf8")) as RequestBody;
    const run = this.recordRun(exchange, body);
    if (this.behavior === "unresponsive") {
      // The request counts as run, since its caller cannot rule that out.
      yield* Csp.take(exchange.disconnected);
      return;
    }
    this.active += 1;
    try {
      if (this.behavior === "malformed") exchange.send(200, { "content-type": "text/plain" }, "<<<\n>>>\n");
      else if (this.behavior === "endless") yield* this.respondEndlessly(exchange);
      else if (run.kind === "stream") yield* this.respondWithStream(exchange, body);
      else yield* this.respond(exchange, run.id, body);
    } finally {
      this.active -= 1;
    }
  }
  private recordRun(exchange: HttpExchange, body: RequestBody): EndpointRun {
    const run: EndpointRun = {
      id: exchange.headers["x-request-id"] ?? "",
      attempt: Number(exchange.headers["x-round"] ?? 0),
      at: this.env.wallClockMs(),
      kind: (exchange.headers["accept"] ?? "").includes("ndjson") ? "stream" : "single",
      continued: body.continueFrom?.length ?? 0,
    };
    this.runs.push(run);
    return run;
  }
  private *respond(exchange: HttpExchange, id: string, body: RequestBody): Task<void> {
    yield* EnvironmentTools.sleep(this.env, this.settings.itemMs);
    const response = JSON.stringify({ by: this.settings.id, id, echo: body });
    exchange.send(200, { "content-type": "application/json" }, response);
  }
  private *respondWithStream(exchange: HttpExchange, body: RequestBody): Task<void> {
    const { prefillMs, prefillCachedMs, pieceMs, pieces } = this.settings;
    const prompt = body.prompt ?? "";
    const isCached = this.cachePrefix(prompt.slice(0, PREFIX_LENGTH));
    yield* EnvironmentTools.sleep(this.env, isCached ? prefillCachedMs : prefillMs);
    exchange.startStream(200, { "content-type": "application/x-ndjson" });
    const count = body.pieces ?? pieces;
    for (let n = (body.continueFrom?.length ?? 0) + 1; n <= count; n += 1) {
      if (exchange.disconnected.isClosed()) return;
      exchange.write(`${JSON.stringify({ piece: StandInEndpoint.chunkAt(prompt, n) })}\n`);
      yield* EnvironmentTools.sleep(this.env, pieceMs);
    }
    exchange.write(`${JSON.stringify({ end: true })}\n`);
    exchange.end();
  }
  private *respondEndlessly(exchange: HttpExchange): Task<void> {
    exchange.startStream(200, {});
    for (let sent = 0; sent < ENDLESS_BODY_BYTES && !exchange.disconnected.isClosed(); sent += ENDLESS_WRITE_BYTES) {
      exchange.write("x".repeat(ENDLESS_WRITE_BYTES));
      yield* EnvironmentTools.sleep(this.env, 1);
    }
    exchange.end();
  }
  /** Makes a prefix the most recently used one; returns whether it was cached before. */
  private cachePrefix(prefix: string): boolean {
    const wasCached = this.cachedPrefixes.delete(prefix);
    this.cachedPrefixes.add(prefix);
    const [leastRecent] = this.cachedPrefixes;
    if (this.cachedPrefixes.size > PREFIX_CACHE_SIZE) this.cachedPrefixes.delete(leastRecent);
    if (wasCached) this.cacheHits += 1;
    else this.cacheMisses += 1;
    return wasCached;
  }
}
