import { CutResponses } from "../forwarding/cutResponses";
import { HeaderNames, defaultHeaderNames } from "../forwarding/headerNames";
import { OperatorHttp } from "../adapters/operatorHttp";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { LatencySummary } from "../common/latencySummary";
import { Settings } from "../common/settings";
import { Node } from "../node/node";
import { EndpointSelector } from "../routing/endpointSelector";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { CheckedHandlers } from "../shard/checkedHandlers";
import { registerShardMethods } from "../shard/shardMethods";
import { ShardReplica } from "../shard/shardReplica";
import { BatchWork } from "./batchWork";
import { ClaimedWork } from "./claimedWork";
import { addBatchJobHandlers, addQuotaHandlers } from "./handlers/batchJobHandlers";
import { addLedgerHandlers } from "./handlers/ledgerHandlers";
import { addLiveRequestHandlers } from "./handlers/liveRequestHandlers";
import { addPutHandler } from "./handlers/putHandler";
import { addStatusHandlers } from "./handlers/statusHandlers";
import { LedgerReads } from "./ledgerReads";
import { Retention } from "./retention";
import { ShardClient } from "./shardClient";
import { ShardMaintenance } from "./shardMaintenance";

/** Names of the replicas' folders in the data folder. */
const REPLICA_FOLDER = /^shard-(\d+)$/;

/**
 * A storage node: it stores replicas of shards and executes the work of the shards that it leads. This class only
 * composes the components and connects them to the node.
 */
export class StorageNode {
  /** This node's replicas by shard index. */
  readonly replicas = new Map<number, ShardReplica>();
  readonly shardClient: ShardClient;
  readonly endpointSelector: EndpointSelector;
  private readonly claimedWork: ClaimedWork;
  private readonly batchWork: BatchWork;
  private readonly maintenance: ShardMaintenance;
  /** Time from a put's arrival at the leader until it is on every replica, ms: Δ of the paper. */
  private readonly putLatency = new LatencySummary();
  /** Time from a request's stamp until it arrives here, ms: ε of the paper plus the clock skew. */
  private readonly relayLatency = new LatencySummary();

  private constructor(
    readonly env: Environment,
    readonly settings: Settings,
    readonly node: Node,
    names: HeaderNames,
  ) {
    const { replicas } = this;
    this.shardClient = new ShardClient(env, node.rpc, node.self.id, () => node.snapshot());
    this.endpointSelector = new EndpointSelector(env, node.self.id);
    this.claimedWork = new ClaimedWork(env, node, this.shardClient, this.endpointSelector, replicas);
    this.batchWork = new BatchWork(env, node, this.shardClient, this.endpointSelector, replicas, names);
    const retention = new Retention(env, node, this.shardClient);
    this.maintenance = new ShardMaintenance(env, node, settings.data!, replicas, retention);
  }

  /**
   * Starts a storage node with the replicas in its data folder. Faults: those of `Node.start`, of the operators' HTTP
   * server, and "disk".
   */
  static *start(
    env: Environment,
    settings: Settings,
    names: HeaderNames = defaultHeaderNames,
  ): Task<Result<StorageNode>> {
    const started = yield* Node.start(env, settings, "store");
    if (!started.ok) return started;
    const storage = new StorageNode(env, settings, started.value, names);
    const opened = yield* storage.openReplicas();
    if (!opened.ok) return opened;
    storage.addHandlers();
    storage.node.gossip.onChange(() => storage.installGossipedViews());
    storage.node.onFreeze(() => {
      for (const replica of storage.replicas.values()) replica.stopLeader("frozen");
    });
    storage.maintenance.start();
    storage.claimedWork.start();
    storage.batchWork.start();
    const http = yield* storage.serveOperators();
    return http.ok ? Fault.ok(storage) : http;
  }

  private *openReplicas(): Task<Result<true>> {
    const folders = yield* this.env.disk.list(this.settings.data!);
    if (!folders.ok) return folders;
    for (const folder of folders.value) {
      const shard = REPLICA_FOLDER.exec(folder)?.[1];
      if (shard === undefined) continue;
      const opened = yield* this.replicaOf(Number(shard)).open();
      if (!opened.ok) {
        this.env.log(1006, { reason: opened.fault.detail });
        return opened;
      }
    }
    return Fault.ok(true as const);
  }

  /** This node's replica of a shard, which is created if there is none. */
  private replicaOf(shard: number): ShardReplica {
    const existing = this.replicas.get(shard);
    if (existing) return existing;
    const folder = `${this.settings.data}/shard-${shard}`;
    const replica = new ShardReplica(this.env, this.node.rpc, this.node.self.id, shard, folder, {
      addressOf: (id) => this.node.addressOf(id),
      bounds: () => this.node.clockBounds(),
      isClockTrusted: () => this.node.mayHoldLeases(),
      putCompleted: (ms) => this.putLatency.add(ms),
      viewChangeNeeded: () => this.maintenance.requestViewChange(),
      leadershipStarted: (started) => {
        this.claimedWork.leadershipStarted(started);
        this.batchWork.leadershipStarted(started);
      },
      leadershipStopped: (stopped) => {
        this.claimedWork.leadershipStopped(stopped);
        this.batchWork.leadershipStopped(stopped);
      },
    });
    this.replicas.set(shard, replica);
    return replica;
  }

