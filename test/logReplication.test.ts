import { Constants } from "../src/common/constants";
import { SimulatedControlGroup, GroupMember } from "../src/tools/scale/simulatedControlGroup";
import { noop, noops } from "./consensusGroups";

describe("a follower's log that diverges from the leader's", () => {
  /**
   * Partitions the leader and proposes entries that it cannot commit. The other voters commit entries up to an index
   * before the partition heals.
   */
  async function startDivergedGroup(
    seed: number,
    uncommittedCount: number,
    commitIndex: number,
  ): Promise<{ control: SimulatedControlGroup; formerLeader: GroupMember }> {
    const control = new SimulatedControlGroup(3, seed);
    await control.boot();
    const formerLeader = control.leader()!;
    while (formerLeader.group.lastApplied < 394) await control.propose([noop], 2000);
    control.world.isolate([formerLeader.id], "both");
    await control.propose(noops(uncommittedCount), 300);
    await control.world.run(4000);
    const newLeader = control.leader()!;
    while (newLeader.group.lastApplied < commitIndex)
      await control.propose(noops(Math.min(20, commitIndex - newLeader.group.lastApplied)), 2000);
    await control.world.run(1500);
    control.world.heal();
    return { control, formerLeader };
  }

  test("catches up when it diverges slightly past the index of the leader's snapshot", async () => {
    const { control, formerLeader } = await startDivergedGroup(5, 12, 403);
    expect(control.leader()!.group.snapshotIndex).toBeGreaterThan(394);
    await control.world.run(3000);
    expect(control.leader()!.group.lastApplied).toBeGreaterThanOrEqual(403);
    expect(formerLeader.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });

  test("is replaced by the leader's snapshot when it is longer than the snapshot and the entries to compare are compacted", async () => {
    const { control, formerLeader } = await startDivergedGroup(5, 1000, 1250);
    expect(control.leader()!.group.snapshotIndex).toBeGreaterThan(394 + Constants.trailingLogEntries);
    expect(formerLeader.group.lastLogIndex()).toBeGreaterThan(control.leader()!.group.snapshotIndex);
    await control.world.run(3000);
    expect(formerLeader.group.snapshotIndex).toBe(control.leader()!.group.snapshotIndex);
    expect(formerLeader.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });

  test("is matched in a few requests when it diverges by hundreds of entries", async () => {
    const control = new SimulatedControlGroup(3, 9);
    await control.boot();
    const formerLeader = control.leader()!;
    control.world.isolate([formerLeader.id], "both");
    await control.propose(noops(300), 300);
    await control.world.run(4000);
    const newLeader = control.leader()!;
    await control.propose(noops(290), 2000);
    // A leader elected after these entries first assumes that every follower has its complete log.
    control.world.isolate([newLeader.id], "both");
    await control.world.run(4000);
    const meterBefore = formerLeader.meter.copy();
    control.world.heal();
    await control.world.run(3000);
    expect(control.leader()!.id).not.toBe(formerLeader.id);
    expect(formerLeader.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    expect(formerLeader.meter.since(meterBefore).frames).toBeLessThan(150);
    control.end();
  });
});
