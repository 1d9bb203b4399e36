import { Constants } from "../src/common/constants";
import { OperatorResponse, ControlFleet } from "./controlFleet";
import { ReplicaRecovery } from "./replicaRecoveryTrial";

const { hasAllReplicas, intactReplicas, store, views } = ReplicaRecovery;
const retirementState = async (fleet: ControlFleet, name: string): Promise<string> =>
  (await fleet.send("GET", `/v1/stores/${name}/retirement`)).body.fate;

describe("retirement orders", () => {
  const retire = (fleet: ControlFleet, name: string, method = "POST"): Promise<OperatorResponse> =>
    fleet.send(method, `/v1/stores/${name}/retirement`);
  const isComplete = async (fleet: ControlFleet, name: string): Promise<boolean> =>
    (await retire(fleet, name, "GET")).body.fate === "finished";
  const knownMembers = (fleet: ControlFleet): string[] =>
    fleet
      .control(fleet.leader()!)!
      .node.membership.all()
      .map((member) => `${member.name} ${member.state}`);
  test("a retirement that is retried after its machine has left is never rejected, and stays complete", async () => {
    const fleet = new ControlFleet(11, { controls: 3, stores: 5 });
    await fleet.run(6000);
    expect((await retire(fleet, "store-2")).status).toBe(200);
    const acceptedAt = fleet.world.now;
    expect(await fleet.until(() => isComplete(fleet, "store-2"), 30_000, 20)).toBeDefined();
    fleet.kill("store-2", true);
    fleet.settings.delete("store-2");
    if (fleet.world.now - acceptedAt < Constants.orderRetryWindowMs)
      expect((await retire(fleet, "store-2")).status).toBe(200);
    expect(
      await fleet.until(() => !knownMembers(fleet).some((each) => each.startsWith("store-2 ")), 120_000, 500),
    ).toBeDefined();
    expect([(await retire(fleet, "store-2")).status, await isComplete(fleet, "store-2")]).toEqual([503, true]);
    expect((await retire(fleet, "store-9")).status).toBe(404);
    expect(fleet.close()).toEqual([]);
  });
  test("a successor with the name of a retired machine is not retired, and its retirement is a separate order", async () => {
    const fleet = new ControlFleet(12, { controls: 4, stores: 5 });
    await fleet.run(6000);
    expect((await retire(fleet, "store-2")).status).toBe(200);
    expect(await fleet.until(() => isComplete(fleet, "store-2"), 30_000, 100)).toBeDefined();
    const first = (await retire(fleet, "store-2", "GET")).body;
    fleet.kill("store-2", true);
    // All wall clocks are set back by an hour, so only the log order shows which order is the newest.
    for (const process of fleet.world.processes.values()) process.skewMs -= 3_600_000;
    fleet.restart("store-2", { withEmptyDisk: true, atNewAddress: true });
    await fleet.run(8000);
    expect((await retire(fleet, "store-2", "GET")).status).toBe(404);
    expect((await retire(fleet, "store-2")).status).toBe(200);
    const second = await retire(fleet, "store-2", "GET");
    expect([second.status, second.body.id === first.id, second.body.fate]).toEqual([200, false, "started"]);
    expect(await fleet.until(() => isComplete(fleet, "store-2"), 30_000, 100)).toBeDefined();
    expect(fleet.close()).toEqual([]);
  });
});

describe("a retirement is complete only while enough synced replicas respond", () => {
  test("a complete retirement becomes incomplete once a replica elsewhere is down, and complete again once that replica is back or replaced", async () => {
    const fleet = new ControlFleet(41, { controls: 4, stores: 5 });
    expect(await fleet.until(() => hasAllReplicas(fleet), 12_000, 50)).toBeDefined();
    expect((await fleet.send("POST", "/v1/stores/store-1/retirement")).status).toBe(200);
    expect(
      await fleet.until(async () => (await retirementState(fleet, "store-1")) === "finished", 20_000, 50),
    ).toBeDefined();
    const waitUntilFinished = (): Promise<number | undefined> =>
      fleet.until(async () => (await retirementState(fleet, "store-1")) === "finished", 20_000, 50);
    fleet.kill("store-2", true);
    expect(await retirementState(fleet, "store-1")).toBe("started");
    fleet.restart("store-2");
    expect(await waitUntilFinished()).toBeDefined();
    expect(hasAllReplicas(fleet)).toBe(true);
    // The retired machine can be removed now, and another one can lose its disk right after, without a loss of data.
    fleet.kill("store-1", true);
    fleet.kill("store-3", true);
    fleet.restart("store-3", { withEmptyDisk: true });
    expect(await fleet.until(() => hasAllReplicas(fleet), 20_000, 50)).toBeDefined();
    expect(fleet.close()).toEqual([]);
  });
  test("a retirement is never complete while a replica is missing, whenever another machine loses its disk", async () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const fleet = new ControlFleet(seed, { controls: 3, stores: 5 });
      expect(await fleet.until(() => hasAllReplicas(fleet), 12_000, 50)).toBeDefined();
      expect((await fleet.send("POST", "/v1/stores/store-1/retirement")).status).toBe(200);
      const retired = store(fleet, "store-1")!.node.self.id;
      const countReplicasLeft = (): number => views(fleet).filter((view) => view.members.includes(retired)).length;
      expect(await fleet.until(() => countReplicasLeft() <= 1, 20_000, 5)).toBeDefined();
      await fleet.run(seed * 40);
      fleet.kill("store-2", true);
      const tooFewReplicas: number[] = [];
      await fleet.until(
        async () => {
          if ((await retirementState(fleet, "store-1")) !== "finished") return false;
          tooFewReplicas.push(
            ...views(fleet)
              .map((view) => intactReplicas(fleet, view))
              .filter((count) => count < 3),
          );
          return true;
        },
        15_000,
        10,
      );
      expect([seed, tooFewReplicas]).toEqual([seed, []]);
      fleet.close();
    }
  });
});
