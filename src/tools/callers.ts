import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools, HttpResponse } from "../runtime/env";
import { Result } from "../common/fault";
import { Mix } from "./deployment";
import { History } from "./history";
import { StandInReplica } from "./standIns";

type Line = { event: string; id: number; data: any };
/** Server-sent events out of a reply. */
function* eventsOf(
  env: Env,
  response: HttpResponse,
  withinMs: number,
  take: (line: Line) => boolean,
): Task<"ended" | "broken" | "slow"> {
  let held = "";
  const until = env.mono() + withinMs;
  for (;;) {
    const chunk = yield* EnvTools.takeWithin(env, response.chunks, until - env.mono());
    if (chunk === undefined) {
      response.abort();
      return "slow";
    }
    if (chunk === null) return "broken";
    held += chunk.toString("utf8");
    for (let at = held.indexOf("\n\n"); at >= 0; at = held.indexOf("\n\n")) {
      const line: Line = { event: "", id: 0, data: undefined };
      for (const row of held.slice(0, at).split("\n")) {
        const [name, ...rest] = row.split(": ");
        const value = rest.join(": ");
        if (name === "event") line.event = value;
        else if (name === "id") line.id = +value;
        else if (name === "data") line.data = JSON.parse(value);
      }
      held = held.slice(at + 2);
      if (!take(line)) {
        response.abort();
        return "ended";
      }
    }
  }
}

/**
 * Stand-in callers: they send the mix of a deployment, check every reply, resume streams elsewhere, follow
 * lots to their end at every node, and write down what they saw.
 *
 * @example
 * const callers = new Callers(env, mix, ingressHttp, history);
 * callers.start(1);
 * callers.stopNew();
 */
export class Callers {
  private open = true;
  private next = 0;
  running = 0;
  load = 1;
  private readonly salt: string;
  readonly acceptedJobs = new Map<string, { items: number; binding: string }>();
  constructor(
    readonly env: Env,
    private readonly mix: Mix,
    private readonly ingresses: string[],
    readonly history: History,
  ) {
    this.salt = EnvTools.id(env, "c").slice(2, 8);
  }
  /** Starts the mix at a multiple of its rate. @example callers.start(2); */
  start(load: number): void {
    this.load = load;
    const pace = (name: string, everyMs: () => number, act: (n: number) => Task<void>): void => {
      const callers = this;
      EnvTools.keep(this.env, this.env.scope, `pace ${name}`, function* () {
        while (callers.open) {
          yield* EnvTools.sleep(callers.env, everyMs() * (0.5 + callers.env.random()));
          if (!callers.open) break;
          const n = (callers.next += 1);
          callers.running += 1;
          Csp.go(callers.env.scope, `${name} ${n}`, function* () {
            try {
              yield* act(n);
            } finally {
              callers.running -= 1;
            }
          });
        }
        for (;;) yield* EnvTools.sleep(callers.env, 3_600_000);
      });
    };
    const { lookups, streams, singles, lots: jobs } = this.mix;
    pace(
      "lookup",
      () => 1000 / (lookups.perSecond * this.load),
      (n) => this.lookup(n),
    );
    for (const stream of streams)
      pace(
        stream.binding,
        () => 1000 / (stream.perSecond * this.load),
        (n) => this.stream(n, stream),
      );
    pace(
      "single",
      () => 1000 / (singles.perSecond * this.load),
      (n) => this.single(n),
    );
    pace(
      "lot",
      () => jobs.everyMs / this.load,
      (n) => this.job(n),
    );
  }
  /** No new calls; what is under way goes on. @example callers.stopNew(); */
  stopNew(): void {
    this.open = false;
  }
  /** Nodes that the platform sends nobody to just now. */
  readonly avoid = new Set<string>();
  private ingress(): string {
    const ready = this.ingresses.filter((address) => !this.avoid.has(address));
    return ready[Math.floor(this.env.random() * ready.length)];
  }
  private *post(
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    headers: Record<string, string> = {},
  ): Task<{ status: number; headers: Record<string, string>; body: any } | undefined> {
    const response = yield* this.env.http(address, {
      method: "POST",
      path,
      body: JSON.stringify(body),
      headers,
      timeoutMs,
    });
    return yield* this.whole(response, timeoutMs);
  }
  private *get(
    address: string,
    path: string,
    timeoutMs: number,
  ): Task<{ status: number; headers: Record<string, string>; body: any } | undefined> {
    return yield* this.whole(yield* this.env.http(address, { method: "GET", path, timeoutMs }), timeoutMs);
  }
  private *whole(
    response: Result<HttpResponse>,
    timeoutMs: number,
  ): Task<{ status: number; headers: Record<string, string>; body: any } | undefined> {
    if (!response.ok) return undefined;
    const text = yield* EnvTools.bodyOf(this.env, response.value, 8_000_000, timeoutMs);
    if (text === undefined) return undefined;
    try {
      return { status: response.value.status, headers: response.value.headers, body: JSON.parse(text) };
    } catch {
      return { status: response.value.status, headers: response.value.headers, body: undefined };
    }
  }
  /** Writes down a reply that is no success. */
  private sorry(
    kind: string,
    startedAt: number,
    response: { status: number; headers: Record<string, string>; body: any } | undefined,
  ): void {
    const at = this.env.wall();
    const requestId = String(response?.body?.requestId ?? "");
    if (response?.status === 503)
      this.history.add({
        tag: "busy",
        at,
        tookMs: this.env.mono() - startedAt,
        kind,
        requestId,
        retryAfter: response.headers["retry-after"] !== undefined,
      });
    else
      this.history.add({
        tag: "failed",
        at,
        tookMs: this.env.mono() - startedAt,
        kind,
        requestId,
        code: String(response?.body?.code ?? "connection"),
        detail: String(response?.body?.detail ?? ""),
      });
  }

