import { Constants } from "../common/constants";
import { Node } from "../node/node";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ShardReplicaStatus } from "../shard/shardReplica";
import type { ShardView } from "../controlState/shardView";

/** Response to "store.status". */
interface StoreStatusResponse {
  /** Replicas that the storage node holds. */
  shards: ShardReplicaStatus[];
  /** Whether it is shutting down. */
  stopping: boolean;
  /** Whether its clock is within bounds and its configuration current, so that it may lead. */
  vouches: boolean;
}

/** The most recent status that a storage node reported. */
export interface StoreStatus {
  replicas: ShardReplicaStatus[];
  isStopping: boolean;
  /** Whether its clock is within bounds and its configuration current, so that it may lead. */
  mayLead: boolean;
  /** Time of arrival of the response by this node's monotonic clock, ms. */
  receivedAt: number;
}

/** Time-out of a status request to a storage node, ms. */
const STATUS_TIMEOUT_MS = 350;

/** Polls the storage nodes for the status of their replicas. */
export class StoreStatuses {
  private readonly byId = new Map<string, StoreStatus>();
  /** Start time of the last completed poll by this node's monotonic clock, ms. */
  private lastPollAt = -Infinity;
  /** Time at which a poll first found a storage node, or Infinity if none has. */
  firstStoreAt = Infinity;

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
  ) {}

  /**
   * Polls every live storage node, and waits at most `statusPollTimeoutMs` for the responses. A later response counts
   * for the next poll.
   */
  *poll(): Task<void> {
    const startedAt = this.env.monotonicMs();
    const stores = this.node.membership.alive("store");
    const done = Csp.chan<true>(Math.max(1, stores.length));
    const statuses = this;
    for (const { id, address } of stores)
      Csp.go(this.env.scope, `status of ${id}`, function* () {
        const response = yield* statuses.node.rpc.call<StoreStatusResponse>(
          address,
          "store.status",
          {},
          STATUS_TIMEOUT_MS,
        );
        if (response.ok) statuses.recordStatus(id, response.value);
        Csp.offer(done, true);
      });
    const deadline = this.env.monotonicMs() + Constants.statusPollTimeoutMs;
    for (let received = 0; received < stores.length && this.env.monotonicMs() < deadline; received += 1)
      yield* EnvironmentTools.takeWithin(this.env, done, deadline - this.env.monotonicMs());
    this.lastPollAt = startedAt;
    if (stores.length > 0 && this.firstStoreAt === Infinity) this.firstStoreAt = this.env.monotonicMs();
  }

  private recordStatus(
    id: string,
    { shards: replicas, stopping: isStopping, vouches: mayLead }: StoreStatusResponse,
  ): void {
    this.byId.set(id, { replicas, isStopping, mayLead, receivedAt: this.env.monotonicMs() });
  }

  /** Discards all statuses, because this node no longer leads. */
  clear(): void {
    this.byId.clear();
    this.firstStoreAt = Infinity;
  }

  /** Returns the last status of a storage node. */
  find(id: string): StoreStatus | undefined {
    return this.byId.get(id);
  }

  /** Returns the last status of a replica. */
  replica(id: string, shard: number): ShardReplicaStatus | undefined {
    return this.byId.get(id)?.replicas.find((replica) => replica.shard === shard);
  }

  /** Returns the time since the last status of a storage node, ms; 0 if there is none. */
  silentMs(id: string): number {
    const now = this.env.monotonicMs();
    return now - (this.byId.get(id)?.receivedAt ?? now);
  }

  /** Returns whether a storage node is a live member and has reported recently. */
  isUp(id: string): boolean {
    const member = this.node.membership.find(id);
    const status = this.byId.get(id);
    return (
      (member?.state === "alive" || member?.state === "suspect") &&
      status !== undefined &&
      this.env.monotonicMs() - status.receivedAt < Constants.statusMaxAgeMs
    );
  }

  /**
   * Returns whether a storage node has responded since the start of the last poll. Callers wait only for such nodes.
   */
  readonly isResponsive = (id: string): boolean => (this.byId.get(id)?.receivedAt ?? -Infinity) >= this.lastPollAt;

  /**
   * Returns whether neither this node nor any other member of the view has received anything from the view's leader for
   * three lease renewals.
   */
  isLeaderSilent(view: ShardView): boolean {
    if (this.silentMs(view.lead) < Constants.leaderTimeoutMs) return false;
    const followers = view.members.filter((id) => id !== view.lead);
    return followers.length > 0 && followers.every((id) => this.reportsSilentLeader(id, view));
  }

  private reportsSilentLeader(id: string, view: ShardView): boolean {
    const replica = this.isResponsive(id) ? this.replica(id, view.shard) : undefined;
    return replica !== undefined && replica.epoch === view.epoch && replica.leadSilentMs > Constants.leaderTimeoutMs;
  }
}
