import { Csp, Task } from "../src/runtime/csp";
import { EnvTools } from "../src/runtime/env";
import { IntakeHost, LotIntake } from "../src/ingress/batchSubmission";
import { EventStandIn } from "../src/tools/eventStandIn";
import { LotBounds, LotChecker, LotRun, LotSeen, LotSent } from "../src/tools/lotChecker";
import { LotWorld } from "./lotWorld";

const events = 8;
const bounds: LotBounds = { endMs: 3000, settleMs: 1000, giveUpMs: 40_000, rounds: 3, maxTokens: 12_000, overrun: 0.1 };
type Trouble = (lots: LotWorld) => Promise<void>;
const stores = ["store-1", "store-2", "store-3", "store-4"];
const pick = <T>(lots: LotWorld, from: T[]): T => from[Math.floor(lots.world.random() * from.length)];
const down =
  (powerLost: boolean, wiped: boolean): Trouble =>
  async (lots) => {
    const name = pick(lots, stores);
    lots.kill(name, powerLost);
    if (wiped) lots.wipe(name);
    await lots.world.run(500 + lots.world.random() * 2500);
    lots.startStore(name);
  };
const troubles: Record<string, Trouble> = {
  none: () => Promise.resolve(),
  killed: down(false, false),
  "power lost": down(true, false),
  "disk lost": down(true, true),
  frozen: async (lots) => {
    const name = pick(lots, stores);
    lots.freeze(name);
    await lots.world.run(400 + lots.world.random() * 3000);
    lots.wake(name);
  },
  "cut off": async (lots) => {
    lots.world.cutOff([pick(lots, stores)], pick(lots, ["in", "out", "both"] as const));
    await lots.world.run(400 + lots.world.random() * 4000);
    lots.world.heal();
  },
  "replicas fail": async (lots) => {
    for (const replica of lots.replicas)
      replica.mood = (id, turn) => (turn < 3 ? moodsOf(id, lots.world.random()) : fateOf(id));
    await lots.world.run(2500);
    for (const replica of lots.replicas) replica.mood = fateOf;
  },
};
const moodsOf = (id: string, luck: number): ReturnType<EventStandIn["mood"]> =>
  luck < 0.2
    ? { tag: "cut", after: Math.floor(luck * 40) }
    : luck < 0.3
      ? { tag: "notRun" }
      : luck < 0.35
        ? { tag: "dark" }
        : fateOf(id);
const fateOf = (id: string): ReturnType<EventStandIn["mood"]> =>
  id.endsWith("-i7")
    ? { tag: "status", status: 422 }
    : id.endsWith("-i9")
      ? { tag: "status", status: 500 }
      : { tag: "well" };

