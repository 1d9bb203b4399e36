import { UnnumberedScenario } from "./scenario";

/** Scenarios of skewed clocks and slow disks. */
export const clockScenarios: UnnumberedScenario[] = [
  {
    name: "skew-within",
    description: "clocks are skewed by less than δ",
    run: async (fleet) => {
      fleet.actions.push("skew within δ");
      for (const process of fleet.world.processes.values())
        if (/^(store|agent|control)/.test(process.name)) process.skewMs = (fleet.world.random() - 0.5) * 20;
      await fleet.run(12_000);
    },
  },
  {
    name: "skew-beyond",
    description: "the clocks of a store and of an ingress machine step far beyond δ and are corrected",
    run: async (fleet) => {
      const store = fleet.busiestStore();
      const skewMs = fleet.world.random() < 0.5 ? 4000 : -4000;
      fleet.recordFault(`clock of ${store} steps by ${skewMs}`, true);
      fleet.actions.push(`skew ${skewMs} ms`);
      const names = [store, fleet.names("ingress")[0], fleet.names("agent")[0]];
      for (const name of names) fleet.world.processes.get(name)!.skewMs = skewMs;
      await fleet.run(10_000);
      for (const name of names) fleet.world.processes.get(name)!.skewMs = 0;
      await fleet.run(10_000);
    },
  },
  {
    name: "slow-puts",
    description: "the disks are so slow that puts take longer than Δ",
    run: async (fleet) => {
      fleet.actions.push("slow disks");
      fleet.recordFault("slow disks", false);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.syncMs = [150, 500];
      await fleet.run(8000);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.syncMs = [0.3, 2.5];
      await fleet.run(8000);
    },
  },
];
