import { SimulatedControlGroup } from "../src/tools/scale/simulatedControlGroup";
import { noops } from "./consensusGroups";

describe("a group recovered from one voter", () => {
  test("accepts a voter of the former group, whose log is replaced by a snapshot in chunks", async () => {
    const control = new SimulatedControlGroup(3, 41);
    await control.boot();
    await control.propose(noops(20), 2000);
    await control.world.run(500);
    const [survivor, formerVoter, lost] = control.members;
    for (const { id } of control.members) control.kill(id);
    const restarted = control.restart(survivor.id);
    await control.world.run(200);
    const request = { group: "group-scale", voter: survivor.id, by: "ann" };
    const recovered = await control.world.runTask(restarted.process, () => restarted.group.recover(request, []), 2000);
    expect(recovered).toMatchObject({ ok: true });
    await control.world.run(3000);
    expect(control.leader()!.id).toBe(survivor.id);
    const rejoined = control.restart(formerVoter.id);
    await control.world.run(3000);
    expect(rejoined.group.groupId()).toBe("group-scale+1");
    expect(rejoined.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    expect(rejoined.group.voters()).toEqual([survivor.id]);
    expect(control.world.processes.get(lost.id)!.alive).toBe(false);
    control.end();
  });
});
