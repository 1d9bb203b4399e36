import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { ShardView } from "../controlState/shardView";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { MemberCalls } from "./memberCalls";
import { StoreSelection } from "./storeSelection";
import { StoreStatuses } from "./storeStatuses";

/** Response to "shard.seal". */
type SealResponse =
  | {
      tag: "sealed";
      /** Sequence number of the last entry in the replica's log. */
      seq: number;
      /** Epoch of that entry. */
      lastEpoch: number;
      /** First log entry that the replica can still send to other replicas. */
      tailFrom: number;
      /** Remaining time of the lease that the replica granted to its leader, ms. */
      grantLeftMs: number;
    }
  | { tag: "stopped" };
type SealedReplica = Extract<SealResponse, { tag: "sealed" }> & { id: string };

/** Response to "shard.level": the ids of the members that have synced the log up to the sealed end. */
interface LogSyncResponse {
  ids: string[];
}

/** A view change in progress. */
interface Reconfiguration {
  view: ShardView;
  /** Epoch of the next view. */
  epoch: number;
  reason: string;
  /** Ids of the storage nodes that are to become members. */
  joiners: string[];
}

/** Durations of the stages of a view change, ms. The names are those of the log event. */
interface StageDurations {
  /** Longest time since the last status of any member before the change. */
  silentMs: number;
  sealMs: number;
  levelMs: number;
  /** Time that the new leader waits until the former leader's lease has ended. */
  grantWaitMs: number;
}

/** Time-out of the request to install a view, ms. The view is in force even if the request fails. */
const INSTALL_TIMEOUT_MS = 800;
/** Margin added to the former leader's remaining lease, ms, because clocks advance at slightly different rates. */
const LEASE_MARGIN_MS = 50;

/**
 * Orders replicas by log end. Of logs that end at the same entry, the one that retains most entries can bring up every
 * member that another could.
 */
const compareLogEnds = (left: SealedReplica, right: SealedReplica): number =>
  right.lastEpoch - left.lastEpoch || right.seq - left.seq || left.tailFrom - right.tailFrom;

/**
 * Changes the view of a shard as in virtual synchrony. The members of the old view are sealed, so that the view
 * acknowledges nothing more. Every member of the next view, joiners included, must then have synced the log up to the
 * sealed end before the view is committed. A node that does not reach the sealed end in time is left out.
 */
export class ViewChange {
  /** Number of views that were committed. */
  committedCount = 0;
  /** Shards for which no member could be sealed. */
  private readonly blocked = new Set<number>();

