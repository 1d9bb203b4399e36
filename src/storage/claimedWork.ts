import { Node } from "../node/node";
import { AdmissionQueue } from "../routing/admissionQueue";
import { EndpointSelector } from "../routing/endpointSelector";
import { Csp } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { AbandonedClaimRecovery } from "./abandonedClaimRecovery";
import { ClaimedItemExecution } from "./claimedItems/claimedItemExecution";
import { ClaimedItemJobs } from "./claimedItems/claimedItemJobs";
import { ClaimedItemScheduler } from "./claimedItems/claimedItemScheduler";
import { ClaimedItemWindow } from "./claimedItems/claimedItemWindow";
import { newExecutionCounters } from "./executionCounters";
import { LiveRequestAdmission } from "./liveRequests/liveRequestAdmission";
import { LiveRequestExecution } from "./liveRequests/liveRequestExecution";
import { LiveRequestForwarder } from "./liveRequests/liveRequestForwarder";
import { LiveRequestReader } from "./liveRequests/liveRequestReader";
import { ShardClient } from "./shardClient";
import { ShardWriter } from "./shardWriter";

/**
 * The work that a storage node executes under a claim, for the shards that it leads: live requests, and items of batch
 * jobs that may not run twice. A claim is put before anything is forwarded.
 *
 * @example
 * const work = new ClaimedWork(env, node, shardClient, endpointSelector, replicas);
 * work.start();
 */
export class ClaimedWork {
  /** Ids of the live requests, and `JOB/INDEX` of the items, that are being executed. */
  readonly running = new Set<string>();
  readonly admission: LiveRequestAdmission;
  readonly reader: LiveRequestReader;
  readonly itemJobs: ClaimedItemJobs;
  private readonly itemScheduler: ClaimedItemScheduler;
  private readonly claimRecovery: AbandonedClaimRecovery;
  private readonly counters = newExecutionCounters();

  constructor(
    private readonly env: Environment,
    node: Node,
    shardClient: ShardClient,
    endpointSelector: EndpointSelector,
    replicas: ReadonlyMap<number, ShardReplica>,
  ) {
    const { running, counters } = this;
    const reader = new LiveRequestReader(env, node);
    const writer = new ShardWriter(env, shardClient, replicas, "firstAttempt", (operations) => {
      for (const operation of operations) if ("id" in operation) reader.wake(operation.id);
    });
    const window = new ClaimedItemWindow(env, node);
    const queue = new AdmissionQueue(env, endpointSelector, (pool) => window.reportOverload(pool));
    node.gossip.onChange(() => queue.endpointsChanged());

    const forwarder = new LiveRequestForwarder(env, node, writer, queue, counters);
    const execution = new LiveRequestExecution(env, node, writer, queue, forwarder, running, counters, (id) =>
      reader.wake(id),
    );
    this.reader = reader;
    this.admission = new LiveRequestAdmission(env, node, shardClient, writer, queue, execution, counters);

    const itemExecution = new ClaimedItemExecution(env, node, writer, queue, replicas, running, counters);
    this.itemScheduler = new ClaimedItemScheduler(env, node, endpointSelector, replicas, window, itemExecution);
    this.itemJobs = new ClaimedItemJobs(env, node, this.itemScheduler);
    this.claimRecovery = new AbandonedClaimRecovery(
      env,
      node,
      writer,
      replicas,
      running,
      execution,
      this.itemScheduler,
      counters,
    );
  }

  start(): void {
    this.itemScheduler.start();
    this.claimRecovery.start();
  }

  /** This node leads the shard from now on: its open jobs are scheduled, and its abandoned claims recovered. */
  leadershipStarted(replica: ShardReplica): void {
    this.itemScheduler.addJobsOf(replica);
    const { claimRecovery } = this;
    Csp.go(this.env.scope, `take up shard ${replica.shard}`, function* () {
      claimRecovery.recoverShard(replica);
    });
  }

  /** This node no longer leads the shard. What runs goes on; a new leader finds out whether it does. */
  leadershipStopped(replica: ShardReplica): void {
    this.itemScheduler.removeJobsOf(replica);
  }

  /** Counters by metric name. */
  metrics(): Record<string, number> {
    return { ...this.counters, running: this.running.size, open_lots: this.itemScheduler.openJobCount };
  }
}
