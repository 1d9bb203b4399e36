import { spawnSync } from "child_process";
import * as path from "path";
import { Experiment } from "../src/tools/scale/experiment";
import { SimulatedMembership } from "../src/tools/scale/simulatedMembership";
import { LossExperiment } from "../src/tools/scale/lossExperiment";
import { Sizes } from "../src/tools/scale/sizes";
import { Slope } from "../src/tools/scale/slope";
import { SlopeRun } from "../src/tools/scale/slopeRun";

const bound = { name: "members", min: 3, max: 100, reason: "the test says so" };
const experimentWith = (cost: (size: number) => number): Experiment => ({
  description: "",
  unit: "member",
  sizes: [10, 20, 30],
  bound,
  metrics: { cost: { description: "cost", isDeterministic: true } },
  measure: (size) => Promise.resolve({ cost: cost(size) }),
});
async function runAndCapture(run: SlopeRun): Promise<{ complete: boolean; text: string }> {
  const lines: string[] = [];
  return { complete: await run.run((line) => lines.push(line)), text: lines.join("\n") };
}

test("sizes that are negative, zero, not numbers or too large are rejected with a message that names the limit", () => {
  const errorOf = (text: unknown): string => {
    const parsed = Sizes.parse(text, bound);
    return parsed.ok ? "none" : parsed.fault.detail;
  };
  expect(errorOf("10, 20")).toBe("none");
  expect(errorOf("-5")).toMatch(/-5 is under the least, 3/);
  expect(errorOf("10,0")).toMatch(/0 is under the least, 3/);
  expect(errorOf("10,101")).toMatch(/101 is over the limit of 100: the test says so/);
  for (const invalid of ["", "ten", "10,", "1.5", "1e99", undefined, true]) expect(errorOf(invalid)).toMatch(/members/);
  expect(Sizes.checkMemory(780, 10_000, 12 * 2 ** 30).ok).toBe(true);
  const overLimit = Sizes.checkMemory(780, 100_000, 12 * 2 ** 30);
  expect(overLimit.ok === false && overLimit.fault.detail).toMatch(
    /780 members with 100000 replicas need about .* over the limit of 12.0 GiB/,
  );
});
test("a line is fitted through three sizes or more, and its deviation is the largest distance of a point relative to the largest value", () => {
  const fitted = Slope.fit([
    { size: 10, value: 25 },
    { size: 20, value: 45 },
    { size: 40, value: 85 },
  ]);
  expect(
    fitted.ok &&
      [fitted.value.perUnit, fitted.value.base, fitted.value.from, fitted.value.to, fitted.value.deviation].map(
        (value) => +value.toFixed(9),
      ),
  ).toEqual([2, 5, 10, 40, 0]);
  expect(fitted.ok && +Slope.valueAt(fitted.value, 780).toFixed(6)).toBe(1565);
  const nonLinear = Slope.fit([
    { size: 0, value: 0 },
    { size: 1, value: 100 },
    { size: 2, value: 0 },
  ]);
  expect(nonLinear.ok && +nonLinear.value.deviation.toFixed(3)).toBe(0.667);
  for (const points of [
    [],
    [{ size: 1, value: 1 }],
    [
      { size: 1, value: 1 },
      { size: 2, value: 2 },
      { size: 2, value: 2 },
    ],
  ])
    expect(Slope.fit(points)).toMatchObject({
      ok: false,
      fault: { detail: expect.stringMatching(/of at least 3 sizes/) },
    });
});
test("a complete run prints its slopes; an interrupted or failed one prints the sizes it covered and no slope from too few", async () => {
  const complete = await runAndCapture(
    new SlopeRun(
      "members",
      experimentWith((size) => 2 * size + 5),
      [10, 20, 30],
      1,
      60,
    ),
  );
  expect(complete).toEqual({
    complete: true,
    text: expect.stringMatching(/members.cost, cost: 2.00 a member \+ 5.00; measured from 10 to 30 \(3 sizes\)/),
  });
  let measuredCount = 0;
  const interruptedRun: SlopeRun = new SlopeRun(
    "members",
    experimentWith((size) => {
      if ((measuredCount += 1) === 3) interruptedRun.isInterrupted = true;
      return size;
    }),
    [10, 20, 30, 40],
    1,
    60,
  );
  const interrupted = await runAndCapture(interruptedRun);
  expect(interrupted.complete).toBe(false);
  expect(interrupted.text).toMatch(/cut short: covered 10, 20 of 10, 20, 30, 40/);
  expect(interrupted.text).toMatch(/no slope: 2 of at least 3 sizes/);
  expect(interrupted.text).not.toMatch(/ a member \+ /);
  const failed = await runAndCapture(
    new SlopeRun(
      "members",
      experimentWith((size) => {
        if (size === 20) throw new Error("it broke");
        return size;
      }),
      [10, 20, 30],
      1,
      60,
    ),
  );
  expect(failed.text).toMatch(/failed at 20 members: it broke\ncut short: covered 10 of 10, 20, 30/);
  const timedOut = await runAndCapture(
    new SlopeRun(
      "members",
      experimentWith((size) => (size === 30 ? NaN : size)),
      [10, 20, 30],
      1,
      60,
    ),
  );
  expect(timedOut.text).toMatch(/no slope: not reached in time/);
  const late = await runAndCapture(
    new SlopeRun(
      "members",
      experimentWith((size) => size),
      [10, 20, 30],
      1,
      -1,
    ),
  );
  expect(late.text).toMatch(/cut short: covered nothing of 10, 20, 30/);
});
test("the command rejects invalid sizes before it starts anything, with exit code 2 and the limit", () => {
  const run = (...args: string[]): { status: number | null; err: string } => {
    const exited = spawnSync(process.execPath, [path.join(__dirname, "../src/main.js"), "scale", ...args], {
      encoding: "utf8",
      timeout: 60_000,
    });
    return { status: exited.status, err: exited.stderr };
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
test("runs of lightweight members with the same seed give the same counts", async () => {
  const measure = async (): Promise<unknown> => {
    const membership = new SimulatedMembership({ members: 12, endpoints: 5, zones: 5, regions: 2, seed: 4 });
    const allKnownMs = await membership.boot(30_000);
    const rates = await membership.measureRates(3000);
    membership.end();
    return { allKnownMs, rates };
  };
  expect(await measure()).toEqual(await measure());
}, 60_000);
test("all members learn that the members of a lost zone are dead, and suspect no running member", async () => {
  const measured = await LossExperiment.measure("zone", 50, 5, 10_000, 1);
  expect(measured).toMatchObject({ lost: 2, falseSuspicions: 0 });
  expect(measured.detectedMs).toBeLessThan(8000);
}, 120_000);
