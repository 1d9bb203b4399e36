import { SimFleet } from "../simFleet";
import { otherProcesses, pickRandom, faultPoints, runOperatorChanges, UnnumberedScenario } from "./scenario";

/** Fault points of a rotation of the log, which happens after many puts. */
const ROTATION_POINTS = [13, 14];
/** Fault points of an election. */
const ELECTION_POINTS = [31, 32, 34];
/** Fault points of a view change or of a replica that joins. */
const VIEW_POINTS = [17, 36, 38, 39, 40, 43, 44, 48, 49, 50];
/** How often the events that lead to a fault point are triggered, each time at another process, until it is reached. */
const POINT_ATTEMPTS = 3;
/** Time to wait for a fault point after that, s. */
const POINT_WAIT_S = 15;
const ROTATION_WAIT_S = 240;

/** Kills a process for a while, so that the rarer fault points occur. */
async function triggerPoint(fleet: SimFleet, point: number, attempt: number): Promise<void> {
  if (ELECTION_POINTS.includes(point)) await restartAfter(fleet, fleet.controlLeader(), 6000);
  const stores = fleet.names("store");
  if (VIEW_POINTS.includes(point)) await restartAfter(fleet, stores[attempt % stores.length], 5000);
}

async function restartAfter(fleet: SimFleet, name: string, downMs: number): Promise<void> {
  fleet.kill(name);
  await fleet.run(downMs);
  fleet.restart(name);
}

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
      const hasOccurred = (): boolean => killedName !== "";
      for (let attempt = 0; !hasOccurred() && attempt < POINT_ATTEMPTS; attempt += 1) {
        await triggerPoint(fleet, point, attempt);
        await runOperatorChanges(fleet);
        const waits = ROTATION_POINTS.includes(point) ? ROTATION_WAIT_S : POINT_WAIT_S;
        for (let waited = 0; !hasOccurred() && waited < waits; waited += 1) await fleet.run(1000);
      }
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
