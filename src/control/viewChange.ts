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
      /** Last entry of the replica's log. */
      seq: number;
      /** Epoch of that entry. */
      lastEpoch: number;
      /** First entry that the replica can still send to others. */
      tailFrom: number;
      /** What remains of the lease that the replica granted to its leader, ms. */
      grantLeftMs: number;
    }
  | { tag: "stopped" };
type SealedReplica = Extract<SealResponse, { tag: "sealed" }> & { id: string };

/** Response to "shard.level": the members that have synced the log up to the sealed end. */
interface LevelResponse {
  ids: string[];
}

/** A view change under way. */
interface Reconfiguration {
  view: ShardView;
  /** Epoch of the next view. */
  epoch: number;
  reason: string;
  /** Storage nodes that are to become members. */
  joiners: string[];
}

/** How long the parts of a view change took, ms; the names are those of the log event. */
interface Stages {
  /** Longest silence of a member before the change. */
  silentMs: number;
  sealMs: number;
  levelMs: number;
  /** Time that the new leader waits for the former leader's lease to end. */
  grantWaitMs: number;
}

/** A replica is given so long to install its view, ms; the view is in force without. */
const INSTALL_TIMEOUT_MS = 800;
/** Added to the rest of the former leader's lease, ms: clocks advance at slightly different rates. */
const LEASE_MARGIN_MS = 50;

/** Of logs that end at the same entry, the one that remembers most entries can bring up whichever member another could. */
const byLogLength = (left: SealedReplica, right: SealedReplica): number =>
  right.lastEpoch - left.lastEpoch || right.seq - left.seq || left.tailFrom - right.tailFrom;

/**
 * Changes the view of a shard, as in virtual synchrony: the members of the old view are sealed, so that it acknowledges
 * nothing more; every member of the next one, joiners too, is brought to the sealed end and has synced it; only then is
 * the view committed. A node that cannot be brought there in time is left out.
 *
 * @example
 * const isDone = yield* viewChange.run(3, "members gone: store-17", []);
 */
export class ViewChange {
  /** Views that were committed. */
  committedCount = 0;
  /** Shards of which no member could be sealed. */
  private readonly blocked = new Set<number>();

  /** @param replicationFactor members that a view should have */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
    private readonly selection: StoreSelection,
    private readonly calls: MemberCalls,
    private readonly replicationFactor: number,
  ) {}

  /** Whether the last view change of the shard found no member to seal. @example viewChange.isBlocked(3) */
  isBlocked(shard: number): boolean {
    return this.blocked.has(shard);
  }

  /** Proposes the first view of a shard. @example yield* viewChange.runFirst({ shard: 3, epoch: 1, members, lead }); */
  *runFirst(view: ShardView): Task<void> {
    yield* this.commit(view, "first view", 0, []);
  }

  /** Changes a shard's view; false where that failed. @example yield* viewChange.run(3, "one copy too many", []) */
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
    const levelled = yield* this.level(change, sealed);
    if (!levelled) return false;
    this.env.faultPoint(36, { shard, joiners });
    const next = this.chooseMembers(view, levelled, joiners);
    const levelledAt = this.env.monotonicMs();
    // a leader that was sealed has stopped; else its lease ends with the first member that does not renew it
    const isLeaderSealed = responses.some((replica) => replica.id === view.lead);
    const leaseLeftMs = isLeaderSealed
      ? 0
      : Math.min(...sealed.map((replica) => replica.grantLeftMs)) + LEASE_MARGIN_MS;
    return yield* this.finish(change, next, levelledAt, {
      silentMs,
      sealMs: Math.round(sealedAt - startedAt),
      levelMs: Math.round(levelledAt - sealedAt),
      grantWaitMs: Math.round(Math.max(0, leaseLeftMs - (levelledAt - sealedAt))),
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

  /** The replica with the longest log brings the others to its end; gives the ids of those that are there. */
  private *level({ view, epoch, joiners }: Reconfiguration, sealed: SealedReplica[]): Task<string[] | undefined> {
    const [longest, ...others] = sealed.sort(byLogLength);
    // with their addresses: a storage node may not know a machine yet that was just added
    const targets = [...others.map((replica) => replica.id), ...joiners].flatMap((id) => {
      const address = this.node.addressOf(id);
      return address ? [{ id, address }] : [];
    });
    const [response] = yield* this.calls.callAll<LevelResponse>({
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
    levelledAt: number,
    stages: Stages,
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
        stages: { ...stages, commitMs: Math.round(this.env.monotonicMs() - levelledAt) },
      });
    return isDone;
  }

  /** Puts the view through the log, then has its members install it. */
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

  /** Members and leader of the next view, out of the nodes that hold the log up to the sealed end. */
  private chooseMembers(view: ShardView, levelled: string[], joiners: string[]): Pick<ShardView, "members" | "lead"> {
    // retiring and stopping nodes go, unless too few others would be left
    const remaining = levelled.filter((id) => this.isRemaining(id));
    const members = remaining.length < Constants.minReplicasForJobs ? levelled : remaining;
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

  /** The former leader if it is eligible; else the member that leads fewest shards, joiners last. */
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
