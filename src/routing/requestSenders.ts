import { Constants } from "../common/constants";
import { ClusterSnapshot } from "../node/clusterSnapshot";

/**
 * Counts the nodes that send requests to endpoints. The limits of an endpoint are divided among them without coordination.
 */
export const RequestSenders = {
  /** Returns the ids of all ingresses (those of their agents) and storage nodes. */
  ids: (snapshot: ClusterSnapshot): string[] =>
    snapshot.members.filter((member) => member.program !== "control").map((member) => member.id),

  /** Returns the number of ingresses, counted by their agents; at least one. */
  ingressCount: (snapshot: ClusterSnapshot): number =>
    Math.max(1, snapshot.members.filter((member) => member.program === "agent").length),

  /**
   * Returns one sender's share of the connections that an endpoint accepts in total; at least one.
   *
   * @example
   * RequestSenders.connectionShare(110, 12) // 7
   */
  connectionShare: (connections: number, senders: number): number =>
    Math.max(1, Math.floor((connections * Constants.connectionShare) / Math.max(1, senders))),
};
