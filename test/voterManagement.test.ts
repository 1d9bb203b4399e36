import { Constants } from "../src/common/constants";
import { Rpc } from "../src/rpc/rpc";
import { ControlFleet } from "./controlFleet";

const configuration = (version: number, path = "/x"): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path } },
});
const put = async (fleet: ControlFleet, version: number, ifVersion: number): Promise<number> =>
  (await fleet.send("PUT", "/v1/manifest", configuration(version), { "if-match": String(ifVersion) })).status;
const inForce = async (fleet: ControlFleet): Promise<number> => (await fleet.send("GET", "/v1/manifest")).body.version;
/** Returns the ids of the voters by the leader's log, and the names of those that are running. */
const voters = (fleet: ControlFleet): { ids: string[]; running: string[] } => {
  const leader = fleet.leader();
  const ids = leader ? fleet.control(leader)!.group.voters() : [];
  return {
    ids,
    running: fleet
      .names("control")
      .filter((name) => ids.includes(fleet.control(name)?.node.self.id ?? ""))
      .sort(),
  };
};
const hasLiveVoters = (fleet: ControlFleet, count: number): boolean =>
  voters(fleet).ids.length === count && voters(fleet).running.length === count;

describe("voters of the control group", () => {
  test("a node that is stopped and restarted with its disk is a live member again within 1.5 s", async () => {
    const fleet = new ControlFleet(3, { controls: 4 });
    await fleet.run(3000);
    await fleet.terminate("control-2");
    await fleet.run(500);
    fleet.restart("control-2");
    await fleet.run(1500);
    for (const name of fleet.names("control"))
      expect([name, fleet.control(name)!.node.membership.alive("control").length]).toEqual([name, 4]);
    expect(fleet.close()).toEqual([]);
  });
  test("a group that is bootstrapped with three voters but needs five grows before it accepts its first change", async () => {
    const fleet = new ControlFleet(4, { controls: 7, founders: 3, losses: 2 });
    await fleet.until(() => fleet.leader() !== undefined, 4000);
    expect(await fleet.until(async () => (await put(fleet, 3, 0)) === 200, 8000, 20)).toBeDefined();
    expect(hasLiveVoters(fleet, 5)).toBe(true);
    expect(fleet.close()).toEqual([]);
  });
  test("a group that cannot grow accepts changes after `groupGrowthWaitMs`, and logs that it has too few voters", async () => {
    const lines: string[] = [];
    const fleet = new ControlFleet(4, { controls: 3, founders: 3, losses: 2, log: (line) => lines.push(line) });
    await fleet.until(() => fleet.leader() !== undefined, 4000);
    const elapsedMs = await fleet.until(async () => (await put(fleet, 3, 0)) === 200, 8000, 50);
    expect(elapsedMs).toBeGreaterThan(Constants.groupGrowthWaitMs / 2);
    expect(elapsedMs).toBeLessThan(Constants.groupGrowthWaitMs + 1000);
    expect(lines.some((line) => line.includes("1309"))).toBe(true);
    expect(fleet.close()).toEqual([]);
  });
  test("a node that lost its disk neither acknowledges nor votes in the name of the voter that had its address", async () => {
    const fleet = new ControlFleet(6, { controls: 3 });
    await fleet.run(3000);
    expect(await put(fleet, 1, 0)).toBe(200);
    const [leader, lost, down] = [fleet.leader()!, ...fleet.names("control").filter((name) => name !== fleet.leader())];
    const [former, address] = [fleet.control(lost)!.node.self.id, fleet.settings.get(lost)!.address];
    const group = fleet.control(leader)!.group;
    fleet.kill(down);
    fleet.kill(lost, true);
    fleet.restart(lost, { withEmptyDisk: true });
    await fleet.run(4000);
    // Only one of the three voters is left, so nothing may be acknowledged although two machines are up.
    expect([503, 504]).toContain(await put(fleet, 2, 1));
    const rpc = new Rpc(fleet.operator.env, "test", "asker");
    const vote = { to: former, group: group.groupId(), term: 99, candidate: "asker", lastIndex: 10_000, lastTerm: 98 };
    for (const method of ["group.vote", "group.preVote"])
      expect(await fleet.world.runTask(fleet.operator, () => rpc.call(address, method, vote, 500), 1000)).toMatchObject(
        {
          ok: false,
          fault: { tag: "refused" },
        },
      );
    // With the other voter back, a majority of the voters that hold the log is available again.
    fleet.restart(down);
    expect(await fleet.until(async () => (await put(fleet, 2, 1)) === 200, 8000, 100)).toBeDefined();
    expect(fleet.close()).toEqual([]);
  });
  test("a live standby without the log does not become a voter", async () => {
    const fleet = new ControlFleet(7, { controls: 4 });
    await fleet.run(3000);
    expect(await put(fleet, 1, 0)).toBe(200);
    const { running } = voters(fleet);
    const standby = fleet.names("control").find((name) => !running.includes(name))!;
    const [leader, lost] = [fleet.leader()!, running.find((name) => name !== fleet.leader())!];
    fleet.kill(standby);
    fleet.kill(lost, true);
    fleet.restart(lost, { withEmptyDisk: true });
    // The other nodes spread its membership by gossip, but the leader cannot send it the log.
    fleet.world.partition(leader, lost);
    await fleet.run(6000);
    expect(voters(fleet).ids).not.toContain(fleet.control(lost)!.node.self.id);
    expect(
      (await fleet.send("PUT", "/v1/manifest", configuration(2), { "if-match": "1" }, fleet.settings.get(leader)!.http))
        .status,
    ).toBe(200);
    fleet.world.heal();
    expect(await fleet.until(() => hasLiveVoters(fleet, 3), 5000)).toBeDefined();
    expect(fleet.close()).toEqual([]);
  });
  test("voters are replaced one after the other by empty nodes at other addresses, and every acknowledged change remains in force", async () => {
    const fleet = new ControlFleet(8, { controls: 4 });
    await fleet.run(3000);
    let version = 0;
    for (let round = 0; round < 6; round += 1) {
      expect(await put(fleet, version + 2, version)).toBe(200);
      version += 2;
      const { running } = voters(fleet);
      const name = round % 2 === 0 ? fleet.leader()! : running.find((each) => each !== fleet.leader())!;
      fleet.kill(name, true);
      fleet.settings.delete(name);
      fleet.updateSeeds(round);
      fleet.addMachine(fleet.names("control")[0], `control-${10 + round}`);
      const elapsedMs = await fleet.until(() => hasLiveVoters(fleet, 3), 8000);
      expect(elapsedMs).toBeLessThan(5000);
      expect(await inForce(fleet)).toBe(version);
    }
    expect(fleet.close()).toEqual([]);
  });
});