  private *lookup(n: number): Task<void> {
    const token = `${this.salt}-${n}`;
    const startedAt = this.env.mono();
    const ingress = this.ingress();
    const response = yield* this.post(ingress, `/v1/requests/${this.mix.lookups.binding}`, { q: token }, 5000);
    if (response?.status !== 200) return this.sorry("lookup", startedAt, response);
    const at = this.env.wall();
    this.history.add({
      tag: "lookup",
      at,
      tookMs: this.env.mono() - startedAt,
      status: 200,
      mine: response.body?.echo?.q === token,
      ingress,
    });
    this.history.add({ tag: "served", at, kind: "lookup" });
  }

  private *stream(n: number, kind: Mix["streams"][number]): Task<void> {
    const startedAt = this.env.mono();
    const prefix = `system prompt ${Math.floor(this.env.random() * kind.prefixes)} of ${kind.binding} `.padEnd(
      kind.prefixBytes,
      "kiln ",
    );
    const prompt = `${prefix} question ${this.salt}-${n}`;
    let id = "";
    let after = 0;
    let resumes = 0;
    let firstMs = 0;
    let ended = false;
    let failed: any;
    const until = this.env.mono() + 45_000;
    while (!ended && !failed && this.env.mono() < until) {
      const response: Result<HttpResponse> =
        id === ""
          ? yield* this.env.http(this.ingress(), {
              method: "POST",
              path: `/v1/requests/${kind.binding}`,
              body: JSON.stringify({ prompt, pieces: kind.pieces }),
              timeoutMs: 20_000,
            })
          : yield* this.env.http(this.ingress(), {
              method: "GET",
              path: `/v1/streams/${id}`,
              headers: { "last-event-id": String(after) },
              timeoutMs: 20_000,
            });
      if (!response.ok || response.value.status !== 200) {
        if (id === "") {
          const reply = yield* this.whole(response, 2000);
          return this.sorry(`stream ${kind.binding}`, startedAt, reply);
        }
        const reply = yield* this.whole(response, 2000);
        if (reply && reply.status !== 503 && reply.status !== 504) failed = reply.body;
        yield* EnvTools.sleep(this.env, 300);
        resumes += 1;
        continue;
      }
      id = response.value.headers["x-request-id"];
      const how = yield* eventsOf(this.env, response.value, 30_000, (line) => {
        switch (line.event) {
          case "piece":
            if (firstMs === 0) firstMs = this.env.mono() - startedAt;
            this.history.add({
              tag: "streamPiece",
              stream: n,
              n: line.id,
              right: line.id === after + 1 && line.data.piece === StandInReplica.pieceOf(prompt, line.id),
            });
            after = line.id;
            return true;
          case "end":
            ended = true;
            return false;
          case "error":
            if (line.data.code !== "unknown" && line.data.code !== "timeout") failed = line.data;
            return false;
          default:
            return false;
        }
      });
      if (!ended && !failed) {
        resumes += 1;
        yield* EnvTools.sleep(this.env, how === "broken" ? 100 : 20);
      }
    }
    const at = this.env.wall();
    if (!ended) {
      this.history.add({
        tag: "failed",
        at,
        tookMs: this.env.mono() - startedAt,
        kind: `stream ${kind.binding}`,
        requestId: id,
        code: String(failed?.code ?? "noEnd"),
        detail: String(failed?.detail ?? ""),
      });
      return;
    }
    this.history.add({
      tag: "streamEnd",
      stream: n,
      at,
      tookMs: this.env.mono() - startedAt,
      firstMs,
      pieces: after,
      wanted: kind.pieces,
      resumes,
      binding: kind.binding,
    });
    this.history.add({ tag: "served", at, kind: "stream" });
  }

