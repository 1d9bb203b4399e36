import * as fs from "fs";
import * as path from "path";
import { Campaign } from "../src/simulation/campaign";
import { Scenarios } from "../src/simulation/scenarios/scenarios";
import { Deployment } from "../src/tools/deployment";

type Case = { scenario: string; seed: number; point: number };
/** Seeds that once found a fault; the commit that mended it names them. */
const regressions: Case[] = [
  { scenario: "freeze-edge", seed: 1, point: 0 },
  { scenario: "slow-puts", seed: 2, point: 0 },
  { scenario: "kill-at-point", seed: 3, point: 21 },
  { scenario: "ingress-deaf", seed: 6, point: 0 },
  { scenario: "ingress-deaf", seed: 1, point: 0 },
  { scenario: "join-and-lose", seed: 6, point: 38 },
];
const cases: Case[] = [
  ...Scenarios.all.flatMap((scenario): Case[] =>
    (scenario.points ?? [0]).map((point) => ({ scenario: scenario.name, seed: 1, point })),
  ),
  ...regressions,
];

/**
 * The fixed set of simulated runs, shared out over test files so that they run side by side.
 *
 * @example
 * SimSuite.part(1, 7);
 */
export const SimSuite = {
  part(part: number, of: number): void {
    const read = Deployment.check(JSON.parse(fs.readFileSync(path.join(__dirname, "../../deploy/sim.json"), "utf8")));
    if (!read.ok) throw new Error(JSON.stringify(read.fault));
    test.each(
      cases
        .filter((_case, at) => at % of === part - 1)
        .map(
          (each) =>
            [`${each.scenario}${each.point ? ` at point ${each.point}` : ""}, seed ${each.seed}`, each] as const,
        ),
    )("%s", async (_name, each) => {
      const report = await Campaign.run(read.value, Scenarios.find(each.scenario)!, each.seed, each.point);
      expect(report.violations).toEqual([]);
      expect(report.served).toBeGreaterThan(50);
    });
  },
};
