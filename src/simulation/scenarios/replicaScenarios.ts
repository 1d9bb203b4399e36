import { UnnumberedScenario } from "./scenario";

/** Load, and replicas that crash, go dark or are replaced. */
export const endpointScenarios: UnnumberedScenario[] = [
  {
    name: "calm",
    description: "nothing goes wrong",
    run: async (fleet) => {
      await fleet.changeConfiguration();
      await fleet.run(10_000);
    },
  },
  {
    name: "crowd",
    description: "crowds of live users and of lots at once",
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
    description: "many times what the replicas can carry: refusals at once, live work ahead of lots",
    load: 1,
    run: async (fleet) => {
      await fleet.run(3000);
      fleet.callers.load = 16;
      const from = fleet.wall();
      await fleet.run(7000);
      const to = fleet.wall();
      fleet.callers.load = 1;
      await fleet.run(9000);
      const busies = fleet.history
        .of("busy")
        .filter((seen) => seen.at > from && seen.at < to)
        .map((seen) => seen.tookMs)
        .sort((left, right) => left - right);
      if (busies.length < 50) throw new Error(`only ${busies.length} refusals: nothing was overloaded`);
      const slow = busies[Math.floor(busies.length * 0.95)];
      if (slow > 1000) throw new Error(`one refusal in twenty was told after more than ${slow.toFixed(0)} ms`);
      const runs = fleet.startedEndpoints
        .flatMap((endpoint) => endpoint.runs)
        .filter((run) => run.at > from + 1500 && run.at < to);
      const items = runs.filter((run) => run.id.includes("/")).length;
      fleet.notes.push(
        `${busies.length} refusals, 95 of 100 within ${slow.toFixed(0)} ms; ${items} items of lots among ${runs.length} runs`,
      );
      if (items > runs.length / 10)
        throw new Error(`${items} of ${runs.length} runs were items of lots while live work was refused`);
    },
  },
  {
    name: "replicas-crash",
    description: "a third of the replicas crash, and come back",
    run: async (fleet) => {
      const lost = fleet.plan.endpoints.filter((_replica, at) => at % 3 === 0);
      fleet.fault("replicas crash", true);
      for (const endpoint of lost) fleet.killEndpoint(endpoint.id);
      await fleet.run(7000);
      fleet.callers.load = 7; // those that come back must not be flooded
      await fleet.run(2000);
      for (const endpoint of lost) fleet.startEndpoint(endpoint);
      await fleet.run(3000);
      fleet.callers.load = 1;
      await fleet.run(5000);
    },
  },
  {
    name: "replicas-dark",
    description: "replicas accept and never reply, or reply nonsense, or never stop",
    run: async (fleet) => {
      fleet.fault("replicas dark", true);
      const behaviors = ["unresponsive", "malformed", "endless", "overloaded"] as const;
      [...fleet.endpoints.values()].forEach(({ replica: endpoint }, at) => {
        if (at % 3 === 0) endpoint.behavior = behaviors[(at / 3) % behaviors.length];
      });
      await fleet.run(12_000);
      for (const { replica: endpoint } of fleet.endpoints.values()) endpoint.behavior = "healthy";
      await fleet.run(8000);
    },
  },
  {
    name: "replicas-replaced",
    description: "replicas are replaced one by one with goodbyes, under a crowd",
    run: async (fleet) => {
      fleet.callers.load = 2;
      for (const endpoint of fleet.plan.endpoints.slice(0, 5)) await fleet.replaceEndpoint(endpoint.id, "v2");
      await fleet.run(3000);
    },
  },
  ...["ingress", "agent", "store", "control"].map((program): UnnumberedScenario => ({
    name: `kill-${program}`,
    description: `a ${program} is killed, and started again`,
    run: async (fleet) => {
      const name =
        program === "store"
          ? fleet.busiestStore()
          : program === "control"
            ? fleet.controlLeader()
            : fleet.names(program)[0];
      fleet.fault(`kill ${name}`, true);
      fleet.kill(name);
      await fleet.run(7000);
      fleet.restart(name);
      await fleet.run(10_000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  })),
];
