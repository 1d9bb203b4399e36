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

/** Storage nodes that are asked for reports at once, at most. */
const REPORTS_AT_ONCE_MAX = 64;

/** The count of one route, for as long as this node owns it. */
interface OwnedCount {
  /** Epoch in which this node leads the shard that the count belongs to. */
  epoch: number;
  usage: RouteUsage;
  /** When the last refresh began: monotonic time, ms. */
  refreshedAt: number;
  /** Closed at the end of the refresh that is under way. */
  refreshing: Chan<true> | undefined;
}

/** Quota counters; with the prefix `quota_` their names are names of metrics. */
export interface QuotaCounters {
  granted: number;
  refused: number;
  refreshed: number;
}

/**
 * Owner of the counts of waiting tokens. A route's count belongs to the leader of one shard, which the route's name
 * determines. It knows an upper bound of what waits in each shard, and asks all leaders anew before it rejects a
 * reservation. Nothing of it is stored: a new owner asks all leaders first.
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

  /** Most tokens that may wait on a route; 0 for any number. */
  limitOf = (route: string): number =>
    this.node.snapshot().control?.manifest.doc.bindings[route]?.maxWaitingTokens ?? 0;

  /** Reserves tokens for a job; the fault "busy" has the step "quota" if they don't fit. */
  *reserve(replica: ShardReplica, body: QuotaReservation): Task<Result<true>> {
    const { binding: route, tokens } = body;
    if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "quota");
    const count = this.countOf(route, replica.view!.epoch);
    const { usage } = count;
    const askedAt = this.env.monotonicMs();
    usage.add(body.tally);
    const fits = (): boolean => {
      const limit = this.limitOf(route);
      return usage.total() + tokens <= limit || limit <= 0;
    };
    if (!usage.isComplete() || !fits()) {
      while (count.refreshedAt < askedAt - Constants.usageReportMaxAgeMs) yield* this.refresh(count, route);
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
    const known = this.counts.get(route);
    if (known?.epoch === epoch) return known;
    const count = { epoch, usage: new RouteUsage(), refreshedAt: -Infinity, refreshing: undefined };
    this.counts.set(route, count);
    return count;
  }

  /** Asks every shard's leader, and another replica where it doesn't respond; one refresh serves all that wait for it. */
  private *refresh(count: OwnedCount, route: string): Task<void> {
    if (count.refreshing) {
      yield* Csp.take(count.refreshing);
      return;
    }
    const done = (count.refreshing = Csp.chan<true>(1));
    const startedAt = this.env.monotonicMs();
    this.counters.refreshed += 1;
    try {
      yield* this.refreshFromAll(count.usage, route);
    } finally {
      count.refreshedAt = startedAt;
      count.refreshing = undefined;
      done.close();
    }
  }

  private *refreshFromAll(usage: RouteUsage, route: string): Task<void> {
    const views = this.node.snapshot().control?.views ?? {};
    const leaders = new Map(Object.values(views).map((view) => [view.shard, view.lead]));
    const silent = yield* this.collect(usage, route, leaders, false);
    const unknown = silent.filter((shard) => !usage.has(shard));
    if (unknown.length === 0) return;
    // all that was acknowledged is on every member, so the count of any of them is an upper bound
    const otherMember = (shard: number): string => {
      const { members, lead } = views[shard];
      const isSelf = (id: string): boolean => id === this.node.self.id;
      return members.find(isSelf) ?? members.find((id) => id !== lead) ?? "";
    };
    yield* this.collect(usage, route, new Map(unknown.map((shard) => [shard, otherMember(shard)])), true);
  }

  /**
   * Asks each storage node once.
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
    const done = Csp.chan<true>(REPORTS_AT_ONCE_MAX);
    const owner = this;
    for (const id of nodes)
      Csp.go(this.env.scope, `tallies of ${id}`, function* () {
        const shards = [...sources].flatMap(([shard, source]) => (source === id ? [shard] : []));
        for (const report of yield* owner.fetchReports(id, route, shards, anyReplica)) {
          usage.add(report);
          missing.delete(report.shard);
        }
        Csp.offer(done, true);
      });
    for (let count = 0; count < nodes.length; count += 1) yield* Csp.take(done);
    return [...missing];
  }

  /** A node's reports; none if it doesn't respond. */
  private *fetchReports(id: string, route: string, shards: number[], anyReplica: boolean): Task<UsageReport[]> {
    const body = { binding: route, shards, anyCopy: anyReplica };
    if (id === this.node.self.id) return this.reports.reports(body);
    const address = this.node.addressOf(id);
    if (!address) return [];
    const response = yield* this.node.rpc.call(address, "quota.tallies", body, Constants.usageReportTimeoutMs);
    return response.ok ? response.value.tallies : [];
  }
}
