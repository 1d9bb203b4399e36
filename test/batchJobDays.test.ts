import { Csp, Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import type { BatchJobContext } from "../src/ingress/batchJobContext";
import { BatchJobReader } from "../src/ingress/batchJobReader";
import { BatchSubmission } from "../src/ingress/batchSubmission";
import { EventStandIn } from "../src/tools/eventStandIn";
import {
  BatchJobBounds,
  BatchJobChecker,
  ObservedRun,
  JobObservation,
  ExpectedJob,
} from "../src/tools/batchJobChecker";
import { BatchJobFleet } from "./batchJobFleet";

const events = 8;
const bounds: BatchJobBounds = {
  endMs: 3000,
  settleMs: 1000,
  giveUpMs: 40_000,
  attempts: 3,
  maxTokens: 12_000,
  quotaOverrun: 0.1,
};
type FaultInjection = (fleet: BatchJobFleet) => Promise<void>;
const stores = ["store-1", "store-2", "store-3", "store-4"];
const pick = <T>(fleet: BatchJobFleet, from: T[]): T => from[Math.floor(fleet.world.random() * from.length)];
const restarted =
  (powerLost: boolean, wiped: boolean): FaultInjection =>
  async (fleet) => {
    const name = pick(fleet, stores);
    fleet.kill(name, powerLost);
    if (wiped) fleet.wipe(name);
    await fleet.world.run(500 + fleet.world.random() * 2500);
    fleet.startStore(name);
  };
const faults: Record<string, FaultInjection> = {
  none: () => Promise.resolve(),
  killed: restarted(false, false),
  "power lost": restarted(true, false),
  "disk lost": restarted(true, true),
  frozen: async (fleet) => {
    const name = pick(fleet, stores);
    fleet.freeze(name);
    await fleet.world.run(400 + fleet.world.random() * 3000);
    fleet.wake(name);
  },
  "cut off": async (fleet) => {
    fleet.world.isolate([pick(fleet, stores)], pick(fleet, ["in", "out", "both"] as const));
    await fleet.world.run(400 + fleet.world.random() * 4000);
    fleet.world.heal();
  },
  "replicas fail": async (fleet) => {
    for (const endpoint of fleet.endpoints)
      endpoint.behavior = (id, step) => (step < 3 ? unluckyBehavior(id, fleet.world.random()) : behaviorOf(id));
    await fleet.world.run(2500);
    for (const endpoint of fleet.endpoints) endpoint.behavior = behaviorOf;
  },
};
const unluckyBehavior = (id: string, draw: number): ReturnType<EventStandIn["behavior"]> =>
  draw < 0.2
    ? { tag: "cut", after: Math.floor(draw * 40) }
    : draw < 0.3
      ? { tag: "notRun" }
      : draw < 0.35
        ? { tag: "silent" }
        : behaviorOf(id);
const behaviorOf = (id: string): ReturnType<EventStandIn["behavior"]> =>
  id.endsWith("-i7")
    ? { tag: "status", status: 422 }
    : id.endsWith("-i9")
      ? { tag: "status", status: 500 }
      : { tag: "complete" };

/** A day of jobs from two submitting processes: submitted until the response is certain, read, and some of them ended. */
class Day {
  readonly seen: JobObservation[] = [];
  readonly sent: ExpectedJob[] = [];
  private open = 0;
  constructor(private readonly fleet: BatchJobFleet) {}
  private observe(seen: JobObservation): void {
    this.seen.push(seen);
  }
  private host = (): BatchJobContext => pick(this.fleet, this.fleet.hosts);
  runs = (): ObservedRun[] =>
    this.fleet.endpoints.flatMap(({ runs }) => runs.map((run) => ({ ...run, requestedAt: run.at })));
  /** Tokens of the items without a complete run at any endpoint. */
  private waiting(): number {
    const complete = new Set(
      this.runs()
        .filter((run) => run.isComplete)
        .map(({ id }) => id),
    );
    const accepted = new Set(
      this.seen.flatMap((seen) => (seen.tag === "submitted" && seen.outcome === "accepted" ? [seen.job] : [])),
    );
    const ended = new Set(this.seen.flatMap((seen) => (seen.tag === "ended" ? [seen.job] : [])));
    const open = this.sent.filter(({ job }) => accepted.has(job) && !ended.has(job)).flatMap(({ items }) => items);
    const isGivenUp = (id: string): boolean =>
      this.runs().filter((run) => run.id === id).length >=
      (id.endsWith("-i7") ? 1 : id.endsWith("-i9") ? bounds.attempts : Infinity);
    return open.filter(({ id }) => !complete.has(id) && !isGivenUp(id)).reduce((sum, { tokens }) => sum + tokens, 0);
  }
  start(job: string, count: number): void {
    const { fleet } = this;
    const items = fleet.items(job, count);
    const expected = (id: string): "done" | "impossible" | "fails" =>
      id.endsWith("-i7") ? "impossible" : id.endsWith("-i9") ? "fails" : "done";
    this.sent.push({
      job,
      items: items.map((item) => ({
        ...item,
        body: Buffer.from(item.body, "base64").toString(),
        text: EventStandIn.textOf(item.id, events),
        expected: expected(item.id),
      })),
    });
    this.open += 1;
    const day = this;
    Csp.go(fleet.caller.scope, `job ${job}`, function* () {
      if (yield* day.submit(job, count)) yield* day.follow(job, count);
      day.open -= 1;
    });
  }
  private *submit(job: string, count: number): Task<boolean> {
    const route = { ...BatchJobFleet.route, maxWaitingTokens: bounds.maxTokens };
    for (let attempt = 0; attempt < 8; attempt += 1) {
      const host = this.host();
      const submitted = yield* new BatchSubmission(host).submit(
        job,
        "b",
        route,
        this.fleet.items(job, count),
        800 + 2000 * this.fleet.world.random(),
      );
      const outcome = submitted.ok
        ? "accepted"
        : submitted.fault.tag === "busy"
          ? submitted.fault.step === "quota"
            ? "notFitting"
            : "refused"
          : "unknown";
      this.observe({ tag: "submitted", at: host.env.wallClockMs(), job, outcome, tokens: 100 * count });
      if (outcome === "accepted") {
        this.observe({ tag: "waiting", at: host.env.wallClockMs(), tokens: this.waiting() });
        return true;
      }
      yield* EnvironmentTools.sleep(host.env, 400);
    }
    return false;
  }
  private *follow(job: string, count: number): Task<void> {
    const ends = this.fleet.world.random() < 0.15;
    let from = 0;
    for (let step = 0; step < 80 && from < count; step += 1) {
      const host = this.host();
      yield* EnvironmentTools.sleep(host.env, 500);
      if (ends && from > 2) return yield* this.end(job);
      const position = this.fleet.world.random() < 0.2 ? Math.floor(this.fleet.world.random() * from) : from;
      from = Math.max(from, yield* this.read(host, job, position, 500));
      if (this.fleet.world.random() < 0.2)
        yield* this.readItemBody(host, job, Math.floor(this.fleet.world.random() * count));
    }
  }
  *read(host: BatchJobContext, job: string, from: number, waitMs: number): Task<number> {
    const listed = yield* new BatchJobReader(host).list(job, from, waitMs);
    const at = host.env.wallClockMs();
    if (!listed.ok) {
      this.observe({ tag: "notFound", at, job, certain: listed.fault.tag === "notFound" });
      return 0;
    }
    this.observe({ tag: "listed", at, job, from, total: listed.value.total, results: listed.value.results });
    return from + listed.value.results.length;
  }
  private *readItemBody(host: BatchJobContext, job: string, at: number): Task<void> {
    const item = `${job}-i${at}`;
    const found = yield* new BatchJobReader(host).itemBody(job, item);
    if (found.ok || found.fault.tag === "notFound")
      this.observe({
        tag: "body",
        at: host.env.wallClockMs(),
        job,
        item,
        body: found.ok ? Buffer.from(found.value.body, "base64").toString() : undefined,
      });
  }
  private *end(job: string): Task<void> {
    for (let attempt = 0; attempt < 10; attempt += 1) {
      const host = this.host();
      const ended = yield* new BatchSubmission(host).end(job, "caller");
      if (ended.ok) return this.observe({ tag: "ended", at: host.env.wallClockMs(), job: job });
      yield* EnvironmentTools.sleep(host.env, 300);
    }
  }
  /** Waits for all callers, then reads every job that was accepted and not ended, completely and at both processes. */
  async close(): Promise<void> {
    for (let attempt = 0; attempt < 120 && this.open > 0; attempt += 1) await this.fleet.world.run(500);
    expect(this.open).toBe(0);
    const accepted = new Set(
      this.seen.flatMap((seen) => (seen.tag === "submitted" && seen.outcome === "accepted" ? [seen.job] : [])),
    );
    for (const seen of this.seen) if (seen.tag === "ended") accepted.delete(seen.job);
    const day = this;
    for (const job of accepted)
      for (const host of this.fleet.hosts) {
        const read = await this.fleet.call(function* () {
          return yield* day.read(host, job, 0, 0);
        });
        expect({ lot: job, read }).toEqual({
          lot: job,
          read: this.sent.find((sent) => sent.job === job)!.items.length,
        });
      }
  }
}

describe("batch jobs through a day with faults: no invariant is violated, and every accepted job is completed", () => {
  for (const [name, injectFault] of Object.entries(faults))
    for (const seed of (process.env.BATCH_JOB_SEEDS ?? "101").split(",").map(Number))
      test(`${name}, seed ${seed}`, async () => {
        const fleet = await BatchJobFleet.start(
          seed,
          { stores: 4, replicas: 3, events, slots: 12 },
          { maxWaitingTokens: bounds.maxTokens },
        );
        for (const endpoint of fleet.endpoints) endpoint.behavior = behaviorOf;
        const day = new Day(fleet);
        let count = 0;
        for (let step = 0; step < 4; step += 1) {
          const until = fleet.world.now + 4500;
          const faultDone = step === 1 || step === 2 ? injectFault(fleet) : Promise.resolve();
          if (step === 1 || step === 2) {
            for (let at = 0; at < 6; at += 1) day.start(`L${(count += 1)}`, 10 + Math.floor(fleet.world.random() * 15));
            await faultDone;
          }
          while (fleet.world.now < until) {
            day.start(`L${(count += 1)}`, 10 + Math.floor(fleet.world.random() * 15));
            await fleet.world.run(300 + fleet.world.random() * 400);
          }
        }
        await day.close();
        expect(BatchJobChecker.check({ observations: day.seen, runs: day.runs(), jobs: day.sent, bounds })).toEqual([]);
        const accepted = day.seen.filter((seen) => seen.tag === "submitted" && seen.outcome === "accepted").length;
        expect(accepted).toBeGreaterThan(count * 0.6);
        expect(fleet.errors()).toEqual([]);
      }, 200_000);
});
