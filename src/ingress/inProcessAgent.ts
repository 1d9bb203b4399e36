import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { Node } from "../node/node";
import { NodeContext } from "../node/nodeContext";
import type { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import type { AgentLink } from "./agentLink";

/**
 * An agent that is part of the ingress process. It detects freezes of the process itself, and its snapshot says whether it
 * is current.
 */
export class InProcessAgent implements AgentLink {
  constructor(private readonly node: Node) {}

  get id(): string {
    return this.node.self.id;
  }

  get rpc(): Rpc {
    return this.node.rpc;
  }

  snapshot(): ClusterSnapshot {
    return this.node.snapshot();
  }

  isStale(): boolean {
    return false;
  }

  isConfirmed(): boolean {
    return this.node.confirmation.isConfirmed();
  }

  configurationMetrics(): Record<string, number> {
    return this.node.configurationMetrics();
  }

  start(onChange: () => void): void {
    const { node } = this;
    node.gossip.onChange(onChange);
    node.membership.onChange(onChange);
  }

  processResumed(): void {
    // The agent watches the clock itself.
  }

  publish(key: string, value: unknown, leaseMs: number): void {
    this.node.gossip.publish(key, value, leaseMs, true);
  }

  nodeContext(): NodeContext {
    return NodeContext.of(this.node);
  }

  prepareStop(): void {
    this.node.stopping = true;
  }

  leaveCluster(): Task<void> {
    return this.node.leaveCluster();
  }
}
