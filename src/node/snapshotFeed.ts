import { ControlSnapshot } from "../controlState/controlSnapshot";
import { Member } from "../membership/member";
import { ClusterSnapshot, Endpoint } from "./clusterSnapshot";

/** Request of an ingress without a node of its own to its agent, for the next cluster snapshot. */
export interface FeedRequest {
  /** Revision of the snapshot that the ingress has; the response waits for a different one. */
  readonly seen: number;
  /** Index of the control snapshot that the ingress has, 0 for none; the response omits that part if it is the same. */
  readonly controlIndex: number;
}

/** A cluster snapshot in the wire format. */
export interface FeedResponse {
  readonly number: number;
  readonly control: ControlSnapshot | undefined;
  readonly members: Member[];
  readonly replicas: Endpoint[];
  readonly crowded: Record<string, boolean>;
  readonly fresh: boolean;
  readonly vouched: boolean;
  /** Index of the agent's control snapshot, also if the snapshot is omitted; 0 for none. */
  readonly controlIndex: number;
  /** Whether the agent is shutting down. */
  readonly stopping: boolean;
}

/** A cluster snapshot from the agent. */
export type AgentSnapshot = ClusterSnapshot & { readonly controlIndex: number; readonly stopping: boolean };

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Long poll for the agent's cluster snapshot. Has no faults of its own. Idempotent: it only reads. */
    "agent.feed": RpcMethod<FeedRequest, FeedResponse>;
  }
}

/** Converts cluster snapshots between the names in memory and those of the wire format. */
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
