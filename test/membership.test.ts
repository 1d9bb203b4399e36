import { SimulatedMembership } from "../src/tools/scale/simulatedMembership";

const fleet = async (members: number, seed: number): Promise<SimulatedMembership> => {
  const membership = new SimulatedMembership({ members, replicas: 0, zones: 5, regions: 2, seed });
  expect(await membership.boot(30_000)).toBeDefined();
  await membership.world.run(6000);
  return membership;
};
/** Ids that a member knows as anything but alive. */
const accused = (membership: SimulatedMembership, at: number): string[] =>
  membership.placed[at]
    .member!.node.membership.all()
    .filter((member) => member.state !== "alive")
    .map((member) => member.id);

test("a member whose own timers were late suspects nobody", async () => {
  const membership = await fleet(8, 3);
  const process = membership.world.processes.get("hollow-5")!;
  const accusations: string[] = [];
  for (let attempt = 0; attempt < 40; attempt += 1) {
    // nothing reaches it while it waits for indirect probes, and then it is frozen past their time-out
    membership.world.isolate(["hollow-5"], "in");
    await membership.world.run(160 + 3 * attempt);
    const rightly = accused(membership, 4);
    process.freeze();
    await membership.world.run(600);
    membership.world.heal();
    process.resume();
    await membership.world.run(0.1); // its own verdicts, before it can have learned others'
    accusations.push(...accused(membership, 4).filter((id) => !rightly.includes(id)));
    await membership.world.run(4000);
  }
  expect(accusations).toEqual([]);
  expect(membership.placed[4].member!.node.membership.inconclusiveProbeCount).toBeGreaterThan(3);
  membership.end();
}, 60_000);
test("members that missed each other's updates find by digests who joined and who died", async () => {
  const hollow = await fleet(12, 4);
  const { membership } = hollow.placed[11].member!.node;
  const learned: string[] = [];
  membership.onChange((changed) => changed && learned.push(`${changed.id} ${changed.state}`));
  const dead = hollow.placed[3].member!.node.self.id;
  const standing = membership.versions(Array.from({ length: 64 }, (_none, at) => at));
  expect(Object.keys(standing).length).toBe(12);
  const other = hollow.placed[0].member!.node.membership;
  other.merge([{ ...membership.find(dead)!, state: "dead" }]);
  const lacking = membership.diff([...Array(64).keys()], other.versions([...Array(64).keys()]));
  expect(lacking).toEqual({ updates: [], want: [dead] });
  expect(other.bucketChecksums()).not.toEqual(membership.bucketChecksums());
  hollow.end();
}, 60_000);
test("an alive seed is not contacted again, a lost one is, and a healed partition is noticed", async () => {
  const membership = await fleet(9, 5);
  const quiet = await membership.over(10_000);
  // two and a half probes and their acknowledgements a second, and little else
  expect(quiet.datagrams).toBeLessThan(6);
  membership.world.isolate(["hollow-1", "hollow-2", "hollow-3"], "both");
  await membership.world.run(90_000); // longer than the dead are remembered
  membership.world.heal();
  expect(
    await membership.until(15_000, () => membership.alive().every((member) => member.others() === 8)),
  ).toBeDefined();
  membership.end();
}, 60_000);
