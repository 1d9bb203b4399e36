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

/** A stopping node checks this often whether its work is done, ms. */
const STOP_CHECK_MS = 50;

/** Folders of replicas in the data folder. */
const REPLICA_FOLDER = /^shard-(\d+)$/;

/**
 * A storage node: replicas of shards, and the work of those that it leads. This class composes its parts and connects
 * them to the node; it decides nothing.
 *
 * @example
 * const started = yield* StorageNode.start(env, settings);
 */
export class StorageNode {
  /** By shard. */
  readonly replicas = new Map<number, ShardReplica>();
  readonly shardClient: ShardClient;
  readonly endpointSelector: EndpointSelector;
  private readonly claimedWork: ClaimedWork;
  private readonly batchWork: BatchWork;
  private readonly maintenance: ShardMaintenance;
  /** From a put's arrival at the leader until it is on every replica: Δ of the paper. */
  private readonly putLatency = new LatencySummary();
  /** From a request's stamp until it arrives here: ε of the paper, and the clock skew. */
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
   * Starts a storage node on the replicas in its data folder. Faults: those of the node's start, and "disk".
   * @example yield* StorageNode.start(env, settings)
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
    storage.node.gossip.onChange(() => storage.installKnownViews());
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

  /** This node's replica of a shard, made if there is none. */
  private replicaOf(shard: number): ShardReplica {
    const known = this.replicas.get(shard);
    if (known) return known;
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
   * Installs views whose message from control was lost and that the configuration names. The former leader's lease may
   * have been renewed just before, so its whole length is waited for.
   */
  private installKnownViews(): void {
    const { snapshot } = this.node.gossip;
    if (!snapshot) return;
    for (const view of Object.values(snapshot.views)) {
      const replica = this.replicas.get(view.shard);
      if (!replica || replica.view === undefined || view.epoch <= replica.view.epoch) continue;
      Csp.go(this.env.scope, "view from frame", () =>
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
      ...this.claimedWork.metrics(),
      ...this.batchWork.metrics(),
    };
  }

  /**
   * Graceful shutdown on SIGTERM: leadership is handed over, and what this node executes under a claim ends or is taken
   * over.
   * @example yield* storage.stop();
   */
  stop(): Task<void> {
    const storage = this;
    return this.node.shutDown(function* () {
      const until = storage.env.monotonicMs() + Constants.shutdownGraceMs;
      while (storage.env.monotonicMs() < until && storage.hasUnfinishedWork())
        yield* EnvironmentTools.sleep(storage.env, STOP_CHECK_MS);
    });
  }

  private hasUnfinishedWork(): boolean {
    const leadsWithOthers = (replica: ShardReplica): boolean =>
      replica.role === "lead" && replica.view!.members.length > 1;
    return this.claimedWork.running.size > 0 || [...this.replicas.values()].some(leadsWithOthers);
  }
}
