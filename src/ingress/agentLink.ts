import type { ClusterSnapshot } from "../node/clusterSnapshot";
import type { NodeContext } from "../node/nodeContext";
import type { Rpc } from "../rpc/rpc";
import type { Task } from "../runtime/csp";

/**
 * The ingress's connection to the cluster: an agent, which is a member of it, in this process or in one beside it.
 *
 * @example
 * const link: AgentLink = new RemoteAgent(env, settings);
 * link.start(() => queue.endpointsChanged());
 */
export interface AgentLink {
  /** The id by which the cluster knows this ingress. */
  readonly id: string;
  readonly rpc: Rpc;
  /** The latest cluster snapshot. */
  snapshot(): ClusterSnapshot;
  /** Whether the snapshot is too old to act on, as far as this process can tell. */
  isStale(): boolean;
  /** Whether the control leader has confirmed the configuration since the start and the last freeze. */
  isConfirmed(): boolean;
  /** Starts to follow the cluster; `onChange` is called after each change of the snapshot. */
  start(onChange: () => void): void;
  /** The process was frozen: what it knew before no longer counts. */
  processResumed(): void;
  /** Publishes a gossip fact that expires after leaseMs. */
  publish(key: string, value: unknown, leaseMs: number): void;
  /** The same node as the operators' HTTP surface needs it. */
  nodeContext(): NodeContext;
  /** The node will stop: no new duties. */
  prepareStop(): void;
  /** Leaves the cluster, as the last step of a stop. */
  leaveCluster(): Task<void>;
}
