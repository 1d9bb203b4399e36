import { UnnumberedScenario } from "./scenario";

/** Scenarios of high load, of endpoints that crash, misbehave or are replaced, and of killed processes. */
export const endpointScenarios: UnnumberedScenario[] = [
  {
    name: "calm",
    description: "no faults occur",
    run: async (fleet) => {
      await fleet.changeConfiguration();
      await fleet.run(10_000);
    },
  },
  {
    name: "crowd",
    description: "the load of live requests and batch jobs rises to five times its usual value for a while",
    load: 1,
    run: async (fleet) => {
      await fleet.run(3000);
      fleet.callers.load = 5;
      await fleet.run(8000);
      fleet.callers.load = 1;
      await fleet.run(6000);
    },
  },
  {
    name: "overload",
    description:
      "the load is many times the capacity: rejections come quickly and live requests have priority over batch items",
    load: 1,
    run: async (fleet) => {
      await fleet.run(3000);
      fleet.callers.load = 16;
      const from = fleet.wallMs();
      await fleet.run(7000);
      const to = fleet.wallMs();
      fleet.callers.load = 1;
      await fleet.run(9000);
      const rejectionMs = fleet.history
        .of("busy")
        .filter((rejection) => rejection.at > from && rejection.at < to)
        .map((rejection) => rejection.tookMs)
        .sort((left, right) => left - right);
      if (rejectionMs.length < 50) throw new Error(`only ${rejectionMs.length} rejections: nothing was overloaded`);
      const percentile95 = rejectionMs[Math.floor(rejectionMs.length * 0.95)];
      if (percentile95 > 1000) throw new Error(`5 % of rejections took longer than ${percentile95.toFixed(0)} ms`);
      const runs = fleet.startedEndpoints
        .flatMap((endpoint) => endpoint.runs)
        .filter((run) => run.at > from + 1500 && run.at < to);
      const itemCount = runs.filter((run) => run.id.includes("/")).length;
      fleet.notes.push(
        `${rejectionMs.length} rejections, 95 % within ${percentile95.toFixed(0)} ms; ${itemCount} of ${runs.length} runs were batch items`,
      );
      if (itemCount > runs.length / 10)
        throw new Error(`${itemCount} of ${runs.length} runs were batch items while live requests were rejected`);
    },
  },
  {
    name: "replicas-crash",
    description: "a third of the endpoints crash and restart",
    run: async (fleet) => {
      const crashed = fleet.plan.endpoints.filter((_endpoint, index) => index % 3 === 0);
      fleet.recordFault("replicas crash", true);
      for (const endpoint of crashed) fleet.killEndpoint(endpoint.id);
      await fleet.run(7000);
      fleet.callers.load = 7; // The restarted endpoints must not be flooded with requests.
      await fleet.run(2000);
      for (const endpoint of crashed) fleet.startEndpoint(endpoint);
      await fleet.run(3000);
      fleet.callers.load = 1;
      await fleet.run(5000);
    },
  },
  {
    name: "replicas-dark",
    description: "some endpoints never reply, send malformed or endless replies, or are overloaded",
    run: async (fleet) => {
      fleet.recordFault("replicas dark", true);
      const behaviors = ["unresponsive", "malformed", "endless", "overloaded"] as const;
      [...fleet.endpoints.values()].forEach(({ endpoint }, index) => {
        if (index % 3 === 0) endpoint.behavior = behaviors[(index / 3) % behaviors.length];
      });
      await fleet.run(12_000);
      for (const { endpoint } of fleet.endpoints.values()) endpoint.behavior = "healthy";
      await fleet.run(8000);
    },
  },
  {
    name: "replicas-replaced",
    description: "endpoints are replaced one by one under double load, and each deregisters first",
    run: async (fleet) => {
      fleet.callers.load = 2;
      for (const endpoint of fleet.plan.endpoints.slice(0, 5)) await fleet.replaceEndpoint(endpoint.id, "v2");
      await fleet.run(3000);
    },
  },
  ...["ingress", "agent", "store", "control"].map((program): UnnumberedScenario => ({
    name: `kill-${program}`,
    description: `a process of the ${program} program is killed and restarted`,
    run: async (fleet) => {
      const name =
        program === "store"
          ? fleet.busiestStore()
          : program === "control"
            ? fleet.controlLeader()
            : fleet.names(program)[0];
      fleet.recordFault(`kill ${name}`, true);
      fleet.kill(name);
      await fleet.run(7000);
      fleet.restart(name);
      await fleet.run(10_000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  })),
];
