import { Action } from "../src/model/actions";
import { ModelCampaign } from "../src/model/campaign";
import { Walk } from "../src/model/walk";

describe("random walks over the control group keep every invariant after each step", () => {
  test.each([
    [3, 60],
    [5, 30],
  ] as [3 | 5, number][])("with %i voters, in %i walks", async (voters, walks) => {
    const report = await ModelCampaign.run({ firstSeed: 1, walks, voters });
    expect(report.failures).toEqual([]);
    expect(report.walks).toBe(walks);
    expect(report.totals.acknowledged).toBeGreaterThan(2 * walks);
  });
});

// Guards against a voter that forgets what it acknowledged, votes twice, or is lost, after its disk rejected writes.
describe("random walks over the control group in which disks reject writes keep every invariant", () => {
  test.each([
    [3, 60],
    [5, 30],
  ] as [3 | 5, number][])("with %i voters, in %i walks", async (voters, walks) => {
    const report = await ModelCampaign.run({ firstSeed: 1, walks, voters, diskFaults: true });
    expect(report.failures).toEqual([]);
    expect(report.walks).toBe(walks);
    expect(report.totals.acknowledged).toBeGreaterThan(2 * walks);
  });
});

describe("the same seed", () => {
  test("gives the same log and actions of a walk", async () => {
    const actions: Action[] = [
      { tag: "change", at: "leaseholder", register: "policies", base: "current", count: 3 },
      { tag: "isolateLeader", way: "out" },
      { tag: "pass", ms: 2500 },
      { tag: "wipe", machine: 1, backInMs: 300 },
      { tag: "pass", ms: 1200 },
    ];
    const trace = async (): Promise<string[]> => {
      const lines: string[] = [];
      await Walk.play({ seed: 11, voters: 3, trace: (line) => lines.push(line) }, actions);
      return lines;
    };
    const first = await trace();
    expect(first.length).toBeGreaterThan(5);
    expect(await trace()).toEqual(first);
  });
});
