import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { NodeContext } from "../node/nodeContext";
import { Node } from "../node/node";
import { Settings } from "../common/settings";
import { OperatorHttp } from "../adapters/operatorHttp";
import { ShardClient } from "../storage/shardClient";

/* eslint-disable @typescript-eslint/no-explicit-any */
/**
 * The agent beside an ingress: member of the fleet, and feeder of whole frames over loopback.
 *
 * @example
 * const started = yield* AgentNode.start(env, settings);
 */
export class AgentNode {
  private feeds = 0;
  private constructor(
    readonly env: Env,
    readonly settings: Settings,
    readonly node: Node,
  ) {}
  /** @example yield* AgentNode.start(env, settings) */
  static *start(env: Env, settings: Settings): Task<Result<AgentNode>> {
    const started = yield* Node.start(env, settings, "agent");
    if (!started.ok) return started;
    const agent = new AgentNode(env, settings, started.value);
    const host = NodeContext.of(agent.node);
    const { rpc } = agent.node;
    rpc.handle("agent.feed", (body) => agent.feed(body));
    rpc.handle("agent.announce", (body) => host.announce(body));
    rpc.handle("agent.goodbye", (body) => host.goodbye(body.id));
    rpc.handle("agent.tell", function* (body) {
      agent.node.gossip.tell(body.key, body.value, body.grantMs, true);
      return Fault.ok(true);
    });
    const http = yield* OperatorHttp.serve(env, settings.http, agent.node, {
      unreadyReason: () =>
        agent.node.stopping ? "stopping" : agent.node.gossip.snapshot ? undefined : "no control frame yet",
      metrics: () => ({
        members: agent.node.membership.alive().length,
        replicas: agent.node.snapshot().replicas.length,
        feeds: agent.feeds,
        frame_index: agent.node.gossip.snapshot?.index ?? 0,
        probes: agent.node.membership.probes,
        dropped_datagrams: agent.node.membership.dropped,
      }),
      ledgerSource: new ShardClient(env, rpc, agent.node.self.id, () => agent.node.snapshot()),
    });
    if (!http.ok) return http;
    return Fault.ok(agent);
  }
  /** A whole frame as soon as there is a newer one; the control part is left out if the ingress has it. */
  private *feed(body: { seen: number; controlIndex: number }): Task<Result<any>> {
    this.feeds += 1;
    const until = this.env.mono() + Constants.feedWaitMs;
    while (this.node.snapshot().number === body.seen && this.env.mono() < until)
      yield* EnvTools.sleep(this.env, Constants.feedTickMs);
    const snapshot = this.node.snapshot();
    return Fault.ok({
      ...snapshot,
      controlIndex: snapshot.control?.index ?? 0,
      control: snapshot.control?.index === body.controlIndex ? undefined : snapshot.control,
      stopping: this.node.stopping,
    });
  }
  /** SIGTERM. @example yield* agent.stop(); */
  stop(): Task<void> {
    return this.node.depart();
  }
}