  /** A confirmation that must not be doubled: the same key until there is a plain answer. */
  private *single(n: number): Task<void> {
    const key = `${this.salt}-key-${n}`;
    const startedAt = this.env.mono();
    const token = `${this.salt}-${n}`;
    for (let round = 0; round < 8; round += 1) {
      const response = yield* this.post(
        this.ingress(),
        `/v1/requests/${this.mix.singles.binding}`,
        { q: token },
        20_000,
        {
          "idempotency-key": key,
        },
      );
      if (response?.status === 200) {
        const at = this.env.wall();
        this.history.add({
          tag: "single",
          at,
          key,
          requestId: response.headers["x-request-id"],
          status: 200,
          mine: response.body?.echo?.q === token,
          tookMs: this.env.mono() - startedAt,
          ran: String(response.body?.id ?? ""),
        });
        return;
      }
      if (response && response.status !== 503 && response.body?.code === "unknown" && response.body?.step === "run")
        return this.sorry("single", startedAt, response);
      // busy or no answer: the same key may be asked again
      yield* EnvTools.sleep(this.env, 1000);
    }
    this.history.add({
      tag: "failed",
      at: this.env.wall(),
      tookMs: this.env.mono() - startedAt,
      kind: "single",
      requestId: "",
      code: "noAnswer",
      detail: key,
    });
  }

