import { Constants } from "../src/common/constants";
import { ChunkedPayload } from "../src/consensus/chunkedPayload";
import { ChunkReceiver } from "../src/consensus/chunkReceiver";
import { PayloadChunk } from "../src/consensus/messages";
import { Command } from "../src/controlState/command";
import { SimulatedControlGroup, GroupMember } from "../src/tools/scale/simulatedControlGroup";
import { noop, noops } from "./consensusGroups";

/** Link speed of 20 Mbit/s in bytes per ms. */
const SLOW_LINK_BYTES_PER_MS = 2500;
/**
 * Returns random base64 text of `bytes` bytes, so that deflate finds no repetitions; the seed of the run determines it.
 */
const randomText = (control: SimulatedControlGroup, bytes: number): string => {
  const randomWords = new Uint32Array(Math.floor((bytes * 3) / 16));
  for (let at = 0; at < randomWords.length; at += 1) randomWords[at] = control.world.random() * 4294967296;
  return Buffer.from(randomWords.buffer).toString("base64");
};
const policiesCommand = (control: SimulatedControlGroup, ifVersion: number, bytes: number): Command => ({
  tag: "policies",
  changeId: `policies-${ifVersion}`,
  ifVersion,
  doc: [{ match: { caller: randomText(control, bytes) }, order: 1 }],
  by: "ann",
});
/**
 * Proposes about five commands per second until the follower has nearly caught up. Returns the time that took, in ms.
 */
async function msUntilCaughtUp(
  control: SimulatedControlGroup,
  follower: GroupMember,
  withinMs: number,
): Promise<number> {
  const startedAt = control.world.now;
  while (control.world.now - startedAt < withinMs) {
    const leader = control.leader();
    if (leader) await control.propose([noop], 2000);
    await control.world.run(200);
    if (leader && leader.group.lastApplied - follower.group.lastApplied <= 2 && follower.group.lastApplied > 0)
      return control.world.now - startedAt;
  }
  return Infinity;
}
const countElections = (control: SimulatedControlGroup): number =>
  control.members.reduce((sum, { group }) => sum + group.electionsStarted, 0);

describe("catching up over a link of 20 Mbit/s", () => {
  test("a server whose disk was wiped receives a state of 4 MB in chunks while changes continue", async () => {
    const control = new SimulatedControlGroup(4, 21);
    await control.boot();
    control.kill("c4");
    expect(await control.propose([policiesCommand(control, 0, 4_000_000)], 5000)).toMatchObject({ acceptedCount: 1 });
    while (control.leader()!.group.snapshotIndex <= Constants.trailingLogEntries)
      await control.propose(noops(50), 3000);
    const before = countElections(control);
    const follower = control.restart("c4", true);
    follower.process.linkBytesPerMs = SLOW_LINK_BYTES_PER_MS;
    expect(await msUntilCaughtUp(control, follower, 30_000)).toBeLessThan(4700);
    expect(follower.group.snapshotIndex).toBeGreaterThan(Constants.trailingLogEntries);
    expect(follower.group.state).toEqual(control.leader()!.group.state);
    expect(countElections(control)).toBe(before);
    control.end();
  });

  test("a transfer that was interrupted by a partition continues at the point of interruption", async () => {
    const control = new SimulatedControlGroup(4, 22);
    await control.boot();
    control.kill("c4");
    await control.propose([policiesCommand(control, 0, 4_000_000)], 5000);
    while (control.leader()!.group.snapshotIndex <= Constants.trailingLogEntries)
      await control.propose(noops(50), 3000);
    const follower = control.restart("c4", true);
    follower.process.linkBytesPerMs = SLOW_LINK_BYTES_PER_MS;
    const leader = control.leader()!;
    const before = leader.meter.copy();
    for (let interruption = 0; interruption < 3; interruption += 1) {
      await control.world.run(500);
      control.world.isolate(["c4"], "both");
      await control.world.run(1000);
      control.world.heal();
    }
    expect(await msUntilCaughtUp(control, follower, 30_000)).toBeLessThan(4700);
    expect(leader.meter.since(before).bytes).toBeLessThan(1.5 * 4_000_000);
    control.end();
  });

  test("a restarted voter that is needed for the majority receives long entries without causing an election", async () => {
    const control = new SimulatedControlGroup(3, 23);
    await control.boot();
    const [follower, other] = control.members.filter((voter) => voter !== control.leader());
    control.kill(follower.id);
    for (let version = 0; version < 4; version += 1)
      expect(await control.propose([policiesCommand(control, version, 1_000_000)], 5000)).toMatchObject({
        acceptedCount: 1,
      });
    const restarted = control.restart(follower.id);
    restarted.process.linkBytesPerMs = SLOW_LINK_BYTES_PER_MS;
    await control.world.run(300);
    control.kill(other.id);
    const leader = control.leader()!;
    const before = countElections(control);
    for (let step = 0; step < 40; step += 1) {
      await control.world.run(100);
      expect(leader.group.hasLeaderLease()).toBe(true);
    }
    expect(restarted.group.lastApplied).toBe(leader.group.lastApplied);
    expect(await control.propose([noop], 2000)).toMatchObject({ acceptedCount: 1 });
    expect(countElections(control)).toBe(before);
    control.end();
  });

  test("the log is compacted when it exceeds a size in bytes", async () => {
    const control = new SimulatedControlGroup(3, 24);
    await control.boot();
    for (let version = 0; version < 8; version += 1)
      await control.propose([policiesCommand(control, version, 800_000)], 5000);
    await control.world.run(1000);
    for (const { group } of control.members) expect(group.lastLogIndex() - group.snapshotIndex).toBeLessThan(5);
    control.end();
  });
});

