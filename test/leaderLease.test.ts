import { SimulatedControlGroup } from "../src/tools/scale/simulatedControlGroup";
import { noop, proposeAt } from "./consensusGroups";

describe("the leader lease of the control group", () => {
  test("gives the latest time at which a majority is known to have acknowledged the leader", async () => {
    const control = new SimulatedControlGroup(3, 5);
    await control.boot();
    const leader = control.leader()!;
    const follower = control.members.find((voter) => voter !== leader)!;
    const quorumContactAgeMs = (): number => leader.process.env.monotonicMs() - leader.group.quorumContactAt();
    expect(quorumContactAgeMs()).toBeLessThan(300);
    expect(follower.group.quorumContactAt()).toBe(-Infinity);
    control.world.isolate([leader.id], "both");
    await control.world.run(700);
    expect(quorumContactAgeMs()).toBeGreaterThan(600);
    await control.world.run(4000);
    expect(leader.group.quorumContactAt()).toBe(-Infinity);
    control.end();
  });
});

describe("a frozen leader", () => {
  test("holds no lease when it resumes, before it has received any response", async () => {
    const control = new SimulatedControlGroup(3, 31);
    await control.boot();
    const leader = control.leader()!;
    const others = control.members.filter((voter) => voter !== leader);
    leader.process.freeze();
    await control.world.run(4000);
    const newLeader = control.leader()!;
    expect(others).toContain(newLeader);
    const lastContactAt = leader.group.quorumContactAt();
    expect(leader.process.env.monotonicMs() - lastContactAt).toBeGreaterThan(3500);
    expect(leader.group.hasLeaderLease()).toBe(false);
    leader.process.resume();
    for (let step = 0; step < 20; step += 1) {
      await control.world.run(5);
      expect(leader.group.hasLeaderLease()).toBe(false);
    }
    expect(await proposeAt(control, leader, noop)).toMatchObject({ ok: false, fault: { tag: "notLead" } });
    control.end();
  });
});
