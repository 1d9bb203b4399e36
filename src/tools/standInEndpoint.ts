import { Result } from "../common/fault";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../runtime/env";

const BODY_LIMIT_BYTES = 4_000_000;
const ANNOUNCE_INTERVAL_MS = 900;
const ANNOUNCE_RETRY_MS = 100;
const ANNOUNCE_TIMEOUT_MS = 500;
const ANNOUNCE_RESPONSE_LIMIT_BYTES = 10_000;
const IDLE_MS = 3_600_000; // a supervised task that ends is started again, so one that is over sleeps
const PREFIX_LENGTH = 512; // characters of a prompt that count as its prefix
const CACHED_PREFIXES = 12;
const CHUNK_PROMPT_LENGTH = 24; // characters of the prompt's end that each chunk repeats
const ENDLESS_BODY_BYTES = 5_000_000;
const ENDLESS_WRITE_BYTES = 65_536;

/** What an endpoint is and how fast it works; the field names are those of the deploy file and of announcements. */
export interface EndpointSettings {
  id: string;
  /** `IP:port` that it listens on. */
  address: string;
  pool: string;
  /** Zone. */
  district: string;
  version: string;
  /** Requests that it runs at a time. */
  capacity: number;
  /** Addresses of the ingresses that it announces itself to. */
  announceTo: string[];
  /** Time to the first chunk of a stream, ms. */
  prefillMs: number;
  /** The same where the prompt's prefix is cached, ms. */
  prefillCachedMs: number;
  /** Time between chunks, ms. */
  pieceMs: number;
  /** Chunks of a stream whose request names no number. */
  pieces: number;
  /** Time for a request that is answered in one, ms. */
  itemMs: number;
}
/** One execution of a request. */
export interface EndpointRun {
  /** Id of the request or batch item. */
  id: string;
  attempt: number;
  /** Wall clock at the start, ms. */
  at: number;
  kind: "stream" | "single";
  /** Chunks that an earlier attempt had delivered; a stream continues after them. */
  continued: number;
}
/** How an endpoint treats requests: all but `healthy` are faults, except for `overloaded`, which refuses them properly. */
export type EndpointBehavior = "healthy" | "unresponsive" | "malformed" | "endless" | "overloaded";

/** A request's body; the field names are those on the wire. */
interface RequestBody {
  prompt?: string;
  pieces?: number;
  continueFrom?: string[];
}

/**
 * A stand-in endpoint: a model that streams chunks and caches prefixes, and a service that responds in one. It records its
 * runs, so that the checker sees whether anything ran twice.
 *
 * @example
 * const endpoint = new StandInEndpoint(env, settings);
 * yield* endpoint.start();
 */
export class StandInEndpoint {
  readonly runs: EndpointRun[] = [];
  behavior: EndpointBehavior = "healthy";
  /** Streams whose prefix was cached. */
  cacheHits = 0;
  /** Streams whose prefix was not cached. */
  cacheMisses = 0;
  /** Id of this incarnation. */
  readonly instance: string;
  private active = 0;
  private deregistered = false;
  /** Cached prefixes, the least recently used first. */
  private readonly prefixes = new Set<string>();

  constructor(
    private readonly env: Environment,
    readonly settings: EndpointSettings,
  ) {
    this.instance = EnvironmentTools.randomId(env, "i");
  }

  /** The n-th chunk of a stream, counted from 1; callers check what they receive by it. @example StandInEndpoint.chunkAt("a prompt", 1) */
  static chunkAt(prompt: string, n: number): string {
    return `${n}:${prompt.slice(-CHUNK_PROMPT_LENGTH)} `;
  }

  /** Serves requests and announces itself; fails where its address is taken. @example yield* endpoint.start(); */
  *start(): Task<Result<true>> {
    const served = yield* this.env.serveHttp(this.settings.address, (exchange) => this.serve(exchange));
    if (!served.ok) return served;
    EnvironmentTools.runSupervised(this.env, this.env.scope, "announce", () => this.announceLoop());
    return served;
  }
  /** Withdraws its announcement at some ingress and goes on with the requests it has; whether an ingress took it. @example yield* endpoint.deregister(); */
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
  private *announce(ingress: string): Task<boolean> {
    const { id, address, pool, district, version, capacity } = this.settings;
    const { active, instance } = this;
    const response = yield* this.env.httpRequest(ingress, {
      method: "PUT",
      path: `/v1/replicas/${id}`,
      body: JSON.stringify({ address, pool, district, version, capacity, active, waiting: 0, instance }),
      timeoutMs: ANNOUNCE_TIMEOUT_MS,
    });
    if (response.ok)
      yield* EnvironmentTools.readBodyText(
        this.env,
        response.value,
        ANNOUNCE_RESPONSE_LIMIT_BYTES,
        ANNOUNCE_TIMEOUT_MS,
      );
    return response.ok;
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
    const run = this.record(exchange, body);
    if (this.behavior === "unresponsive") {
      // The request counts as run: its caller can't know that it did not.
      yield* Csp.take(exchange.disconnected);
      return;
    }
    this.active += 1;
    try {
      if (this.behavior === "malformed") exchange.send(200, { "content-type": "text/plain" }, "<<<\n>>>\n");
      else if (this.behavior === "endless") yield* this.respondEndlessly(exchange);
      else if (run.kind === "stream") yield* this.stream(exchange, body);
      else yield* this.respond(exchange, run.id, body);
    } finally {
      this.active -= 1;
    }
  }
  private record(exchange: HttpExchange, body: RequestBody): EndpointRun {
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
  private *stream(exchange: HttpExchange, body: RequestBody): Task<void> {
    const { prefillMs, prefillCachedMs, pieceMs, pieces } = this.settings;
    const prompt = body.prompt ?? "";
    const cached = this.cachePrefix(prompt.slice(0, PREFIX_LENGTH));
    yield* EnvironmentTools.sleep(this.env, cached ? prefillCachedMs : prefillMs);
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
  /** Makes a prefix the most recently used one; whether it was cached before. */
  private cachePrefix(prefix: string): boolean {
    const cached = this.prefixes.delete(prefix);
    this.prefixes.add(prefix);
    const [oldest] = this.prefixes;
    if (this.prefixes.size > CACHED_PREFIXES) this.prefixes.delete(oldest);
    if (cached) this.cacheHits += 1;
    else this.cacheMisses += 1;
    return cached;
  }
}
