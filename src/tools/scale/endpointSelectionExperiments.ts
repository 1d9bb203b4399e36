import { EndpointSelector } from "../../routing/endpointSelector";
import { SelectionCriteria } from "../../routing/selectionCriteria";
import { ClusterSnapshot, Endpoint } from "../../node/clusterSnapshot";
import { Scope } from "../../runtime/csp";
import { NodeEnvironment } from "../../runtime/nodeEnvironment";
import { Experiment } from "./experiment";
import { SimulatedMembership } from "./simulatedMembership";

const ROUNDS = 7;
const ROUND_MS = 60;

function candidates(count: number): Endpoint[] {
  const bornAt = Date.now() - 3_600_000;
  return Array.from({ length: count }, (_none, index): Endpoint => ({
    key: `replica/r${index}/1`,
    id: `r${index}`,
    instance: "1",
    address: `10.0.${index >> 8}.${index & 255}:9000`,
    pool: "model",
    district: `r${index % 7}-z${index % 25}`,
    version: "v1",
    capacity: 16,
    active: index % 11,
    waiting: 0,
    bornAt,
  }));
}
/** Returns the median time of one selection in microseconds. */
function measureSelection(hasPrefix: boolean, snapshot: SelectionCriteria["snapshot"]): number {
  const scope = new Scope("endpoint selection", () => undefined);
  const endpointSelector = new EndpointSelector(NodeEnvironment.make("endpoint selection", scope, () => undefined));
  const timesUs: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    let selectedCount = 0;
    const startedAt = performance.now();
    while (selectedCount === 0 || performance.now() - startedAt < ROUND_MS) {
      const criteria: SelectionCriteria = {
        snapshot,
        pool: "model",
        route: "ask",
        caller: "",
        kind: "stream",
        prefix: hasPrefix ? `prompt-${round}-${selectedCount}` : "",
        trafficClass: "live",
        exclude: new Set(),
      };
      if (!endpointSelector.choose(criteria)) throw new Error("the selector found no endpoint");
      selectedCount += 1;
    }
    timesUs.push(((performance.now() - startedAt) / selectedCount) * 1000);
  }
  scope.stop();
  return timesUs.sort((left, right) => left - right)[ROUNDS >> 1];
}

/** Measures in real time how the cost of selecting an endpoint grows with the number of candidates in its pool. */
export const EndpointSelectionExperiments = {
  candidates: {
    description:
      "Time to select an endpoint by the number of candidates in its pool: real time, one core, no requests in flight.",
    unit: "candidate",
    sizes: [17, 100, 1000, 10_000],
    bound: {
      name: "candidates",
      min: 1,
      max: 100_000,
      reason: "more candidates need more than a few hundred MB in one process",
    },
    metrics: {
      prefixUs: { description: "µs per selection by prompt prefix, median of seven rounds", isDeterministic: false },
      plainUs: { description: "µs per selection without a prefix, median of seven rounds", isDeterministic: false },
    },
    measure(count) {
      const snapshot: ClusterSnapshot = {
        revision: 1,
        control: SimulatedMembership.snapshot(1, 1),
        members: [],
        endpoints: candidates(count),
        overloadedPools: {},
        isCurrent: true,
        clockTrusted: true,
      };
      return Promise.resolve({
        prefixUs: measureSelection(true, snapshot),
        plainUs: measureSelection(false, snapshot),
      });
    },
  } as Experiment,
};
