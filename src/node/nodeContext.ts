import { Result } from "../common/fault";
import { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { ClusterSnapshot } from "./clusterSnapshot";
import { ControlClient } from "./controlClient";
import { Announcement, AnnouncementResult, EndpointAnnouncements } from "./endpointAnnouncements";
import { Node } from "./node";

/** The process that the HTTP adapters run in: a node, or an ingress with an agent. */
export interface NodeContext {
  readonly env: Environment;
  readonly rpc: Rpc;
  /** Id of the member. */
  readonly id: string;
  readonly control: ControlClient;
  snapshot(): ClusterSnapshot;
  announce(announcement: Announcement): Task<Result<AnnouncementResult>>;
  /** Withdraws an endpoint. */
  withdraw(id: string): Task<Result<true>>;
}

/** Returns the addresses of the control members in a snapshot. */
export const controlAddresses = (snapshot: ClusterSnapshot): string[] =>
  snapshot.members.filter((member) => member.program === "control").map((member) => member.address);

/**
 * Creates the context of a node.
 *
 * @example
 * const context = NodeContext.of(node);
 * const configuration = yield* context.control.request({ op: "read", what: "manifest" }, 4000);
 */
export const NodeContext = {
  of(node: Node): NodeContext {
    return {
      env: node.env,
      rpc: node.rpc,
      id: node.self.id,
      control: new ControlClient(node.env, node.rpc, () => controlAddresses(node.snapshot())),
      snapshot: () => node.snapshot(),
      announce: (announcement) => EndpointAnnouncements.announce(node, announcement),
      withdraw: (id) => EndpointAnnouncements.withdraw(node, id),
    };
  },
};
