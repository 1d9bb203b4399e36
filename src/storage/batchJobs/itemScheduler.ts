import { HeaderNames } from "../../forwarding/headerNames";
import { Constants } from "../../common/constants";
import { Route } from "../../controlState/configuration";
import { ClusterSnapshot, Endpoint } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { EndpointSelector } from "../../routing/endpointSelector";
import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { BatchJob } from "../../shard/shardTypes";
import { EndpointUsage } from "./endpointUsage";
import { ItemCounters } from "./itemCounters";
import { ItemEndpointChoice, SchedulingPass } from "./itemEndpointChoice";
import { ItemAttemptOutcome, ItemExecution } from "./itemExecution";
import { ItemResults } from "./itemResults";
import { dueInMs, giveUpAt } from "./jobDeadlines";
import { JobDemand } from "./jobDemand";
import { routeOf } from "./jobRoute";
import { OpenJob, progressOf } from "./openJob";
import { OpenJobs } from "./openJobs";

/** Maximum time between two passes while no item waits, ms. */
const IDLE_PERIOD_MS = 1000;
/** A backoff is multiplied by a random factor from `min` to `min + range`, so that retries are spread over time. */
const BACKOFF_JITTER_FACTOR = { min: 0.7, range: 0.6 };

interface SchedulableJob {
  open: OpenJob;
  job: BatchJob;
  /** Time until the job's results are due, ms; negative once they are late. */
  dueInMs: number;
}

/**
 * Starts the items of batch jobs whose items are whole requests. The jobs share the capacity that live requests leave,
 * in the order of their priority; among jobs of the same priority the one that is due soonest comes first.
 */
