import { Csp, Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import { Mix } from "../deployment";
import { CallerClient, CallerResponse, ProblemBody } from "./callerClient";

const SUBMIT_TIMEOUT_MS = 12_000;
const SUBMIT_ATTEMPTS = 30;
const SUBMIT_RETRY_MS = 1000;
const END_DELAY_MS = 120; // ms; after its acceptance, a job that is to be ended is ended
const END_ATTEMPTS = 20;
const END_TIMEOUT_MS = 5000;
const END_RETRY_MS = 300;
const FOLLOW_MS = 90_000; // ms; a job's results are waited for
const LONG_POLL_MS = 800;
const LIST_TIMEOUT_MS = 6000;
const LIST_RETRY_MS = 300;
const EMPTY_PAGE_PAUSE_MS = 150;
const COMPARE_SHARE = 0.25; // share of jobs whose first result is looked for at all other nodes
const COMPARE_ATTEMPTS = 40;
const COMPARE_TIMEOUT_MS = 4000;
const COMPARE_RETRY_MS = 100;
const REREAD_ATTEMPTS = 15;
const REREAD_RETRY_MS = 400;

/** A result in its fixed position, as listed. */
interface ListedResult {
  position: number;
  item: number;
  state: string;
  result: string;
}
/** One page of a job's results. */
interface ResultsPage extends ProblemBody {
  results: ListedResult[];
  finished: boolean;
  ended: boolean;
}
/** A batch job that was accepted. */
export interface AcceptedJob {
  items: number;
  binding: string;
}

/**
 * Stand-in callers of batch jobs: they submit, end some, follow the results at changing nodes, and read all again at the
 * end of the day.
 *
 * @example
 * yield* batch.call(mix.lots, 17);
 */
export class BatchCaller {
  /** Every job that was accepted, by id. */
  readonly accepted = new Map<string, AcceptedJob>();
  constructor(private readonly client: CallerClient) {}

  /** One job from its submission to its last result. @example yield* batch.call(mix.lots, 17) */
  *call(kind: Mix["lots"], n: number): Task<void> {
    const { client } = this;
    const { binding, items, endOneIn } = kind;
    const id = `${client.salt}-lot-${n}`;
    const startedAt = client.env.monotonicMs();
    if (!(yield* this.submit(id, binding, items, startedAt))) return;
    const acceptedAt = client.env.wallClockMs();
    const tookMs = client.env.monotonicMs() - startedAt;
    client.history.add({ tag: "lotAccepted", at: acceptedAt, tookMs, lot: id, items, binding });
    client.history.add({ tag: "served", at: acceptedAt, kind: "lot" });
    this.accepted.set(id, { items, binding });
    if (n % endOneIn === 0) yield* this.end(id);
    yield* this.follow(id, items, acceptedAt);
  }
  /** Reads every accepted job again at one node: complete, and in the same order. @example yield* batch.reread("127.0.0.1:7100"); */
  *reread(ingress: string): Task<void> {
    const { env, history } = this.client;
    for (const id of this.accepted.keys()) {
      const page = yield* this.readWhole(ingress, id);
      history.add({
        tag: "lotReread",
        lot: id,
        at: env.wallClockMs(),
        ingress,
        order: (page?.body?.results ?? []).map((result) => result.item).join(","),
        complete: page?.status === 200,
      });
    }
  }

  private *submit(id: string, binding: string, count: number, startedAt: number): Task<boolean> {
    const { client } = this;
    const items = Array.from({ length: count }, (_item, index) => ({ q: `${id}/${index}` }));
    const body = { id, binding, items };
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
      const response = yield* client.post<ProblemBody>(client.pickIngress(), "/v1/lots", body, SUBMIT_TIMEOUT_MS);
      if (response && (response.status === 202 || response.status === 200)) return true;
      if (attempt === 0) client.recordFailure("lot", startedAt, response);
      if (response && response.status < 500) return false;
      yield* EnvironmentTools.sleep(client.env, SUBMIT_RETRY_MS);
    }
    return false;
  }
  private *end(id: string): Task<void> {
    const { client } = this;
    yield* EnvironmentTools.sleep(client.env, END_DELAY_MS);
    for (let attempt = 0; attempt < END_ATTEMPTS; attempt += 1) {
      const response = yield* client.post(client.pickIngress(), `/v1/lots/${id}/end`, {}, END_TIMEOUT_MS);
      if (response?.status === 200) {
        client.history.add({ tag: "lotEnded", lot: id, at: client.env.wallClockMs() });
        return;
      }
      yield* EnvironmentTools.sleep(client.env, END_RETRY_MS);
    }
  }
  /** Reads the results at changing nodes until all are there. */
  private *follow(id: string, items: number, acceptedAt: number): Task<void> {
    const { client } = this;
    const { env, history } = client;
    const until = env.monotonicMs() + FOLLOW_MS;
    let read = 0;
    while (env.monotonicMs() < until) {
      const ingress = client.pickIngress();
      const path = `/v1/lots/${id}/results?after=${read}&waitMs=${LONG_POLL_MS}`;
      const response = yield* client.get<ResultsPage>(ingress, path, LIST_TIMEOUT_MS);
      if (response?.status === 404) {
        history.add({ tag: "lotLost", lot: id, at: env.wallClockMs(), detail: String(response.body?.detail) });
        return;
      }
      if (response?.status !== 200 || !response.body) {
        yield* EnvironmentTools.sleep(env, LIST_RETRY_MS);
        continue;
      }
      const { results, finished, ended } = response.body;
      if (read === 0 && results.length > 0 && env.random() < COMPARE_SHARE) this.compareNodes(id, ingress);
      for (const result of results) this.recordResult(id, ingress, result);
      read += results.length;
      if (finished) {
        const at = env.wallClockMs();
        history.add({ tag: "lotFinished", lot: id, at, tookMs: at - acceptedAt, ended, results: read });
        return;
      }
      if (results.length === 0) yield* EnvironmentTools.sleep(env, EMPTY_PAGE_PAUSE_MS);
    }
    const detail = `${read} of ${items} results after 90 s`;
    history.add({ tag: "lotLost", lot: id, at: env.wallClockMs(), detail });
  }
  private recordResult(id: string, ingress: string, { position, item, state, result }: ListedResult): void {
    const { env, history } = this.client;
    const echoed = state === "done" ? (JSON.parse(result) as { echo?: { q?: string } } | null)?.echo?.q : undefined;
    const mine = state !== "done" || echoed === `${id}/${item}`;
    history.add({ tag: "lotResult", lot: id, position, item, state, at: env.wallClockMs(), ingress, mine });
  }
  /** Measures how long after the first sight of a result at one node the others list it too. */
  private compareNodes(id: string, seenAt: string): void {
    const { env, ingresses } = this.client;
    const firstAt = env.wallClockMs();
    for (const ingress of ingresses.filter((address) => address !== seenAt))
      Csp.go(env.scope, `read ${id} at ${ingress}`, () => this.untilReadable(id, ingress, firstAt));
  }
  private *untilReadable(id: string, ingress: string, firstAt: number): Task<void> {
    const { env, history } = this.client;
    const path = `/v1/lots/${id}/results?after=0&limit=1`;
    for (let attempt = 0; attempt < COMPARE_ATTEMPTS; attempt += 1) {
      const response = yield* this.client.get<ResultsPage>(ingress, path, COMPARE_TIMEOUT_MS);
      if (response?.status === 200 && (response.body?.results.length ?? 0) > 0) break;
      yield* EnvironmentTools.sleep(env, COMPARE_RETRY_MS);
    }
    const at = env.wallClockMs();
    history.add({ tag: "lotReadable", lot: id, ingress, at, afterMs: at - firstAt });
  }
  /** All results of a job, once it is finished; undefined or another status where it is not. */
  private *readWhole(ingress: string, id: string): Task<CallerResponse<ResultsPage> | undefined> {
    const path = `/v1/lots/${id}/results?limit=2000`;
    let response: CallerResponse<ResultsPage> | undefined;
    for (let attempt = 0; attempt < REREAD_ATTEMPTS && response?.status !== 200; attempt += 1) {
      response = yield* this.client.get<ResultsPage>(ingress, path, LIST_TIMEOUT_MS);
      if (response?.status === 200 && !response.body?.finished) response = undefined;
      if (response?.status === 404) break;
      if (response?.status !== 200) yield* EnvironmentTools.sleep(this.client.env, REREAD_RETRY_MS);
    }
    return response;
  }
}