describe("a payload sent in chunks", () => {
  const payload = { prevLogIndex: 4, prevLogTerm: 2, entries: [{ index: 5, term: 2, command: noop }] };
  const payloadOnWire = { prevIndex: 4, prevTerm: 2, entries: [{ index: 5, term: 2, command: noop }] };
  const packed = ChunkedPayload.pack(payload);
  const half = Math.floor(packed.bytes.length / 2);
  const firstChunk = (): PayloadChunk => ChunkedPayload.chunk("c1-2-1", packed, 0, half);
  const secondChunk = (): PayloadChunk => ChunkedPayload.chunk("c1-2-1", packed, half, packed.bytes.length);

  test("is reassembled by the receiver, even if some chunks arrive twice or out of order", () => {
    const receiver = new ChunkReceiver();
    expect(receiver.receive(secondChunk())).toEqual({ tag: "incomplete", receivedBytes: 0 });
    expect(receiver.receive(firstChunk())).toEqual({ tag: "incomplete", receivedBytes: half });
    expect(receiver.receive(firstChunk())).toEqual({ tag: "incomplete", receivedBytes: half });
    expect(receiver.receive(secondChunk())).toEqual({ tag: "complete", payload: payloadOnWire });
  });

  test("is rejected if a chunk is malformed, has a wrong size or is damaged", () => {
    const receiver = new ChunkReceiver();
    const malformed: Partial<PayloadChunk>[] = [
      { totalBytes: 0 },
      { totalBytes: Constants.packedPayloadMaxBytes + 1 },
      { totalBytes: 1.5 },
      { offset: -1 },
      { data: 7 as unknown as string },
      { transferId: undefined },
      { data: "" },
      { totalBytes: half - 1 },
    ];
    for (const fields of malformed)
      expect({ fields, result: receiver.receive({ ...firstChunk(), ...fields }).tag }).toEqual({
        fields,
        result: "rejected",
      });
    receiver.receive(firstChunk());
    expect(receiver.receive({ ...secondChunk(), checksum: packed.checksum ^ 1 }).tag).toBe("rejected");
    const damaged = Buffer.from(packed.bytes);
    damaged[half + 1] ^= 0xff;
    receiver.receive(firstChunk());
    expect(
      receiver.receive(ChunkedPayload.chunk("c1-2-1", { ...packed, bytes: damaged }, half, damaged.length)).tag,
    ).toBe("rejected");
    expect(receiver.receive(firstChunk())).toEqual({ tag: "incomplete", receivedBytes: half });
    expect(receiver.receive(secondChunk())).toEqual({ tag: "complete", payload: payloadOnWire });
  });
});