/** A day of lots from two ingresses: handed in until there is a plain answer, read, looked into, some of them ended. */
class Day {
  readonly seen: LotSeen[] = [];
  readonly sent: LotSent[] = [];
  private open = 0;
  constructor(private readonly lots: LotWorld) {}
  private add(seen: LotSeen): void {
    this.seen.push(seen);
  }
  private host = (): IntakeHost => pick(this.lots, this.lots.hosts);
  runs = (): LotRun[] => this.lots.replicas.flatMap(({ runs }) => runs.map((run) => ({ ...run, asked: run.at })));
  /** What waits, by the replicas' own word. */
  private waiting(): number {
    const whole = new Set(
      this.runs()
        .filter((run) => run.whole)
        .map(({ id }) => id),
    );
    const kept = new Set(
      this.seen.flatMap((seen) => (seen.tag === "said" && seen.said === "accepted" ? [seen.lot] : [])),
    );
    const ended = new Set(this.seen.flatMap((seen) => (seen.tag === "ended" ? [seen.lot] : [])));
    const open = this.sent.filter(({ lot }) => kept.has(lot) && !ended.has(lot)).flatMap(({ items }) => items);
    const dead = (id: string): boolean =>
      this.runs().filter((run) => run.id === id).length >=
      (id.endsWith("-i7") ? 1 : id.endsWith("-i9") ? bounds.rounds : Infinity);
    return open.filter(({ id }) => !whole.has(id) && !dead(id)).reduce((sum, { tokens }) => sum + tokens, 0);
  }
  start(lot: string, count: number): void {
    const { lots } = this;
    const items = lots.items(lot, count);
    const fate = (id: string): "done" | "never" | "fails" =>
      id.endsWith("-i7") ? "never" : id.endsWith("-i9") ? "fails" : "done";
    this.sent.push({
      lot,
      items: items.map((item) => ({
        ...item,
        body: Buffer.from(item.body, "base64").toString(),
        text: EventStandIn.textOf(item.id, events),
        fate: fate(item.id),
      })),
    });
    this.open += 1;
    const day = this;
    Csp.go(lots.caller.scope, `lot ${lot}`, function* () {
      if (yield* day.handIn(lot, count)) yield* day.follow(lot, count);
      day.open -= 1;
    });
  }
  private *handIn(lot: string, count: number): Task<boolean> {
    const binding = { ...LotWorld.binding, maxWaitingTokens: bounds.maxTokens };
    for (let round = 0; round < 8; round += 1) {
      const host = this.host();
      const handed = yield* LotIntake.handIn(
        host,
        lot,
        "b",
        binding,
        this.lots.items(lot, count),
        800 + 2000 * this.lots.world.random(),
      );
      const said = handed.ok
        ? "accepted"
        : handed.fault.tag === "busy"
          ? handed.fault.step === "quota"
            ? "notFitting"
            : "refused"
          : "unknown";
      this.add({ tag: "said", at: host.env.wall(), lot, said, tokens: 100 * count });
      if (said === "accepted") {
        this.add({ tag: "waiting", at: host.env.wall(), tokens: this.waiting() });
        return true;
      }
      yield* EnvTools.sleep(host.env, 400);
    }
    return false;
  }
  private *follow(lot: string, count: number): Task<void> {
    const ends = this.lots.world.random() < 0.15;
    let from = 0;
    for (let turn = 0; turn < 80 && from < count; turn += 1) {
      const host = this.host();
      yield* EnvTools.sleep(host.env, 500);
      if (ends && from > 2) return yield* this.end(lot);
      const back = this.lots.world.random() < 0.2 ? Math.floor(this.lots.world.random() * from) : from;
      from = Math.max(from, yield* this.read(host, lot, back, 500));
      if (this.lots.world.random() < 0.2) yield* this.look(host, lot, Math.floor(this.lots.world.random() * count));
    }
  }
  *read(host: IntakeHost, lot: string, from: number, waitMs: number): Task<number> {
    const listed = yield* LotIntake.list(host, lot, from, waitMs);
    const at = host.env.wall();
    if (!listed.ok) {
      this.add({ tag: "notFound", at, lot, sure: listed.fault.tag === "notFound" });
      return 0;
    }
    this.add({ tag: "listed", at, lot, from, total: listed.value.total, results: listed.value.results });
    return from + listed.value.results.length;
  }
  private *look(host: IntakeHost, lot: string, at: number): Task<void> {
    const item = `${lot}-i${at}`;
    const found = yield* LotIntake.itemBody(host, lot, item);
    if (found.ok || found.fault.tag === "notFound")
      this.add({
        tag: "body",
        at: host.env.wall(),
        lot,
        item,
        body: found.ok ? Buffer.from(found.value.body, "base64").toString() : undefined,
      });
  }
  private *end(lot: string): Task<void> {
    for (let round = 0; round < 10; round += 1) {
      const host = this.host();
      const ended = yield* LotIntake.end(host, lot, "caller");
      if (ended.ok) return this.add({ tag: "ended", at: host.env.wall(), lot });
      yield* EnvTools.sleep(host.env, 300);
    }
  }
  /** All callers have finished; every lot kept and not ended is read whole at both ingresses. */
  async close(): Promise<void> {
    for (let round = 0; round < 120 && this.open > 0; round += 1) await this.lots.world.run(500);
    expect(this.open).toBe(0);
    const kept = new Set(
      this.seen.flatMap((seen) => (seen.tag === "said" && seen.said === "accepted" ? [seen.lot] : [])),
    );
    for (const seen of this.seen) if (seen.tag === "ended") kept.delete(seen.lot);
    const day = this;
    for (const lot of kept)
      for (const host of this.lots.hosts) {
        const read = await this.lots.ask(function* () {
          return yield* day.read(host, lot, 0, 0);
        });
        expect({ lot, read }).toEqual({ lot, read: this.sent.find((sent) => sent.lot === lot)!.items.length });
      }
  }
}

describe("lots through a day with troubles: nothing that must never happen, and all that was kept is done", () => {
  for (const [name, trouble] of Object.entries(troubles))
    for (const seed of (process.env.LOT_SEEDS ?? "101").split(",").map(Number))
      test(`${name}, seed ${seed}`, async () => {
        const lots = await LotWorld.start(
          seed,
          { stores: 4, replicas: 3, events, slots: 12 },
          { maxWaitingTokens: bounds.maxTokens },
        );
        for (const replica of lots.replicas) replica.mood = fateOf;
        const day = new Day(lots);
        let count = 0;
        for (let turn = 0; turn < 4; turn += 1) {
          const until = lots.world.now + 4500;
          const troubled = turn === 1 || turn === 2 ? trouble(lots) : Promise.resolve();
          if (turn === 1 || turn === 2) {
            for (let at = 0; at < 6; at += 1) day.start(`L${(count += 1)}`, 10 + Math.floor(lots.world.random() * 15));
            await troubled;
          }
          while (lots.world.now < until) {
            day.start(`L${(count += 1)}`, 10 + Math.floor(lots.world.random() * 15));
            await lots.world.run(300 + lots.world.random() * 400);
          }
        }
        await day.close();
        expect(LotChecker.check({ seen: day.seen, runs: day.runs(), sent: day.sent, bounds })).toEqual([]);
        const accepted = day.seen.filter((seen) => seen.tag === "said" && seen.said === "accepted").length;
        expect(accepted).toBeGreaterThan(count * 0.6);
        expect(lots.errors()).toEqual([]);
      }, 200_000);
});
