import { ConsensusGroup } from "../src/consensus/consensusGroup";
import { OperatorRaceCampaign } from "./operatorRaceCampaign";

/** The part of a consensus group that a fault is planted in; it is private there. */
type GroupInternals = { replica: { majority: () => number } };

describe("the campaign finds a planted fault", () => {
  /** Violations that the campaigns of a few seeds find with a fault planted in the group, up to the expected one. */
  const violationsWith = async (plant: (group: GroupInternals) => void, expected: RegExp): Promise<string[]> => {
    const found: string[] = [];
    const start = ConsensusGroup.prototype.start;
    ConsensusGroup.prototype.start = function (this: ConsensusGroup) {
      plant(this as unknown as GroupInternals);
      start.call(this);
    };
    try {
      for (let seed = 1; seed <= 12 && !expected.test(found.join("; ")); seed += 1)
        found.push(...(await OperatorRaceCampaign.run(seed, { controls: 4, losses: 1 })).violations);
    } finally {
      ConsensusGroup.prototype.start = start;
    }
    return found;
  };
  test("a change that is acknowledged before a majority has it", async () => {
    const expected = /two changes|was acknowledged|isn't what was sent|refused|applied one after the other/;
    const found = await violationsWith((group) => (group.replica.majority = () => 1), expected);
    expect(found.join("; ")).toMatch(expected);
  });
});

describe("operators change the configuration at once while control nodes are lost, and then all lose power", () => {
  const seeds = Number(process.env.CONTROL_SEEDS ?? 4);
  test.each([
    [4, 1, 0],
    [7, 2, 100],
  ])(
    "of %i nodes %i are lost at once: acknowledged changes stay, and of concurrent ones one is accepted",
    async (controls, losses, from) => {
      for (let seed = from + 1; seed <= from + seeds; seed += 1) {
        const result = await OperatorRaceCampaign.run(seed, { controls, losses, faults: 4 });
        expect({ seed, acts: result.injectedFaults, violations: result.violations }).toEqual({
          seed,
          acts: result.injectedFaults,
          violations: [],
        });
        expect(result.acknowledged).toBeGreaterThan(10);
      }
    },
  );
});
