import type { CallerOperations, CallerResponse } from "../adapters/caller/callerOperations";
import { CallerRoutes } from "../adapters/caller/callerRoutes";
import { Http, HttpRoute } from "../adapters/http";
import { OperatorHttp } from "../adapters/operatorHttp";
import { HttpListener, ProtocolAdapters } from "../adapters/protocolAdapters";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { CutResponses } from "../forwarding/cutResponses";
import { HeaderNames, defaultHeaderNames } from "../forwarding/headerNames";
import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { GracefulShutdown } from "../node/gracefulShutdown";
import { Node } from "../node/node";
import { AdmissionQueue } from "../routing/admissionQueue";
import { EndpointSelector } from "../routing/endpointSelector";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../runtime/env";
import type { Cause } from "../shard/shardTypes";
import { ShardClient } from "../storage/shardClient";
import type { AgentLink } from "./agentLink";
import { BatchJobReader } from "./batchJobReader";
import { BatchSubmission } from "./batchSubmission";
import { DirectRequestHandler } from "./directRequestHandler";
import { IngressAdmission } from "./ingressAdmission";
import { IngressCounters } from "./ingressCounters";
import { IngressReadiness } from "./ingressReadiness";
import { InProcessAgent } from "./inProcessAgent";
import { LedgerNotes } from "./ledgerNotes";
import { LookupForwarder } from "./lookupForwarder";
import { OverloadSignal } from "./overloadSignal";
import { RemoteAgent } from "./remoteAgent";
import { RequestTable } from "./requestTable";
import { ShardLiveRequests } from "./shardLiveRequests";
import { WarmUpRequests } from "./warmUpRequests";

/** Additional time after the last flush interval for writing the last ledger notes, in ms. */
const LAST_NOTES_MS = 100;

/**
 * The ingress process: admits callers' requests, assigns timestamps to them, forwards them to endpoints or opens them at
 * shards, and relays the responses. This class only wires up the components.
 */
export class IngressNode implements CallerOperations {
  readonly id: string;
  readonly counters = new IngressCounters();
  readonly requestTable = new RequestTable<Result<CallerResponse>>(Constants.requestTableSlots);
  readonly shardClient: ShardClient;
  readonly endpointSelector: EndpointSelector;
  readonly admissionQueue: AdmissionQueue;
  readonly notes: LedgerNotes;
  readonly readiness: IngressReadiness;
  readonly admission: IngressAdmission;
  readonly lookups: LookupForwarder;
  readonly liveRequests: ShardLiveRequests;
  readonly jobSubmission: BatchSubmission;
  readonly jobReader: BatchJobReader;
  readonly directRequests: DirectRequestHandler;
  /** The number of requests that all HTTP surfaces are serving. */
  private inFlight = 0;

  private constructor(
    readonly env: Environment,
    private readonly settings: Settings,
    private readonly link: AgentLink,
    readonly headerNames: HeaderNames,
  ) {
    this.id = link.id;
    this.shardClient = new ShardClient(env, link.rpc, link.id, this.snapshot);
    this.endpointSelector = new EndpointSelector(env, link.id);
    const overload = new OverloadSignal(env, link.id, (key, value, leaseMs) => link.publish(key, value, leaseMs));
    this.admissionQueue = new AdmissionQueue(env, this.endpointSelector, (pool) => overload.signal(pool));
    this.notes = new LedgerNotes(env, this.shardClient, link.id, this.snapshot, this.counters);
    this.readiness = new IngressReadiness(env, link, this.counters);
    this.admission = new IngressAdmission(link, this.readiness, this.notes, this.counters);
    this.lookups = new LookupForwarder(this);
    this.liveRequests = new ShardLiveRequests(env, link, this.shardClient, this.admission);
    const { shardClient, snapshot } = this;
    const jobHost = { env, rpc: link.rpc, shardClient, snapshot, zone: settings.district };
    this.jobSubmission = new BatchSubmission(jobHost);
    this.jobReader = new BatchJobReader(jobHost);
    this.directRequests = new DirectRequestHandler(this);
  }

