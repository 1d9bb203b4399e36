import { UnnumberedScenario } from "./scenario";

/** Scenarios of full disks and failing syncs. */
export const diskScenarios: UnnumberedScenario[] = [
  {
    name: "disk-full",
    description: "the busiest store's disk is full for a while; the store rejoins without a restart",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.recordFault(`disk full at ${name}`, true);
      fleet.disks.get(name)!.full = true;
      fleet.actions.push("disk full");
      await fleet.run(9000);
      fleet.disks.get(name)!.full = false;
      await fleet.run(14_000);
      fleet.expectInViews(name);
    },
  },
  {
    name: "disks-full",
    description: "the disks of all stores are full for a while; the stores rejoin without a restart",
    run: async (fleet) => {
      fleet.recordFault("all stores' disks full", false);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.full = true;
      fleet.actions.push("disks full");
      await fleet.run(8000);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.full = false;
      fleet.recordFault("disks freed", true);
      await fleet.run(18_000);
      for (const name of fleet.names("store")) fleet.expectInViews(name);
    },
  },
  {
    name: "sync-errors",
    description: "syncs fail at a store, which rejoins by itself, and at a control voter, which is restarted",
    run: async (fleet) => {
      const store = fleet.busiestStore();
      const control = fleet.controlLeader();
      fleet.recordFault(`sync errors at ${store} and ${control}`, true);
      fleet.disks.get(store)!.failing = true;
      fleet.disks.get(control)!.failing = true;
      fleet.actions.push("sync errors");
      await fleet.changeConfiguration();
      await fleet.run(10_000);
      fleet.disks.get(store)!.failing = false; // The store uses its disk again without a restart.
      fleet.kill(control);
      fleet.disks.get(control)!.failing = false;
      fleet.restart(control);
      await fleet.run(14_000);
      fleet.expectInViews(store);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  },
];
