import * as fs from "fs";
import * as path from "path";
import { Campaign } from "../src/simulation/campaign";
import { Scenarios } from "../src/simulation/scenarios/scenarios";
import { Deployment } from "../src/tools/deployment";

type Case = { scenario: string; seed: number; point: number };
/** Runs that once revealed a fault. The commit that fixed the fault names the seed. */
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
 * A fixed set of simulated runs. It is split over several test files, which run in parallel.
 */
export const SimSuite = {
  /** Defines the tests of one test file, `part` from 1 to `partCount`. */
  part(part: number, partCount: number): void {
    const deployment = Deployment.check(
      JSON.parse(fs.readFileSync(path.join(__dirname, "../../deploy/sim.json"), "utf8")),
    );
    if (!deployment.ok) throw new Error(JSON.stringify(deployment.fault));
    test.each(
      cases
        .filter((_case, index) => index % partCount === part - 1)
        .map(
          (each) =>
            [`${each.scenario}${each.point ? ` at point ${each.point}` : ""}, seed ${each.seed}`, each] as const,
        ),
    )("%s", async (_name, each) => {
      const report = await Campaign.run(deployment.value, Scenarios.find(each.scenario)!, each.seed, each.point);
      expect(report.violations).toEqual([]);
      expect(report.served).toBeGreaterThan(50);
    });
  },
};
