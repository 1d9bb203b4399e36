import { spawnSync } from "child_process";
import * as path from "path";
import { Experiment } from "../src/tools/scale/experiment";
import { SimulatedMembership } from "../src/tools/scale/simulatedMembership";
import { LossExperiment } from "../src/tools/scale/lossExperiment";
import { Sizes } from "../src/tools/scale/sizes";
import { Slope } from "../src/tools/scale/slope";
import { SlopeRun } from "../src/tools/scale/slopeRun";

const bound = { name: "members", least: 3, most: 100, why: "the test says so" };
const linear = (measured: (size: number) => number): Experiment => ({
  description: "",
  unit: "member",
  sizes: [10, 20, 30],
  bound,
  metrics: { cost: { description: "cost", isDeterministic: true } },
  measure: (size) => Promise.resolve({ cost: measured(size) }),
});
async function printed(run: SlopeRun): Promise<{ complete: boolean; text: string }> {
  const lines: string[] = [];
  return { complete: await run.run((line) => lines.push(line)), text: lines.join("\n") };
}

test("sizes that are negative, zero, no numbers or too great are refused, and the limit is named", () => {
  const refused = (text: unknown): string => {
    const read = Sizes.parse(text, bound);
    return read.ok ? "taken" : read.fault.detail;
  };
  expect(refused("10, 20")).toBe("taken");
  expect(refused("-5")).toMatch(/-5 is under the least, 3/);
  expect(refused("10,0")).toMatch(/0 is under the least, 3/);
  expect(refused("10,101")).toMatch(/101 is over the limit of 100: the test says so/);
  for (const odd of ["", "ten", "10,", "1.5", "1e99", undefined, true]) expect(refused(odd)).toMatch(/members/);
  expect(Sizes.checkMemory(780, 10_000, 12 * 2 ** 30).ok).toBe(true);
  const beyond = Sizes.checkMemory(780, 100_000, 12 * 2 ** 30);
  expect(beyond.ok === false && beyond.fault.detail).toMatch(
    /780 members with 100000 replicas need about .* over the limit of 12.0 GiB/,
  );
});
test("a line is fitted through three sizes or more, and its spread is the greatest distance", () => {
  const fitted = Slope.fit([
    { at: 10, value: 25 },
    { at: 20, value: 45 },
    { at: 40, value: 85 },
  ]);
  expect(
    fitted.ok &&
      [fitted.value.perUnit, fitted.value.base, fitted.value.from, fitted.value.to, fitted.value.spread].map(
        (value) => +value.toFixed(9),
      ),
  ).toEqual([2, 5, 10, 40, 0]);
  expect(fitted.ok && +Slope.at(fitted.value, 780).toFixed(6)).toBe(1565);
  const bent = Slope.fit([
    { at: 0, value: 0 },
    { at: 1, value: 100 },
    { at: 2, value: 0 },
  ]);
  expect(bent.ok && +bent.value.spread.toFixed(3)).toBe(0.667);
  for (const points of [
    [],
    [{ at: 1, value: 1 }],
    [
      { at: 1, value: 1 },
      { at: 2, value: 2 },
      { at: 2, value: 2 },
    ],
  ])
    expect(Slope.fit(points)).toMatchObject({
      ok: false,
      fault: { detail: expect.stringMatching(/of at least 3 sizes/) },
    });
});
test("a whole run prints its slopes; one cut short or failed says what it covered and prints none from too few sizes", async () => {
  const whole = await printed(
    new SlopeRun(
      "members",
      linear((size) => 2 * size + 5),
      [10, 20, 30],
      1,
      60,
    ),
  );
  expect(whole).toEqual({
    complete: true,
    text: expect.stringMatching(/members.cost, cost: 2.00 a member \+ 5.00; measured from 10 to 30 \(3 sizes\)/),
  });
  let asked = 0;
  const cutRun: SlopeRun = new SlopeRun(
    "members",
    linear((size) => {
      if ((asked += 1) === 3) cutRun.isInterrupted = true;
      return size;
    }),
    [10, 20, 30, 40],
    1,
    60,
  );
  const cut = await printed(cutRun);
  expect(cut.complete).toBe(false);
  expect(cut.text).toMatch(/cut short: covered 10, 20 of 10, 20, 30, 40/);
  expect(cut.text).toMatch(/no slope: 2 of at least 3 sizes/);
  expect(cut.text).not.toMatch(/ a member \+ /);
  const failed = await printed(
    new SlopeRun(
      "members",
      linear((size) => {
        if (size === 20) throw new Error("it broke");
        return size;
      }),
      [10, 20, 30],
      1,
      60,
    ),
  );
  expect(failed.text).toMatch(/failed at 20 members: it broke\ncut short: covered 10 of 10, 20, 30/);
  const unreached = await printed(
    new SlopeRun(
      "members",
      linear((size) => (size === 30 ? NaN : size)),
      [10, 20, 30],
      1,
      60,
    ),
  );
  expect(unreached.text).toMatch(/no slope: not reached in time/);
  const late = await printed(
    new SlopeRun(
      "members",
      linear((size) => size),
      [10, 20, 30],
      1,
      -1,
    ),
  );
  expect(late.text).toMatch(/cut short: covered nothing of 10, 20, 30/);
});
test("the command refuses bad sizes before it starts anything: exit 2 and the limit", () => {
  const run = (...words: string[]): { status: number | null; err: string } => {
    const done = spawnSync(process.execPath, [path.join(__dirname, "../src/main.js"), "scale", ...words], {
      encoding: "utf8",
      timeout: 60_000,
    });
    return { status: done.status, err: done.stderr };
  };
  expect(run("members", "--sizes=-30,60")).toMatchObject({
    status: 2,
    err: expect.stringContaining("-30 is under the least, 10"),
  });
  expect(run("replicas", "--sizes", "0")).toMatchObject({
    status: 2,
    err: expect.stringContaining("0 is under the least, 1"),
  });
  expect(run("members", "--sizes", "30,1e6")).toMatchObject({
    status: 2,
    err: expect.stringContaining("over the limit of 1000"),
  });
  expect(run("whole", "--members", "5000", "--replicas", "100000")).toMatchObject({
    status: 2,
    err: expect.stringContaining("half of this machine's memory"),
  });
  expect(run("whole", "--processes", "0")).toMatchObject({
    status: 2,
    err: expect.stringContaining("processes: 0 is under the least, 1"),
  });
  expect(run("loss", "--kind", "flood")).toMatchObject({
    status: 2,
    err: expect.stringContaining("rack, zone, regions"),
  });
}, 60_000);
test("one seed gives one run: the counts of lightweight members are the same again", async () => {
  const counts = async (): Promise<unknown> => {
    const membership = new SimulatedMembership({ members: 12, endpoints: 5, zones: 5, regions: 2, seed: 4 });
    const known = await membership.boot(30_000);
    const spent = await membership.measureRates(3000);
    membership.end();
    return { known, spent };
  };
  expect(await counts()).toEqual(await counts());
}, 60_000);
test("a lost zone becomes known to all, and nobody who lives is suspected for it", async () => {
  const found = await LossExperiment.measure("zone", 50, 5, 10_000, 1);
  expect(found).toMatchObject({ lost: 2, falseSuspicions: 0 });
  expect(found.knownMs).toBeLessThan(8000);
}, 120_000);
