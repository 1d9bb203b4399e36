import type { NodeContext } from "../../node/nodeContext";
import type { ShardClient } from "../../storage/shardClient";

/** What the operators' surface asks of the program that it runs in. */
export interface OperatorHooks {
  /** Why the program is not ready; undefined while it is. */
  unreadyReason: () => string | undefined;
  /** Values of all metrics by name, without the prefix. */
  metrics: () => Record<string, number>;
  /** Reads of the state at a time go by this client. */
  ledgerSource: ShardClient;
}

/** What each group of the operators' routes gets. */
export interface OperatorContext {
  node: NodeContext;
  hooks: OperatorHooks;
}