  private addHandlers(): void {
    const { node, claimedWork, batchWork } = this;
    const replicaOf = (shard: number): ShardReplica => this.replicaOf(shard);
    const wall = (): number => this.env.wallClockMs();
    const handlers = new CheckedHandlers(node.rpc, node.self.id, replicaOf);
    const onArrival = (stampTime: number): void => this.relayLatency.add(wall() - stampTime);
    registerShardMethods(node.rpc, node.self.id, replicaOf);
    addPutHandler(node, wall, handlers);
    addStatusHandlers(node, this.replicas, handlers);
    addLedgerHandlers(handlers, new LedgerReads(this.env, node));
    addLiveRequestHandlers(handlers, claimedWork.admission, claimedWork.reader, claimedWork.running, onArrival);
    addBatchJobHandlers(handlers, batchWork.jobs, batchWork.reads, claimedWork.itemJobs, onArrival);
    addQuotaHandlers(handlers, batchWork.quotaOwner, batchWork.usageReports);
  }

  /**
   * Installs views that the gossiped snapshot of the control state contains and whose install message was lost. The
   * former leader's lease may have been renewed just before, so the replica waits for a whole lease.
   */
  private installGossipedViews(): void {
    const { snapshot } = this.node.gossip;
    if (!snapshot) return;
    for (const view of Object.values(snapshot.views)) {
      const replica = this.replicas.get(view.shard);
      if (!replica || replica.view === undefined || view.epoch <= replica.view.epoch) continue;
      Csp.go(this.env.scope, "install gossiped view", () =>
        replica.viewChange.onInstall({ shard: view.shard, view, waitMs: Constants.shardLeaseMs }),
      );
    }
  }

  private serveOperators(): Task<Result<unknown>> {
    return OperatorHttp.serve(this.env, this.settings.http, this.node, {
      unreadyReason: () => this.unreadyReason(),
      metrics: () => this.metrics(),
      ledgerSource: this.shardClient,
    });
  }

  private unreadyReason(): string | undefined {
    if (this.node.stopping) return "stopping";
    return this.node.mayHoldLeases() ? undefined : "clock or frame not vouched for";
  }

  /** Values by metric name. */
  metrics(): Record<string, number> {
    const replicas = [...this.replicas.values()].filter((replica) => replica.exists);
    const sum = (valueOf: (replica: ShardReplica) => number): number =>
      replicas.reduce((total, replica) => total + valueOf(replica), 0);
    return {
      ...this.node.configurationMetrics(),
      copies: replicas.length,
      leads: replicas.filter((replica) => replica.role === "lead").length,
      puts: sum((replica) => replica.counts.puts),
      put_batches: sum((replica) => replica.counts.batches),
      late_puts: sum((replica) => replica.counts.latePuts),
      overrun_puts: sum((replica) => replica.counts.overrunPuts),
      mended_objects: sum((replica) => replica.counts.repaired),
      ...this.putLatency.metrics("put_ms"),
      ...this.relayLatency.metrics("relay_ms"),
      skew_ms: +(this.node.membership.clockSkew()?.offset ?? 0).toFixed(2),
      disk_syncs: sum((replica) => replica.syncedWrites()),
      restamped_puts: this.shardClient.restampedPuts,
      affinity_hits: this.endpointSelector.affinityHits,
      affinity_misses: this.endpointSelector.affinityMisses,
      ...CutResponses.of(this.env).metrics(),
      ...this.env.connectionEvents.metrics(),
      ...this.claimedWork.metrics(),
      ...this.batchWork.metrics(),
    };
  }

  /**
   * Shuts down gracefully on SIGTERM: waits until other members lead this node's shards and all work under a claim has ended.
   * The new leaders recover what still runs at the end of the wait.
   */
  stop(): Task<void> {
    const storage = this;
    return this.node.shutDown(function* (deadline) {
      while (storage.env.monotonicMs() < deadline && storage.hasUnfinishedWork())
        yield* EnvironmentTools.sleep(storage.env, Constants.shutdownCheckPeriodMs);
    });
  }

  private hasUnfinishedWork(): boolean {
    const leadsWithOthers = (replica: ShardReplica): boolean =>
      replica.role === "lead" && replica.view!.members.length > 1;
    return this.claimedWork.running.size > 0 || [...this.replicas.values()].some(leadsWithOthers);
  }
}