  /** @param replicationFactor number of members that a view should have */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
    private readonly selection: StoreSelection,
    private readonly calls: MemberCalls,
    private readonly replicationFactor: number,
  ) {}

  /** Returns whether the last view change of the shard could seal no member. */
  isBlocked(shard: number): boolean {
    return this.blocked.has(shard);
  }

  /** Proposes the first view of a shard. */
  *runFirst(view: ShardView): Task<void> {
    yield* this.commit(view, "first view", 0, []);
  }

  /** Changes the view of a shard. Returns false if that failed. */
  *run(shard: number, reason: string, joiners: string[]): Task<boolean> {
    const view = this.group.state.views[shard];
    const epoch = Math.max(view.epoch, this.group.state.epochFloor) + 1;
    const change: Reconfiguration = { view, epoch, reason, joiners };
    const startedAt = this.env.monotonicMs();
    const silentMs = Math.round(Math.max(...view.members.map((id) => this.statuses.silentMs(id))));
    const responses = yield* this.seal(change);
    const sealed = responses.flatMap((replica) => (replica.tag === "sealed" ? [replica] : []));
    const sealedAt = this.env.monotonicMs();
    this.env.faultPoint(39, { shard, joiners });
    if (sealed.length === 0) {
      this.block(view);
      return false;
    }
    this.blocked.delete(shard);
    const syncedIds = yield* this.syncLogs(change, sealed);
    if (!syncedIds) return false;
    this.env.faultPoint(36, { shard, joiners });
    const next = this.chooseMembers(view, syncedIds, joiners);
    const syncedAt = this.env.monotonicMs();
    // A sealed leader has stopped. Otherwise its lease ends with the first grant of a sealed member that runs out.
    const isLeaderSealed = responses.some((replica) => replica.id === view.lead);
    const leaseLeftMs = isLeaderSealed
      ? 0
      : Math.min(...sealed.map((replica) => replica.grantLeftMs)) + LEASE_MARGIN_MS;
    return yield* this.finish(change, next, syncedAt, {
      silentMs,
      sealMs: Math.round(sealedAt - startedAt),
      levelMs: Math.round(syncedAt - sealedAt),
      grantWaitMs: Math.round(Math.max(0, leaseLeftMs - (syncedAt - sealedAt))),
    });
  }

  private *seal({ view, epoch }: Reconfiguration): Task<(SealResponse & { id: string })[]> {
    return yield* this.calls.callAll<SealResponse>({
      members: view.members,
      method: "shard.seal",
      body: { shard: view.shard, epoch },
      timeoutMs: Constants.sealTimeoutMs,
    });
  }

  private block({ shard, members }: ShardView): void {
    if (!this.blocked.has(shard)) this.env.log(1403, { shard, members });
    this.blocked.add(shard);
  }

  /** Makes the replica with the longest log bring the others to its end. Returns the ids of those that reached it. */
  private *syncLogs({ view, epoch, joiners }: Reconfiguration, sealed: SealedReplica[]): Task<string[] | undefined> {
    const [longest, ...others] = sealed.sort(compareLogEnds);
    // The request contains addresses, because a storage node may not know a newly added machine yet.
    const targets = [...others.map((replica) => replica.id), ...joiners].flatMap((id) => {
      const address = this.node.addressOf(id);
      return address ? [{ id, address }] : [];
    });
    const [response] = yield* this.calls.callAll<LogSyncResponse>({
      members: [longest.id],
      method: "shard.level",
      body: { shard: view.shard, epoch, targets },
      timeoutMs: Constants.logSyncTimeoutMs + Constants.sealTimeoutMs,
      cancelIfUnresponsive: true,
    });
    return response?.ids;
  }

  private *finish(
    { view, epoch, reason, joiners }: Reconfiguration,
    next: Pick<ShardView, "members" | "lead">,
    syncedAt: number,
    stages: StageDurations,
  ): Task<boolean> {
    const { shard } = view;
    const { silentMs, sealMs, levelMs, grantWaitMs } = stages;
    const cause = `${reason} (silent ${silentMs}, sealed in ${sealMs}, levelled in ${levelMs}, former grant waited for ${grantWaitMs} ms)`;
    const joined = joiners.filter((id) => next.members.includes(id));
    const isDone = yield* this.commit({ shard, epoch, ...next }, cause, grantWaitMs, joined);
    if (isDone)
      this.env.log(1415, {
        shard,
        epoch,
        reason,
        joiners,
        members: next.members,
        stages: { ...stages, commitMs: Math.round(this.env.monotonicMs() - syncedAt) },
      });
    return isDone;
  }

  /** Commits the view through the consensus log, then has its members install it. */
  private *commit(view: ShardView, reason: string, leaseWaitMs: number, joiners: string[]): Task<boolean> {
    const { shard, members } = view;
    const outcome = yield* this.group.propose({ tag: "view", view, reason }, Constants.proposeTimeoutMs);
    if (!outcome.ok || outcome.value.tag !== "done") return false;
    this.committedCount += 1;
    this.env.faultPoint(38, { shard, joiners });
    yield* this.calls.callAll({
      members,
      method: "shard.install",
      body: { shard, view, waitMs: leaseWaitMs },
      timeoutMs: INSTALL_TIMEOUT_MS,
    });
    return true;
  }

  /** Chooses the members and the leader of the next view from the nodes that hold the log up to the sealed end. */
  private chooseMembers(view: ShardView, syncedIds: string[], joiners: string[]): Pick<ShardView, "members" | "lead"> {
    // Retiring and stopping nodes are removed unless too few others would be left.
    const remaining = syncedIds.filter((id) => this.isRemaining(id));
    const members = remaining.length < Constants.minReplicasForJobs ? syncedIds : remaining;
    const leader = this.chooseLeader(view, members, joiners);
    const removable = members
      .filter((id) => id !== leader && !joiners.includes(id))
      .sort((left, right) => this.selection.replicaCount(right) - this.selection.replicaCount(left));
    const removed = removable.slice(0, Math.max(0, members.length - this.replicationFactor));
    return { members: [leader, ...members.filter((id) => id !== leader && !removed.includes(id))], lead: leader };
  }

  private isRemaining(id: string): boolean {
    return !this.selection.isRetiring(id) && !this.statuses.find(id)?.isStopping;
  }

  /** Chooses the former leader if it is eligible, otherwise the member that leads fewest shards; joiners come last. */
  private chooseLeader(view: ShardView, members: string[], joiners: string[]): string {
    const remaining = members.filter((id) => this.isRemaining(id));
    const mayLead = remaining.filter((id) => this.statuses.find(id)?.mayLead !== false);
    const eligible = [mayLead, remaining, members].find((ids) => ids.length > 0)!;
    if (eligible.includes(view.lead)) return view.lead;
    const [first] = [...eligible].sort(
      (left, right) =>
        Number(joiners.includes(left)) - Number(joiners.includes(right)) ||
        this.selection.leaderCount(left) - this.selection.leaderCount(right),
    );
    return first;
  }
}
