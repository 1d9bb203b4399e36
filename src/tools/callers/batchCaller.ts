import { Csp, Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import { TrafficMix } from "../deployment";
import { CallerClient, CallerResponse, ProblemBody } from "./callerClient";

const SUBMIT_TIMEOUT_MS = 12_000;
const SUBMIT_ATTEMPTS = 30;
const SUBMIT_RETRY_MS = 1000;
/** Time from the acceptance of a job to the request that ends it, ms. */
const END_DELAY_MS = 120;
const END_ATTEMPTS = 20;
const END_TIMEOUT_MS = 5000;
const END_RETRY_MS = 300;
/** How long a caller waits for all results of a job before it records the job as lost, ms. */
const RESULTS_TIMEOUT_MS = 90_000;
const LONG_POLL_MS = 800;
const LIST_TIMEOUT_MS = 6000;
const LIST_RETRY_MS = 300;
const EMPTY_PAGE_PAUSE_MS = 150;
/** Share of jobs whose first result is also polled for at all other nodes. */
const VISIBILITY_SAMPLE_SHARE = 0.25;
const VISIBILITY_ATTEMPTS = 40;
const VISIBILITY_TIMEOUT_MS = 4000;
const VISIBILITY_RETRY_MS = 100;
const REREAD_ATTEMPTS = 15;
const REREAD_RETRY_MS = 400;

/** A result and its fixed position among the results of its job, as the API lists it. */
interface ListedResult {
  position: number;
  item: number;
  state: string;
  result: string;
}
/** A response that lists results of a job. */
interface ResultsPage extends ProblemBody {
  results: ListedResult[];
  finished: boolean;
  ended: boolean;
}
/** An accepted batch job. */
export interface AcceptedJob {
  items: number;
  binding: string;
}

/**
 * Simulates callers of batch jobs: submits jobs, ends some of them early, reads the results at random ingresses, and
 * rereads all jobs at the end of the run. Records what it observes in the history.
 */
export class BatchCaller {
  /** All accepted jobs, by id. */
  readonly accepted = new Map<string, AcceptedJob>();
  constructor(private readonly client: CallerClient) {}

  /** Submits the job of the n-th call, ends every `endOneIn`-th, and reads its results to the last one. */
  *call(jobMix: TrafficMix["lots"], n: number): Task<void> {
    const { client } = this;
    const { binding, items, endOneIn } = jobMix;
    const id = `${client.idPrefix}-lot-${n}`;
    const startedAt = client.env.monotonicMs();
    if (!(yield* this.submit(id, binding, items, startedAt))) return;
    const acceptedAt = client.env.wallClockMs();
    const tookMs = client.env.monotonicMs() - startedAt;
    client.history.add({ tag: "lotAccepted", at: acceptedAt, tookMs, lot: id, items, binding });
    client.history.add({ tag: "served", at: acceptedAt, kind: "lot" });
    this.accepted.set(id, { items, binding });
    if (n % endOneIn === 0) yield* this.end(id);
    yield* this.readResults(id, items, acceptedAt);
  }
  /** Rereads every accepted job at one ingress and records the order of its results and whether all were there. */
  *reread(ingress: string): Task<void> {
    const { env, history } = this.client;
    for (const id of this.accepted.keys()) {
      const page = yield* this.readFinishedJob(ingress, id);
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

  /** Submits a job until it is accepted; returns false if it is rejected, or not accepted within all attempts. */
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
  /** Ends a job before all of its items have run. */
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
  /** Reads results, each page at a random ingress, until the job is finished. */
  private *readResults(id: string, items: number, acceptedAt: number): Task<void> {
    const { client } = this;
    const { env, history } = client;
    const deadline = env.monotonicMs() + RESULTS_TIMEOUT_MS;
    let resultsRead = 0;
    while (env.monotonicMs() < deadline) {
      const ingress = client.pickIngress();
      const path = `/v1/lots/${id}/results?after=${resultsRead}&waitMs=${LONG_POLL_MS}`;
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
      if (resultsRead === 0 && results.length > 0 && env.random() < VISIBILITY_SAMPLE_SHARE)
        this.measureVisibility(id, ingress);
      for (const result of results) this.recordResult(id, ingress, result);
      resultsRead += results.length;
      if (finished) {
        const at = env.wallClockMs();
        history.add({ tag: "lotFinished", lot: id, at, tookMs: at - acceptedAt, ended, results: resultsRead });
        return;
      }
      if (results.length === 0) yield* EnvironmentTools.sleep(env, EMPTY_PAGE_PAUSE_MS);
    }
    const detail = `${resultsRead} of ${items} results after 90 s`;
    history.add({ tag: "lotLost", lot: id, at: env.wallClockMs(), detail });
  }
  private recordResult(id: string, ingress: string, { position, item, state, result }: ListedResult): void {
    const { env, history } = this.client;
    const echoed = state === "done" ? (JSON.parse(result) as { echo?: { q?: string } } | null)?.echo?.q : undefined;
    const mine = state !== "done" || echoed === `${id}/${item}`;
    history.add({ tag: "lotResult", lot: id, position, item, state, at: env.wallClockMs(), ingress, mine });
  }
  /** Measures how long after `firstIngress` the other ingresses list a result of a job, too. */
  private measureVisibility(id: string, firstIngress: string): void {
    const { env, ingresses } = this.client;
    const firstAt = env.wallClockMs();
    for (const ingress of ingresses.filter((address) => address !== firstIngress))
      Csp.go(env.scope, `read ${id} at ${ingress}`, () => this.pollUntilReadable(id, ingress, firstAt));
  }
  private *pollUntilReadable(id: string, ingress: string, firstAt: number): Task<void> {
    const { env, history } = this.client;
    const path = `/v1/lots/${id}/results?after=0&limit=1`;
    for (let attempt = 0; attempt < VISIBILITY_ATTEMPTS; attempt += 1) {
      const response = yield* this.client.get<ResultsPage>(ingress, path, VISIBILITY_TIMEOUT_MS);
      if (response?.status === 200 && (response.body?.results.length ?? 0) > 0) break;
      yield* EnvironmentTools.sleep(env, VISIBILITY_RETRY_MS);
    }
    const at = env.wallClockMs();
    history.add({ tag: "lotReadable", lot: id, ingress, at, afterMs: at - firstAt });
  }
  /** Returns a response with all results of a finished job; undefined or a response of another status if there is none. */
  private *readFinishedJob(ingress: string, id: string): Task<CallerResponse<ResultsPage> | undefined> {
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
