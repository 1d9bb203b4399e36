import { HollowWorld } from "../src/tools/scale/hollowWorld";

const fleet = async (members: number, seed: number): Promise<HollowWorld> => {
  const hollow = new HollowWorld({ members, replicas: 0, zones: 5, regions: 2, seed });
  expect(await hollow.boot(30_000)).toBeDefined();
  await hollow.world.run(6000);
  return hollow;
};
/** Ids that a member knows as anything but alive. */
const accused = (hollow: HollowWorld, at: number): string[] =>
  hollow.placed[at]
    .member!.node.membership.all()
    .filter((member) => member.state !== "alive")
    .map((member) => member.id);

test("a member whose own timers were late suspects nobody", async () => {
  const hollow = await fleet(8, 3);
  const process = hollow.world.processes.get("hollow-5")!;
  const accusations: string[] = [];
  for (let attempt = 0; attempt < 40; attempt += 1) {
    // nothing reaches it while it waits for indirect probes, and then it is frozen past their time-out
    hollow.world.cutOff(["hollow-5"], "in");
    await hollow.world.run(160 + 3 * attempt);
    const rightly = accused(hollow, 4);
    process.freeze();
    await hollow.world.run(600);
    hollow.world.heal();
    process.wake();
    await hollow.world.run(0.1); // its own verdicts, before it can have learned others'
    accusations.push(...accused(hollow, 4).filter((id) => !rightly.includes(id)));
    await hollow.world.run(4000);
  }
  expect(accusations).toEqual([]);
  expect(hollow.placed[4].member!.node.membership.inconclusiveProbeCount).toBeGreaterThan(3);
  hollow.end();
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
  const hollow = await fleet(9, 5);
  const quiet = await hollow.over(10_000);
  // two and a half probes and their acknowledgements a second, and little else
  expect(quiet.datagrams).toBeLessThan(6);
  hollow.world.cutOff(["hollow-1", "hollow-2", "hollow-3"], "both");
  await hollow.world.run(90_000); // longer than the dead are remembered
  hollow.world.heal();
  expect(await hollow.until(15_000, () => hollow.alive().every((member) => member.others() === 8))).toBeDefined();
  hollow.end();
}, 60_000);
