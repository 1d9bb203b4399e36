import { Command } from "../src/controlState/command";
import { SimulatedControlGroup, GroupMember } from "../src/tools/scale/simulatedControlGroup";
import { isolate, noops, proposeAt } from "./consensusGroups";

describe("the group membership", () => {
  test("rejects a second change while one is uncommitted, so that two leaders never hold leases at once", async () => {
    const control = new SimulatedControlGroup(5, 5);
    await control.boot();
    const leader = control.leader()!;
    const voters = leader.group.voters();
    const standbys = control.members.map(({ id }) => id).filter((id) => !voters.includes(id));
    isolate(
      control,
      voters.filter((id) => id !== leader.id),
    );
    await control.world.run(50);
    const { acceptedCount: taken } = await control.propose(
      [
        { tag: "voters", voters: [...voters, standbys[0]] },
        { tag: "voters", voters: [...voters, ...standbys] },
      ],
      3000,
    );
    expect(taken).toBe(0);
    for (let step = 0; step < 50; step += 1) {
      await control.world.run(100);
      expect(control.members.filter(({ group }) => group.hasLeaderLease()).length).toBeLessThan(2);
    }
    control.world.heal();
    await control.world.run(3000);
    const newLeader = control.leader()!;
    expect(newLeader.group.voters()).toEqual(voters);
    const enlarged = [...voters, standbys[0]];
    expect(await proposeAt(control, newLeader, { tag: "voters", voters: enlarged })).toMatchObject({ ok: true });
    expect(newLeader.group.voters()).toEqual(enlarged);
    control.end();
  });

  test("accepts a change only if it adds or removes exactly one voter", async () => {
    const control = new SimulatedControlGroup(5, 6);
    await control.boot();
    const leader = control.leader()!;
    const voters = leader.group.voters();
    const standbys = control.members.map(({ id }) => id).filter((id) => !voters.includes(id));
    const others = voters.filter((id) => id !== leader.id);
    const rejectedMemberships = [
      voters,
      [...voters, ...standbys],
      [leader.id],
      [...others, standbys[0]],
      [...voters, voters[0]],
      [...voters, standbys[0], standbys[0]],
      [],
    ];
    for (const proposedVoters of rejectedMemberships)
      expect(await proposeAt(control, leader, { tag: "voters", voters: proposedVoters })).toMatchObject({
        ok: false,
        fault: { tag: "conflict" },
      });
    const found: Command = { tag: "found", group: "another", voters };
    expect(await proposeAt(control, leader, found)).toMatchObject({ ok: false, fault: { tag: "conflict" } });
    expect(leader.group.voters()).toEqual(voters);
    for (const proposedVoters of [[...voters, standbys[0]], [...voters, ...standbys], [...voters, standbys[1]], voters])
      expect(await proposeAt(control, leader, { tag: "voters", voters: proposedVoters })).toMatchObject({ ok: true });
    control.end();
  });

  test("lets a leader commit its own removal without counting itself, and makes it step down then", async () => {
    const control = new SimulatedControlGroup(3, 7);
    await control.boot();
    const leader = control.leader()!;
    const others = leader.group.voters().filter((id) => id !== leader.id);
    // With one of the two remaining voters partitioned, the leader and the other voter are no majority of the new
    // membership.
    control.world.isolate([others[0]], "both");
    const removal = await proposeAt(control, leader, { tag: "voters", voters: others });
    expect(removal).toMatchObject({ ok: false, fault: { tag: "unknown" } });
    expect(leader.group.hasLeaderLease()).toBe(false);
    control.world.heal();
    await control.world.run(4000);
    expect(leader.group.role).toBe("follower");
    expect(leader.group.state.voters).toEqual(others);
    expect(others).toContain(control.leader()!.id);
    await control.propose(noops(3), 2000);
    await control.world.run(1000);
    expect(leader.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });

  test("never lets a standby start an election", async () => {
    const control = new SimulatedControlGroup(4, 8);
    await control.boot();
    const standby = control.members[3];
    control.world.isolate([standby.id], "both");
    await control.world.run(10_000);
    expect(standby.group.electionsStarted).toBe(0);
    expect(standby.group.role).toBe("follower");
    control.end();
  });
});

/** Waits in virtual time until one of the given voters is the leader. */
async function leaderAmong(
  world: SimulatedControlGroup,
  voters: GroupMember[],
  withinMs: number,
): Promise<GroupMember | undefined> {
  for (let waited = 0; waited < withinMs; waited += 100) {
    const leader = voters.find((voter) => voter.group.hasLeaderLease());
    if (leader) return leader;
    await world.world.run(100);
  }
  return undefined;
}

test("a voter whose removal was proposed but never committed does not prevent the election of a leader", async () => {
  for (const seed of [1, 2, 3]) {
    const control = new SimulatedControlGroup(3, seed);
    await control.boot();
    const leader = control.leader()!;
    const [staying, leaving] = control.members.filter((voter) => voter !== leader);
    control.world.partition(leader.id, staying.id);
    control.world.partition(staying.id, leader.id);
    // The leader reaches only the voter that it removes, and therefore no majority of the new membership.
    const proposed = await control.propose([{ tag: "voters", voters: [leader.id, staying.id] }], 500);
    expect(proposed.acceptedCount).toBe(0);
    control.world.kill(leader.id);
    control.world.heal();
    const newLeader = await leaderAmong(control, [staying, leaving], 10_000);
    expect([seed, newLeader !== undefined]).toEqual([seed, true]);
    control.end();
  }
});

// Guards against a group without a leader, whose longest log ends with the uncommitted removal of its own server.
test("a leader whose own removal was never committed can be elected, as its vote is needed", async () => {
  for (const seed of [1, 2, 3]) {
    const control = new SimulatedControlGroup(3, seed);
    await control.boot();
    const leader = control.leader()!;
    const staying = control.members.find((voter) => voter !== leader)!;
    const removed = await control.propose([{ tag: "voters", voters: [leader.id, staying.id] }], 2000);
    expect(removed.acceptedCount).toBe(1);
    isolate(control, [leader.id]);
    const proposed = await control.propose([{ tag: "voters", voters: [staying.id] }], 500);
    expect(proposed.acceptedCount).toBe(0);
    await control.world.run(3000);
    control.world.heal();
    const newLeader = await leaderAmong(control, [leader, staying], 10_000);
    expect([seed, newLeader !== undefined]).toEqual([seed, true]);
    control.end();
  }
});