  /** Starts an ingress, which connects to the agent at `settings.agent` or else runs an agent in its own process. */
  static *start(env: Environment, settings: Settings, adapters: ProtocolAdapters = {}): Task<Result<IngressNode>> {
    const link = yield* IngressNode.createLink(env, settings);
    if (!link.ok) return link;
    const ingress = new IngressNode(env, settings, link.value, adapters.names ?? defaultHeaderNames);
    ingress.startTasks();
    for (const surface of [ingress.defaultSurface(), ...(adapters.ingress?.(ingress) ?? [])]) {
      const served = yield* ingress.serve(surface);
      if (!served.ok) return served;
    }
    Csp.go(env.scope, "rehearse", () => ingress.warmUp());
    env.log(1001, { program: "ingress", id: ingress.id, http: settings.http });
    return Fault.ok(ingress);
  }

  private static *createLink(env: Environment, settings: Settings): Task<Result<AgentLink>> {
    if (settings.agent) return Fault.ok(new RemoteAgent(env, settings.cluster, settings.agent));
    const node = yield* Node.start(env, settings, "agent");
    return node.ok ? Fault.ok(new InProcessAgent(node.value)) : node;
  }

  /** The latest cluster snapshot. */
  readonly snapshot = (): ClusterSnapshot => this.link.snapshot();

  note(subject: string, decision: string, cause: Cause): void {
    this.notes.add(subject, decision, cause);
  }

  /** Returns the values of all metrics by name. */
  metrics(): Record<string, number> {
    const snapshot = this.snapshot();
    return {
      ...this.counters.metrics(),
      ...CutResponses.of(this.env).metrics(),
      ...this.env.connectionEvents.metrics(),
      slab_used: this.requestTable.usedSlots,
      late_replies: this.requestTable.lateOutcomes,
      in_flight: this.inFlight,
      frame_index: snapshot.control?.index ?? 0,
      manifest_version: snapshot.control?.manifest.version ?? 0,
      ...this.link.configurationMetrics(),
      replicas: snapshot.endpoints.length,
      affinity_hits: this.endpointSelector.affinityHits,
      affinity_misses: this.endpointSelector.affinityMisses,
    };
  }

  private startTasks(): void {
    const { env, link, notes, readiness } = this;
    link.start(() => this.admissionQueue.endpointsChanged());
    EnvironmentTools.runSupervised(env, env.scope, "ledger notes", () => notes.flushLoop());
    EnvironmentTools.runSupervised(env, env.scope, "clock watch", () => readiness.watchLoop());
  }

  /** The default HTTP surface: paths under /v1/ take precedence over routes by host and path. */
  private defaultSurface(): HttpListener {
    const routes: HttpRoute[] = [
      ...CallerRoutes.of(this),
      ...WarmUpRequests.routes(this.headerNames),
      ...OperatorHttp.routes(this.link.nodeContext(), {
        unreadyReason: () => this.readiness.unreadyReason(),
        metrics: () => this.metrics(),
        ledgerSource: this.shardClient,
      }),
    ];
    const { directRequests } = this;
    return {
      address: this.settings.http,
      serve: (exchange) =>
        exchange.path.startsWith("/v1/") || !directRequests.matches(exchange)
          ? Http.dispatch(routes, exchange)
          : directRequests.serve(exchange),
    };
  }

  private serve(surface: HttpListener): Task<Result<true>> {
    const countInFlight = (exchange: HttpExchange): Task<void> => this.countInFlight(() => surface.serve(exchange));
    return this.env.serveHttp(surface.address, countInFlight, () => this.admission.httpLimits());
  }

  private *countInFlight(task: () => Task<void>): Task<void> {
    this.inFlight += 1;
    try {
      yield* task();
    } finally {
      this.inFlight -= 1;
    }
  }

  private *warmUp(): Task<void> {
    const isConfigured = (): boolean => (this.snapshot().control?.manifest.version ?? 0) > 0;
    yield* WarmUpRequests.run(this.env, this.headerNames, this.settings.http, isConfigured);
    this.readiness.warmedUp = true;
  }

  /** Shuts down gracefully: reports unready at once, and serves callers until they have noticed that. */
  *stop(): Task<void> {
    const ingress = this;
    const shutdown = new GracefulShutdown(this.env, this.settings);
    this.readiness.stopping = true;
    this.link.prepareStop();
    yield* shutdown.run({
      handOver: () => EnvironmentTools.sleep(this.env, shutdown.listenMs),
      *leave() {
        yield* EnvironmentTools.sleep(ingress.env, Constants.ledgerFlushMs + LAST_NOTES_MS);
        yield* ingress.link.leaveCluster();
      },
    });
  }
}
