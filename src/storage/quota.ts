import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Node } from "../node/node";
import { ShardReplica } from "../shard/shardReplica";
import { ShardClient } from "./shardClient";

/** What waits on a binding in one shard, as its lead counts it; the lots it has asked for are in it, by id. */
export type Tally = { shard: number; epoch: number; turn: number; tokens: number; asking: Record<string, number> };
type Home = {
  epoch: number;
  tallies: Map<number, Tally>;
  granted: Set<string>;
  refreshedAt: number;
  refreshing: ReturnType<typeof Csp.chan<true>> | undefined;
};
export type Reservation = { binding: string; lot: string; tokens: number; tally: Tally };

/**
 * One count over all nodes of the tokens that wait on a binding. Its home is the lead of a shard chosen by the binding's
 * name: it grants a lot its place before the lot is put. It knows an upper bound of what waits in each shard, and asks
 * the other leads anew before it refuses. A home that has just begun asks them all first.
 *
 * @example
 * const quota = new Quota(env, node, putter, copies);
 * const granted = yield* quota.take(copy, "audit", "lot-17", 940);
 * quota.leave(copy.shard, "lot-17"); // once it is put, or never will be
 */
export class Quota {
  private homes = new Map<string, Home>();
  private asked = new Map<number, Map<string, { binding: string; tokens: number }>>(); // by shard we lead: lots on their way
  private turn = 0;
  readonly counts = { granted: 0, refused: 0, refreshed: 0 };
  constructor(
    private readonly env: Env,
    private readonly node: Node,
    private readonly shardClient: ShardClient,
    private readonly replicas: Map<number, ShardReplica>,
  ) {}

  /** @example quota.metrics().quota_refused */
  metrics = (): Record<string, number> =>
    Object.fromEntries(Object.entries(this.counts).map(([name, count]) => [`quota_${name}`, count]));
  private limitOf = (route: string): number =>
    this.node.snapshot().control?.manifest.doc.bindings[route]?.maxWaitingTokens ?? 0;
  private homeShard = (route: string): number => this.shardClient.shardOf(`quota ${route}`);

  // ---------- a lead that takes a lot in ----------
  /** A place for a lot, or "busy" with the step "quota" when it doesn't fit. @example yield* quota.take(copy, "audit", "lot-17", 940) */
  *take(replica: ShardReplica, route: string, job: string, tokens: number): Task<Result<true>> {
    if (this.limitOf(route) <= 0) return Fault.ok(true as const);
    const asked = this.asked.get(replica.shard) ?? new Map<string, { binding: string; tokens: number }>();
    this.asked.set(replica.shard, asked);
    asked.set(job, { binding: route, tokens });
    const body = (): Reservation => ({ binding: route, lot: job, tokens, tally: this.tallyOf(replica, route) });
    const home = this.replicas.get(this.homeShard(route));
    const response: Result<true> = home?.holdsLease()
      ? yield* this.reserve(home, body())
      : yield* this.shardClient.callLeader<true>(
          this.homeShard(route),
          "quota.reserve",
          body,
          Constants.jobHoldMs,
          Constants.quotaAskMs * 3,
        );
    if (!response.ok) asked.delete(job);
    return response;
  }
  /** A lot is in its shard's count from now on, or will never be. @example quota.leave(3, "lot-17"); */
  leave(shard: number, job: string): void {
    this.asked.get(shard)?.delete(job);
  }
  /** What waits in a shard that we hold: its lots, and those on their way. @example quota.tallyOf(copy, "audit").tokens */
  tallyOf(replica: ShardReplica, route: string): Tally {
    let tokens = 0;
    for (const job of replica.data.jobs.values())
      if (job.binding === route && job.open > 0) tokens += job.tokensWaiting ?? 0;
    const asking: Record<string, number> = {};
    for (const [job, criteria] of this.asked.get(replica.shard) ?? [])
      if (criteria.binding === route && !replica.data.jobs.has(job)) {
        asking[job] = criteria.tokens;
        tokens += criteria.tokens;
      }
    return { shard: replica.shard, epoch: replica.view?.epoch ?? 0, turn: (this.turn += 1), tokens, asking };
  }
  /** Asked by the home: what waits in the shards that we lead, or hold a copy of. @example quota.tallies({ binding: "audit", shards: [1, 4] }) */
  tallies(body: { binding: string; shards: number[]; anyCopy: boolean }): Tally[] {
    return body.shards.flatMap((shard) => {
      const replica = this.replicas.get(shard);
      if (replica?.holdsLease()) return [this.tallyOf(replica, body.binding)];
      return body.anyCopy && replica?.exists ? [{ ...this.tallyOf(replica, body.binding), turn: -1 }] : [];
    });
  }

