import { ConsensusGroup } from "../src/consensus/consensusGroup";
import { OperatorRaceCampaign } from "./operatorRaceCampaign";

/** The private member of a consensus group that the test changes to inject a fault. */
type GroupInternals = { replica: { majority: () => number } };

describe("the campaign detects an injected fault", () => {
  /** Runs campaigns of up to 12 seeds with a fault injected into the group, until the expected violation is found. */
  const violationsWith = async (injectFault: (group: GroupInternals) => void, expected: RegExp): Promise<string[]> => {
    const found: string[] = [];
    const start = ConsensusGroup.prototype.start;
    ConsensusGroup.prototype.start = function (this: ConsensusGroup) {
      injectFault(this as unknown as GroupInternals);
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
  test("of changes that are acknowledged before a majority has them", async () => {
    const expected = /two changes|was acknowledged|isn't what was sent|refused|applied one after the other/;
    const found = await violationsWith((group) => (group.replica.majority = () => 1), expected);
    expect(found.join("; ")).toMatch(expected);
  });
});

describe("operators change the configuration concurrently while control nodes fail, and then all nodes lose power", () => {
  const seeds = Number(process.env.CONTROL_SEEDS ?? 4);
  test.each([
    [4, 1, 0],
    [7, 2, 100],
  ])(
    "with %i nodes of which %i fail at once, acknowledged changes persist and only one of several concurrent changes is accepted",
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
