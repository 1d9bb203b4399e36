import { clockScenarios } from "./clockScenarios";
import { combinedScenarios } from "./combinedScenarios";
import { diskScenarios } from "./diskScenarios";
import { networkScenarios } from "./networkScenarios";
import { operatorScenarios } from "./operatorScenarios";
import { processScenarios } from "./processScenarios";
import { responseScenarios } from "./responseScenarios";
import { endpointScenarios } from "./endpointScenarios";
import { faultPoints, Scenario } from "./scenario";
import { writeFaultScenarios } from "./writeFaultScenarios";

export type { Scenario } from "./scenario";

/** All scenarios in the order of their numbers. A new one goes to the end, so that the others keep their numbers. */
const allScenarios = [
  ...endpointScenarios,
  ...processScenarios,
  ...networkScenarios,
  ...diskScenarios,
  ...operatorScenarios,
  ...clockScenarios,
  ...combinedScenarios,
  ...responseScenarios,
  ...writeFaultScenarios,
];

/** All scenarios, with their numbers. */
export const Scenarios = {
  points: faultPoints,
  all: allScenarios.map((scenario, index): Scenario => ({ ...scenario, number: index + 1 })),
  /** Finds a scenario by name or number. @example Scenarios.find("3") */
  find: (wanted: string): Scenario | undefined =>
    Scenarios.all.find((scenario) => scenario.name === wanted || String(scenario.number) === wanted),
};
