import { pick, UnnumberedScenario } from "./scenario";

/** Closing faults, planned stops, releases, and troubles together. */
export const dayScenarios: UnnumberedScenario[] = [
  {
    name: "closing-fault",
    description: "at day's end everything loses power at once; then all is read back",
    run: async (fleet) => {
      await fleet.changeConfiguration();
      await fleet.run(5000);
      await fleet.changeConfiguration();
      fleet.fault("power loss everywhere", true);
      const names = fleet.plan.processes.map((each) => each.name);
      for (const name of names) fleet.kill(name, true);
      await fleet.run(2000);
      for (const name of names) fleet.restart(name);
      await fleet.run(15_000);
    },
  },
  {
    name: "planned-stops",
    description: "each program is stopped by SIGTERM in turn and started again; nothing else happens",
    run: async (fleet) => {
      fleet.plannedOnly = true;
      for (const program of ["ingress", "store", "agent", "control"]) {
        const name =
          program === "store"
            ? fleet.busiestStore()
            : program === "control"
              ? fleet.controlLeader()
              : fleet.names(program)[0];
        // the platform sends clients to ready intake nodes
        const ingressHttp = fleet.plan.processes.find(
          (each) => each.name === (program === "agent" ? name.replace("agent", "ingress") : name),
        )!.settings.http;
        if (program === "ingress" || program === "agent") fleet.callers.avoidedIngresses.add(ingressHttp);
        if (!(await fleet.terminate(name))) throw new Error(`${name} did not end by itself`);
        await fleet.run(4000);
        fleet.start(name);
        await fleet.run(6000);
        fleet.callers.avoidedIngresses.clear();
      }
    },
  },
  {
    name: "release",
    description: "a pool is released to a new version, and the release is taken back",
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
      const fate = await fleet.move({ kind: "release", pool, version: "v2", overMs: 5000 }, 12_000);
      if (!fate.startsWith("finished")) throw new Error(`release: ${fate}`);
      await fleet.run(4000);
      const taken = (version: string, from: number): number =>
        fleet.startedEndpoints
          .filter((each) => each.settings.pool === pool && (each.settings.version === "v2") === (version === "v2"))
          .reduce((sum, each) => sum + each.runs.filter((run) => run.at > from).length, 0);
      const releasedAt = fleet.wall() - 2000;
      if (taken("v2", releasedAt) === 0 || taken("v1", releasedAt) > 0)
        throw new Error("released, and work still went to the former version, or none to the new");
      const back = await fleet.move({ kind: "rollback", pool }, 6000);
      if (!back.startsWith("finished")) throw new Error(`rollback: ${back}`);
      await fleet.run(4000);
      const backAt = fleet.wall() - 2000;
      if (taken("v1", backAt) === 0 || taken("v2", backAt) > 0)
        throw new Error("taken back, and work still went to the withdrawn version, or none to the former");
      const again = await fleet.move({ kind: "rollback", pool }, 6000);
      if (!again.startsWith("failed")) throw new Error(`a second rollback of one release: ${again}`);
    },
  },
  {
    name: "together",
    description: "several troubles at once, drawn by the seed",
    run: async (fleet) => {
      fleet.callers.load = 2;
      const troubles: (() => Promise<void>)[] = [
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
          const name = pick(fleet, fleet.names("ingress"));
          fleet.kill(name);
          await fleet.run(1000);
          fleet.restart(name);
        },
        async () => {
          const name = pick(fleet, fleet.names("agent"));
          fleet.kill(name);
          await fleet.run(1000);
          fleet.restart(name);
        },
        async () => {
          const name = pick(fleet, fleet.names("store"));
          fleet.freeze(name);
          await fleet.run(4000);
          fleet.wake(name);
        },
        async () => {
          fleet.partition([pick(fleet, fleet.names("store"))]);
          await fleet.run(3000);
          fleet.heal();
        },
        async () => {
          fleet.partition([pick(fleet, fleet.names("control"))], fleet.world.random() < 0.5 ? "in" : "out");
          await fleet.run(3000);
          fleet.heal();
        },
        async () => {
          const { id } = pick(fleet, fleet.plan.endpoints);
          fleet.killEndpoint(id);
          await fleet.run(2000);
          fleet.startEndpoint(fleet.plan.endpoints.find((each) => each.id === id)!);
        },
        async () => {
          await fleet.changeConfiguration();
        },
        async () => {
          const zone = pick(fleet, fleet.deployment.districts);
          await fleet.move({ kind: "drain", district: zone }, 2000);
          await fleet.move({ kind: "undrain", district: zone }, 2000);
        },
      ];
      fleet.fault("troubles begin", false);
      for (let round = 0; round < 5; round += 1) {
        await pick(fleet, troubles)();
        await fleet.run(fleet.world.random() * 2500);
      }
      fleet.callers.load = 1;
      fleet.fault("troubles end", true);
      await fleet.run(16_000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  },
];
