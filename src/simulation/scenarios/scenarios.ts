import { clockScenarios } from "./clockScenarios";
import { combinedScenarios } from "./combinedScenarios";
import { diskScenarios } from "./diskScenarios";
import { networkScenarios } from "./networkScenarios";
import { operatorScenarios } from "./operatorScenarios";
import { processScenarios } from "./processScenarios";
import { endpointScenarios } from "./endpointScenarios";
import { faultPoints, Scenario } from "./scenario";

export type { Scenario } from "./scenario";

/** In the order of their numbers: a new scenario comes last. */
const inOrder = [
  ...endpointScenarios,
  ...processScenarios,
  ...networkScenarios,
  ...diskScenarios,
  ...operatorScenarios,
  ...clockScenarios,
  ...combinedScenarios,
];

/**
 * Every scenario by number and name.
 *
 * @example
 * const scenario = Scenarios.find("freeze-store");
 */
export const Scenarios = {
  points: faultPoints,
  all: inOrder.map((scenario, at): Scenario => ({ ...scenario, number: at + 1 })),
  /** By name or number; undefined if there is none. @example Scenarios.find("3") */
  find: (wanted: string): Scenario | undefined =>
    Scenarios.all.find((scenario) => scenario.name === wanted || String(scenario.number) === wanted),
};
