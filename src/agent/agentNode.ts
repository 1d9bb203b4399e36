import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { EndpointAnnouncements } from "../node/endpointAnnouncements";
import { Node } from "../node/node";
import { FeedRequest, FeedResponse, SnapshotFeed } from "../node/snapshotFeed";
import { Settings } from "../common/settings";
import { OperatorHttp } from "../adapters/operatorHttp";
import { ShardClient } from "../storage/shardClient";

/**
 * The agent process on the machine of an ingress: a member of the cluster that feeds cluster snapshots to the ingress over
 * loopback, and publishes the announcements and gossip facts of the ingress.
 */
export class AgentNode {
  private feedCount = 0;

  private constructor(
    readonly env: Environment,
    readonly settings: Settings,
    readonly node: Node,
  ) {}

  /** Starts the node and its HTTP server. */
  static *start(env: Environment, settings: Settings): Task<Result<AgentNode>> {
    const started = yield* Node.start(env, settings, "agent");
    if (!started.ok) return started;
    const agent = new AgentNode(env, settings, started.value);
    const { rpc } = agent.node;
    rpc.handle("agent.feed", (request) => agent.feed(request));
    rpc.handle("agent.announce", (announcement) => EndpointAnnouncements.announce(agent.node, announcement));
    rpc.handle("agent.goodbye", ({ id }) => EndpointAnnouncements.withdraw(agent.node, id));
    rpc.handle("agent.tell", function* ({ key, value, grantMs }) {
      agent.node.gossip.publish(key, value, grantMs, true);
      return Fault.ok(true as const);
    });
    const http = yield* OperatorHttp.serve(env, settings.http, agent.node, {
      unreadyReason: () =>
        agent.node.stopping ? "stopping" : agent.node.gossip.snapshot ? undefined : "no control frame yet",
      metrics: () => ({
        members: agent.node.membership.alive().length,
        replicas: agent.node.snapshot().endpoints.length,
        feeds: agent.feedCount,
        ...agent.node.configurationMetrics(),
        probes: agent.node.membership.probeCount,
        dropped_datagrams: agent.node.membership.droppedDatagramCount,
      }),
      ledgerSource: new ShardClient(env, rpc, agent.node.self.id, () => agent.node.snapshot()),
    });
    if (!http.ok) return http;
    return Fault.ok(agent);
  }

  /** Handles a long poll: returns the snapshot once it differs from the caller's, or when the wait time has passed. */
  private *feed(request: FeedRequest): Task<Result<FeedResponse>> {
    this.feedCount += 1;
    const deadline = this.env.monotonicMs() + Constants.feedWaitMaxMs;
    while (this.node.snapshot().revision === request.seen && this.env.monotonicMs() < deadline)
      yield* EnvironmentTools.sleep(this.env, Constants.feedCheckPeriodMs);
    return Fault.ok(SnapshotFeed.encode(this.node.snapshot(), request.controlIndex, this.node.stopping));
  }

  /** Shuts down gracefully; called on SIGTERM. */
  stop(): Task<void> {
    return this.node.shutDown();
  }
}
