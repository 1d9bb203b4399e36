import { others, pick, points, stir, UnnumberedScenario } from "./scenario";

/** Processes killed, frozen, added, swapped, and disks lost. */
export const processScenarios: UnnumberedScenario[] = [
  {
    name: "kill-at-point",
    description: "a process is killed at a numbered fault point (--point), and started again",
    points: Object.keys(points).map(Number),
    run: async (fleet, point) => {
      const target = points[point];
      if (!target) throw new Error(`no fault point ${point}; known: ${Object.keys(points).join(" ")}`);
      let victim = "";
      const hits =
        target.process === "store-" && ![13, 14, 17, 43, 44, 48, 49, 50].includes(point)
          ? 1 + Math.floor(fleet.world.random() * 6)
          : 1;
      fleet.world.arm(target.process, point, hits, (process) => {
        victim = process.name;
        fleet.fault(`kill ${victim} at point ${point}`, true);
        fleet.kill(victim);
      });
      // what makes the rarer points be reached
      const nudge = [13, 14].includes(point)
        ? "long"
        : [31, 32, 34].includes(point)
          ? "election"
          : [17, 36, 38, 39, 40, 43, 44, 48, 49, 50].includes(point)
            ? "views"
            : "";
      if (nudge === "election") {
        const leader = fleet.controlLeader();
        fleet.kill(leader);
        await fleet.run(6000);
        fleet.restart(leader);
      }
      if (nudge === "views") {
        const store = fleet.names("store")[0];
        fleet.kill(store);
        await fleet.run(5000);
        fleet.restart(store);
      }
      await stir(fleet);
      for (let waited = 0; victim === "" && waited < (nudge === "long" ? 240 : 15); waited += 1) await fleet.run(1000);
      fleet.world.disarm();
      if (victim === "") throw new Error(`point ${point} was not reached`);
      await fleet.run(5000);
      fleet.restart(victim);
      await fleet.run(9000);
    },
  },
  {
    name: "freeze-store",
    description: "the busiest store freezes past its grant, and wakes",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.fault(`freeze ${name}`, true);
      fleet.freeze(name);
      await fleet.run(8000);
      fleet.wake(name);
      await fleet.run(9000);
    },
  },
  {
    name: "freeze-control",
    description: "the control lead freezes past its grant during changes, and wakes",
    run: async (fleet) => {
      const name = fleet.controlLeader();
      fleet.fault(`freeze ${name}`, true);
      fleet.freeze(name);
      await fleet.changeConfiguration();
      await fleet.run(5000);
      await fleet.changeConfiguration();
      fleet.wake(name);
      await fleet.run(1000);
      await fleet.changeConfiguration();
      await fleet.run(6000);
    },
  },
  {
    name: "freeze-edge",
    description: "an ingress and another's agent freeze while the configuration changes, and wake",
    run: async (fleet) => {
      const [ingress, ...rest] = fleet.names("ingress");
      fleet.freeze(ingress);
      const agent = fleet.names("agent")[rest.length];
      fleet.freeze(agent);
      await fleet.run(2000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
      fleet.wake(ingress);
      fleet.wake(agent);
      await fleet.run(6000);
    },
  },
  {
    name: "machines-added",
    description: "a store and a control machine are added",
    run: async (fleet) => {
      fleet.add("store", "store-9");
      fleet.add("control", "control-9");
      await fleet.run(25_000);
    },
  },
  {
    name: "swap-control",
    description: "the control lead's machine is swapped for an empty one at a new address",
    run: async (fleet) => {
      const name = fleet.controlLeader();
      await fleet.changeConfiguration();
      fleet.fault(`swap ${name}`, true);
      fleet.kill(name);
      await fleet.run(1500);
      fleet.restart(name, { empty: true, moved: true });
      await fleet.run(14_000);
      await fleet.changeConfiguration();
      const second = fleet.controlLeader();
      fleet.fault(`swap ${second}`, true);
      fleet.kill(second);
      await fleet.run(1500);
      fleet.restart(second, { empty: true, moved: true });
      await fleet.run(14_000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  },
  {
    name: "swap-store",
    description: "the busiest store's machine is swapped for an empty one at a new address",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.fault(`swap ${name}`, true);
      fleet.kill(name);
      await fleet.run(3000);
      fleet.restart(name, { empty: true, moved: true });
      await fleet.run(20_000);
    },
  },
  {
    name: "power-loss",
    description: "the busiest store loses power right after acknowledging, and comes back",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.world.arm(name, 47, 1, () => {
        fleet.fault(`power loss at ${name}`, true);
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
    description: "the busiest store loses its disk right after acknowledging",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.world.arm(name, 47, 1, () => {
        fleet.fault(`disk loss at ${name}`, true);
        fleet.kill(name, true);
      });
      await fleet.run(3000);
      fleet.restart(name, { empty: true });
      await fleet.run(16_000);
    },
  },
  {
    name: "disk-loss-two",
    description: "the busiest store and another lose their disks at once, while the busiest reaches no other store",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      const second = pick(fleet, others(fleet, "store", name));
      // whatever it answers in this moment, nobody else has
      for (const other of others(fleet, "store", name)) fleet.world.partition(name, other);
      await fleet.run(300);
      fleet.fault(`disk loss at ${name} and ${second}`, true);
      fleet.kill(name, true);
      fleet.kill(second, true);
      fleet.heal();
      await fleet.run(3000);
      fleet.restart(name, { empty: true });
      fleet.restart(second, { empty: true });
      await fleet.run(20_000);
    },
  },
];
