import { Constants } from "../../common/constants";
import { Stamp } from "../../common/stamp";
import { Route } from "../../controlState/configuration";
import { Node } from "../../node/node";
import { EndpointSelector } from "../../routing/endpointSelector";
import { Chan, Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { BatchJob } from "../../shard/shardTypes";
import { itemCriteria } from "../selectionCriteria";
import { ClaimedItemExecution } from "./claimedItemExecution";
import { ClaimedItemWindow } from "./claimedItemWindow";

/** Pause after an attempt without a result before the next attempt of the item, ms. */
const BACKOFF_MS = 300;
/** Maximum number of remembered backoffs. Beyond it all are forgotten. */
const BACKOFF_ENTRIES_MAX = 5000;

interface SchedulableJob {
  job: BatchJob;
  replica: ShardReplica;
}

/**
 * Starts the items that run under a claim, of the jobs whose shards this node leads. Jobs are scheduled by their
 * priority and then in the order of their stamps, within the window of each pool.
 */
export class ClaimedItemScheduler {
  /** The shard of each open job by job id, for the shards that this node leads. */
  private readonly openJobs = new Map<string, number>();
  private readonly jobAdded: Chan<true> = Csp.sliding(1);
  private readonly inFlightByPool = new Map<string, number>();
  /** End of an item's backoff by `JOB/INDEX`: monotonic time, ms. */
  private readonly backoffUntil = new Map<string, number>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly endpointSelector: EndpointSelector,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    private readonly window: ClaimedItemWindow,
    private readonly execution: ClaimedItemExecution,
  ) {}

  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "claimed item scheduler", () => this.scheduleLoop());
  }

  get openJobCount(): number {
    return this.openJobs.size;
  }

  /** Adds a job to the schedule. */
  addJob(id: string, shard: number): void {
    this.openJobs.set(id, shard);
    Csp.offer(this.jobAdded, true);
  }

  /**
   * Adds the open jobs of a shard to the schedule. They may include a job whose put completed only after its caller had
   * stopped waiting.
   */
  addJobsOf(replica: ShardReplica): void {
    for (const job of replica.data.jobs.values())
      if (job.open > 0 && !job.ended && !job.requests) this.addJob(job.id, replica.shard);
  }

  /** Removes the jobs of a shard that this node no longer leads. */
  removeJobsOf(replica: ShardReplica): void {
    for (const [job, shard] of this.openJobs) if (shard === replica.shard) this.openJobs.delete(job);
  }

  private *scheduleLoop(): Task<void> {
    for (;;) {
      if (this.openJobs.size === 0) yield* Csp.take(this.jobAdded);
      yield* EnvironmentTools.sleep(this.env, Constants.jobSchedulingPeriodMs);
      if (this.node.stopping || !this.node.mayHoldLeases()) continue;
      this.schedulingPass();
    }
  }

  private schedulingPass(): void {
    const snapshot = this.node.snapshot();
    const now = this.env.monotonicMs();
    const schedulable = this.schedulableJobs();
    if (schedulable.length > 0 && !this.node.recentConfirmation.isRecent()) return;
    const pools = new Set(schedulable.map(({ job }) => this.routeOf(job).pool));
    for (const pool of pools) this.window.update(pool, snapshot);
    for (const entry of schedulable) this.startItems(entry, now);
    if (this.backoffUntil.size > BACKOFF_ENTRIES_MAX) this.backoffUntil.clear();
  }

  /** Jobs with items to run, in the order in which they are scheduled. */
  private schedulableJobs(): SchedulableJob[] {
    const jobs: SchedulableJob[] = [];
    for (const [id, shard] of this.openJobs) {
      const replica = this.replicas.get(shard);
      const job = replica?.data.jobs.get(id);
      if (!replica || !job || job.open === 0 || job.ended) {
        this.openJobs.delete(id);
        continue;
      }
      if (replica.holdsLease()) jobs.push({ job, replica });
    }
    return jobs.sort(
      (left, right) => left.job.order - right.job.order || Stamp.compare(left.job.stamp, right.job.stamp),
    );
  }

  /** The route as it is configured now, or as it was when the job was accepted if it has been removed. */
  private routeOf = (job: BatchJob): Route =>
    this.node.snapshot().control?.manifest.doc.bindings[job.binding] ?? job.kept;

  private startItems({ job, replica }: SchedulableJob, now: number): void {
    const route = this.routeOf(job);
    for (const [index, item] of job.items.entries()) {
      const inFlight = this.inFlightByPool.get(route.pool) ?? 0;
      if (inFlight >= this.window.sizeOf(route.pool)) return;
      const name = `${job.id}/${index}`;
      const isWaiting = item.state === "waiting" && !this.execution.running.has(name);
      if (!isWaiting || (this.backoffUntil.get(name) ?? 0) > now) continue;
      const endpoint = this.endpointSelector.choose(itemCriteria(this.node.snapshot(), route, job.binding));
      if (!endpoint) return;
      this.endpointSelector.requestStarted(endpoint);
      this.execution.running.add(name);
      this.inFlightByPool.set(route.pool, inFlight + 1);
      const attempt = {
        name,
        shard: replica.shard,
        jobId: job.id,
        index,
        number: item.round + 1,
        body: job.bodies[index],
        routeName: job.binding,
        route,
        endpoint,
      };
      const scheduler = this;
      Csp.go(this.env.scope, `item ${name}`, function* () {
        try {
          if (yield* scheduler.execution.run(attempt)) scheduler.backoffUntil.delete(name);
          else scheduler.backoffUntil.set(name, scheduler.env.monotonicMs() + BACKOFF_MS);
        } finally {
          scheduler.execution.running.delete(name);
          scheduler.inFlightByPool.set(route.pool, (scheduler.inFlightByPool.get(route.pool) ?? 1) - 1);
        }
      });
    }
  }
}
