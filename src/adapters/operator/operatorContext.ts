import type { NodeContext } from "../../node/nodeContext";
import type { ShardClient } from "../../storage/shardClient";

/** What the operators' API needs from the program that it runs in. */
export interface OperatorHooks {
  /** Returns the reason why the program is not ready; undefined while it is ready. */
  unreadyReason: () => string | undefined;
  /** Returns the values of all metrics by name, without the prefix. */
  metrics: () => Record<string, number>;
  /** The client that reads the state of a subject at a given time. */
  ledgerSource: ShardClient;
}

/** The context of the operators' routes. */
export interface OperatorContext {
  node: NodeContext;
  hooks: OperatorHooks;
}
