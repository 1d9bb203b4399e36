import { ControlSnapshot } from "../controlState/controlSnapshot";
import { Member } from "../membership/member";
import { ClusterSnapshot, Endpoint } from "./clusterSnapshot";

/** An ingress without a node of its own asks its agent for the next snapshot. */
export interface FeedRequest {
  /** Revision of the snapshot that the caller has; the response waits for another. */
  readonly seen: number;
  /** Index of the control snapshot that the caller has, 0 for none; that part is left out if it is the same. */
  readonly controlIndex: number;
}

/** A cluster snapshot under the field names that go over the wire. */
export interface FeedResponse {
  readonly number: number;
  readonly control: ControlSnapshot | undefined;
  readonly members: Member[];
  readonly replicas: Endpoint[];
  readonly crowded: Record<string, boolean>;
  readonly fresh: boolean;
  readonly vouched: boolean;
  /** Index of the agent's control snapshot, also where that is left out; 0 for none. */
  readonly controlIndex: number;
  /** Whether the agent is shutting down. */
  readonly stopping: boolean;
}

/** What a feed gives the ingress. */
export type AgentSnapshot = ClusterSnapshot & { readonly controlIndex: number; readonly stopping: boolean };

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Long poll for the agent's cluster snapshot. Gives no faults of its own. Idempotent: it only reads. */
    "agent.feed": RpcMethod<FeedRequest, FeedResponse>;
  }
}

/** Cluster snapshots between an agent and its ingress: names of the wire to names in memory and back. */
export const SnapshotFeed = {
  encode(snapshot: ClusterSnapshot, knownControlIndex: number, stopping: boolean): FeedResponse {
    const { control } = snapshot;
    return {
      number: snapshot.revision,
      control: control?.index === knownControlIndex ? undefined : control,
      members: snapshot.members,
      replicas: snapshot.endpoints,
      crowded: snapshot.overloadedPools,
      fresh: snapshot.isCurrent,
      vouched: snapshot.clockTrusted,
      controlIndex: control?.index ?? 0,
      stopping,
    };
  },
  decode(response: FeedResponse): AgentSnapshot {
    return {
      revision: response.number,
      control: response.control,
      members: response.members,
      endpoints: response.replicas,
      overloadedPools: response.crowded,
      isCurrent: response.fresh,
      clockTrusted: response.vouched,
      controlIndex: response.controlIndex,
      stopping: response.stopping,
    };
  },
};
