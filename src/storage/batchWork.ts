import { HeaderNames } from "../forwarding/headerNames";
import { Node } from "../node/node";
import { EndpointSelector } from "../routing/endpointSelector";
import { Environment } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { BatchJobReads } from "./batchJobs/batchJobReads";
import { BatchJobs } from "./batchJobs/batchJobs";
import { newItemCounters } from "./batchJobs/itemCounters";
import { ItemExecution } from "./batchJobs/itemExecution";
import { ItemResults } from "./batchJobs/itemResults";
import { ItemScheduler } from "./batchJobs/itemScheduler";
import { JobDemand } from "./batchJobs/jobDemand";
import { OpenJobs } from "./batchJobs/openJobs";
import { KeyedLock } from "./keyedLock";
import { Quota } from "./quota/quota";
import { QuotaOwner } from "./quota/quotaOwner";
import { UsageReports } from "./quota/usageReports";
import { ShardClient } from "./shardClient";
import { ShardWriter } from "./shardWriter";

/**
 * Composes the components that accept, run and read the batch jobs whose items are whole HTTP requests, for the shards
 * that a storage node leads. These items may run more than once, so they need no claim.
 */
export class BatchWork {
  readonly jobs: BatchJobs;
  readonly reads: BatchJobReads;
  readonly quotaOwner: QuotaOwner;
  readonly usageReports: UsageReports;
  private readonly quota: Quota;
  private readonly openJobs: OpenJobs;
  private readonly scheduler: ItemScheduler;
  private readonly counters = newItemCounters();

  constructor(
    env: Environment,
    node: Node,
    shardClient: ShardClient,
    endpointSelector: EndpointSelector,
    replicas: ReadonlyMap<number, ShardReplica>,
    names: HeaderNames,
  ) {
    const { counters } = this;
    const openJobs = new OpenJobs(env, node, counters);
    const writer = new ShardWriter(env, shardClient, replicas, "everyAttempt");
    const execution = new ItemExecution(env, endpointSelector, openJobs, names, counters);
    const results = new ItemResults(env, node, writer, openJobs, counters);
    this.openJobs = openJobs;
    this.scheduler = new ItemScheduler(
      env,
      node,
      endpointSelector,
      replicas,
      openJobs,
      new JobDemand(env, node, openJobs),
      execution,
      results,
      counters,
      names,
    );

    this.usageReports = new UsageReports(replicas);
    this.quotaOwner = new QuotaOwner(env, node, this.usageReports);
    this.quota = new Quota(shardClient, replicas, this.quotaOwner, this.usageReports);

    const submissionLocks = new KeyedLock();
    this.jobs = new BatchJobs(env, node, this.quota, openJobs, submissionLocks);
    this.reads = new BatchJobReads(env, node, submissionLocks);
  }

  start(): void {
    this.scheduler.start();
  }

  /** Starts to run the open jobs of a shard that this node now leads. */
  leadershipStarted(replica: ShardReplica): void {
    this.openJobs.addJobsOf(replica);
  }

  /** Starts no further item of a shard that this node no longer leads. */
  leadershipStopped(replica: ShardReplica): void {
    this.openJobs.leadershipStopped(replica);
  }

  /** Counters by metric name. */
  metrics(): Record<string, number> {
    const counted = Object.entries(this.counters).map(([name, count]) => [`items_${name}`, count] as const);
    return {
      ...Object.fromEntries(counted),
      items_running: this.scheduler.runningCount(),
      lots_open: this.openJobs.size,
      ...this.quota.metrics(),
    };
  }
}
