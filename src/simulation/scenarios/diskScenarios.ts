import { UnnumberedScenario } from "./scenario";

/** Disks that are full or fail to sync. */
export const diskScenarios: UnnumberedScenario[] = [
  {
    name: "disk-full",
    description: "the busiest store's disk fills, is freed, and is taken up again by the store itself",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.fault(`disk full at ${name}`, true);
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
    description: "the disks of all stores fill at once, and are freed; nobody starts anything again",
    run: async (fleet) => {
      fleet.fault("all stores' disks full", false);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.full = true;
      fleet.actions.push("disks full");
      await fleet.run(8000);
      for (const name of fleet.names("store")) fleet.disks.get(name)!.full = false;
      fleet.fault("disks freed", true);
      await fleet.run(18_000);
      for (const name of fleet.names("store")) fleet.expectInViews(name);
    },
  },
  {
    name: "sync-errors",
    description: "syncs fail on a store and on a control voter",
    run: async (fleet) => {
      const store = fleet.busiestStore();
      const control = fleet.controlLeader();
      fleet.fault(`sync errors at ${store} and ${control}`, true);
      fleet.disks.get(store)!.failing = true;
      fleet.disks.get(control)!.failing = true;
      fleet.actions.push("sync errors");
      await fleet.changeConfiguration();
      await fleet.run(10_000);
      fleet.disks.get(store)!.failing = false; // taken up again by the store itself
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
