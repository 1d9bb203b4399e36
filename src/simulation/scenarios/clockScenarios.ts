import { UnnumberedScenario } from "./scenario";

/** Clocks that are off, and puts that are slow. */
export const clockScenarios: UnnumberedScenario[] = [
  {
    name: "skew-within",
    description: "clocks are skewed within δ",
    run: async (fleet) => {
      fleet.actions.push("skew within");
      for (const process of fleet.world.processes.values())
        if (/^(store|agent|control)/.test(process.name)) process.skewMs = (fleet.world.random() - 0.5) * 20;
      await fleet.run(12_000);
    },
  },
  {
    name: "skew-beyond",
    description: "a store's and an ingress machine's clocks step far beyond δ, and are mended",
    run: async (fleet) => {
      const store = fleet.busiestStore();
      const ahead = fleet.world.random() < 0.5 ? 4000 : -4000;
      fleet.fault(`clock of ${store} steps by ${ahead}`, true);
      fleet.actions.push(`skew ${ahead}`);
      const machine = [store, fleet.names("ingress")[0], fleet.names("agent")[0]];
      for (const name of machine) fleet.world.processes.get(name)!.skewMs = ahead;
      await fleet.run(10_000);
      for (const name of machine) fleet.world.processes.get(name)!.skewMs = 0;
      await fleet.run(10_000);
    },
  },
  {
    name: "slow-puts",
    description: "disks become so slow that puts overrun Δ",
    run: async (fleet) => {
      fleet.actions.push("slow disks");
      fleet.fault("slow disks", false);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.syncMs = [150, 500];
      await fleet.run(8000);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.syncMs = [0.3, 2.5];
      await fleet.run(8000);
    },
  },
];
