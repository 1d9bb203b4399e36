import { Constants } from "../src/common/constants";
import { ControlFleet } from "./controlFleet";

const configuration = (version: number, path = "/x"): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path } },
});
const put = async (fleet: ControlFleet, version: number, ifVersion: number): Promise<number> =>
  (await fleet.send("PUT", "/v1/manifest", configuration(version), { "if-match": String(ifVersion) })).status;
const inForce = async (fleet: ControlFleet): Promise<number> => (await fleet.send("GET", "/v1/manifest")).body.version;

describe("restart of the whole control group", () => {
  test("after a power loss and a change of all addresses a leader is elected within two seconds, and acknowledged changes remain in force", async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      expect(await put(fleet, 5, 0)).toBe(200);
      for (const name of fleet.names("control")) fleet.kill(name, true);
      await fleet.run(1000);
      const seeds: string[] = [];
      for (const name of fleet.names("control")) {
        fleet.restart(name, { atNewAddress: true, seeds });
        if (seeds.length < 3) seeds.push(fleet.settings.get(name)!.address);
      }
      expect(await fleet.until(() => fleet.leader() !== undefined, 5000)).toBeLessThan(2000);
      expect(await inForce(fleet)).toBe(5);
      expect(fleet.close()).toEqual([]);
    }
  });
  test("voters that have all just started do not wait for a lease to expire, unless a voter that did not restart may still lead", async () => {
    for (const seed of [1, 2, 3, 4]) {
      const fleet = new ControlFleet(seed, { controls: 3 });
      await fleet.run(3000);
      expect(await put(fleet, 5, 0)).toBe(200);
      for (const name of fleet.names("control")) fleet.kill(name, true);
      await fleet.run(300);
      for (const name of fleet.names("control")) fleet.restart(name);
      expect(await fleet.until(() => fleet.leader() !== undefined, 5000)).toBeLessThan(Constants.electionTimeoutMinMs);
      expect(await inForce(fleet)).toBe(5);
      // The leader freezes while it holds a lease and the other two restart. They must wait until that lease may have
      // expired.
      const leader = fleet.leader()!;
      const others = fleet.names("control").filter((name) => name !== leader);
      fleet.world.processes.get(leader)!.freeze();
      for (const name of others) fleet.kill(name);
      for (const name of others) fleet.restart(name);
      const hasNewLeader = (): boolean => others.some((name) => fleet.control(name)?.group.hasLeaderLease() ?? false);
      expect(await fleet.until(hasNewLeader, 6000)).toBeGreaterThanOrEqual(Constants.electionTimeoutMinMs);
      expect(fleet.close()).toEqual([]);
    }
  });
  test("a new leader holds no lease, and so answers nothing, before all acknowledged changes are applied", async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      for (let version = 1; version <= 5; version += 1) expect(await put(fleet, version, version - 1)).toBe(200);
      for (const name of fleet.names("control")) fleet.kill(name, true);
      for (const name of fleet.names("control")) fleet.restart(name);
      const early: unknown[] = [];
      await fleet.until(
        () => {
          for (const name of fleet.names("control")) {
            const group = fleet.control(name)?.group;
            if (group?.hasLeaderLease() && group.state.manifest.version !== 5)
              early.push([seed, name, group.state.manifest.version]);
          }
          return fleet.leader() !== undefined && fleet.control(fleet.leader()!)!.group.state.manifest.version === 5;
        },
        6000,
        0.2,
      );
      expect(early).toEqual([]);
      fleet.close();
    }
  });
});
