import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Node } from "../node/node";
import { ShardCopy } from "../shard/shardReplica";
import { Putter } from "./putClient";

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
    private readonly putter: Putter,
    private readonly copies: Map<number, ShardCopy>,
  ) {}

  /** @example quota.metrics().quota_refused */
  metrics = (): Record<string, number> =>
    Object.fromEntries(Object.entries(this.counts).map(([name, count]) => [`quota_${name}`, count]));
  private limitOf = (binding: string): number =>
    this.node.frame().control?.manifest.doc.bindings[binding]?.maxWaitingTokens ?? 0;
  private homeShard = (binding: string): number => this.putter.shardOf(`quota ${binding}`);

  // ---------- a lead that takes a lot in ----------
  /** A place for a lot, or "busy" with the step "quota" when it doesn't fit. @example yield* quota.take(copy, "audit", "lot-17", 940) */
  *take(copy: ShardCopy, binding: string, lot: string, tokens: number): Task<Result<true>> {
    if (this.limitOf(binding) <= 0) return Fault.ok(true as const);
    const asked = this.asked.get(copy.shard) ?? new Map<string, { binding: string; tokens: number }>();
    this.asked.set(copy.shard, asked);
    asked.set(lot, { binding, tokens });
    const body = (): Reservation => ({ binding, lot, tokens, tally: this.tallyOf(copy, binding) });
    const home = this.copies.get(this.homeShard(binding));
    const replied: Result<true> = home?.holdsGrant()
      ? yield* this.reserve(home, body())
      : yield* this.putter.askLead<true>(
          this.homeShard(binding),
          "quota.reserve",
          body,
          Constants.lotHoldMs,
          Constants.quotaAskMs * 3,
        );
    if (!replied.ok) asked.delete(lot);
    return replied;
  }
  /** A lot is in its shard's count from now on, or will never be. @example quota.leave(3, "lot-17"); */
  leave(shard: number, lot: string): void {
    this.asked.get(shard)?.delete(lot);
  }
  /** What waits in a shard that we hold: its lots, and those on their way. @example quota.tallyOf(copy, "audit").tokens */
  tallyOf(copy: ShardCopy, binding: string): Tally {
    let tokens = 0;
    for (const lot of copy.data.lots.values())
      if (lot.binding === binding && lot.open > 0) tokens += lot.tokensWaiting ?? 0;
    const asking: Record<string, number> = {};
    for (const [lot, wish] of this.asked.get(copy.shard) ?? [])
      if (wish.binding === binding && !copy.data.lots.has(lot)) {
        asking[lot] = wish.tokens;
        tokens += wish.tokens;
      }
    return { shard: copy.shard, epoch: copy.view?.epoch ?? 0, turn: (this.turn += 1), tokens, asking };
  }
  /** Asked by the home: what waits in the shards that we lead, or hold a copy of. @example quota.tallies({ binding: "audit", shards: [1, 4] }) */
  tallies(body: { binding: string; shards: number[]; anyCopy: boolean }): Tally[] {
    return body.shards.flatMap((shard) => {
      const copy = this.copies.get(shard);
      if (copy?.holdsGrant()) return [this.tallyOf(copy, body.binding)];
      return body.anyCopy && copy?.exists ? [{ ...this.tallyOf(copy, body.binding), turn: -1 }] : [];
    });
  }

  // ---------- the home ----------
  /** @example yield* quota.reserve(copy, { binding: "audit", lot: "lot-17", tokens: 940, tally }) */
  *reserve(copy: ShardCopy, body: Reservation): Task<Result<true>> {
    if (!copy.holdsGrant()) return Fault.fail("notLead", "quota", this.node.self.id, copy.view?.lead ?? "");
    const home = this.homeOf(body.binding, copy.view!.epoch);
    const askedAt = this.env.mono();
    this.place(home, body.tally);
    const fits = (): boolean =>
      this.total(home) + body.tokens <= this.limitOf(body.binding) || this.limitOf(body.binding) <= 0;
    const known = (): boolean => home.tallies.size >= Constants.shardCount;
    if (!known() || !fits()) {
      while (home.refreshedAt < askedAt - Constants.quotaFreshMs) yield* this.refresh(home, body.binding);
      if (!copy.holdsGrant()) return Fault.fail("notLead", "quota", this.node.self.id, copy.view?.lead ?? "");
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
    if (home.granted.size > Constants.quotaGrantsKept) home.granted.delete(home.granted.values().next().value!);
    return Fault.ok(true as const);
  }
  private homeOf(binding: string, epoch: number): Home {
    let home = this.homes.get(binding);
    if (!home || home.epoch !== epoch) {
      home = { epoch, tallies: new Map(), granted: new Set(), refreshedAt: -Infinity, refreshing: undefined };
      this.homes.set(binding, home);
    }
    return home;
  }
  /** Lots that were asked for and not granted here are not counted yet; of two words of one lead the later goes. */
  private place(home: Home, told: Tally): void {
    const known = home.tallies.get(told.shard);
    if (known && (known.epoch > told.epoch || (known.epoch === told.epoch && known.turn > told.turn && told.turn >= 0)))
      return;
    let tokens = told.tokens;
    for (const [lot, asked] of Object.entries(told.asking))
      if (!home.granted.has(`${told.shard}/${lot}`)) tokens -= asked;
    home.tallies.set(told.shard, { ...told, tokens, asking: {} });
  }
  private total(home: Home): number {
    let sum = 0;
    for (const tally of home.tallies.values()) sum += tally.tokens;
    return sum;
  }
  /** Every shard's lead is asked what waits now; where it keeps silent, another copy. Who comes meanwhile shares it. */
  private *refresh(home: Home, binding: string): Task<void> {
    if (home.refreshing) {
      yield* Csp.take(home.refreshing);
      return;
    }
    const done = (home.refreshing = Csp.chan<true>(1));
    const startedAt = this.env.mono();
    this.counts.refreshed += 1;
    try {
      const views = this.node.frame().control?.views ?? {};
      const silent = yield* this.collect(
        home,
        binding,
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
        yield* this.collect(home, binding, new Map(unknown.map((shard) => [shard, otherOf(shard)])), true);
    } finally {
      home.refreshedAt = startedAt;
      home.refreshing = undefined;
      done.close();
    }
  }
  /** Asks each store once; the shards of which nothing was heard. */
  private *collect(home: Home, binding: string, from: Map<number, string>, anyCopy: boolean): Task<number[]> {
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
        const body = { binding, shards: [...from].flatMap(([shard, store]) => (store === id ? [shard] : [])), anyCopy };
        const address = quota.node.addressOf(id);
        if (id === quota.node.self.id) take(quota.tallies(body));
        else if (address) {
          const replied = yield* quota.node.rpc.ask<{ tallies: Tally[] }>(
            address,
            "quota.tallies",
            body,
            Constants.quotaAskMs,
          );
          if (replied.ok) take(replied.value.tallies);
        }
        Csp.offer(done, true);
      });
    for (let heard = 0; heard < stores.length; heard += 1) yield* Csp.take(done);
    return [...left];
  }
}
