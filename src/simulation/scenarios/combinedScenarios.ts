import { pickRandom, UnnumberedScenario } from "./scenario";

/** Scenarios of a power loss of the whole fleet, planned stops, releases, and several faults in one run. */
export const combinedScenarios: UnnumberedScenario[] = [
  {
    name: "closing-fault",
    description: "all machines lose power at once at the end of the run, and restart",
    run: async (fleet) => {
      await fleet.changeConfiguration();
      await fleet.run(5000);
      await fleet.changeConfiguration();
      fleet.recordFault("power loss everywhere", true);
      const names = fleet.plan.processes.map((each) => each.name);
      for (const name of names) fleet.kill(name, true);
      await fleet.run(2000);
      for (const name of names) fleet.restart(name);
      await fleet.run(15_000);
    },
  },
  {
    name: "planned-stops",
    description: "one process of each program in turn is stopped by SIGTERM and started again, without any fault",
    run: async (fleet) => {
      fleet.plannedOnly = true;
      for (const program of ["ingress", "store", "agent", "control"]) {
        const name =
          program === "store"
            ? fleet.busiestStore()
            : program === "control"
              ? fleet.controlLeader()
              : fleet.names(program)[0];
        // Clients do not use an ingress that is about to stop: the platform sends them only to ready ones.
        const ingressHttp = fleet.plan.processes.find(
          (each) => each.name === (program === "agent" ? name.replace("agent", "ingress") : name),
        )!.settings.http;
        if (program === "ingress" || program === "agent") fleet.callers.avoidedIngresses.add(ingressHttp);
        if (!(await fleet.terminate(name))) throw new Error(`${name} did not end after SIGTERM`);
        await fleet.run(4000);
        fleet.start(name);
        await fleet.run(6000);
        fleet.callers.avoidedIngresses.clear();
      }
    },
  },
  {
    name: "release",
    description: "a new version of a pool is released and rolled back",
    run: async (fleet) => {
      const pool = fleet.plan.endpoints[0].pool;
      for (const endpoint of fleet.plan.endpoints.filter((each) => each.pool === pool).slice(0, 3)) {
        fleet.startEndpoint({
          ...endpoint,
          id: `${endpoint.id}-new`,
          address: endpoint.address.replace(/:\d+$/, (port) => `:${+port.slice(1) + 20_000}`),
          version: "v2",
        });
      }
      await fleet.run(3000);
      const state = await fleet.runPlannedOperation({ kind: "release", pool, version: "v2", overMs: 5000 }, 12_000);
      if (!state.startsWith("finished")) throw new Error(`release: ${state}`);
      await fleet.run(4000);
      const runCount = (version: string, from: number): number =>
        fleet.startedEndpoints
          .filter((each) => each.settings.pool === pool && (each.settings.version === "v2") === (version === "v2"))
          .reduce((sum, each) => sum + each.runs.filter((run) => run.at > from).length, 0);
      const releasedAt = fleet.wallMs() - 2000;
      if (runCount("v2", releasedAt) === 0 || runCount("v1", releasedAt) > 0)
        throw new Error("after the release, the old version still got requests or the new version got none");
      const rollbackState = await fleet.runPlannedOperation({ kind: "rollback", pool }, 6000);
      if (!rollbackState.startsWith("finished")) throw new Error(`rollback: ${rollbackState}`);
      await fleet.run(4000);
      const rolledBackAt = fleet.wallMs() - 2000;
      if (runCount("v1", rolledBackAt) === 0 || runCount("v2", rolledBackAt) > 0)
        throw new Error("after the rollback, the new version still got requests or the old version got none");
      const secondState = await fleet.runPlannedOperation({ kind: "rollback", pool }, 6000);
      if (!secondState.startsWith("failed"))
        throw new Error(`the second rollback of one release did not fail: ${secondState}`);
    },
  },
  {
    name: "together",
    description: "five random faults or operator changes, one after another, under double load",
    run: async (fleet) => {
      fleet.callers.load = 2;
      const faults: (() => Promise<void>)[] = [
        async () => {
          const name = fleet.busiestStore();
          fleet.kill(name);
          await fleet.run(2500);
          fleet.restart(name);
        },
        async () => {
          const name = fleet.controlLeader();
          fleet.kill(name);
          await fleet.run(2500);
          fleet.restart(name);
        },
        async () => {
          const name = pickRandom(fleet, fleet.names("ingress"));
          fleet.kill(name);
          await fleet.run(1000);
          fleet.restart(name);
        },
        async () => {
          const name = pickRandom(fleet, fleet.names("agent"));
          fleet.kill(name);
          await fleet.run(1000);
          fleet.restart(name);
        },
        async () => {
          const name = pickRandom(fleet, fleet.names("store"));
          fleet.freeze(name);
          await fleet.run(4000);
          fleet.resume(name);
        },
        async () => {
          fleet.partition([pickRandom(fleet, fleet.names("store"))]);
          await fleet.run(3000);
          fleet.heal();
        },
        async () => {
          fleet.partition([pickRandom(fleet, fleet.names("control"))], fleet.world.random() < 0.5 ? "in" : "out");
          await fleet.run(3000);
          fleet.heal();
        },
        async () => {
          const { id } = pickRandom(fleet, fleet.plan.endpoints);
          fleet.killEndpoint(id);
          await fleet.run(2000);
          fleet.startEndpoint(fleet.plan.endpoints.find((each) => each.id === id)!);
        },
        async () => {
          await fleet.changeConfiguration();
        },
        async () => {
          const zone = pickRandom(fleet, fleet.deployment.districts);
          await fleet.runPlannedOperation({ kind: "drain", district: zone }, 2000);
          await fleet.runPlannedOperation({ kind: "undrain", district: zone }, 2000);
        },
      ];
      fleet.recordFault("troubles begin", false);
      for (let round = 0; round < 5; round += 1) {
        await pickRandom(fleet, faults)();
        await fleet.run(fleet.world.random() * 2500);
      }
      fleet.callers.load = 1;
      fleet.recordFault("troubles end", true);
      await fleet.run(16_000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  },
];
