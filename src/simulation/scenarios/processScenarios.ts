import { otherProcesses, pickRandom, faultPoints, runOperatorChanges, UnnumberedScenario } from "./scenario";

/** Scenarios of killed, frozen, added and replaced processes, and of lost disks. */
export const processScenarios: UnnumberedScenario[] = [
  {
    name: "kill-at-point",
    description: "a process is killed at a fault point (--point) and restarted",
    points: Object.keys(faultPoints).map(Number),
    run: async (fleet, point) => {
      const target = faultPoints[point];
      if (!target) throw new Error(`no fault point ${point}; known: ${Object.keys(faultPoints).join(" ")}`);
      let killedName = "";
      const hits =
        target.process === "store-" && ![13, 14, 17, 43, 44, 48, 49, 50].includes(point)
          ? 1 + Math.floor(fleet.world.random() * 6)
          : 1;
      fleet.world.arm(target.process, point, hits, (process) => {
        killedName = process.name;
        fleet.recordFault(`kill ${killedName} at point ${point}`, true);
        fleet.kill(killedName);
      });
      // Makes the rarer fault points occur.
      const trigger = [13, 14].includes(point)
        ? "long"
        : [31, 32, 34].includes(point)
          ? "election"
          : [17, 36, 38, 39, 40, 43, 44, 48, 49, 50].includes(point)
            ? "views"
            : "";
      if (trigger === "election") {
        const leader = fleet.controlLeader();
        fleet.kill(leader);
        await fleet.run(6000);
        fleet.restart(leader);
      }
      if (trigger === "views") {
        const store = fleet.names("store")[0];
        fleet.kill(store);
        await fleet.run(5000);
        fleet.restart(store);
      }
      await runOperatorChanges(fleet);
      for (let waited = 0; killedName === "" && waited < (trigger === "long" ? 240 : 15); waited += 1)
        await fleet.run(1000);
      fleet.world.disarm();
      if (killedName === "") throw new Error(`point ${point} was not reached`);
      await fleet.run(5000);
      fleet.restart(killedName);
      await fleet.run(9000);
    },
  },
  {
    name: "freeze-store",
    description: "the busiest store is frozen for longer than its lease",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.recordFault(`freeze ${name}`, true);
      fleet.freeze(name);
      await fleet.run(8000);
      fleet.resume(name);
      await fleet.run(9000);
    },
  },
  {
    name: "freeze-control",
    description: "the control leader is frozen for longer than its lease during configuration changes",
    run: async (fleet) => {
      const name = fleet.controlLeader();
      fleet.recordFault(`freeze ${name}`, true);
      fleet.freeze(name);
      await fleet.changeConfiguration();
      await fleet.run(5000);
      await fleet.changeConfiguration();
      fleet.resume(name);
      await fleet.run(1000);
      await fleet.changeConfiguration();
      await fleet.run(6000);
    },
  },
  {
    name: "freeze-edge",
    description: "an ingress and the agent of another ingress are frozen during a configuration change",
    run: async (fleet) => {
      const [ingress, ...rest] = fleet.names("ingress");
      fleet.freeze(ingress);
      const agent = fleet.names("agent")[rest.length];
      fleet.freeze(agent);
      await fleet.run(2000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
      fleet.resume(ingress);
      fleet.resume(agent);
      await fleet.run(6000);
    },
  },
  {
    name: "machines-added",
    description: "a store and a control node are added",
    run: async (fleet) => {
      fleet.add("store", "store-9");
      fleet.add("control", "control-9");
      await fleet.run(25_000);
    },
  },
  {
    name: "swap-control",
    description: "the machines of two successive control leaders are replaced by empty ones at new addresses",
    run: async (fleet) => {
      const name = fleet.controlLeader();
      await fleet.changeConfiguration();
      fleet.recordFault(`swap ${name}`, true);
      fleet.kill(name);
      await fleet.run(1500);
      fleet.restart(name, { withEmptyDisk: true, atNewAddress: true });
      await fleet.run(14_000);
      await fleet.changeConfiguration();
      const second = fleet.controlLeader();
      fleet.recordFault(`swap ${second}`, true);
      fleet.kill(second);
      await fleet.run(1500);
      fleet.restart(second, { withEmptyDisk: true, atNewAddress: true });
      await fleet.run(14_000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  },
  {
    name: "swap-store",
    description: "the busiest store's machine is replaced by an empty one at a new address",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.recordFault(`swap ${name}`, true);
      fleet.kill(name);
      await fleet.run(3000);
      fleet.restart(name, { withEmptyDisk: true, atNewAddress: true });
      await fleet.run(20_000);
    },
  },
  {
    name: "power-loss",
    description: "the busiest store loses power right after it acknowledged an entry, and restarts",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.world.arm(name, 47, 1, () => {
        fleet.recordFault(`power loss at ${name}`, true);
        fleet.kill(name, true);
      });
      await fleet.run(2000);
      await fleet.run(1000);
      fleet.restart(name);
      await fleet.run(14_000);
    },
  },
  {
    name: "disk-loss",
    description: "the busiest store loses its disk right after it acknowledged an entry",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.world.arm(name, 47, 1, () => {
        fleet.recordFault(`disk loss at ${name}`, true);
        fleet.kill(name, true);
      });
      await fleet.run(3000);
      fleet.restart(name, { withEmptyDisk: true });
      await fleet.run(16_000);
    },
  },
  {
    name: "disk-loss-two",
    description:
      "the busiest store and another store lose their disks at once, while the busiest store cannot reach any other store",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      const second = pickRandom(fleet, otherProcesses(fleet, "store", name));
      // No other store has the entries that the busiest store writes during the partition.
      for (const other of otherProcesses(fleet, "store", name)) fleet.world.partition(name, other);
      await fleet.run(300);
      fleet.recordFault(`disk loss at ${name} and ${second}`, true);
      fleet.kill(name, true);
      fleet.kill(second, true);
      fleet.heal();
      await fleet.run(3000);
      fleet.restart(name, { withEmptyDisk: true });
      fleet.restart(second, { withEmptyDisk: true });
      await fleet.run(20_000);
    },
  },
];
