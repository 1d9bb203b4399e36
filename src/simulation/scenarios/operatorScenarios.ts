import { ConfigurationBody } from "../simOperator";
import { joinPoints, otherProcesses, pickRandom, faultPoints, UnnumberedScenario } from "./scenario";

/** Scenarios of concurrent configuration changes, retirements, joins, drains and lost zones. */
export const operatorScenarios: UnnumberedScenario[] = [
  {
    name: "operators-race",
    description: "two operators repeatedly change the configuration at the same time",
    run: async (fleet) => {
      let lostRaces = 0;
      for (let round = 0; round < 6; round += 1) {
        const current = await fleet.send("GET", "/v1/manifest");
        if (current?.status !== 200) continue;
        const nodes = [...fleet.plan.controlHttp, ...fleet.plan.ingressHttp];
        const outcomes = await Promise.all([
          fleet.changeConfigurationFrom(current.body as ConfigurationBody, 1, pickRandom(fleet, nodes)),
          fleet.changeConfigurationFrom(current.body as ConfigurationBody, 1, pickRandom(fleet, nodes)),
        ]);
        lostRaces += outcomes.filter((each) => each.outcome === "refused").length;
        await fleet.run(300);
      }
      if (lostRaces === 0) throw new Error("no change lost a race: nothing was exercised");
      fleet.actions.push("operators race");
      await fleet.run(4000);
    },
  },
  {
    name: "change-races-lead",
    description: "configuration changes race with a change of the control leader",
    run: async (fleet) => {
      for (let round = 0; round < 3; round += 1) {
        const name = fleet.controlLeader();
        fleet.world.arm(name, 33, 1 + Math.floor(fleet.world.random() * 3), () => {
          fleet.recordFault(`kill ${name}`, true);
          fleet.kill(name);
        });
        await fleet.changeConfiguration();
        await fleet.changeConfiguration();
        await fleet.run(4000);
        fleet.world.disarm();
        if (!fleet.world.processes.get(name)!.alive) fleet.restart(name);
        await fleet.run(5000);
      }
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  },
  {
    name: "manifest-grows",
    description: "the configuration grows by thousands of routes",
    run: async (fleet) => {
      fleet.actions.push("configuration grows");
      for (let round = 0; round < 4; round += 1) {
        await fleet.changeConfiguration(1000);
        await fleet.run(3000);
      }
    },
  },
  {
    name: "retire",
    description: "a store is retired under load and then stopped",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      const id = await fleet.memberIdOf(name);
      const state = await fleet.runPlannedOperation({ kind: "retire", store: id }, 40_000);
      fleet.notes.push(`retire: ${state}`);
      if (fleet.names("store").length > 3 && !state.startsWith("finished"))
        throw new Error(`retirement did not finish: ${state}`);
      if (state.startsWith("finished")) {
        await fleet.terminate(name);
        await fleet.run(6000);
      } else await fleet.run(2000);
    },
  },
  {
    name: "retire-and-lose",
    description: "a store is killed while another one is retired",
    run: async (fleet) => {
      const name = fleet.names("store")[0];
      const id = await fleet.memberIdOf(name);
      const second = pickRandom(fleet, otherProcesses(fleet, "store", name));
      fleet.world.arm("store-", 48, 1, () => undefined);
      fleet.notes.push(`retire: ${await fleet.runPlannedOperation({ kind: "retire", store: id }, 700)}`);
      fleet.recordFault(`kill ${second}`, true);
      fleet.kill(second);
      await fleet.run(13_000);
      fleet.restart(second);
      await fleet.run(15_000);
    },
  },
  {
    name: "join-and-lose",
    description:
      "while a replica joins a shard, because of a retirement or an added store, all other members are lost (--point)",
    points: joinPoints,
    run: async (fleet, point) => {
      let lost: { name: string; withDisk: boolean }[] = [];
      // From these points on the joined replica alone must suffice, so all others lose their disks too.
      const losesAllDisks = point === 38 || point === 44;
      fleet.callers.load = 2;
      fleet.world.arm(faultPoints[point].process, point, 1, function lose(_process, context): void {
        if (!context || context.joiners.length === 0)
          return fleet.world.arm(faultPoints[point].process, point, 1, lose);
        const view = fleet.views()[context.shard];
        const otherMembers = view.members
          .filter((id) => !context.joiners.includes(id))
          .flatMap((id) => fleet.storeNameById.get(id) ?? []);
        lost = otherMembers.map((name, index) => ({
          name,
          withDisk: losesAllDisks || index < otherMembers.length - 1,
        }));
        fleet.recordFault(
          `lost at point ${point}: ${lost.map(({ name, withDisk }) => `${name}${withDisk ? " with its disk" : ""}`).join(", ")}`,
          false,
        );
        for (const { name, withDisk } of lost) {
          fleet.kill(name, true);
          if (withDisk) fleet.wipe(name);
        }
      });
      if (fleet.seed % 2 === 0) fleet.add("store", "store-9");
      else {
        const name = fleet.busiestStore();
        const id = [...fleet.storeNameById].find(([, store]) => store === name)![0];
        fleet.notes.push(`retire: ${await fleet.runPlannedOperation({ kind: "retire", store: id }, 1500)}`);
      }
      for (let waited = 0; lost.length === 0 && waited < 40; waited += 1) await fleet.run(500);
      fleet.world.disarm();
      if (lost.length === 0) throw new Error(`no replica joined at point ${point}`);
      await fleet.run(6000);
      fleet.recordFault("lost machines come back", true);
      for (const { name } of lost) fleet.restart(name);
      await fleet.run(20_000);
    },
  },
  {
    name: "drain-in-crowd",
    description: "a zone is drained and undrained during an overload",
    run: async (fleet) => {
      fleet.callers.load = 3;
      const zone = pickRandom(fleet, fleet.deployment.districts);
      fleet.notes.push(`drain: ${await fleet.runPlannedOperation({ kind: "drain", district: zone }, 9000)}`);
      await fleet.run(4000);
      await fleet.runPlannedOperation({ kind: "undrain", district: zone }, 4000);
      fleet.callers.load = 1;
      await fleet.run(4000);
    },
  },
  ...([false, true] as const).map((isDraining): UnnumberedScenario => ({
    name: isDraining ? "district-lost-in-drain" : "district-lost",
    description: `all machines of a zone lose power${isDraining ? " while another zone is drained, under high load" : ""} and restart (odd seeds: with empty disks)`,
    run: async (fleet) => {
      const [lostZone, drainedZone] = [...fleet.deployment.districts].sort(() => fleet.world.random() - 0.5);
      if (isDraining) {
        fleet.callers.load = 2;
        fleet.notes.push(`drain: ${await fleet.runPlannedOperation({ kind: "drain", district: drainedZone }, 1000)}`);
      }
      fleet.loseZone(lostZone);
      await fleet.run(15_000);
      fleet.expectReplicasSpreadOverZones(lostZone);
      if (isDraining) await fleet.runPlannedOperation({ kind: "undrain", district: drainedZone }, 4000);
      fleet.restoreZone(lostZone, fleet.seed % 2 === 1);
      await fleet.run(12_000);
      fleet.callers.load = 1;
      await fleet.run(6000);
      fleet.expectReplicasSpreadOverZones();
    },
  })),
];
