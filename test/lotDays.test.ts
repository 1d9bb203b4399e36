import { Csp, Task } from "../src/runtime/csp";
import { EnvTools } from "../src/runtime/env";
import { BatchSubmissionHost, BatchSubmission } from "../src/ingress/batchSubmission";
import { EventStandIn } from "../src/tools/eventStandIn";
import { LotBounds, LotChecker, LotRun, LotSeen, LotSent } from "../src/tools/lotChecker";
import { LotWorld } from "./lotWorld";

const events = 8;
const bounds: LotBounds = { endMs: 3000, settleMs: 1000, giveUpMs: 40_000, rounds: 3, maxTokens: 12_000, overrun: 0.1 };
type Trouble = (jobs: LotWorld) => Promise<void>;
const stores = ["store-1", "store-2", "store-3", "store-4"];
const pick = <T>(jobs: LotWorld, from: T[]): T => from[Math.floor(jobs.world.random() * from.length)];
const down =
  (powerLost: boolean, wiped: boolean): Trouble =>
  async (jobs) => {
    const name = pick(jobs, stores);
    jobs.kill(name, powerLost);
    if (wiped) jobs.wipe(name);
    await jobs.world.run(500 + jobs.world.random() * 2500);
    jobs.startStore(name);
  };
const troubles: Record<string, Trouble> = {
  none: () => Promise.resolve(),
  killed: down(false, false),
  "power lost": down(true, false),
  "disk lost": down(true, true),
  frozen: async (jobs) => {
    const name = pick(jobs, stores);
    jobs.freeze(name);
    await jobs.world.run(400 + jobs.world.random() * 3000);
    jobs.wake(name);
  },
  "cut off": async (jobs) => {
    jobs.world.cutOff([pick(jobs, stores)], pick(jobs, ["in", "out", "both"] as const));
    await jobs.world.run(400 + jobs.world.random() * 4000);
    jobs.world.heal();
  },
  "replicas fail": async (jobs) => {
    for (const endpoint of jobs.endpoints)
      endpoint.mood = (id, turn) => (turn < 3 ? moodsOf(id, jobs.world.random()) : fateOf(id));
    await jobs.world.run(2500);
    for (const endpoint of jobs.endpoints) endpoint.mood = fateOf;
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
  constructor(private readonly jobs: LotWorld) {}
  private add(seen: LotSeen): void {
    this.seen.push(seen);
  }
  private host = (): BatchSubmissionHost => pick(this.jobs, this.jobs.hosts);
  runs = (): LotRun[] => this.jobs.endpoints.flatMap(({ runs }) => runs.map((run) => ({ ...run, asked: run.at })));
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
    const open = this.sent.filter(({ lot: job }) => kept.has(job) && !ended.has(job)).flatMap(({ items }) => items);
    const dead = (id: string): boolean =>
      this.runs().filter((run) => run.id === id).length >=
      (id.endsWith("-i7") ? 1 : id.endsWith("-i9") ? bounds.rounds : Infinity);
    return open.filter(({ id }) => !whole.has(id) && !dead(id)).reduce((sum, { tokens }) => sum + tokens, 0);
  }
  start(job: string, count: number): void {
    const { jobs: lots } = this;
    const items = lots.items(job, count);
    const fate = (id: string): "done" | "never" | "fails" =>
      id.endsWith("-i7") ? "never" : id.endsWith("-i9") ? "fails" : "done";
    this.sent.push({
      lot: job,
      items: items.map((item) => ({
        ...item,
        body: Buffer.from(item.body, "base64").toString(),
        text: EventStandIn.textOf(item.id, events),
        fate: fate(item.id),
      })),
    });
    this.open += 1;
    const day = this;
    Csp.go(lots.caller.scope, `lot ${job}`, function* () {
      if (yield* day.handIn(job, count)) yield* day.follow(job, count);
      day.open -= 1;
    });
  }
  private *handIn(job: string, count: number): Task<boolean> {
    const route = { ...LotWorld.route, maxWaitingTokens: bounds.maxTokens };
    for (let round = 0; round < 8; round += 1) {
      const host = this.host();
      const handed = yield* BatchSubmission.submit(
        host,
        job,
        "b",
        route,
        this.jobs.items(job, count),
        800 + 2000 * this.jobs.world.random(),
      );
      const said = handed.ok
        ? "accepted"
        : handed.fault.tag === "busy"
          ? handed.fault.step === "quota"
            ? "notFitting"
            : "refused"
          : "unknown";
      this.add({ tag: "said", at: host.env.wall(), lot: job, said, tokens: 100 * count });
      if (said === "accepted") {
        this.add({ tag: "waiting", at: host.env.wall(), tokens: this.waiting() });
        return true;
      }
      yield* EnvTools.sleep(host.env, 400);
    }
    return false;
  }
  private *follow(job: string, count: number): Task<void> {
    const ends = this.jobs.world.random() < 0.15;
    let from = 0;
    for (let turn = 0; turn < 80 && from < count; turn += 1) {
      const host = this.host();
      yield* EnvTools.sleep(host.env, 500);
      if (ends && from > 2) return yield* this.end(job);
      const back = this.jobs.world.random() < 0.2 ? Math.floor(this.jobs.world.random() * from) : from;
      from = Math.max(from, yield* this.read(host, job, back, 500));
      if (this.jobs.world.random() < 0.2) yield* this.look(host, job, Math.floor(this.jobs.world.random() * count));
    }
  }
  *read(host: BatchSubmissionHost, job: string, from: number, waitMs: number): Task<number> {
    const listed = yield* BatchSubmission.list(host, job, from, waitMs);
    const at = host.env.wall();
    if (!listed.ok) {
      this.add({ tag: "notFound", at, lot: job, sure: listed.fault.tag === "notFound" });
      return 0;
    }
    this.add({ tag: "listed", at, lot: job, from, total: listed.value.total, results: listed.value.results });
    return from + listed.value.results.length;
  }
  private *look(host: BatchSubmissionHost, job: string, at: number): Task<void> {
    const item = `${job}-i${at}`;
    const found = yield* BatchSubmission.itemBody(host, job, item);
    if (found.ok || found.fault.tag === "notFound")
      this.add({
        tag: "body",
        at: host.env.wall(),
        lot: job,
        item,
        body: found.ok ? Buffer.from(found.value.body, "base64").toString() : undefined,
      });
  }
  private *end(job: string): Task<void> {
    for (let round = 0; round < 10; round += 1) {
      const host = this.host();
      const ended = yield* BatchSubmission.end(host, job, "caller");
      if (ended.ok) return this.add({ tag: "ended", at: host.env.wall(), lot: job });
      yield* EnvTools.sleep(host.env, 300);
    }
  }
  /** All callers have finished; every lot kept and not ended is read whole at both ingresses. */
  async close(): Promise<void> {
    for (let round = 0; round < 120 && this.open > 0; round += 1) await this.jobs.world.run(500);
    expect(this.open).toBe(0);
    const kept = new Set(
      this.seen.flatMap((seen) => (seen.tag === "said" && seen.said === "accepted" ? [seen.lot] : [])),
    );
    for (const seen of this.seen) if (seen.tag === "ended") kept.delete(seen.lot);
    const day = this;
    for (const job of kept)
      for (const host of this.jobs.hosts) {
        const read = await this.jobs.ask(function* () {
          return yield* day.read(host, job, 0, 0);
        });
        expect({ lot: job, read }).toEqual({
          lot: job,
          read: this.sent.find((sent) => sent.lot === job)!.items.length,
        });
      }
  }
}

