import { Constants } from "../common/constants";
import { ClusterSnapshot } from "../node/clusterSnapshot";

/**
 * The nodes that send requests to endpoints, among which limits on an endpoint are divided without coordination.
 *
 * @example
 * const limit = RequestSenders.connectionShare(110, RequestSenders.ids(snapshot).length);
 */
export const RequestSenders = {
  /** Ids of the ingresses (by their agents) and storage nodes. */
  ids: (snapshot: ClusterSnapshot): string[] =>
    snapshot.members.filter((member) => member.program !== "control").map((member) => member.id),

  /** The number of ingresses, by their agents; at least one. */
  ingressCount: (snapshot: ClusterSnapshot): number =>
    Math.max(1, snapshot.members.filter((member) => member.program === "agent").length),

  /** One sender's share of the connections that an endpoint accepts in all; at least one. @example RequestSenders.connectionShare(110, 12) // 7 */
  connectionShare: (connections: number, senders: number): number =>
    Math.max(1, Math.floor((connections * Constants.connectionShare) / Math.max(1, senders))),
};
