import { BatchSubmission } from "../src/ingress/batchSubmission";
import { EventStandIn } from "../src/tools/eventStandIn";
import { LotWorld } from "./lotWorld";

const texts = (job: string, count: number, events = 4): string[] =>
  Array.from({ length: count }, (_each, at) => EventStandIn.textOf(`${job}-i${at}`, events));

test("a lot is taken once, every item runs as the request that it is, and its results are listed in fixed positions", async () => {
  const jobs = await LotWorld.start(1);
  expect(await jobs.handIn("L1", 12)).toEqual({ ok: true, value: { tag: "accepted" } });
  expect(await jobs.handIn("L1", 12)).toEqual({ ok: true, value: { tag: "exists", same: true, state: "" } });
  expect(await jobs.handIn("L1", 11)).toEqual({ ok: true, value: { tag: "exists", same: false, state: "" } });
  const body = await jobs.ask((host) => BatchSubmission.itemBody(host, "L1", "L1-i7"));
  expect(body?.ok && Buffer.from(body.value.body, "base64").toString()).toBe("body L1 7");
  const early = await jobs.list("L1");
  expect(early?.total).toBe(12);
  const whole = await jobs.whole("L1", 6000);
  expect(whole.results.map(({ text }) => text).sort()).toEqual(texts("L1", 12).sort());
  expect(new Set(whole.results.map(({ state }) => state))).toEqual(new Set(["complete"]));
  expect((await jobs.list("L1", 9))?.results).toEqual(whole.results.slice(9));
  const runs = jobs.endpoints.flatMap((endpoint) => endpoint.runs);
  expect(runs).toHaveLength(12);
  expect(runs.find((run) => run.id === "L1-i3")).toMatchObject({
    target: "/b/3?x=1",
    host: "kiln.example",
    body: "body L1 3",
    after: 0,
  });
  expect(await jobs.ask((host) => BatchSubmission.list(host, "L2", 0, 0))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(jobs.errors()).toEqual([]);
}, 120_000);
test("cuts go on after the last event; 422 and enough failures abandon; what did not run is tried until it runs", async () => {
  const jobs = await LotWorld.start(2);
  for (const endpoint of jobs.endpoints)
    endpoint.mood = (id, turn) => {
      switch (id) {
        case "M-i0":
          return turn < 3 ? { tag: "cut", after: 2 } : { tag: "well" };
        case "M-i1":
          return { tag: "status", status: 422 };
        case "M-i2":
          return { tag: "status", status: 500 };
        case "M-i3":
          return turn < 4 ? { tag: "notRun" } : { tag: "well" };
        case "M-i4":
          return turn < 2 ? { tag: "dark" } : { tag: "well" };
        case "M-i5":
          return turn < 2 ? { tag: "status", status: 500 } : { tag: "well" };
        default:
          return { tag: "well" };
      }
    };
  expect((await jobs.handIn("M", 7))?.ok).toBe(true);
  const whole = await jobs.whole("M", 15_000);
  const stateOf = (item: string): string => whole.results.find(({ id }) => id === item)?.state ?? "none";
  expect([0, 1, 2, 3, 4, 5, 6].map((at) => stateOf(`M-i${at}`))).toEqual([
    "complete",
    "abandoned",
    "abandoned",
    "complete",
    "complete",
    "complete",
    "complete",
  ]);
  for (const { id, state, text } of whole.results)
    expect(text).toBe(state === "complete" ? EventStandIn.textOf(id, 4) : "");
  const runs = (id: string): { after: number }[] =>
    jobs.endpoints.flatMap((endpoint) => endpoint.runs).filter((run) => run.id === id);
  expect(runs("M-i0").some((run) => run.after === 2)).toBe(true);
  expect(runs("M-i1")).toHaveLength(1);
  expect(runs("M-i2")).toHaveLength(3);
  expect(jobs.errors()).toEqual([]);
}, 120_000);

test("an ended lot starts nothing more, breaks off what runs, keeps what is listed, and may be ended again", async () => {
  const jobs = await LotWorld.start(3, { slots: 4, events: 40 });
  expect((await jobs.handIn("E", 40))?.ok).toBe(true);
  await jobs.world.run(2500);
  const before = (await jobs.list("E"))!;
  expect(await jobs.ask((host) => BatchSubmission.end(host, "E", "caller"))).toEqual({
    ok: true,
    value: { ended: true },
  });
  const endedAt = jobs.caller.env.wall();
  await jobs.world.run(200);
  expect(jobs.endpoints.map(({ active }) => active)).toEqual([0, 0]);
  await jobs.world.run(3000);
  expect(jobs.endpoints.flatMap((endpoint) => endpoint.runs).filter((run) => run.at > endedAt + 50)).toEqual([]);
  expect(await jobs.ask((host) => BatchSubmission.end(host, "E", "caller"))).toEqual({
    ok: true,
    value: { ended: true },
  });
  const after = (await jobs.list("E"))!;
  expect(after.results.slice(0, before.results.length)).toEqual(before.results);
  expect(after).toMatchObject({ total: 40, ended: true });
  expect(after.results.length).toBeLessThan(40);
  expect(await jobs.ask((host) => BatchSubmission.end(host, "none", "caller"))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(await jobs.ask((host) => BatchSubmission.itemBody(host, "E", "E-i39"))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(jobs.errors()).toEqual([]);
}, 120_000);

test("tokens that wait are counted over all shards: what fits is taken, what does not is refused, and room comes back", async () => {
  const jobs = await LotWorld.start(4, { slots: 2, events: 20 }, { maxWaitingTokens: 10_000 });
  let taken = 0;
  const refused: string[] = [];
  for (let at = 0; at < 14; at += 1) {
    const said = await jobs.handIn(`Q${at}`, 10, 100);
    if (said?.ok) taken += 1;
    else refused.push(said && !said.ok ? said.fault.step : "nothing");
  }
  expect(taken).toBeGreaterThanOrEqual(10);
  expect(taken).toBeLessThanOrEqual(11);
  expect(new Set(refused)).toEqual(new Set(["quota"]));
  expect(await jobs.ask((host) => BatchSubmission.end(host, "Q8", "caller"))).toMatchObject({ ok: true });
  await jobs.world.run(100);
  expect((await jobs.handIn("Q20", 5, 100))?.ok).toBe(true);
  expect(await jobs.handIn("Q13", 100, 200)).toMatchObject({ ok: false, fault: { step: "quota" } });
  expect(jobs.errors()).toEqual([]);
}, 120_000);

test("a lot given up on is never kept by that arrival, and is taken when it comes again", async () => {
  const jobs = await LotWorld.start(5);
  const leader = jobs.leaderOf("R");
  jobs.world.cut(leader, "caller"); // all that is sent arrives; no word comes back
  const gaveUp = jobs.handIn("R", 5, 100, 700);
  await jobs.world.run(700);
  jobs.world.heal();
  const said = await gaveUp;
  // it was kept meanwhile, or it is certain that it never will be
  expect(said?.ok ? said.value.tag : said?.fault.tag).toMatch(/exists|accepted|busy/);
  const runs = (): number =>
    jobs.endpoints.flatMap((endpoint) => endpoint.runs).filter((run) => run.id.startsWith("R-")).length;
  await jobs.world.run(2000);
  if (!said?.ok) expect(runs()).toBe(0);
  expect((await jobs.handIn("R", 5))?.ok).toBe(true);
  expect((await jobs.whole("R", 6000)).results).toHaveLength(5);
  const shard = jobs.host.shardClient.shardOf("S");
  const refuse = await jobs.ask((host) =>
    BatchSubmission.refuse(host, "S", { tag: "unknown", step: "", member: "", detail: "" }),
  );
  expect(refuse).toMatchObject({ ok: false, fault: { tag: "busy" } });
  const early = { time: Math.floor(jobs.caller.env.wall()) - 1000, node: "early", seq: 0 };
  const { lot: job, cause } = BatchSubmission.toJob(jobs.host, "S", "b", LotWorld.route, jobs.items("S", 2));
  const life = `${early.time}~early~0`;
  const late = await jobs.ask((host) =>
    host.shardClient.callLeader(
      shard,
      "lot.handIn",
      () => ({ stamp: host.shardClient.stamp(host.env.wall()), life, lot: job, cause }),
      2000,
    ),
  );
  expect(late).toMatchObject({ ok: false, fault: { tag: "busy" } });
  expect((await jobs.handIn("S", 2))?.ok).toBe(true);
  expect(jobs.errors()).toEqual([]);
}, 120_000);

test("a lead that is killed loses no lot: another runs what has no result, and positions stay", async () => {
  const jobs = await LotWorld.start(6, { stores: 4, slots: 4, events: 20 });
  expect((await jobs.handIn("K", 30))?.ok).toBe(true);
  await jobs.world.run(2200);
  const before = (await jobs.list("K"))!;
  expect(before.results.length).toBeGreaterThan(0);
  expect(before.results.length).toBeLessThan(30);
  jobs.kill(jobs.leaderOf("K"));
  await jobs.world.run(300);
  expect((await jobs.list("K"))!.results.slice(0, before.results.length)).toEqual(before.results); // the other members read
  const whole = await jobs.whole("K", 25_000);
  expect(whole.results.slice(0, before.results.length)).toEqual(before.results);
  expect(whole.results.map(({ text }) => text).sort()).toEqual(texts("K", 30, 20).sort());
  expect(jobs.errors()).toEqual([]);
}, 120_000);

test("items of a binding that is gone are abandoned; a replica that left gets nothing", async () => {
  const jobs = await LotWorld.start(8, { slots: 2, events: 20 });
  expect((await jobs.handIn("G", 30))?.ok).toBe(true);
  await jobs.world.run(1500);
  jobs.goodbye("r1");
  await jobs.world.run(1500);
  const leftAt = jobs.caller.env.wall();
  await jobs.configure({});
  const whole = await jobs.whole("G", 6000);
  expect(new Set(whole.results.map(({ state }) => state))).toEqual(new Set(["complete", "abandoned"]));
  expect(jobs.endpoints[0].runs.filter((run) => run.at > leftAt)).toEqual([]);
  expect(jobs.errors()).toEqual([]);
}, 120_000);

test("a lot handed in as a store freezes, be it the lead or a copy, is kept within a second and a quarter", async () => {
  for (const seed of [11, 12, 13]) {
    const jobs = await LotWorld.start(seed, { stores: 4 });
    jobs.freeze("store-2");
    await jobs.world.run(50);
    const took = await jobs.handInAll(["A", "B", "C", "D", "E", "F", "G", "H"], 3);
    expect({ seed, late: took.filter((ms) => ms > 1250) }).toEqual({ seed, late: [] });
    expect(jobs.errors()).toEqual([]);
  }
}, 120_000);
