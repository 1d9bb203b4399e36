import { Constants } from "../src/common/constants";
import { GroupWorld, Voter } from "../src/tools/scale/groupWorld";
import { noop, noops } from "./consensusGroups";

describe("a follower's log that diverges from the leader's", () => {
  /** A leader is partitioned with entries of its own, the others commit up to an index, then the partition heals. */
  async function startDivergedGroup(
    seed: number,
    own: number,
    upTo: number,
  ): Promise<{ control: GroupWorld; cutOff: Voter }> {
    const control = new GroupWorld(3, seed);
    await control.boot();
    const cutOff = control.leader()!;
    while (cutOff.group.lastApplied < 394) await control.propose([noop], 2000);
    control.world.isolate([cutOff.id], "both");
    await control.propose(noops(own), 300);
    await control.world.run(4000);
    const next = control.leader()!;
    while (next.group.lastApplied < upTo)
      await control.propose(noops(Math.min(20, upTo - next.group.lastApplied)), 2000);
    await control.world.run(1500);
    control.world.heal();
    return { control, cutOff };
  }

  test("catches up when it diverges a little past the index of the leader's snapshot", async () => {
    const { control, cutOff } = await startDivergedGroup(5, 12, 403);
    expect(control.leader()!.group.snapshotIndex).toBeGreaterThan(394);
    await control.world.run(3000);
    expect(control.leader()!.group.lastApplied).toBeGreaterThanOrEqual(403);
    expect(cutOff.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });

  test("is replaced by the snapshot when it diverges past its index and the entries before are compacted", async () => {
    const { control, cutOff } = await startDivergedGroup(5, 1000, 1250);
    expect(control.leader()!.group.snapshotIndex).toBeGreaterThan(394 + Constants.trailingLogEntries);
    expect(cutOff.group.lastLogIndex()).toBeGreaterThan(control.leader()!.group.snapshotIndex);
    await control.world.run(3000);
    expect(cutOff.group.snapshotIndex).toBe(control.leader()!.group.snapshotIndex);
    expect(cutOff.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });

  test("is matched in a few requests when it diverges by hundreds of entries", async () => {
    const control = new GroupWorld(3, 9);
    await control.boot();
    const cutOff = control.leader()!;
    control.world.isolate([cutOff.id], "both");
    await control.propose(noops(300), 300);
    await control.world.run(4000);
    const next = control.leader()!;
    await control.propose(noops(290), 2000);
    // a leader elected after them expects its complete log at every follower
    control.world.isolate([next.id], "both");
    await control.world.run(4000);
    const before = cutOff.meter.copy();
    control.world.heal();
    await control.world.run(3000);
    expect(control.leader()!.id).not.toBe(cutOff.id);
    expect(cutOff.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    expect(cutOff.meter.since(before).frames).toBeLessThan(150);
    control.end();
  });
});
