import { ConfigurationBody } from "../simOperator";
import { joining, others, pick, points, UnnumberedScenario } from "./scenario";

/** Operators' changes and moves: races, retirements, drains. */
export const operatorScenarios: UnnumberedScenario[] = [
  {
    name: "operators-race",
    description: "two operators change the configuration at once, again and again",
    run: async (fleet) => {
      let lost = 0;
      for (let round = 0; round < 6; round += 1) {
        const read = await fleet.send("GET", "/v1/manifest");
        if (read?.status !== 200) continue;
        const nodes = [...fleet.plan.controlHttp, ...fleet.plan.ingressHttp];
        const both = await Promise.all([
          fleet.changeFrom(read.body as ConfigurationBody, 1, pick(fleet, nodes)),
          fleet.changeFrom(read.body as ConfigurationBody, 1, pick(fleet, nodes)),
        ]);
        lost += both.filter((each) => each.outcome === "refused").length;
        await fleet.run(300);
      }
      if (lost === 0) throw new Error("no race was lost: nothing was exercised");
      fleet.actions.push("operators race");
      await fleet.run(4000);
    },
  },
  {
    name: "change-races-lead",
    description: "changes race a change of control lead",
    run: async (fleet) => {
      for (let round = 0; round < 3; round += 1) {
        const name = fleet.controlLeader();
        fleet.world.arm(name, 33, 1 + Math.floor(fleet.world.random() * 3), () => {
          fleet.fault(`kill ${name}`, true);
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
    description: "the manifest grows by thousands of bindings",
    run: async (fleet) => {
      fleet.actions.push("manifest grows");
      for (let round = 0; round < 4; round += 1) {
        await fleet.changeConfiguration(1000);
        await fleet.run(3000);
      }
    },
  },
  {
    name: "retire",
    description: "a store is retired under load, and leaves",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      const id = await fleet.memberIdOf(name);
      const fate = await fleet.move({ kind: "retire", store: id }, 40_000);
      fleet.notes.push(`retire: ${fate}`);
      if (fleet.names("store").length > 3 && !fate.startsWith("finished"))
        throw new Error(`retirement did not finish: ${fate}`);
      if (fate.startsWith("finished")) {
        await fleet.terminate(name);
        await fleet.run(6000);
      } else await fleet.run(2000);
    },
  },
  {
    name: "retire-and-lose",
    description: "a store is retired while another is lost",
    run: async (fleet) => {
      const name = fleet.names("store")[0];
      const id = await fleet.memberIdOf(name);
      const second = pick(fleet, others(fleet, "store", name));
      fleet.world.arm("store-", 48, 1, () => undefined);
      fleet.notes.push(`retire: ${await fleet.move({ kind: "retire", store: id }, 700)}`);
      fleet.fault(`kill ${second}`, true);
      fleet.kill(second);
      await fleet.run(13_000);
      fleet.restart(second);
      await fleet.run(15_000);
    },
  },
  {
    name: "join-and-lose",
    description: "while a copy joins (by retirement or a machine added), every other member is lost (--point)",
    points: joining,
    run: async (fleet, point) => {
      let lost: { name: string; disk: boolean }[] = [];
      const after = point === 38 || point === 44; // from then on the joined copy must do alone
      fleet.callers.load = 2;
      fleet.world.arm(points[point].process, point, 1, function lose(_process, about): void {
        if (!about || about.joiners.length === 0) return fleet.world.arm(points[point].process, point, 1, lose);
        const view = fleet.views()[about.shard];
        const others = view.members
          .filter((id) => !about.joiners.includes(id))
          .flatMap((id) => fleet.storeNameById.get(id) ?? []);
        lost = others.map((name, at) => ({ name, disk: after || at < others.length - 1 }));
        fleet.fault(
          `lost at point ${point}: ${lost.map(({ name, disk }) => `${name}${disk ? " with its disk" : ""}`).join(", ")}`,
          false,
        );
        for (const { name, disk } of lost) {
          fleet.kill(name, true);
          if (disk) fleet.wipe(name);
        }
      });
      if (fleet.seed % 2 === 0) fleet.add("store", "store-9");
      else {
        const name = fleet.busiestStore();
        const id = [...fleet.storeNameById].find(([, store]) => store === name)![0];
        fleet.notes.push(`retire: ${await fleet.move({ kind: "retire", store: id }, 1500)}`);
      }
      for (let waited = 0; lost.length === 0 && waited < 40; waited += 1) await fleet.run(500);
      fleet.world.disarm();
      if (lost.length === 0) throw new Error(`nothing joined at point ${point}`);
      await fleet.run(6000);
      fleet.fault("lost machines come back", true);
      for (const { name } of lost) fleet.restart(name);
      await fleet.run(20_000);
    },
  },
  {
    name: "drain-in-crowd",
    description: "a district is drained during a crowd, and comes back",
    run: async (fleet) => {
      fleet.callers.load = 3;
      const zone = pick(fleet, fleet.deployment.districts);
      fleet.notes.push(`drain: ${await fleet.move({ kind: "drain", district: zone }, 9000)}`);
      await fleet.run(4000);
      await fleet.move({ kind: "undrain", district: zone }, 4000);
      fleet.callers.load = 1;
      await fleet.run(4000);
    },
  },
  ...([false, true] as const).map((draining): UnnumberedScenario => ({
    name: draining ? "district-lost-in-drain" : "district-lost",
    description: `a district is lost whole${draining ? " while another is drained, under a crowd" : ""}, and comes back (odd seeds: with empty disks)`,
    run: async (fleet) => {
      const [first, other] = [...fleet.deployment.districts].sort(() => fleet.world.random() - 0.5);
      if (draining) {
        fleet.callers.load = 2;
        fleet.notes.push(`drain: ${await fleet.move({ kind: "drain", district: other }, 1000)}`);
      }
      fleet.loseZone(first);
      await fleet.run(15_000);
      fleet.expectSpread(first);
      if (draining) await fleet.move({ kind: "undrain", district: other }, 4000);
      fleet.restoreZone(first, fleet.seed % 2 === 1);
      await fleet.run(12_000);
      fleet.callers.load = 1;
      await fleet.run(6000);
      fleet.expectSpread();
    },
  })),
];
