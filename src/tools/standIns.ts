import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools, HttpExchange } from "../runtime/env";
import { Result } from "../common/fault";

export type ReplicaSettings = {
  id: string;
  address: string;
  pool: string;
  district: string;
  version: string;
  capacity: number;
  announceTo: string[];
  prefillMs: number;
  prefillCachedMs: number;
  pieceMs: number;
  pieces: number;
  itemMs: number;
};
export type Run = { id: string; round: number; at: number; kind: "stream" | "single"; continued: number };
export type Mood = "well" | "dark" | "nonsense" | "endless" | "full";

/** What the n-th piece of a reply is; callers and checkers know it too. */
const pieceOf = (prompt: string, n: number): string => `${n}:${prompt.slice(-24)} `;

/**
 * A stand-in replica: a model that streams pieces and remembers prefixes, and a desk that replies at once.
 * It keeps what ran, so that a checker can see whether anything ran twice.
 *
 * @example
 * const replica = new StandInReplica(env, settings);
 * yield* replica.start();
 */
export class StandInReplica {
  readonly runs: Run[] = [];
  mood: Mood = "well";
  private active = 0;
  private prefixes = new Set<string>();
  cacheHits = 0;
  cacheMisses = 0;
  saidGoodbye = false;
  instance: string;
  constructor(
    readonly env: Env,
    readonly settings: ReplicaSettings,
  ) {
    this.instance = EnvTools.id(env, "i");
  }
  /** @example yield* replica.start(); */
  *start(): Task<Result<true>> {
    const served = yield* this.env.serveHttp(this.settings.address, (incoming) => this.serve(incoming));
    if (!served.ok) return served;
    EnvTools.keep(this.env, this.env.scope, "announce", () => this.announceLoop());
    return served;
  }
  private *announceLoop(): Task<void> {
    for (let turn = Math.floor(this.env.random() * 100); !this.saidGoodbye; turn += 1) {
      const { id, address, pool, district: zone, version, capacity, announceTo } = this.settings;
      const body = JSON.stringify({
        address,
        pool,
        district: zone,
        version,
        capacity,
        active: this.active,
        waiting: 0,
        instance: this.instance,
      });
      const response = yield* this.env.http(announceTo[turn % announceTo.length], {
        method: "PUT",
        path: `/v1/replicas/${id}`,
        body,
        timeoutMs: 500,
      });
      if (response.ok) yield* EnvTools.bodyOf(this.env, response.value, 10_000, 500);
      yield* EnvTools.sleep(this.env, response.ok ? 900 : 100);
    }
    for (;;) yield* EnvTools.sleep(this.env, 3_600_000);
  }
  /** Says goodbye at some node and goes on serving what it has. @example yield* replica.goodbye(); */
  *goodbye(): Task<boolean> {
    this.saidGoodbye = true;
    for (const address of this.settings.announceTo) {
      const response = yield* this.env.http(address, {
        method: "DELETE",
        path: `/v1/replicas/${this.settings.id}`,
        timeoutMs: 500,
      });
      if (response.ok && response.value.status === 200) {
        yield* EnvTools.bodyOf(this.env, response.value, 10_000, 500);
        return true;
      }
    }
    return false;
  }
  private *serve(incoming: HttpExchange): Task<void> {
    const read = yield* incoming.body(4_000_000);
    if (!read.ok) return;
    if (this.mood === "full" || this.active >= this.settings.capacity) {
      incoming.send(
        503,
        { "x-accepted": "no", "content-type": "application/json" },
        JSON.stringify({ accepted: false }),
      );
      return;
    }
    const body = JSON.parse(read.value.toString("utf8")) as {
      prompt?: string;
      pieces?: number;
      continueFrom?: string[];
    };
    const id = incoming.headers["x-request-id"] ?? "";
    const stream = (incoming.headers["accept"] ?? "").includes("ndjson");
    this.runs.push({
      id,
      round: +(incoming.headers["x-round"] ?? 0),
      at: this.env.wall(),
      kind: stream ? "stream" : "single",
      continued: body.continueFrom?.length ?? 0,
    });
    if (this.mood === "dark") {
      // it may well have run: nobody will hear
      yield* Csp.take(incoming.gone);
      return;
    }
    this.active += 1;
    try {
      if (this.mood === "nonsense") {
        incoming.send(200, { "content-type": "text/plain" }, "<<<\n>>>\n");
        return;
      }
      if (this.mood === "endless") {
        incoming.open(200, {});
        for (let sent = 0; sent < 5_000_000 && !incoming.gone.isClosed(); sent += 65_536) {
          incoming.write("x".repeat(65_536));
          yield* EnvTools.sleep(this.env, 1);
        }
        incoming.end();
        return;
      }
      if (!stream) {
        yield* EnvTools.sleep(this.env, this.settings.itemMs);
        incoming.send(
          200,
          { "content-type": "application/json" },
          JSON.stringify({ by: this.settings.id, id, echo: body }),
        );
        return;
      }
      const prompt = body.prompt ?? "";
      const prefix = prompt.slice(0, 512);
      const cached = this.prefixes.has(prefix);
      if (cached) this.cacheHits += 1;
      else this.cacheMisses += 1;
      this.prefixes.delete(prefix);
      this.prefixes.add(prefix);
      if (this.prefixes.size > 12) this.prefixes.delete(this.prefixes.values().next().value!);
      yield* EnvTools.sleep(this.env, cached ? this.settings.prefillCachedMs : this.settings.prefillMs);
      incoming.open(200, { "content-type": "application/x-ndjson" });
      const count = body.pieces ?? this.settings.pieces;
      for (let n = (body.continueFrom?.length ?? 0) + 1; n <= count; n += 1) {
        if (incoming.gone.isClosed()) return;
        incoming.write(`${JSON.stringify({ piece: pieceOf(prompt, n) })}\n`);
        yield* EnvTools.sleep(this.env, this.settings.pieceMs);
      }
      incoming.write(`${JSON.stringify({ end: true })}\n`);
      incoming.end();
    } finally {
      this.active -= 1;
    }
  }
  static pieceOf = pieceOf;
}
