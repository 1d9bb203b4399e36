import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { Mix } from "../deployment";
import { History } from "../history";
import { AcceptedJob, BatchCaller } from "./batchCaller";
import { CallerClient } from "./callerClient";
import { callConfirmation, callLookup } from "./lookupCaller";
import { callStream } from "./streamCaller";

const IDLE_MS = 3_600_000; // ms; a pace task that is over sleeps, since a supervised task that ends is started again

/**
 * Stand-in callers: they send the mix of a deployment, check every response, resume streams elsewhere, follow batch jobs to
 * their end, and write down what they saw.
 *
 * @example
 * const callers = new Callers(env, mix, ingressHttp, history);
 * callers.start(1);
 * callers.stopNew();
 */
export class Callers {
  /** Calls under way. */
  callsInFlight = 0;
  /** Multiple of the mix's rates. */
  load = 1;
  private readonly client: CallerClient;
  private readonly batch: BatchCaller;
  private open = true;
  private started = 0;

  constructor(
    readonly env: Environment,
    private readonly mix: Mix,
    ingresses: string[],
    readonly history: History,
  ) {
    this.client = new CallerClient(env, ingresses, history);
    this.batch = new BatchCaller(this.client);
  }

  /** Ingresses that the platform sends nobody to just now. @example callers.avoid.add("127.0.0.1:7100"); */
  get avoidedIngresses(): Set<string> {
    return this.client.avoid;
  }
  /** Batch jobs that were accepted, by id. @example callers.acceptedJobs.size */
  get acceptedJobs(): ReadonlyMap<string, AcceptedJob> {
    return this.batch.accepted;
  }
  /** Starts the mix at a multiple of its rate. @example callers.start(2); */
  start(load: number): void {
    this.load = load;
    const { client, batch } = this;
    const { lookups, streams, singles, lots: jobs } = this.mix;
    const periodOf = (perSecond: number) => (): number => 1000 / (perSecond * this.load);
    this.pace("lookup", periodOf(lookups.perSecond), (n) => callLookup(client, lookups, n));
    for (const stream of streams)
      this.pace(stream.binding, periodOf(stream.perSecond), (n) => callStream(client, stream, n));
    this.pace("single", periodOf(singles.perSecond), (n) => callConfirmation(client, singles, n));
    this.pace(
      "lot",
      () => jobs.everyMs / this.load,
      (n) => batch.call(jobs, n),
    );
  }
  /** Starts no new calls; those under way go on. @example callers.stopNew(); */
  stopNew(): void {
    this.open = false;
  }
  /** Reads every accepted job again at one node. @example yield* callers.reread("127.0.0.1:7100"); */
  *reread(ingress: string): Task<void> {
    yield* this.batch.reread(ingress);
  }

  /** Starts a call about every `periodMs`, with half of it as jitter each way. */
  private pace(name: string, periodMs: () => number, call: (n: number) => Task<void>): void {
    const callers = this;
    const { env } = this;
    EnvironmentTools.runSupervised(env, env.scope, `pace ${name}`, function* () {
      while (callers.open) {
        yield* EnvironmentTools.sleep(env, periodMs() * (0.5 + env.random()));
        if (!callers.open) break;
        callers.launch(name, call);
      }
      for (;;) yield* EnvironmentTools.sleep(env, IDLE_MS);
    });
  }
  private launch(name: string, call: (n: number) => Task<void>): void {
    const callers = this;
    this.started += 1;
    const n = this.started;
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
