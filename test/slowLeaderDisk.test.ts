import { Constants } from "../src/common/constants";
import { GroupUnderTest, Machine } from "../src/model/groupUnderTest";
import { Csp } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { SimulatedControlGroup } from "../src/tools/scale/simulatedControlGroup";
import { noop } from "./consensusGroups";

/** Starts a group whose leader has committed changes through its followers' disks while its own disk stalls. */
async function startGroupWithSlowLeader(
  seed: number,
  changes: number,
  stallMs: number,
): Promise<[GroupUnderTest, Machine]> {
  const group = new GroupUnderTest({ seed, voters: 3, spares: 0 });
  await group.boot();
  const leader = group.leaseHolder()!;
  group.stallDisk(leader, stallMs);
  for (let version = 0; version < changes; version += 1) {
    group.propose(leader, "policies", version);
    if (version === 0) await group.pass(2); // the other changes wait for the sync of the first one
  }
  await group.pass(60);
  expect(leader.incarnation.group.state.policies.version).toBe(changes);
  return [group, leader];
}
async function expectConverged(group: GroupUnderTest): Promise<void> {
  await group.pass(5000);
  group.check();
  expect(group.leaseHolder()).toBeDefined();
  expect(group.invariants.hasConverged(group.running())).toBe(true);
  group.end();
}

describe("a leader whose disk is slower than its followers' disks, in a group of the model,", () => {
  const originalConstants = { ...Constants };
  afterEach(() => void Object.assign(Constants, originalConstants));

  // The fault was found by the random walk of seed 5934 with 3 voters.
  test("compacts its log before its entries are synced, and restarts from its disk", async () => {
    Object.assign(Constants, { logEntriesUntilSnapshot: 12 });
    const [group] = await startGroupWithSlowLeader(3, 20, 200);
    await group.pass(1200);
    for (const machine of group.machines) group.kill(machine, true, 5);
    await expectConverged(group);
  });
  // The fault was found by the random walk of seed 6459 with 3 voters.
  test("follows another leader before its committed entries are synced", async () => {
    const [group, leader] = await startGroupWithSlowLeader(3, 3, 4000);
    group.world.isolate([leader.name], "both");
    await group.pass(2500);
    group.world.heal();
    await expectConverged(group);
  });
});

describe("a leader whose disk is slower than its followers' disks", () => {
  test("compacts committed entries that it has not synced itself, and restarts from the state that it wrote", async () => {
    for (const seed of [51, 52, 53]) {
      const control = new SimulatedControlGroup(3, seed);
      await control.boot();
      const leader = control.leader()!;
      leader.process.disk.syncMs = [40, 5];
      const lastIndex = leader.group.lastLogIndex() + 3 * Constants.logEntriesUntilSnapshot;
      // Proposals arrive continuously, so that the followers commit entries while the leader still syncs earlier ones.
      let isProposing = true;
      Csp.go(leader.process.scope, "proposals", function* () {
        while (leader.group.lastLogIndex() < lastIndex) {
          for (let burst = 0; burst < 8; burst += 1)
            Csp.go(leader.process.scope, "proposal", () => leader.group.propose(noop, 3000));
          yield* EnvironmentTools.sleep(leader.process.env, 5);
        }
        isProposing = false;
      });
      for (let waited = 0; isProposing && waited < 300; waited += 1) await control.world.run(100);
      await control.world.run(1000);
      expect(leader.group.snapshotIndex).toBeGreaterThan(0);
      const indexes = leader.group.inspect().entries.map(({ index }) => index);
      expect(indexes).toEqual(indexes.map((_index, at) => indexes[0] + at));
      const { lastApplied: appliedBefore, snapshotIndex: baseIndex } = leader.group;
      control.kill(leader.id);
      const restarted = control.restart(leader.id);
      await control.world.run(100);
      const indexesAfterRestart = restarted.group.inspect().entries.map(({ index }) => index);
      expect({ seed, baseIndex: restarted.group.snapshotIndex }).toEqual({ seed, baseIndex });
      expect({ seed, reread: indexesAfterRestart }).toEqual({
        seed,
        reread: indexesAfterRestart.map((_index, at) => baseIndex + 1 + at),
      });
      await control.world.run(4000);
      expect(restarted.group.lastApplied).toBeGreaterThanOrEqual(appliedBefore);
      expect(restarted.group.lastApplied).toBe(control.leader()!.group.lastApplied);
      expect(control.members.flatMap(({ process }) => process.errors)).toEqual([]);
      control.end();
    }
  });
});
