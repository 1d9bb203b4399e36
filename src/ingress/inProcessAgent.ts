import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { Node } from "../node/node";
import { NodeContext } from "../node/nodeContext";
import type { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import type { AgentLink } from "./agentLink";

/**
 * An agent that is part of the ingress process. It notices freezes of the process itself, and its own snapshot says
 * whether it is fresh.
 *
 * @example
 * const link = new InProcessAgent(node);
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

  start(onChange: () => void): void {
    const { node } = this;
    let loggedIndex = -1;
    const changed = (): void => {
      onChange();
      const index = node.gossip.snapshot?.index ?? -1;
      if (index > loggedIndex) node.env.log(1601, { index, manifest: node.gossip.snapshot?.manifest.version });
      loggedIndex = Math.max(loggedIndex, index);
    };
    node.gossip.onChange(changed);
    node.membership.onChange(changed);
  }

  processResumed(): void {
    // the agent watches the clock itself
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
    return this.node.shutDown(function* () {
      /* nothing is left to finish */
    });
  }
}