describe("lots through a day with troubles: nothing that must never happen, and all that was kept is done", () => {
  for (const [name, trouble] of Object.entries(troubles))
    for (const seed of (process.env.LOT_SEEDS ?? "101").split(",").map(Number))
      test(`${name}, seed ${seed}`, async () => {
        const jobs = await LotWorld.start(
          seed,
          { stores: 4, replicas: 3, events, slots: 12 },
          { maxWaitingTokens: bounds.maxTokens },
        );
        for (const endpoint of jobs.endpoints) endpoint.mood = fateOf;
        const day = new Day(jobs);
        let count = 0;
        for (let turn = 0; turn < 4; turn += 1) {
          const until = jobs.world.now + 4500;
          const troubled = turn === 1 || turn === 2 ? trouble(jobs) : Promise.resolve();
          if (turn === 1 || turn === 2) {
            for (let at = 0; at < 6; at += 1) day.start(`L${(count += 1)}`, 10 + Math.floor(jobs.world.random() * 15));
            await troubled;
          }
          while (jobs.world.now < until) {
            day.start(`L${(count += 1)}`, 10 + Math.floor(jobs.world.random() * 15));
            await jobs.world.run(300 + jobs.world.random() * 400);
          }
        }
        await day.close();
        expect(LotChecker.check({ seen: day.seen, runs: day.runs(), sent: day.sent, bounds })).toEqual([]);
        const accepted = day.seen.filter((seen) => seen.tag === "said" && seen.said === "accepted").length;
        expect(accepted).toBeGreaterThan(count * 0.6);
        expect(jobs.errors()).toEqual([]);
      }, 200_000);
});
