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
 * Composes the components that execute work under a claim, for the shards that a storage node leads: live requests, and
 * items of batch jobs that must not run twice. The claim is put into the shard before anything is forwarded.
 */
export class ClaimedWork {
  /** Names of what this node executes under a claim: ids of live requests, and `JOB/INDEX` of batch items. */
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

  /** Schedules the open jobs and recovers the abandoned claims of a shard that this node now leads. */
  leadershipStarted(replica: ShardReplica): void {
    this.itemScheduler.addJobsOf(replica);
    const { claimRecovery } = this;
    Csp.go(this.env.scope, `recover claims of shard ${replica.shard}`, function* () {
      claimRecovery.recoverShard(replica);
    });
  }

  /**
   * Schedules no further item of a shard that this node no longer leads. Running work continues, and the new leader
   * polls this node for it.
   */
  leadershipStopped(replica: ShardReplica): void {
    this.itemScheduler.removeJobsOf(replica);
  }

  /** Counters by metric name. */
  metrics(): Record<string, number> {
    return { ...this.counters, running: this.running.size, open_lots: this.itemScheduler.openJobCount };
  }
}
