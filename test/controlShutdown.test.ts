import { Csp } from "../src/runtime/csp";
import { ControlFleet } from "./controlFleet";

describe("shutdown of a control node", () => {
  test("a leader that shuts down transfers its leadership, so that the group has no leader for less than 250 ms", async () => {
    const withoutLeaderMs: number[] = [];
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const leader = fleet.leader()!;
      const stop = fleet.running.get(leader)!.stop();
      Csp.go(fleet.world.processes.get(leader)!.scope, "stop", () => stop);
      let steps = 0;
      const from = fleet.world.now;
      await fleet.until(
        () => {
          if (fleet.running.has(leader) && fleet.world.now - from >= 600) fleet.kill(leader);
          if (fleet.leader() === undefined) steps += 1;
          return false;
        },
        4000,
        5,
      );
      withoutLeaderMs.push(steps * 5);
      expect(fleet.leader()).not.toBe(leader);
      expect(fleet.close()).toEqual([]);
    }
    if (process.env.VOTER_SEEDS) console.log(`time without a leader after SIGTERM, ms: ${withoutLeaderMs.join(", ")}`);
    expect(withoutLeaderMs.filter((ms) => ms >= 250)).toEqual([]);
  });
  test("a rolling restart with intact disks replaces no voter, and changes are accepted throughout", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const voters = (): string => [...(fleet.control(fleet.leader() ?? "")?.group.voters() ?? [])].sort().join();
      const before = voters();
      let version = 0;
      for (const name of fleet.names("control")) {
        await fleet.terminate(name);
        await fleet.run(500);
        fleet.restart(name);
        await fleet.run(1200);
        const change = { version: version + 1, bindings: {} };
        const put = await fleet.send("PUT", "/v1/manifest", change, { "if-match": String(version) });
        expect([seed, name, put.status]).toEqual([seed, name, 200]);
        version += 1;
      }
      expect([seed, voters()]).toEqual([seed, before]);
      expect(fleet.close()).toEqual([]);
    }
  });
});
