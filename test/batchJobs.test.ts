import { BatchJobReader } from "../src/ingress/batchJobReader";
import { BatchSubmission } from "../src/ingress/batchSubmission";
import { StandInEventEndpoint } from "../src/tools/standInEventEndpoint";
import { BatchJobFleet } from "./batchJobFleet";

const expectedTexts = (job: string, count: number, events = 4): string[] =>
  Array.from({ length: count }, (_each, index) => StandInEventEndpoint.textOf(`${job}-i${index}`, events));

test("a job is accepted once, each item is forwarded once as it was submitted, and results keep their positions in the list", async () => {
  const fleet = await BatchJobFleet.start(1);
  expect(await fleet.submit("L1", 12)).toEqual({ ok: true, value: { tag: "accepted" } });
  expect(await fleet.submit("L1", 12)).toEqual({ ok: true, value: { tag: "exists", same: true, state: "" } });
  expect(await fleet.submit("L1", 11)).toEqual({ ok: true, value: { tag: "exists", same: false, state: "" } });
  const body = await fleet.call((context) => new BatchJobReader(context).itemBody("L1", "L1-i7"));
  expect(body?.ok && Buffer.from(body.value.body, "base64").toString()).toBe("body L1 7");
  const firstPage = await fleet.list("L1");
  expect(firstPage?.total).toBe(12);
  const page = await fleet.readAll("L1", 6000);
  expect(page.results.map(({ text }) => text).sort()).toEqual(expectedTexts("L1", 12).sort());
  expect(new Set(page.results.map(({ state }) => state))).toEqual(new Set(["complete"]));
  expect((await fleet.list("L1", 9))?.results).toEqual(page.results.slice(9));
  const runs = fleet.endpoints.flatMap((endpoint) => endpoint.runs);
  expect(runs).toHaveLength(12);
  expect(runs.find((run) => run.id === "L1-i3")).toMatchObject({
    target: "/b/3?x=1",
    host: "kiln.example",
    body: "body L1 3",
    after: 0,
  });
  expect(await fleet.call((context) => new BatchJobReader(context).list("L2", 0, 0))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(fleet.errors()).toEqual([]);
}, 120_000);
test("an interrupted stream is resumed after its last event, status 422 or repeated failures abandon an item, and an attempt that did not run is retried", async () => {
  const fleet = await BatchJobFleet.start(2);
  for (const endpoint of fleet.endpoints)
    endpoint.behavior = (id, attempt) => {
      switch (id) {
        case "M-i0":
          return attempt < 3 ? { tag: "cut", after: 2 } : { tag: "complete" };
        case "M-i1":
          return { tag: "status", status: 422 };
        case "M-i2":
          return { tag: "status", status: 500 };
        case "M-i3":
          return attempt < 4 ? { tag: "notRun" } : { tag: "complete" };
        case "M-i4":
          return attempt < 2 ? { tag: "silent" } : { tag: "complete" };
        case "M-i5":
          return attempt < 2 ? { tag: "status", status: 500 } : { tag: "complete" };
        default:
          return { tag: "complete" };
      }
    };
  expect((await fleet.submit("M", 7))?.ok).toBe(true);
  const page = await fleet.readAll("M", 15_000);
  const stateOf = (item: string): string => page.results.find(({ id }) => id === item)?.state ?? "none";
  expect([0, 1, 2, 3, 4, 5, 6].map((index) => stateOf(`M-i${index}`))).toEqual([
    "complete",
    "abandoned",
    "abandoned",
    "complete",
    "complete",
    "complete",
    "complete",
  ]);
  for (const { id, state, text } of page.results)
    expect(text).toBe(state === "complete" ? StandInEventEndpoint.textOf(id, 4) : "");
  const runs = (id: string): { after: number }[] =>
    fleet.endpoints.flatMap((endpoint) => endpoint.runs).filter((run) => run.id === id);
  expect(runs("M-i0").some((run) => run.after === 2)).toBe(true);
  expect(runs("M-i1")).toHaveLength(1);
  expect(runs("M-i2")).toHaveLength(3);
  expect(fleet.errors()).toEqual([]);
}, 120_000);

test("an ended job starts no further item, aborts its running items, still lists its results, and can be ended again", async () => {
  const fleet = await BatchJobFleet.start(3, { slots: 4, events: 40 });
  expect((await fleet.submit("E", 40))?.ok).toBe(true);
  await fleet.world.run(2500);
  const before = (await fleet.list("E"))!;
  expect(await fleet.call((context) => new BatchSubmission(context).end("E", "caller"))).toEqual({
    ok: true,
    value: { ended: true },
  });
  const endedAt = fleet.caller.env.wallClockMs();
  await fleet.world.run(200);
  expect(fleet.endpoints.map(({ active }) => active)).toEqual([0, 0]);
  await fleet.world.run(3000);
  expect(fleet.endpoints.flatMap((endpoint) => endpoint.runs).filter((run) => run.at > endedAt + 50)).toEqual([]);
  expect(await fleet.call((context) => new BatchSubmission(context).end("E", "caller"))).toEqual({
    ok: true,
    value: { ended: true },
  });
  const after = (await fleet.list("E"))!;
  expect(after.results.slice(0, before.results.length)).toEqual(before.results);
  expect(after).toMatchObject({ total: 40, ended: true });
  expect(after.results.length).toBeLessThan(40);
  expect(await fleet.call((context) => new BatchSubmission(context).end("none", "caller"))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(await fleet.call((context) => new BatchJobReader(context).itemBody("E", "E-i39"))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(fleet.errors()).toEqual([]);
}, 120_000);

test("the quota of waiting tokens applies to all shards together: jobs that fit are accepted, others are rejected, and an ended job frees its tokens", async () => {
  const fleet = await BatchJobFleet.start(4, { slots: 2, events: 20 }, { maxWaitingTokens: 10_000 });
  let acceptedCount = 0;
  const refusedSteps: string[] = [];
  for (let index = 0; index < 14; index += 1) {
    const response = await fleet.submit(`Q${index}`, 10, 100);
    if (response?.ok) acceptedCount += 1;
    else refusedSteps.push(response && !response.ok ? response.fault.step : "nothing");
  }
  expect(acceptedCount).toBeGreaterThanOrEqual(10);
  expect(acceptedCount).toBeLessThanOrEqual(11);
  expect(new Set(refusedSteps)).toEqual(new Set(["quota"]));
  expect(await fleet.call((context) => new BatchSubmission(context).end("Q8", "caller"))).toMatchObject({ ok: true });
  await fleet.world.run(100);
  expect((await fleet.submit("Q20", 5, 100))?.ok).toBe(true);
  expect(await fleet.submit("Q13", 100, 200)).toMatchObject({ ok: false, fault: { step: "quota" } });
  expect(fleet.errors()).toEqual([]);
}, 120_000);

test("a submission whose response is lost is reported as stored or never runs, a refused submission that arrives late is rejected, and both jobs are accepted when submitted again", async () => {
  const fleet = await BatchJobFleet.start(5);
  const leader = fleet.leaderOf("R");
  fleet.world.partition(leader, "caller"); // Requests arrive, but responses are lost.
  const submission = fleet.submit("R", 5, 100, 700);
  await fleet.world.run(700);
  fleet.world.heal();
  const response = await submission;
  // The job was stored meanwhile, or it is certain that this submission is never stored.
  expect(response?.ok ? response.value.tag : response?.fault.tag).toMatch(/exists|accepted|busy/);
  const runs = (): number =>
    fleet.endpoints.flatMap((endpoint) => endpoint.runs).filter((run) => run.id.startsWith("R-")).length;
  await fleet.world.run(2000);
  if (!response?.ok) expect(runs()).toBe(0);
  expect((await fleet.submit("R", 5))?.ok).toBe(true);
  expect((await fleet.readAll("R", 6000)).results).toHaveLength(5);
  const shard = fleet.context.shardClient.shardOf("S");
  const refuse = await fleet.call((context) =>
    new BatchSubmission(context).refuse("S", { tag: "unknown", step: "", member: "", detail: "" }),
  );
  expect(refuse).toMatchObject({ ok: false, fault: { tag: "busy" } });
  const earlyStamp = { time: Math.floor(fleet.caller.env.wallClockMs()) - 1000, node: "early", seq: 0 };
  const { job, cause } = new BatchSubmission(fleet.context).prepare("S", "b", BatchJobFleet.route, fleet.items("S", 2));
  const submissionStampText = `${earlyStamp.time}~early~0`;
  const late = await fleet.call((context) =>
    context.shardClient.callLeader(
      shard,
      "lot.handIn",
      () => ({
        stamp: context.shardClient.stamp(context.env.wallClockMs()),
        life: submissionStampText,
        lot: job,
        cause,
      }),
      2000,
    ),
  );
  expect(late).toMatchObject({ ok: false, fault: { tag: "busy" } });
  expect((await fleet.submit("S", 2))?.ok).toBe(true);
  expect(fleet.errors()).toEqual([]);
}, 120_000);

test("after the leader is killed no job is lost: the next leader runs the items without a result, and results keep their positions", async () => {
  const fleet = await BatchJobFleet.start(6, { storageNodes: 4, slots: 4, events: 20 });
  expect((await fleet.submit("K", 30))?.ok).toBe(true);
  await fleet.world.run(2200);
  const before = (await fleet.list("K"))!;
  expect(before.results.length).toBeGreaterThan(0);
  expect(before.results.length).toBeLessThan(30);
  fleet.kill(fleet.leaderOf("K"));
  await fleet.world.run(300);
  expect((await fleet.list("K"))!.results.slice(0, before.results.length)).toEqual(before.results); // The results are read from the other replicas.
  const page = await fleet.readAll("K", 25_000);
  expect(page.results.slice(0, before.results.length)).toEqual(before.results);
  expect(page.results.map(({ text }) => text).sort()).toEqual(expectedTexts("K", 30, 20).sort());
  expect(fleet.errors()).toEqual([]);
}, 120_000);

test("the remaining items of a removed route are abandoned, and a deregistered endpoint receives no further item", async () => {
  const fleet = await BatchJobFleet.start(8, { slots: 2, events: 20 });
  expect((await fleet.submit("G", 30))?.ok).toBe(true);
  await fleet.world.run(1500);
  fleet.withdrawEndpoint("r1");
  await fleet.world.run(1500);
  const deregisteredAt = fleet.caller.env.wallClockMs();
  await fleet.configure({});
  const page = await fleet.readAll("G", 6000);
  expect(new Set(page.results.map(({ state }) => state))).toEqual(new Set(["complete", "abandoned"]));
  expect(fleet.endpoints[0].runs.filter((run) => run.at > deregisteredAt)).toEqual([]);
  expect(fleet.errors()).toEqual([]);
}, 120_000);

test("a job that is submitted while a storage node is frozen, leader or not, is accepted within 1250 ms", async () => {
  for (const seed of [11, 12, 13]) {
    const fleet = await BatchJobFleet.start(seed, { storageNodes: 4 });
    fleet.freeze("store-2");
    await fleet.world.run(50);
    const durations = await fleet.submitAll(["A", "B", "C", "D", "E", "F", "G", "H"], 3);
    expect({ seed, late: durations.filter((ms) => ms > 1250) }).toEqual({ seed, late: [] });
    expect(fleet.errors()).toEqual([]);
  }
}, 120_000);