export class ItemScheduler {
  private readonly endpointUsage = new EndpointUsage();
  private readonly endpointChoice: ItemEndpointChoice;

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly endpointSelector: EndpointSelector,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    private readonly openJobs: OpenJobs,
    private readonly demand: JobDemand,
    private readonly execution: ItemExecution,
    private readonly results: ItemResults,
    private readonly counters: ItemCounters,
    names: HeaderNames,
  ) {
    this.endpointChoice = new ItemEndpointChoice(env, node.self.district, endpointSelector, this.endpointUsage, names);
  }

  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "item scheduler", () => this.scheduleLoop());
  }

  /** Number of items that run now. */
  runningCount = (): number => this.endpointUsage.total();

  private *scheduleLoop(): Task<void> {
    for (let lastSearchAt = this.env.monotonicMs(); ;) {
      yield* EnvironmentTools.takeWithin(
        this.env,
        this.openJobs.changed,
        this.hasWaitingItems() ? Constants.jobSchedulingPeriodMs : IDLE_PERIOD_MS,
      );
      if (this.env.monotonicMs() - lastSearchAt > Constants.abandonedClaimSearchMs) {
        lastSearchAt = this.env.monotonicMs();
        // A job may have been accepted by a put that completed only after its caller had stopped waiting.
        for (const replica of this.replicas.values()) if (replica.holdsLease()) this.openJobs.addJobsOf(replica);
      }
      if (this.openJobs.size === 0 || this.node.stopping || !this.node.mayHoldLeases()) continue;
      this.schedulingPass(this.node.snapshot());
    }
  }

  private hasWaitingItems(): boolean {
    return this.openJobs.all().some((open) => open.ready.length + open.delayed.length > 0);
  }

  private schedulingPass(snapshot: ClusterSnapshot): void {
    const now = this.env.monotonicMs();
    const schedulable = this.schedulableJobs();
    this.demand.announce();
    if (this.hasWaitingItems() && !this.node.recentConfirmation.isRecent()) return;
    const pass: SchedulingPass = {
      snapshot,
      share: this.demand.share(snapshot),
      endpoints: new Map(),
      fullPools: new Set(),
    };
    for (const entry of schedulable) this.scheduleJob(entry, pass, now);
  }

  private scheduleJob(entry: SchedulableJob, pass: SchedulingPass, now: number): void {
    const jobRoute = routeOf(pass.snapshot, entry.job);
    switch (jobRoute.tag) {
      case "unknown":
        return this.node.gossip.requestExchange();
      case "removed":
        return this.abandonWaitingItems(entry.open, "its binding was taken out of the manifest");
      case "configured":
        if (this.env.wallClockMs() > giveUpAt(entry.job, jobRoute.route))
          return this.abandonWaitingItems(entry.open, "not done in the time that its binding gives");
        requeueDelayedItems(entry.open, now);
        return this.startItems(entry, jobRoute.route, pass);
      default: {
        const unreachable: never = jobRoute;
        return unreachable;
      }
    }
  }

  /** Jobs whose items may start, in the order in which they are scheduled. Jobs that may not continue are aborted. */
  private schedulableJobs(): SchedulableJob[] {
    const jobs: SchedulableJob[] = [];
    for (const open of this.openJobs.all()) {
      const job = this.openJobs.findSchedulable(open);
      if (!this.openJobs.mayContinue(open)) this.openJobs.abort(open);
      else if (job) jobs.push({ open, job, dueInMs: dueInMs(job, this.env.wallClockMs()) });
    }
    // Results that are already late have lost most of their value, so their jobs come last.
    const overdueRank = ({ dueInMs: remainingMs }: SchedulableJob): number => (remainingMs > 0 ? 0 : 1);
    return jobs.sort(
      (left, right) =>
        left.job.order - right.job.order || overdueRank(left) - overdueRank(right) || left.dueInMs - right.dueInMs,
    );
  }

  private abandonWaitingItems(open: OpenJob, why: string): void {
    for (const item of [...open.ready.splice(0), ...open.delayed.splice(0)])
      this.results.add(open, { item, state: "abandoned", result: "" }, why);
  }

  /** Starts items of a job until none is ready or the pool of the next one is full. */
  private startItems({ open, job, dueInMs: remainingMs }: SchedulableJob, route: Route, pass: SchedulingPass): void {
    const isUrgent = remainingMs < Constants.jobUrgentMs;
    for (let count = open.ready.length; count > 0; count -= 1) {
      const pool = this.endpointChoice.poolOf(route);
      if (!this.endpointChoice.hasCapacity(pass, pool, job.binding, isUrgent)) return;
      const item = open.ready.shift()!;
      if (job.items[item].state !== "waiting") continue; // The item has a result from another leader.
      const avoid = open.progress.get(item)?.avoid;
      const endpoint = this.endpointChoice.choose(pass, pool, job, item, isUrgent, avoid);
      if (!endpoint) {
        open.ready.unshift(item);
        pass.fullPools.add(pool);
        return;
      }
      this.startItem(open, job, item, route, pool, endpoint);
    }
  }

  private startItem(open: OpenJob, job: BatchJob, item: number, route: Route, pool: string, endpoint: Endpoint): void {
    this.endpointSelector.requestStarted(endpoint);
    this.endpointUsage.add(endpoint, pool);
    open.running.set(item, undefined);
    this.counters.started += 1;
    const scheduler = this;
    Csp.go(this.env.scope, `item ${open.id}/${item}`, function* () {
      let outcome: ItemAttemptOutcome = { tag: "interrupted", why: "its task failed" };
      try {
        outcome = yield* scheduler.execution.attempt(open, job, item, endpoint);
      } finally {
        scheduler.endpointUsage.remove(endpoint, pool);
        scheduler.attemptEnded(open, item, route, endpoint, outcome);
        Csp.offer(scheduler.openJobs.changed, true);
      }
    });
  }

  private attemptEnded(
    open: OpenJob,
    item: number,
    route: Route,
    endpoint: Endpoint,
    outcome: ItemAttemptOutcome,
  ): void {
    const progress = progressOf(open, item);
    switch (outcome.tag) {
      case "done":
        return this.results.add(open, { item, state: "done", result: outcome.result }, "");
      case "impossible":
        return this.results.add(open, { item, state: "abandoned", result: "" }, outcome.why);
      case "failed":
        this.counters.failed += 1;
        progress.failures += 1;
        if (progress.failures >= (route.rounds ?? Constants.lookupAttempts))
          return this.results.add(open, { item, state: "abandoned", result: "" }, outcome.why);
        return this.retryLater(open, item, endpoint, Constants.itemFailureBackoffMs);
      case "interrupted":
        this.counters.again += 1;
        return this.retryLater(open, item, endpoint, Constants.itemRetryMs);
      case "cancelled":
        open.running.delete(item);
        return;
      default: {
        const unreachable: never = outcome;
        return unreachable;
      }
    }
  }

  private retryLater(open: OpenJob, item: number, endpoint: Endpoint, backoffMs: number): void {
    const jitter = BACKOFF_JITTER_FACTOR.min + BACKOFF_JITTER_FACTOR.range * this.env.random();
    Object.assign(progressOf(open, item), {
      notBefore: this.env.monotonicMs() + backoffMs * jitter,
      avoid: endpoint.key,
    });
    open.running.delete(item);
    open.delayed.push(item);
  }
}

/** Moves items whose backoff has ended to the front of the job's queue. */
function requeueDelayedItems(open: OpenJob, now: number): void {
  const due = open.delayed.filter((item) => open.progress.get(item)!.notBefore <= now);
  if (due.length === 0) return;
  open.delayed = open.delayed.filter((item) => !due.includes(item));
  open.ready.unshift(...due);
}
