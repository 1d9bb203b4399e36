import type { ClusterSnapshot } from "../node/clusterSnapshot";
import type { NodeContext } from "../node/nodeContext";
import type { Rpc } from "../rpc/rpc";
import type { Task } from "../runtime/csp";

/**
 * The ingress's connection to the cluster through an agent, which is a cluster member in this process or in a process on
 * the same machine.
 */
export interface AgentLink {
  /** The id of this ingress in the cluster. */
  readonly id: string;
  readonly rpc: Rpc;
  /** The latest cluster snapshot. */
  snapshot(): ClusterSnapshot;
  /** Whether the snapshot is too old to be used, as far as this process can tell. */
  isStale(): boolean;
  /** Whether the control leader has confirmed the configuration since the start and since the last process freeze. */
  isConfirmed(): boolean;
  /** Values of `/metrics` that tell which configuration the agent has, by name; none if it is another process. */
  configurationMetrics(): Record<string, number>;
  /** Starts to receive snapshots; `onChange` is called after each change of the snapshot. */
  start(onChange: () => void): void;
  /** Invalidates what the process knew before it was frozen; called when it runs again. */
  processResumed(): void;
  /** Publishes a gossip fact that expires after leaseMs. */
  publish(key: string, value: unknown, leaseMs: number): void;
  /** Returns the context that the operators' HTTP interface needs. */
  nodeContext(): NodeContext;
  /** Announces that the node is about to stop, so that it gets no new tasks. */
  prepareStop(): void;
  /** Leaves the cluster; the last step of a shutdown. */
  leaveCluster(): Task<void>;
}