  // ---------- the home ----------
  /** @example yield* quota.reserve(copy, { binding: "audit", lot: "lot-17", tokens: 940, tally }) */
  *reserve(replica: ShardReplica, body: Reservation): Task<Result<true>> {
    if (!replica.holdsLease()) return Fault.fail("notLead", "quota", this.node.self.id, replica.view?.lead ?? "");
    const home = this.homeOf(body.binding, replica.view!.epoch);
    const askedAt = this.env.mono();
    this.place(home, body.tally);
    const fits = (): boolean =>
      this.total(home) + body.tokens <= this.limitOf(body.binding) || this.limitOf(body.binding) <= 0;
    const known = (): boolean => home.tallies.size >= Constants.shardCount;
    if (!known() || !fits()) {
      while (home.refreshedAt < askedAt - Constants.quotaFreshMs) yield* this.refresh(home, body.binding);
      if (!replica.holdsLease()) return Fault.fail("notLead", "quota", this.node.self.id, replica.view?.lead ?? "");
      if (!known())
        return Fault.busy(
          "count what waits",
          this.node.self.id,
          "not every shard told what waits with it",
          Constants.retryAfterMs,
        );
    }
    if (!fits()) {
      this.counts.refused += 1;
      return Fault.busy(
        "quota",
        this.node.self.id,
        `${body.tokens} tokens do not fit beside ${this.total(home)} that wait`,
        Constants.retryAfterMs,
      );
    }
    this.counts.granted += 1;
    const tally = home.tallies.get(body.tally.shard)!;
    home.tallies.set(tally.shard, { ...tally, tokens: tally.tokens + body.tokens });
    home.granted.add(`${tally.shard}/${body.lot}`);
    if (home.granted.size > Constants.quotaLeasesKept) home.granted.delete(home.granted.values().next().value!);
    return Fault.ok(true as const);
  }
  private homeOf(route: string, epoch: number): Home {
    let home = this.homes.get(route);
    if (!home || home.epoch !== epoch) {
      home = { epoch, tallies: new Map(), granted: new Set(), refreshedAt: -Infinity, refreshing: undefined };
      this.homes.set(route, home);
    }
    return home;
  }
  /** Lots that were asked for and not granted here are not counted yet; of two words of one lead the later goes. */
  private place(home: Home, told: Tally): void {
    const known = home.tallies.get(told.shard);
    if (known && (known.epoch > told.epoch || (known.epoch === told.epoch && known.turn > told.turn && told.turn >= 0)))
      return;
    let tokens = told.tokens;
    for (const [job, asked] of Object.entries(told.asking))
      if (!home.granted.has(`${told.shard}/${job}`)) tokens -= asked;
    home.tallies.set(told.shard, { ...told, tokens, asking: {} });
  }
  private total(home: Home): number {
    let sum = 0;
    for (const tally of home.tallies.values()) sum += tally.tokens;
    return sum;
  }
  /** Every shard's lead is asked what waits now; where it keeps silent, another copy. Who comes meanwhile shares it. */
  private *refresh(home: Home, route: string): Task<void> {
    if (home.refreshing) {
      yield* Csp.take(home.refreshing);
      return;
    }
    const done = (home.refreshing = Csp.chan<true>(1));
    const startedAt = this.env.mono();
    this.counts.refreshed += 1;
    try {
      const views = this.node.snapshot().control?.views ?? {};
      const silent = yield* this.collect(
        home,
        route,
        new Map(Object.values(views).map((view) => [view.shard, view.lead])),
        false,
      );
      // all that was acknowledged stands on every member: its count is a true upper bound
      const unknown = silent.filter((shard) => !home.tallies.has(shard));
      const otherOf = (shard: number): string => {
        const view = views[shard];
        return view.members.find((id) => id === this.node.self.id) ?? view.members.find((id) => id !== view.lead) ?? "";
      };
      if (unknown.length > 0)
        yield* this.collect(home, route, new Map(unknown.map((shard) => [shard, otherOf(shard)])), true);
    } finally {
      home.refreshedAt = startedAt;
      home.refreshing = undefined;
      done.close();
    }
  }
  /** Asks each store once; the shards of which nothing was heard. */
  private *collect(home: Home, route: string, from: Map<number, string>, anyReplica: boolean): Task<number[]> {
    const left = new Set(from.keys());
    const stores = [...new Set(from.values())].filter((id) => id !== "");
    const done = Csp.chan<true>(64);
    const quota = this;
    const take = (tallies: Tally[]): void =>
      tallies.forEach((tally) => {
        quota.place(home, tally);
        left.delete(tally.shard);
      });
    for (const id of stores)
      Csp.go(this.env.scope, `tallies of ${id}`, function* () {
        const body = {
          binding: route,
          shards: [...from].flatMap(([shard, store]) => (store === id ? [shard] : [])),
          anyCopy: anyReplica,
        };
        const address = quota.node.addressOf(id);
        if (id === quota.node.self.id) take(quota.tallies(body));
        else if (address) {
          const response = yield* quota.node.rpc.call<{ tallies: Tally[] }>(
            address,
            "quota.tallies",
            body,
            Constants.quotaAskMs,
          );
          if (response.ok) take(response.value.tallies);
        }
        Csp.offer(done, true);
      });
    for (let heard = 0; heard < stores.length; heard += 1) yield* Csp.take(done);
    return [...left];
  }
}
