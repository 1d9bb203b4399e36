import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Node } from "../../node/node";
import { Chan, Csp, Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { QuotaReservation, UsageReport } from "../messages/quotaMessages";
import { notLeaderFault } from "../notLeaderFault";
import { RouteUsage } from "./routeUsage";
import { UsageReports } from "./usageReports";

/** Capacity of the channel that counts the nodes' responses; at most this many nodes can be asked at once. */
const CONCURRENT_REPORTS_MAX = 64;

/** The count of one route while this node owns it. */
interface OwnedCount {
  /** Epoch in which this node leads the shard that owns the count. */
  epoch: number;
  usage: RouteUsage;
  /** When the last refresh began: monotonic time, ms. */
  refreshedAt: number;
  /** Closed at the end of the refresh in progress; undefined if there is none. */
  refreshing: Chan<true> | undefined;
}

/** Quota counters. With the prefix `quota_` the field names are metric names. */
export interface QuotaCounters {
  granted: number;
  refused: number;
  refreshed: number;
}

/**
 * Owns the counts of waiting tokens. A route's count is owned by the leader of one shard, which the route's name
 * determines. The owner keeps an upper bound of the tokens that wait in each shard, and asks all leaders for new
 * reports before it rejects a reservation. The counts are not stored: a new owner asks all leaders first.
 *
 * @example
 * const reserved = yield* owner.reserve(replica, { binding: "audit", lot: "lot-17", tokens: 940, tally });
 */
export class QuotaOwner {
  private readonly counts = new Map<string, OwnedCount>();
  readonly counters: QuotaCounters = { granted: 0, refused: 0, refreshed: 0 };

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly reports: UsageReports,
  ) {}

  /** Maximum number of tokens that may wait on a route; 0 for no limit. */
  limitOf = (route: string): number =>
    this.node.snapshot().control?.manifest.doc.bindings[route]?.maxWaitingTokens ?? 0;

  /** Reserves tokens for a job. The fault "busy" has the step "quota" if they exceed the quota. */
  *reserve(replica: ShardReplica, body: QuotaReservation): Task<Result<true>> {
    const { binding: route, tokens } = body;
    if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "quota");
    const count = this.countOf(route, replica.view!.epoch);
    const { usage } = count;
    const requestedAt = this.env.monotonicMs();
    usage.add(body.tally);
    const fits = (): boolean => {
      const limit = this.limitOf(route);
      return usage.total() + tokens <= limit || limit <= 0;
    };
    if (!usage.isComplete() || !fits()) {
      while (count.refreshedAt < requestedAt - Constants.usageReportMaxAgeMs) yield* this.refresh(count, route);
      if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "quota");
      if (!usage.isComplete()) return this.busy("count what waits", "not every shard told what waits with it");
    }
    if (!fits()) {
      this.counters.refused += 1;
      return this.busy("quota", `${tokens} tokens do not fit beside ${usage.total()} that wait`);
    }
    this.counters.granted += 1;
    usage.reserve(body.tally.shard, body.lot, tokens);
    return Fault.ok(true as const);
  }

  private busy = (step: string, detail: string): Result<never> =>
    Fault.busy(step, this.node.self.id, detail, Constants.retryAfterMs);

  private countOf(route: string, epoch: number): OwnedCount {
    const existing = this.counts.get(route);
    if (existing?.epoch === epoch) return existing;
    const count = { epoch, usage: new RouteUsage(), refreshedAt: -Infinity, refreshing: undefined };
    this.counts.set(route, count);
    return count;
  }

  /** Refreshes the count with new reports of all shards. Concurrent callers share one refresh. */
  private *refresh(count: OwnedCount, route: string): Task<void> {
    if (count.refreshing) {
      yield* Csp.take(count.refreshing);
      return;
    }
    const refreshed = (count.refreshing = Csp.chan<true>(1));
    const startedAt = this.env.monotonicMs();
    this.counters.refreshed += 1;
    try {
      yield* this.refreshFromAll(count.usage, route);
    } finally {
      count.refreshedAt = startedAt;
      count.refreshing = undefined;
      refreshed.close();
    }
  }

  /** Asks the leader of every shard, then another replica of each shard that still has no report. */
  private *refreshFromAll(usage: RouteUsage, route: string): Task<void> {
    const views = this.node.snapshot().control?.views ?? {};
    const leaders = new Map(Object.values(views).map((view) => [view.shard, view.lead]));
    const shardsWithoutReport = yield* this.collect(usage, route, leaders, false);
    const shardsWithoutCount = shardsWithoutReport.filter((shard) => !usage.has(shard));
    if (shardsWithoutCount.length === 0) return;
    // Every acknowledged put is on every member, so the count of any member is an upper bound.
    const otherMember = (shard: number): string => {
      const { members, lead } = views[shard];
      const isSelf = (id: string): boolean => id === this.node.self.id;
      return members.find(isSelf) ?? members.find((id) => id !== lead) ?? "";
    };
    yield* this.collect(usage, route, new Map(shardsWithoutCount.map((shard) => [shard, otherMember(shard)])), true);
  }

  /**
   * Asks each storage node once and adds the reports to the count.
   * @param sources which storage node to ask, by shard
   * @returns the shards without a report
   */
  private *collect(
    usage: RouteUsage,
    route: string,
    sources: Map<number, string>,
    anyReplica: boolean,
  ): Task<number[]> {
    const missing = new Set(sources.keys());
    const nodes = [...new Set(sources.values())].filter((id) => id !== "");
    const responses = Csp.chan<true>(CONCURRENT_REPORTS_MAX);
    const owner = this;
    for (const id of nodes)
      Csp.go(this.env.scope, `usage reports of ${id}`, function* () {
        const shards = [...sources].flatMap(([shard, source]) => (source === id ? [shard] : []));
        for (const report of yield* owner.fetchReports(id, route, shards, anyReplica)) {
          usage.add(report);
          missing.delete(report.shard);
        }
        Csp.offer(responses, true);
      });
    for (let count = 0; count < nodes.length; count += 1) yield* Csp.take(responses);
    return [...missing];
  }

  /** A storage node's reports; none if it does not respond. */
  private *fetchReports(id: string, route: string, shards: number[], anyReplica: boolean): Task<UsageReport[]> {
    const body = { binding: route, shards, anyCopy: anyReplica };
    if (id === this.node.self.id) return this.reports.reports(body);
    const address = this.node.addressOf(id);
    if (!address) return [];
    const response = yield* this.node.rpc.call(address, "quota.tallies", body, Constants.usageReportTimeoutMs);
    return response.ok ? response.value.tallies : [];
  }
}
