import { DirectTraffic } from "../directTraffic";
import { pickRandom, UnnumberedScenario } from "./scenario";

/** The least number of responses of each framing that a run must have broken off to prove anything. */
const MIN_CUTS = 30;
/** The least number of complete responses to direct requests. */
const MIN_COMPLETE = 100;

/** The least number of responses that a run must have sent a second time at each moment. */
const MIN_SECOND_RESPONSES = 20;
/** The least number of requests that must have been answered with the promise that they did not run. */
const MIN_PROMISES = 30;

/** Scenarios of responses that endpoints break off or send twice. */
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
  {
    name: "responses-twice",
    description:
      "two endpoints refuse, fail and break off direct requests, and send a third of their responses a second time, before, with or after the next request, while an ingress is killed",
    run: async (fleet) => {
      const traffic = await DirectTraffic.start(fleet, { endpoints: 2, maxAttempts: 3 });
      traffic.refusalShare = 0.4;
      traffic.failureShare = 0.05;
      traffic.cutShare = 0.05;
      traffic.sendTwice(0.33);
      await fleet.run(6000);
      const ingress = pickRandom(fleet, fleet.names("ingress"));
      fleet.recordFault(`kill ${ingress}`, true);
      fleet.kill(ingress);
      await fleet.run(4000);
      fleet.restart(ingress);
      await fleet.run(10_000);
      traffic.sendTwice(0);
      await fleet.run(3000);
      traffic.expectPromisesKept();
      traffic.expectAttemptsWithinLimits();
      const { promisedCount, secondResponses } = traffic;
      const complete = fleet.history.of("directResponse").filter(({ looksComplete }) => looksComplete).length;
      fleet.notes.push(
        `${complete} complete, ${promisedCount} promised as not run, second responses ${JSON.stringify(secondResponses)}`,
      );
      const isExercised =
        complete >= MIN_COMPLETE &&
        promisedCount >= MIN_PROMISES &&
        Math.min(...Object.values(secondResponses)) >= MIN_SECOND_RESPONSES;
      if (!isExercised) throw new Error(`too little was exercised: ${fleet.notes[fleet.notes.length - 1]}`);
    },
  },
];
