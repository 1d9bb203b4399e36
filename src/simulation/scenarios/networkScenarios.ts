import { NodeResponse } from "../simOperator";
import { UnnumberedScenario } from "./scenario";

/** Scenarios of network partitions between control nodes, stores and ingresses. */
export const networkScenarios: UnnumberedScenario[] = [
  {
    name: "control-cut-in-two",
    description: "a partition splits the control group into two halves while an operator changes the configuration",
    run: async (fleet) => {
      const names = fleet.names("control");
      fleet.recordFault("control cut in two", true);
      const half = names.slice(0, Math.ceil(names.length / 2));
      for (const left of half)
        for (const right of names.filter((name) => !half.includes(name))) {
          fleet.world.partition(left, right);
          fleet.world.partition(right, left);
        }
      fleet.actions.push("control group partitioned in two");
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
      "two of three control voters lose their disks (odd seeds) or are partitioned for a while (even); an operator recovers the group from the remaining voter",
    run: async (fleet) => {
      const leader = fleet.controlLeader();
      const { group, voters } = fleet.controlGroup();
      const remaining = voters.find((each) => each.name !== leader)!;
      const lostVoters = voters.filter((each) => each !== remaining).map((each) => each.name);
      const standbys = fleet.names("control").filter((name) => !voters.some((each) => each.name === name));
      const recover = (body: Record<string, unknown>): Promise<NodeResponse | undefined> =>
        fleet.send(
          "POST",
          "/v1/control/recover",
          { group, voter: remaining.id, acceptLoss: true, ...body },
          {},
          fleet.httpOf(remaining.name),
        );
      const expectRejected = async (reason: string, body: Record<string, unknown>, status: number): Promise<void> => {
        const response = await recover(body);
        if (response?.status !== status)
          throw new Error(`recovery with ${reason}: ${response?.status} ${JSON.stringify(response?.body)}`);
      };
      await fleet.changeConfiguration();
      await expectRejected("a running majority", {}, 412);
      fleet.recordFault(`voters ${lostVoters.join(" and ")} lost`, false);
      if (fleet.seed % 2 === 1) {
        for (const name of lostVoters) fleet.kill(name, true);
        await fleet.run(1000);
        for (const name of lostVoters) fleet.restart(name, { withEmptyDisk: true });
      } else fleet.partition([...lostVoters, ...standbys]);
      await fleet.run(6000);
      await expectRejected("another group", { group: "group-other" }, 412);
      await expectRejected("another member", { voter: fleet.storeNameById.keys().next().value }, 404);
      await expectRejected("no acceptance of the loss", { acceptLoss: undefined }, 400);
      const response = await recover({});
      if (response?.status !== 200) throw new Error(`recovery rejected: ${JSON.stringify(response?.body)}`);
      fleet.recordFault("recovered from one voter", true);
      await expectRejected("a second request", {}, 412);
      await fleet.run(4000);
      if ((await fleet.changeConfigurationAt(fleet.httpOf(remaining.name))).outcome !== "acknowledged")
        throw new Error("no configuration change accepted after the recovery");
      fleet.heal();
      await fleet.run(12_000);
      if ((await fleet.changeConfiguration()).outcome !== "acknowledged")
        throw new Error("no configuration change accepted after all control nodes were back");
      await fleet.run(4000);
      const after = fleet.controlGroup();
      if (after.group !== `${group}+1` || after.voters.length !== 3)
        throw new Error(`group ${after.group} with ${after.voters.length} voters`);
      const explanation = await fleet.send("GET", "/v1/why/control%20group");
      if (!JSON.stringify(explanation?.body ?? "").includes("recovered as"))
        throw new Error("the recovery is not in the ledger");
    },
  },
  {
    name: "control-cut-off",
    description: "the whole control group is partitioned from all other processes",
    run: async (fleet) => {
      fleet.recordFault("control cut off", true);
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
    description: "the busiest store is partitioned from all other processes for a while",
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.recordFault(`cut off ${name}`, true);
      fleet.partition([name]);
      await fleet.run(18_000);
      fleet.heal();
      await fleet.run(9000);
    },
  },
  ...(["in", "out"] as const).map((direction): UnnumberedScenario => ({
    name: `store-cut-${direction}`,
    description: `all messages ${direction === "in" ? "to" : "from"} the busiest store are lost for a while`,
    run: async (fleet) => {
      const name = fleet.busiestStore();
      fleet.recordFault(`cut ${direction} at ${name}`, true);
      fleet.partition([name], direction);
      await fleet.run(9000);
      fleet.heal();
      await fleet.run(9000);
    },
  })),
  {
    name: "ingress-deaf",
    description: "all messages from the stores to an ingress are lost, but not those from the ingress",
    run: async (fleet) => {
      const [ingress] = fleet.names("ingress");
      fleet.recordFault("ingress deaf", true);
      fleet.blockIncoming(ingress, fleet.names("store"));
      await fleet.run(22_000);
      fleet.heal();
      await fleet.run(5000);
    },
  },
];
