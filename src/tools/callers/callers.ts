import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { TrafficMix } from "../deployment";
import { History } from "../history";
import { AcceptedJob, BatchCaller } from "./batchCaller";
import { CallerClient } from "./callerClient";
import { callConfirmation, callLookup } from "./lookupCaller";
import { callStream } from "./streamCaller";

/** How long a finished call generator sleeps at a time, ms: if it returned, its supervisor would start it again. */
const IDLE_MS = 3_600_000;

/**
 * Simulates the callers of a deployment: sends its traffic mix, checks every response, resumes interrupted streams at
 * other ingresses, reads batch jobs to their end, and records all observations in the history.
 *
 * @example
 * const callers = new Callers(env, mix, ingressHttp, history);
 * callers.start(1);
 * callers.stopNew();
 */
export class Callers {
  /** Number of calls in flight. */
  callsInFlight = 0;
  /** Factor by which the rates of the traffic mix are multiplied. */
  load = 1;
  private readonly client: CallerClient;
  private readonly batch: BatchCaller;
  private startsNewCalls = true;
  private startedCalls = 0;

  constructor(
    readonly env: Environment,
    private readonly mix: TrafficMix,
    ingresses: string[],
    readonly history: History,
  ) {
    this.client = new CallerClient(env, ingresses, history);
    this.batch = new BatchCaller(this.client);
  }

  /** Addresses of the ingresses that get no calls at present. */
  get avoidedIngresses(): Set<string> {
    return this.client.avoidedIngresses;
  }
  /** All accepted batch jobs, by id. */
  get acceptedJobs(): ReadonlyMap<string, AcceptedJob> {
    return this.batch.accepted;
  }
  /** Starts sending the traffic mix at `load` times its rates. */
  start(load: number): void {
    this.load = load;
    const { client, batch } = this;
    const { lookups, streams, singles, lots: jobs } = this.mix;
    const periodOf = (perSecond: number) => (): number => 1000 / (perSecond * this.load);
    this.startPeriodically("lookup", periodOf(lookups.perSecond), (n) => callLookup(client, lookups, n));
    for (const stream of streams)
      this.startPeriodically(stream.binding, periodOf(stream.perSecond), (n) => callStream(client, stream, n));
    this.startPeriodically("single", periodOf(singles.perSecond), (n) => callConfirmation(client, singles, n));
    this.startPeriodically(
      "lot",
      () => jobs.everyMs / this.load,
      (n) => batch.call(jobs, n),
    );
  }
  /** Stops starting new calls; calls in flight continue. */
  stopNew(): void {
    this.startsNewCalls = false;
  }
  /** Rereads every accepted batch job at one ingress and records what it lists. */
  *reread(ingress: string): Task<void> {
    yield* this.batch.reread(ingress);
  }

  /** Starts a call every `periodMs` with a uniform jitter of ±50 %. */
  private startPeriodically(name: string, periodMs: () => number, call: (n: number) => Task<void>): void {
    const callers = this;
    const { env } = this;
    EnvironmentTools.runSupervised(env, env.scope, `pace ${name}`, function* () {
      while (callers.startsNewCalls) {
        yield* EnvironmentTools.sleep(env, periodMs() * (0.5 + env.random()));
        if (!callers.startsNewCalls) break;
        callers.launch(name, call);
      }
      for (;;) yield* EnvironmentTools.sleep(env, IDLE_MS);
    });
  }
  private launch(name: string, call: (n: number) => Task<void>): void {
    const callers = this;
    this.startedCalls += 1;
    const n = this.startedCalls;
    this.callsInFlight += 1;
    Csp.go(this.env.scope, `${name} ${n}`, function* () {
      try {
        yield* call(n);
      } finally {
        callers.callsInFlight -= 1;
      }
    });
  }
}
