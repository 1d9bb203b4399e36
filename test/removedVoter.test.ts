import { GroupWorld, Voter } from "../src/tools/scale/groupWorld";

/** Waits in virtual time for a lead among these. */
async function leaderAmong(world: GroupWorld, voters: Voter[], withinMs: number): Promise<Voter | undefined> {
  for (let waited = 0; waited < withinMs; waited += 100) {
    const leader = voters.find((voter) => voter.group.hasLeaderLease());
    if (leader) return leader;
    await world.world.run(100);
  }
  return undefined;
}

test("a voter whose removal was proposed and never committed keeps nobody from leading", async () => {
  for (const seed of [1, 2, 3]) {
    const control = new GroupWorld(3, seed);
    await control.boot();
    const leader = control.leader()!;
    const [staying, leaving] = control.voters.filter((voter) => voter !== leader);
    control.world.cut(leader.id, staying.id);
    control.world.cut(staying.id, leader.id);
    // the lead reaches only the voter that it leaves out: its majority of the new voters can't be had
    const proposed = await control.propose([{ tag: "voters", voters: [leader.id, staying.id] }], 500);
    expect(proposed.taken).toBe(0);
    control.world.kill(leader.id);
    control.world.heal();
    const next = await leaderAmong(control, [staying, leaving], 10_000);
    expect([seed, next !== undefined]).toEqual([seed, true]);
    control.end();
  }
});
