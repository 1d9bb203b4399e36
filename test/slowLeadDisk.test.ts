import { Constants } from "../src/common/constants";
import { GroupUnderTest, Machine } from "../src/model/groupUnderTest";

/** A group whose lead has committed changes by its followers' disks while its own disk stalls. */
async function slowLeader(seed: number, changes: number, stallMs: number): Promise<[GroupUnderTest, Machine]> {
  const group = new GroupUnderTest({ seed, voters: 3, spares: 0 });
  await group.boot();
  const leader = group.leaseHolder()!;
  group.stallDisk(leader, stallMs);
  for (let version = 0; version < changes; version += 1) {
    group.propose(leader, "policies", version);
    if (version === 0) await group.pass(2); // the first is being synced, the others wait for that
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

describe("a lead whose disk is slower than its followers'", () => {
  const usual = { ...Constants };
  afterEach(() => void Object.assign(Constants, usual));

  // found by a random walk: 3 voters, seed 5934
  test("folds its log before its entries are synced, and starts again from its disk", async () => {
    Object.assign(Constants, { logEntriesUntilSnapshot: 12 });
    const [group] = await slowLeader(3, 20, 200);
    await group.pass(1200);
    for (const machine of group.machines) group.kill(machine, true, 5);
    await expectConverged(group);
  });
  // found by a random walk: 3 voters, seed 6459
  test("follows another lead before its committed entries are synced", async () => {
    const [group, leader] = await slowLeader(3, 3, 4000);
    group.world.cutOff([leader.name], "both");
    await group.pass(2500);
    group.world.heal();
    await expectConverged(group);
  });
});
