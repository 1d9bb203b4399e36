import { EndpointSelector } from "../../routing/endpointSelector";
import { SelectionCriteria } from "../../routing/selectionCriteria";
import { ClusterSnapshot, Endpoint } from "../../node/clusterSnapshot";
import { Scope } from "../../runtime/csp";
import { NodeEnvironment } from "../../runtime/nodeEnvironment";
import { Experiment } from "./experiment";
import { SimulatedMembership } from "./simulatedMembership";

const rounds = 7;
const roundMs = 60;

function candidates(count: number): Endpoint[] {
  const bornAt = Date.now() - 3_600_000;
  return Array.from({ length: count }, (_none, at): Endpoint => ({
    key: `replica/r${at}/1`,
    id: `r${at}`,
    instance: "1",
    address: `10.0.${at >> 8}.${at & 255}:9000`,
    pool: "model",
    district: `r${at % 7}-z${at % 25}`,
    version: "v1",
    capacity: 16,
    active: at % 11,
    waiting: 0,
    bornAt,
  }));
}
/** Median time of one choice, µs. */
function perChoice(prefix: boolean, snapshot: SelectionCriteria["snapshot"]): number {
  const scope = new Scope("choice", () => undefined);
  const endpointSelector = new EndpointSelector(NodeEnvironment.make("choice", scope, () => undefined));
  const times: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    let chosen = 0;
    const from = performance.now();
    while (chosen === 0 || performance.now() - from < roundMs) {
      const criteria: SelectionCriteria = {
        snapshot,
        pool: "model",
        route: "ask",
        caller: "",
        kind: "stream",
        prefix: prefix ? `prompt-${round}-${chosen}` : "",
        trafficClass: "live",
        exclude: new Set(),
      };
      if (!endpointSelector.choose(criteria)) throw new Error("no replica was chosen");
      chosen += 1;
    }
    times.push(((performance.now() - from) / chosen) * 1000);
  }
  scope.stop();
  return times.sort((left, right) => left - right)[rounds >> 1];
}

/**
 * The choice of a replica against the candidates in its pool, in real time.
 *
 * @example
 * const measured = await ChoiceScale.candidates.measure(1000, 1);
 */
export const EndpointSelectionExperiments = {
  /** @example await ChoiceScale.candidates.measure(1000, 1) */
  candidates: {
    description: "The choice of a replica against the candidates in its pool, real time, one core, nothing in flight.",
    unit: "candidate",
    sizes: [17, 100, 1000, 10_000],
    bound: { name: "candidates", min: 1, max: 100_000, reason: "one process holds no more in a few hundred MB" },
    metrics: {
      prefixUs: { description: "µs a choice by prompt prefix, median of seven", isDeterministic: false },
      plainUs: { description: "µs a choice without a prefix, median of seven", isDeterministic: false },
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
      return Promise.resolve({ prefixUs: perChoice(true, snapshot), plainUs: perChoice(false, snapshot) });
    },
  } as Experiment,
};
