import { DirectTraffic } from "../directTraffic";
import { pickRandom, UnnumberedScenario } from "./scenario";

/** The least number of responses of each framing that a run must have broken off to prove anything. */
const MIN_CUTS = 30;
/** The least number of complete responses to direct requests. */
const MIN_COMPLETE = 100;

/** Scenarios of responses that endpoints break off. */
export const responseScenarios: UnnumberedScenario[] = [
  {
    name: "responses-cut",
    description:
      "endpoints frame responses to direct requests in every way and break off a third of them, while an ingress is killed and the configuration changes",
    run: async (fleet) => {
      const traffic = await DirectTraffic.start(fleet);
      traffic.cutShare = 0.33;
      await fleet.run(5000);
      const ingress = pickRandom(fleet, fleet.names("ingress"));
      fleet.recordFault(`kill ${ingress}`, true);
      fleet.kill(ingress);
      await fleet.changeConfiguration();
      await fleet.run(4000);
      fleet.restart(ingress);
      await fleet.changeConfiguration();
      await fleet.run(8000);
      traffic.cutShare = 0;
      await fleet.run(3000);
      traffic.expectAttemptsWithinLimits();
      const responses = fleet.history.of("directResponse");
      const complete = responses.filter(({ looksComplete }) => looksComplete).length;
      const { chunked, connection } = traffic.cuts;
      fleet.notes.push(
        `${complete} of ${responses.length} responses complete; cut: ${chunked} chunked, ${connection} other`,
      );
      if (Math.min(chunked, connection) < MIN_CUTS || complete < MIN_COMPLETE)
        throw new Error(`too little was exercised: ${fleet.notes[fleet.notes.length - 1]}`);
    },
  },
];
