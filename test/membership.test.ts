import { SimulatedMembership } from "../src/tools/scale/simulatedMembership";

const startMembers = async (members: number, seed: number): Promise<SimulatedMembership> => {
  const membership = new SimulatedMembership({ members, endpoints: 0, zones: 5, regions: 2, seed });
  expect(await membership.boot(30_000)).toBeDefined();
  await membership.world.run(6000);
  return membership;
};
/** Returns the ids of the members that a member does not regard as alive. */
const notAlive = (membership: SimulatedMembership, at: number): string[] =>
  membership.placedMembers[at]
    .member!.node.membership.all()
    .filter((member) => member.state !== "alive")
    .map((member) => member.id);

test("a member whose own timers fired late suspects no other member", async () => {
  const membership = await startMembers(8, 3);
  const process = membership.world.processes.get("hollow-5")!;
  const wrongSuspicions: string[] = [];
  for (let attempt = 0; attempt < 40; attempt += 1) {
    // The member receives nothing while it waits for indirect probes, and is then frozen until after their time-out.
    membership.world.isolate(["hollow-5"], "in");
    await membership.world.run(160 + 3 * attempt);
    const knownBefore = notAlive(membership, 4);
    process.freeze();
    await membership.world.run(600);
    membership.world.heal();
    process.resume();
    await membership.world.run(0.1); // Runs the member's own time-outs, before it can learn of suspicions from others.
    wrongSuspicions.push(...notAlive(membership, 4).filter((id) => !knownBefore.includes(id)));
    await membership.world.run(4000);
  }
  expect(wrongSuspicions).toEqual([]);
  expect(membership.placedMembers[4].member!.node.membership.inconclusiveProbeCount).toBeGreaterThan(3);
  membership.end();
}, 60_000);
test("members that missed each other's updates find out by digests which members joined and which died", async () => {
  const simulation = await startMembers(12, 4);
  const { membership } = simulation.placedMembers[11].member!.node;
  const learned: string[] = [];
  membership.onChange((changed) => changed && learned.push(`${changed.id} ${changed.state}`));
  const dead = simulation.placedMembers[3].member!.node.self.id;
  const standing = membership.versions(Array.from({ length: 64 }, (_none, at) => at));
  expect(Object.keys(standing).length).toBe(12);
  const other = simulation.placedMembers[0].member!.node.membership;
  other.merge([{ ...membership.find(dead)!, state: "dead" }]);
  const lacking = membership.diff([...Array(64).keys()], other.versions([...Array(64).keys()]));
  expect(lacking).toEqual({ updates: [], want: [dead] });
  expect(other.bucketChecksums()).not.toEqual(membership.bucketChecksums());
  simulation.end();
}, 60_000);
test("an alive seed is not contacted again, a lost seed is, and a healed partition is detected", async () => {
  const membership = await startMembers(9, 5);
  const quiet = await membership.measureRates(10_000);
  // The traffic is 2.5 probes and their acknowledgements per second, and little else.
  expect(quiet.datagrams).toBeLessThan(6);
  membership.world.isolate(["hollow-1", "hollow-2", "hollow-3"], "both");
  await membership.world.run(90_000); // This is longer than dead members are retained.
  membership.world.heal();
  expect(
    await membership.runUntil(15_000, () =>
      membership.runningMembers().every((member) => member.otherMemberCount() === 8),
    ),
  ).toBeDefined();
  membership.end();
}, 60_000);
