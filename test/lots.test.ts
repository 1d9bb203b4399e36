import { LotIntake } from "../src/ingress/batchSubmission";
import { EventStandIn } from "../src/tools/eventStandIn";
import { LotWorld } from "./lotWorld";

const texts = (lot: string, count: number, events = 4): string[] =>
  Array.from({ length: count }, (_each, at) => EventStandIn.textOf(`${lot}-i${at}`, events));

test("a lot is taken once, every item runs as the request that it is, and its results are listed in fixed positions", async () => {
  const lots = await LotWorld.start(1);
  expect(await lots.handIn("L1", 12)).toEqual({ ok: true, value: { tag: "accepted" } });
  expect(await lots.handIn("L1", 12)).toEqual({ ok: true, value: { tag: "exists", same: true, state: "" } });
  expect(await lots.handIn("L1", 11)).toEqual({ ok: true, value: { tag: "exists", same: false, state: "" } });
  const body = await lots.ask((host) => LotIntake.itemBody(host, "L1", "L1-i7"));
  expect(body?.ok && Buffer.from(body.value.body, "base64").toString()).toBe("body L1 7");
  const early = await lots.list("L1");
  expect(early?.total).toBe(12);
  const whole = await lots.whole("L1", 6000);
  expect(whole.results.map(({ text }) => text).sort()).toEqual(texts("L1", 12).sort());
  expect(new Set(whole.results.map(({ state }) => state))).toEqual(new Set(["complete"]));
  expect((await lots.list("L1", 9))?.results).toEqual(whole.results.slice(9));
  const runs = lots.replicas.flatMap((replica) => replica.runs);
  expect(runs).toHaveLength(12);
  expect(runs.find((run) => run.id === "L1-i3")).toMatchObject({
    target: "/b/3?x=1",
    host: "kiln.example",
    body: "body L1 3",
    after: 0,
  });
  expect(await lots.ask((host) => LotIntake.list(host, "L2", 0, 0))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(lots.errors()).toEqual([]);
}, 120_000);
test("cuts go on after the last event; 422 and enough failures abandon; what did not run is tried until it runs", async () => {
  const lots = await LotWorld.start(2);
  for (const replica of lots.replicas)
    replica.mood = (id, turn) => {
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
  expect((await lots.handIn("M", 7))?.ok).toBe(true);
  const whole = await lots.whole("M", 15_000);
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
    lots.replicas.flatMap((replica) => replica.runs).filter((run) => run.id === id);
  expect(runs("M-i0").some((run) => run.after === 2)).toBe(true);
  expect(runs("M-i1")).toHaveLength(1);
  expect(runs("M-i2")).toHaveLength(3);
  expect(lots.errors()).toEqual([]);
}, 120_000);

test("an ended lot starts nothing more, breaks off what runs, keeps what is listed, and may be ended again", async () => {
  const lots = await LotWorld.start(3, { slots: 4, events: 40 });
  expect((await lots.handIn("E", 40))?.ok).toBe(true);
  await lots.world.run(2500);
  const before = (await lots.list("E"))!;
  expect(await lots.ask((host) => LotIntake.end(host, "E", "caller"))).toEqual({ ok: true, value: { ended: true } });
  const endedAt = lots.caller.env.wall();
  await lots.world.run(200);
  expect(lots.replicas.map(({ active }) => active)).toEqual([0, 0]);
  await lots.world.run(3000);
  expect(lots.replicas.flatMap((replica) => replica.runs).filter((run) => run.at > endedAt + 50)).toEqual([]);
  expect(await lots.ask((host) => LotIntake.end(host, "E", "caller"))).toEqual({ ok: true, value: { ended: true } });
  const after = (await lots.list("E"))!;
  expect(after.results.slice(0, before.results.length)).toEqual(before.results);
  expect(after).toMatchObject({ total: 40, ended: true });
  expect(after.results.length).toBeLessThan(40);
  expect(await lots.ask((host) => LotIntake.end(host, "none", "caller"))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(await lots.ask((host) => LotIntake.itemBody(host, "E", "E-i39"))).toMatchObject({
    ok: false,
    fault: { tag: "notFound" },
  });
  expect(lots.errors()).toEqual([]);
}, 120_000);

test("tokens that wait are counted over all shards: what fits is taken, what does not is refused, and room comes back", async () => {
  const lots = await LotWorld.start(4, { slots: 2, events: 20 }, { maxWaitingTokens: 10_000 });
  let taken = 0;
  const refused: string[] = [];
  for (let at = 0; at < 14; at += 1) {
    const said = await lots.handIn(`Q${at}`, 10, 100);
    if (said?.ok) taken += 1;
    else refused.push(said && !said.ok ? said.fault.step : "nothing");
  }
  expect(taken).toBeGreaterThanOrEqual(10);
  expect(taken).toBeLessThanOrEqual(11);
  expect(new Set(refused)).toEqual(new Set(["quota"]));
  expect(await lots.ask((host) => LotIntake.end(host, "Q8", "caller"))).toMatchObject({ ok: true });
  await lots.world.run(100);
  expect((await lots.handIn("Q20", 5, 100))?.ok).toBe(true);
  expect(await lots.handIn("Q13", 100, 200)).toMatchObject({ ok: false, fault: { step: "quota" } });
  expect(lots.errors()).toEqual([]);
}, 120_000);

test("a lot given up on is never kept by that arrival, and is taken when it comes again", async () => {
  const lots = await LotWorld.start(5);
  const lead = lots.leadOf("R");
  lots.world.cut(lead, "caller"); // all that is sent arrives; no word comes back
  const gaveUp = lots.handIn("R", 5, 100, 700);
  await lots.world.run(700);
  lots.world.heal();
  const said = await gaveUp;
  // it was kept meanwhile, or it is certain that it never will be
  expect(said?.ok ? said.value.tag : said?.fault.tag).toMatch(/exists|accepted|busy/);
  const runs = (): number =>
    lots.replicas.flatMap((replica) => replica.runs).filter((run) => run.id.startsWith("R-")).length;
  await lots.world.run(2000);
  if (!said?.ok) expect(runs()).toBe(0);
  expect((await lots.handIn("R", 5))?.ok).toBe(true);
  expect((await lots.whole("R", 6000)).results).toHaveLength(5);
  const shard = lots.host.putter.shardOf("S");
  const refuse = await lots.ask((host) =>
    LotIntake.refuse(host, "S", { tag: "unknown", step: "", member: "", detail: "" }),
  );
  expect(refuse).toMatchObject({ ok: false, fault: { tag: "busy" } });
  const early = { time: Math.floor(lots.caller.env.wall()) - 1000, node: "early", seq: 0 };
  const { lot, cause } = LotIntake.order(lots.host, "S", "b", LotWorld.binding, lots.items("S", 2));
  const life = `${early.time}~early~0`;
  const late = await lots.ask((host) =>
    host.putter.askLead(
      shard,
      "lot.handIn",
      () => ({ stamp: host.putter.stamp(host.env.wall()), life, lot, cause }),
      2000,
    ),
  );
  expect(late).toMatchObject({ ok: false, fault: { tag: "busy" } });
  expect((await lots.handIn("S", 2))?.ok).toBe(true);
  expect(lots.errors()).toEqual([]);
}, 120_000);

test("a lead that is killed loses no lot: another runs what has no result, and positions stay", async () => {
  const lots = await LotWorld.start(6, { stores: 4, slots: 4, events: 20 });
  expect((await lots.handIn("K", 30))?.ok).toBe(true);
  await lots.world.run(2200);
  const before = (await lots.list("K"))!;
  expect(before.results.length).toBeGreaterThan(0);
  expect(before.results.length).toBeLessThan(30);
  lots.kill(lots.leadOf("K"));
  await lots.world.run(300);
  expect((await lots.list("K"))!.results.slice(0, before.results.length)).toEqual(before.results); // the other members read
  const whole = await lots.whole("K", 25_000);
  expect(whole.results.slice(0, before.results.length)).toEqual(before.results);
  expect(whole.results.map(({ text }) => text).sort()).toEqual(texts("K", 30, 20).sort());
  expect(lots.errors()).toEqual([]);
}, 120_000);

test("items of a binding that is gone are abandoned; a replica that left gets nothing", async () => {
  const lots = await LotWorld.start(8, { slots: 2, events: 20 });
  expect((await lots.handIn("G", 30))?.ok).toBe(true);
  await lots.world.run(1500);
  lots.goodbye("r1");
  await lots.world.run(1500);
  const leftAt = lots.caller.env.wall();
  await lots.configure({});
  const whole = await lots.whole("G", 6000);
  expect(new Set(whole.results.map(({ state }) => state))).toEqual(new Set(["complete", "abandoned"]));
  expect(lots.replicas[0].runs.filter((run) => run.at > leftAt)).toEqual([]);
  expect(lots.errors()).toEqual([]);
}, 120_000);

test("a lot handed in as a store freezes, be it the lead or a copy, is kept within a second and a quarter", async () => {
  for (const seed of [11, 12, 13]) {
    const lots = await LotWorld.start(seed, { stores: 4 });
    lots.freeze("store-2");
    await lots.world.run(50);
    const took = await lots.handInAll(["A", "B", "C", "D", "E", "F", "G", "H"], 3);
    expect({ seed, late: took.filter((ms) => ms > 1250) }).toEqual({ seed, late: [] });
    expect(lots.errors()).toEqual([]);
  }
}, 120_000);
