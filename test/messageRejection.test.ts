import { Result } from "../src/common/fault";
import { SimulatedControlGroup, GroupMember } from "../src/tools/scale/simulatedControlGroup";
import { noop, noops } from "./consensusGroups";

describe("a follower rejects", () => {
  const append = (control: SimulatedControlGroup, fields: object): object => {
    const leader = control.leader()!;
    return {
      group: leader.group.groupId(),
      term: 1000,
      lead: leader.id,
      prevIndex: leader.group.lastApplied,
      prevTerm: 1,
      entries: [],
      commit: 0,
      ...fields,
    };
  };
  const send = async (
    control: SimulatedControlGroup,
    target: GroupMember,
    method: string,
    body: object,
  ): Promise<Result<unknown>> => {
    const from = control.members.find((voter) => voter !== target)!;
    return (await control.world.runTask(
      from.process,
      () => from.rpc.call(control.addressOf(target.id), method, { to: target.id, ...body }, 500),
      1000,
    ))!;
  };
  const logLinesOf = (voter: GroupMember, event: number): string[] =>
    voter.process.logs.filter((line) => line.includes(`PB${event} `));

  test("entries or a snapshot that would replace committed entries", async () => {
    const control = new SimulatedControlGroup(3, 11);
    await control.boot();
    await control.propose(noops(5), 2000);
    await control.world.run(1000);
    const follower = control.members.find((voter) => voter !== control.leader())!;
    const { lastApplied: applied, commitIndex: commit } = follower.group;
    const state = structuredClone(follower.group.state);
    const replacingEntry = { prevIndex: 1, prevTerm: 1, entries: [{ index: 2, term: 999, command: noop }] };
    const replacingSnapshot = { whole: { index: 3, term: 999, state: { ...state, voters: ["x"] } } };
    for (const fields of [replacingEntry, replacingSnapshot])
      expect(await send(control, follower, "group.append", append(control, fields))).toMatchObject({ ok: false });
    expect(logLinesOf(follower, 1320).length).toBeGreaterThan(0);
    expect(follower.group.lastApplied).toBe(applied);
    expect(follower.group.commitIndex).toBe(commit);
    expect(follower.group.state).toEqual(state);
    control.end();
  });

  test("messages that are malformed, out of order or from another group, logs an event for each and keeps working", async () => {
    const control = new SimulatedControlGroup(3, 12);
    await control.boot();
    const follower = control.members.find((voter) => voter !== control.leader())!;
    const lastIndex = follower.group.lastLogIndex();
    const base = { prevIndex: lastIndex, prevTerm: 1 };
    const bodies: object[] = [
      append(control, { group: "another" }),
      append(control, { ...base, entries: [{ index: lastIndex + 2, term: 1, command: noop }] }),
      append(control, { ...base, entries: [{ index: lastIndex + 1, term: 5000, command: noop }] }),
      append(control, { ...base, entries: [{ index: lastIndex + 1, term: 1, command: {} }] }),
      append(control, { ...base, entries: [null] }),
      append(control, { ...base, entries: "none" }),
      append(control, { term: "7" }),
      append(control, { term: -1 }),
      append(control, { prevIndex: 1.5 }),
      append(control, { commit: null }),
      append(control, { lead: 5 }),
      append(control, { whole: { index: 1e9, term: 1, state: {} } }),
      append(control, { whole: { index: 1e9, term: 1, state: null } }),
      {},
    ];
    for (const body of bodies) {
      await control.world.run(6000);
      const before = logLinesOf(follower, 1321).length;
      const response = await send(control, follower, "group.append", body);
      expect({ body, response }).toMatchObject({ response: { ok: false, fault: { tag: "invalid" } } });
      expect({ body, events: logLinesOf(follower, 1321).length }).toEqual({ body, events: before + 1 });
    }
    for (const method of ["group.vote", "group.preVote"])
      for (const body of [{}, { group: "another", term: 5000, candidate: "c1", lastIndex: 9, lastTerm: 9 }]) {
        await control.world.run(6000);
        const before = logLinesOf(follower, 1321).length;
        const response = await send(control, follower, method, body);
        expect(response.ok && (response.value as { granted: boolean }).granted).toBe(false);
        expect(logLinesOf(follower, 1321).length).toBe(before + 1);
      }
    expect(follower.group.lastLogIndex()).toBe(lastIndex);
    expect(control.members.flatMap(({ process }) => process.errors)).toEqual([]);
    await control.propose([noop], 2000);
    await control.world.run(1000);
    expect(follower.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });
});
