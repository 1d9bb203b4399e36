import { NodeResponse } from "../simOperator";
import { UnnumberedScenario } from "./scenario";

/** Cuts of the network, between control machines, stores and ingresses. */
export const networkScenarios: UnnumberedScenario[] = [
  {
    name: "control-cut-in-two",
    description: "the control group is cut two against two, while operators change",
    run: async (fleet) => {
      const names = fleet.names("control");
      fleet.fault("control cut in two", true);
      const half = names.slice(0, Math.ceil(names.length / 2));
      for (const left of half)
        for (const right of names.filter((name) => !half.includes(name))) {
          fleet.world.partition(left, right);
          fleet.world.partition(right, left);
        }
      fleet.actions.push("control cut in two");
      await fleet.run(1000);
      await fleet.changeConfiguration();
      await fleet.run(6000);
      await fleet.changeConfiguration();
      fleet.heal();
      await fleet.run(6000);
      await fleet.changeConfiguration();
      await fleet.run(3000);
    },
  },
  {
    name: "control-one-left",
    description:
      "two of three control voters lose their disks (odd seeds) or are cut off for long and come back (even); an operator goes on from the one left",
    run: async (fleet) => {
      const leader = fleet.controlLeader();
      const { group, voters } = fleet.controlGroup();
      const left = voters.find((each) => each.name !== leader)!;
      const lost = voters.filter((each) => each !== left).map((each) => each.name);
      const standby = fleet.names("control").filter((name) => !voters.some((each) => each.name === name));
      const recover = (body: Record<string, unknown>): Promise<NodeResponse | undefined> =>
        fleet.send(
          "POST",
          "/v1/control/recover",
          { group, voter: left.id, acceptLoss: true, ...body },
          {},
          fleet.httpOf(left.name),
        );
      const refused = async (what: string, body: Record<string, unknown>, status: number): Promise<void> => {
        const said = await recover(body);
        if (said?.status !== status) throw new Error(`${what}: ${said?.status} ${JSON.stringify(said?.body)}`);
      };
      await fleet.changeConfiguration();
      await refused("a living majority", {}, 412);
      fleet.fault(`voters ${lost.join(" and ")} lost`, false);
      if (fleet.seed % 2 === 1) {
        for (const name of lost) fleet.kill(name, true);
        await fleet.run(1000);
        for (const name of lost) fleet.restart(name, { empty: true });
      } else fleet.partition([...lost, ...standby]);
      await fleet.run(6000);
      await refused("another group", { group: "group-other" }, 412);
      await refused("another member", { voter: fleet.storeNameById.keys().next().value }, 404);
      await refused("no word of the loss", { acceptLoss: undefined }, 400);
      const said = await recover({});
      if (said?.status !== 200) throw new Error(`recovery refused: ${JSON.stringify(said?.body)}`);
      fleet.fault("recovered from one voter", true);
      await refused("a second use", {}, 412);
      await fleet.run(4000);
      if ((await fleet.changeAt(fleet.httpOf(left.name))).outcome !== "acknowledged")
        throw new Error("no change taken after the recovery");
      fleet.heal();
      await fleet.run(12_000);
      if ((await fleet.changeConfiguration()).outcome !== "acknowledged")
        throw new Error("no change taken once all were back");
      await fleet.run(4000);
      const after = fleet.controlGroup();
      if (after.group !== `${group}+1` || after.voters.length !== 3)
        throw new Error(`group ${after.group} with ${after.voters.length} voters`);
      const told = await fleet.send("GET", "/v1/why/control%20group");
      if (!JSON.stringify(told?.body ?? "").includes("recovered as"))
        throw new Error("the recovery is not in the ledger");
    },
  },
  {
    name: "control-cut-off",
    description: "the whole control group is cut off from everything else",
    run: async (fleet) => {
      fleet.fault("control cut off", true);
      fleet.partition(fleet.names("control"));
      await fleet.run(15_000);
      fleet.heal();
      await fleet.run(5000);
      await fleet.changeConfiguration();
      await fleet.run(4000);
    },
  },
  {
    name: "store-cut-off",
    description: "the busiest store is cut off, and comes back",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.fault(`cut off ${name}`, true);
      fleet.partition([name]);
      await fleet.run(18_000);
      fleet.heal();
      await fleet.run(9000);
    },
  },
  ...(["in", "out"] as const).map((way): UnnumberedScenario => ({
    name: `store-cut-${way}`,
    description: `nothing comes ${way === "in" ? "in to" : "out of"} the busiest store`,
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.fault(`cut ${way} at ${name}`, true);
      fleet.partition([name], way);
      await fleet.run(9000);
      fleet.heal();
      await fleet.run(9000);
    },
  })),
  {
    name: "ingress-deaf",
    description: "nothing comes from the stores to an ingress, though all it sends arrives",
    run: async (fleet) => {
      const [deaf] = fleet.names("ingress");
      fleet.fault("ingress deaf", true);
      fleet.deafen(deaf, fleet.names("store"));
      await fleet.run(22_000);
      fleet.heal();
      await fleet.run(5000);
    },
  },
];