  private *job(n: number): Task<void> {
    const { binding: route, items, endOneIn } = this.mix.lots;
    const job = `${this.salt}-lot-${n}`;
    const startedAt = this.env.mono();
    const body = {
      id: job,
      binding: route,
      items: Array.from({ length: items }, (_each, at) => ({ q: `${job}/${at}` })),
    };
    let accepted = false;
    for (let round = 0; round < 30 && !accepted; round += 1) {
      const response = yield* this.post(this.ingress(), "/v1/lots", body, 12_000);
      if (response && (response.status === 202 || response.status === 200)) accepted = true;
      else {
        if (round === 0) this.sorry("lot", startedAt, response);
        if (response && response.status < 500) return;
        yield* EnvTools.sleep(this.env, 1000);
      }
    }
    if (!accepted) return;
    const acceptedAt = this.env.wall();
    this.history.add({
      tag: "lotAccepted",
      at: acceptedAt,
      tookMs: this.env.mono() - startedAt,
      lot: job,
      items,
      binding: route,
    });
    this.history.add({ tag: "served", at: acceptedAt, kind: "lot" });
    this.acceptedJobs.set(job, { items, binding: route });
    if (n % endOneIn === 0) {
      yield* EnvTools.sleep(this.env, 120);
      for (let round = 0; round < 20; round += 1) {
        const response = yield* this.post(this.ingress(), `/v1/lots/${job}/end`, {}, 5000);
        if (response?.status === 200) {
          this.history.add({ tag: "lotEnded", lot: job, at: this.env.wall() });
          break;
        }
        yield* EnvTools.sleep(this.env, 300);
      }
    }
    yield* this.follow(job, items, acceptedAt);
  }
  /** Reads results at changing nodes until all are there, then once more at every node. */
  private *follow(job: string, items: number, acceptedAt: number): Task<void> {
    const order: number[] = [];
    const until = this.env.mono() + 90_000;
    let finished = false;
    let ended = false;
    while (!finished && this.env.mono() < until) {
      const ingress = this.ingress();
      const response = yield* this.get(ingress, `/v1/lots/${job}/results?after=${order.length}&waitMs=800`, 6000);
      if (response?.status === 404) {
        this.history.add({ tag: "lotLost", lot: job, at: this.env.wall(), detail: String(response.body?.detail) });
        return;
      }
      if (response?.status !== 200) {
        yield* EnvTools.sleep(this.env, 300);
        continue;
      }
      if (order.length === 0 && response.body.results.length > 0 && this.env.random() < 0.25)
        this.everywhere(job, ingress);
      for (const result of response.body.results) {
        let mine = true;
        if (result.state === "done") mine = JSON.parse(result.result)?.echo?.q === `${job}/${result.item}`;
        this.history.add({
          tag: "lotResult",
          lot: job,
          position: result.position,
          item: result.item,
          state: result.state,
          at: this.env.wall(),
          ingress,
          mine,
        });
        order.push(result.item);
      }
      finished = response.body.finished;
      ended = response.body.ended;
      if (!finished && response.body.results.length === 0) yield* EnvTools.sleep(this.env, 150);
    }
    if (!finished) {
      this.history.add({
        tag: "lotLost",
        lot: job,
        at: this.env.wall(),
        detail: `${order.length} of ${items} results after 90 s`,
      });
      return;
    }
    this.history.add({
      tag: "lotFinished",
      lot: job,
      at: this.env.wall(),
      tookMs: this.env.wall() - acceptedAt,
      ended,
      results: order.length,
    });
  }
  /** How long after the first sight of a result at one node the others show it too. */
  private everywhere(job: string, seenAt: string): void {
    const firstAt = this.env.wall();
    for (const ingress of this.ingresses.filter((each) => each !== seenAt)) {
      const callers = this;
      Csp.go(this.env.scope, `read ${job} at ${ingress}`, function* () {
        for (let round = 0; round < 40; round += 1) {
          const response = yield* callers.get(ingress, `/v1/lots/${job}/results?after=0&limit=1`, 4000);
          if (response?.status === 200 && response.body.results.length > 0) {
            callers.history.add({
              tag: "lotReadable",
              lot: job,
              ingress,
              at: callers.env.wall(),
              afterMs: callers.env.wall() - firstAt,
            });
            return;
          }
          yield* EnvTools.sleep(callers.env, 100);
        }
        callers.history.add({
          tag: "lotReadable",
          lot: job,
          ingress,
          at: callers.env.wall(),
          afterMs: callers.env.wall() - firstAt,
        });
      });
    }
  }
  /** At day's end: every accepted lot, whole and in the same order, at a node. @example yield* callers.reread("127.0.0.1:7100"); */
  *reread(ingress: string): Task<void> {
    for (const job of this.acceptedJobs.keys()) {
      let response: { status: number; body: any } | undefined;
      for (let round = 0; round < 15 && response?.status !== 200; round += 1) {
        response = yield* this.get(ingress, `/v1/lots/${job}/results?limit=2000`, 6000);
        if (response?.status === 200 && !response.body.finished) response = undefined;
        if (response?.status === 404) break;
        if (response?.status !== 200) yield* EnvTools.sleep(this.env, 400);
      }
      this.history.add({
        tag: "lotReread",
        lot: job,
        at: this.env.wall(),
        ingress,
        order: (response?.body?.results ?? []).map((result: any) => result.item).join(","),
        complete: response?.status === 200,
      });
    }
  }
}
