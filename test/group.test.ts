import { Constants } from "../src/common/constants";
import { Command, Outcome } from "../src/controlState/command";
import { ChunkedPayload } from "../src/consensus/chunkedPayload";
import { ChunkReceiver } from "../src/consensus/chunkReceiver";
import { PayloadChunk } from "../src/consensus/messages";
import { Result } from "../src/common/fault";
import { Csp } from "../src/runtime/csp";
import { EnvTools } from "../src/runtime/env";
import { GroupWorld, Voter } from "../src/tools/scale/groupWorld";

const noop: Command = { tag: "noop" };
const noops = (count: number): Command[] => Array.from({ length: count }, () => noop);
/** Proposes at a given node, whether it leads or not. */
async function proposeAt(control: GroupWorld, at: Voter, command: Command): Promise<Result<Outcome> | undefined> {
  return await control.world.finish(at.process, () => at.group.propose(command, 2000), 3000);
}
/** Cuts some nodes from all others, while they still reach each other. */
function isolate(control: GroupWorld, ids: string[]): void {
  for (const { id } of control.voters)
    if (!ids.includes(id))
      for (const isolated of ids) {
        control.world.cut(id, isolated);
        control.world.cut(isolated, id);
      }
}

describe("the control group's lease", () => {
  it("tells the newest time at which a majority is known to have stood behind the lead", async () => {
    const control = new GroupWorld(3, 5);
    await control.boot();
    const leader = control.leader()!;
    const follower = control.voters.find((voter) => voter !== leader)!;
    const age = (): number => leader.process.env.mono() - leader.group.quorumContactAt();
    expect(age()).toBeLessThan(300);
    expect(follower.group.quorumContactAt()).toBe(-Infinity);
    control.world.cutOff([leader.id], "both");
    await control.world.run(700);
    expect(age()).toBeGreaterThan(600);
    await control.world.run(4000);
    expect(leader.group.quorumContactAt()).toBe(-Infinity);
    control.end();
  });
});

describe("changes of the voters", () => {
  it("keeps a second change out while one is uncommitted, so that two leads never hold their leases at once", async () => {
    const control = new GroupWorld(5, 5);
    await control.boot();
    const leader = control.leader()!;
    const voters = leader.group.voters();
    const spare = control.voters.map(({ id }) => id).filter((id) => !voters.includes(id));
    isolate(
      control,
      voters.filter((id) => id !== leader.id),
    );
    await control.world.run(50);
    const { taken } = await control.propose(
      [
        { tag: "voters", voters: [...voters, spare[0]] },
        { tag: "voters", voters: [...voters, ...spare] },
      ],
      3000,
    );
    expect(taken).toBe(0);
    for (let looked = 0; looked < 50; looked += 1) {
      await control.world.run(100);
      expect(control.voters.filter(({ group }) => group.hasLeaderLease()).length).toBeLessThan(2);
    }
    control.world.heal();
    await control.world.run(3000);
    const after = control.leader()!;
    expect(after.group.voters()).toEqual(voters);
    const grown = [...voters, spare[0]];
    expect(await proposeAt(control, after, { tag: "voters", voters: grown })).toMatchObject({ ok: true });
    expect(after.group.voters()).toEqual(grown);
    control.end();
  });

  it("takes one member more or one less, nothing else", async () => {
    const control = new GroupWorld(5, 6);
    await control.boot();
    const leader = control.leader()!;
    const voters = leader.group.voters();
    const spare = control.voters.map(({ id }) => id).filter((id) => !voters.includes(id));
    const others = voters.filter((id) => id !== leader.id);
    const wrong = [
      voters,
      [...voters, ...spare],
      [leader.id],
      [...others, spare[0]],
      [...voters, voters[0]],
      [...voters, spare[0], spare[0]],
      [],
    ];
    for (const asked of wrong)
      expect(await proposeAt(control, leader, { tag: "voters", voters: asked })).toMatchObject({
        ok: false,
        fault: { tag: "conflict" },
      });
    const found: Command = { tag: "found", group: "another", voters };
    expect(await proposeAt(control, leader, found)).toMatchObject({ ok: false, fault: { tag: "conflict" } });
    expect(leader.group.voters()).toEqual(voters);
    for (const asked of [[...voters, spare[0]], [...voters, ...spare], [...voters, spare[1]], voters])
      expect(await proposeAt(control, leader, { tag: "voters", voters: asked })).toMatchObject({ ok: true });
    control.end();
  });

  it("lets a lead commit its own removal without counting itself, and step down then", async () => {
    const control = new GroupWorld(3, 7);
    await control.boot();
    const leader = control.leader()!;
    const others = leader.group.voters().filter((id) => id !== leader.id);
    // with one of the two left cut off, the lead and the other are no majority of the two
    control.world.cutOff([others[0]], "both");
    const unsure = await proposeAt(control, leader, { tag: "voters", voters: others });
    expect(unsure).toMatchObject({ ok: false, fault: { tag: "unknown" } });
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

  it("never lets a node vote for itself that is no voter", async () => {
    const control = new GroupWorld(4, 8);
    await control.boot();
    const standby = control.voters[3];
    control.world.cutOff([standby.id], "both");
    await control.world.run(10_000);
    expect(standby.group.electionsStarted).toBe(0);
    expect(standby.group.role).toBe("follower");
    control.end();
  });
});

describe("a follower's log that diverges from the lead's", () => {
  /** A lead is cut off with entries of its own, the others go on for so many, then the cut heals. */
  async function diverged(seed: number, own: number, upTo: number): Promise<{ control: GroupWorld; cutOff: Voter }> {
    const control = new GroupWorld(3, seed);
    await control.boot();
    const cutOff = control.leader()!;
    while (cutOff.group.lastApplied < 394) await control.propose([noop], 2000);
    control.world.cutOff([cutOff.id], "both");
    await control.propose(noops(own), 300);
    await control.world.run(4000);
    const next = control.leader()!;
    while (next.group.lastApplied < upTo)
      await control.propose(noops(Math.min(20, upTo - next.group.lastApplied)), 2000);
    await control.world.run(1500);
    control.world.heal();
    return { control, cutOff };
  }

  it("a little past the index of the lead's snapshot: it catches up", async () => {
    const { control, cutOff } = await diverged(5, 12, 403);
    expect(control.leader()!.group.snapshotIndex).toBeGreaterThan(394);
    await control.world.run(3000);
    expect(control.leader()!.group.lastApplied).toBeGreaterThanOrEqual(403);
    expect(cutOff.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });

  it("past the index of the lead's snapshot, with the entries before it gone: the snapshot is taken", async () => {
    const { control, cutOff } = await diverged(5, 1000, 1250);
    expect(control.leader()!.group.snapshotIndex).toBeGreaterThan(394 + Constants.trailingLogEntries);
    expect(cutOff.group.lastLogIndex()).toBeGreaterThan(control.leader()!.group.snapshotIndex);
    await control.world.run(3000);
    expect(cutOff.group.snapshotIndex).toBe(control.leader()!.group.snapshotIndex);
    expect(cutOff.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });

  it("by hundreds of entries: the lead finds the last common one in a few requests", async () => {
    const control = new GroupWorld(3, 9);
    await control.boot();
    const cutOff = control.leader()!;
    control.world.cutOff([cutOff.id], "both");
    await control.propose(noops(300), 300);
    await control.world.run(4000);
    const next = control.leader()!;
    await control.propose(noops(290), 2000);
    // a lead elected after them expects the whole of its own log at every follower
    control.world.cutOff([next.id], "both");
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

describe("what a follower refuses", () => {
  const append = (control: GroupWorld, fields: object): object => {
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
  const ask = async (control: GroupWorld, to: Voter, verb: string, body: object): Promise<Result<unknown>> => {
    const from = control.voters.find((voter) => voter !== to)!;
    return (await control.world.finish(
      from.process,
      () => from.rpc.call(control.addressOf(to.id), verb, { to: to.id, ...body }, 500),
      1000,
    ))!;
  };
  const logged = (voter: Voter, event: number): string[] =>
    voter.process.logs.filter((line) => line.includes(`PB${event} `));

  it("entries or a snapshot that would replace committed ones", async () => {
    const control = new GroupWorld(3, 11);
    await control.boot();
    await control.propose(noops(5), 2000);
    await control.world.run(1000);
    const follower = control.voters.find((voter) => voter !== control.leader())!;
    const { lastApplied: applied, commitIndex: commit } = follower.group;
    const state = structuredClone(follower.group.state);
    const overwriting = { prevIndex: 1, prevTerm: 1, entries: [{ index: 2, term: 999, command: noop }] };
    const lowering = { whole: { index: 3, term: 999, state: { ...state, voters: ["x"] } } };
    for (const fields of [overwriting, lowering])
      expect(await ask(control, follower, "group.append", append(control, fields))).toMatchObject({ ok: false });
    expect(logged(follower, 1320).length).toBeGreaterThan(0);
    expect(follower.group.lastApplied).toBe(applied);
    expect(follower.group.commitIndex).toBe(commit);
    expect(follower.group.state).toEqual(state);
    control.end();
  });

  it("another group's, malformed and disordered messages, each with a numbered event and without harm", async () => {
    const control = new GroupWorld(3, 12);
    await control.boot();
    const follower = control.voters.find((voter) => voter !== control.leader())!;
    const last = follower.group.lastLogIndex();
    const base = { prevIndex: last, prevTerm: 1 };
    const bodies: object[] = [
      append(control, { group: "another" }),
      append(control, { ...base, entries: [{ index: last + 2, term: 1, command: noop }] }),
      append(control, { ...base, entries: [{ index: last + 1, term: 5000, command: noop }] }),
      append(control, { ...base, entries: [{ index: last + 1, term: 1, command: {} }] }),
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
      const before = logged(follower, 1321).length;
      const response = await ask(control, follower, "group.append", body);
      expect({ body, replied: response }).toMatchObject({ replied: { ok: false, fault: { tag: "invalid" } } });
      expect({ body, events: logged(follower, 1321).length }).toEqual({ body, events: before + 1 });
    }
    for (const verb of ["group.vote", "group.preVote"])
      for (const body of [{}, { group: "another", term: 5000, candidate: "c1", lastIndex: 9, lastTerm: 9 }]) {
        await control.world.run(6000);
        const before = logged(follower, 1321).length;
        const response = await ask(control, follower, verb, body);
        expect(response.ok && (response.value as { granted: boolean }).granted).toBe(false);
        expect(logged(follower, 1321).length).toBe(before + 1);
      }
    expect(follower.group.lastLogIndex()).toBe(last);
    expect(control.voters.flatMap(({ process }) => process.errors)).toEqual([]);
    await control.propose([noop], 2000);
    await control.world.run(1000);
    expect(follower.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    control.end();
  });
});

describe("catching up over a link of 20 Mbit/s", () => {
  const slowLink = 2500; // bytes a ms
  /** Text that doesn't get shorter by deflating, out of the run's seed. */
  const text = (control: GroupWorld, bytes: number): string => {
    const words = new Uint32Array(Math.floor((bytes * 3) / 16));
    for (let at = 0; at < words.length; at += 1) words[at] = control.world.random() * 4294967296;
    return Buffer.from(words.buffer).toString("base64");
  };
  const policies = (control: GroupWorld, ifVersion: number, bytes: number): Command => ({
    tag: "policies",
    changeId: `policies-${ifVersion}`,
    ifVersion,
    doc: [{ match: { caller: text(control, bytes) }, order: 1 }],
    by: "ann",
  });
  /** Goes on with five changes a second until the follower is nearly up with the lead; how long that took. */
  async function caughtUpMs(control: GroupWorld, follower: Voter, withinMs: number): Promise<number> {
    const from = control.world.now;
    while (control.world.now - from < withinMs) {
      const leader = control.leader();
      if (leader) await control.propose([noop], 2000);
      await control.world.run(200);
      if (leader && leader.group.lastApplied - follower.group.lastApplied <= 2 && follower.group.lastApplied > 0)
        return control.world.now - from;
    }
    return Infinity;
  }
  const elections = (control: GroupWorld): number =>
    control.voters.reduce((sum, { group }) => sum + group.electionsStarted, 0);

  it("an emptied node takes a state of 4 MB in pieces while changes go on", async () => {
    const control = new GroupWorld(4, 21);
    await control.boot();
    control.kill("c4");
    expect(await control.propose([policies(control, 0, 4_000_000)], 5000)).toMatchObject({ taken: 1 });
    while (control.leader()!.group.snapshotIndex <= Constants.trailingLogEntries)
      await control.propose(noops(50), 3000);
    const before = elections(control);
    const follower = control.restart("c4", true);
    follower.process.linkBytesPerMs = slowLink;
    expect(await caughtUpMs(control, follower, 30_000)).toBeLessThan(4700);
    expect(follower.group.snapshotIndex).toBeGreaterThan(Constants.trailingLogEntries);
    expect(follower.group.state).toEqual(control.leader()!.group.state);
    expect(elections(control)).toBe(before);
    control.end();
  });

  it("a transfer goes on where it was when a cut ended it", async () => {
    const control = new GroupWorld(4, 22);
    await control.boot();
    control.kill("c4");
    await control.propose([policies(control, 0, 4_000_000)], 5000);
    while (control.leader()!.group.snapshotIndex <= Constants.trailingLogEntries)
      await control.propose(noops(50), 3000);
    const follower = control.restart("c4", true);
    follower.process.linkBytesPerMs = slowLink;
    const leader = control.leader()!;
    const before = leader.meter.copy();
    for (let cut = 0; cut < 3; cut += 1) {
      await control.world.run(500);
      control.world.cutOff(["c4"], "both");
      await control.world.run(1000);
      control.world.heal();
    }
    expect(await caughtUpMs(control, follower, 30_000)).toBeLessThan(4700);
    expect(leader.meter.since(before).bytes).toBeLessThan(1.5 * 4_000_000);
    control.end();
  });

  it("a restarted voter takes long entries without an election, though it is needed for the majority", async () => {
    const control = new GroupWorld(3, 23);
    await control.boot();
    const [follower, other] = control.voters.filter((voter) => voter !== control.leader());
    control.kill(follower.id);
    for (let version = 0; version < 4; version += 1)
      expect(await control.propose([policies(control, version, 1_000_000)], 5000)).toMatchObject({ taken: 1 });
    const restarted = control.restart(follower.id);
    restarted.process.linkBytesPerMs = slowLink;
    await control.world.run(300);
    control.kill(other.id);
    const leader = control.leader()!;
    const before = elections(control);
    for (let looked = 0; looked < 40; looked += 1) {
      await control.world.run(100);
      expect(leader.group.hasLeaderLease()).toBe(true);
    }
    expect(restarted.group.lastApplied).toBe(leader.group.lastApplied);
    expect(await control.propose([noop], 2000)).toMatchObject({ taken: 1 });
    expect(elections(control)).toBe(before);
    control.end();
  });

  it("the log is folded by bytes", async () => {
    const control = new GroupWorld(3, 24);
    await control.boot();
    for (let version = 0; version < 8; version += 1) await control.propose([policies(control, version, 800_000)], 5000);
    await control.world.run(1000);
    for (const { group } of control.voters) expect(group.lastLogIndex() - group.snapshotIndex).toBeLessThan(5);
    control.end();
  });
});

describe("a frozen lead", () => {
  it("vouches for nothing when it thaws, before it has heard anybody", async () => {
    const control = new GroupWorld(3, 31);
    await control.boot();
    const leader = control.leader()!;
    const others = control.voters.filter((voter) => voter !== leader);
    leader.process.freeze();
    await control.world.run(4000);
    const next = control.leader()!;
    expect(others).toContain(next);
    const frozenAt = leader.group.quorumContactAt();
    expect(leader.process.env.mono() - frozenAt).toBeGreaterThan(3500);
    expect(leader.group.hasLeaderLease()).toBe(false);
    leader.process.wake();
    for (let looked = 0; looked < 20; looked += 1) {
      await control.world.run(5);
      expect(leader.group.hasLeaderLease()).toBe(false);
    }
    expect(await proposeAt(control, leader, noop)).toMatchObject({ ok: false, fault: { tag: "notLead" } });
    control.end();
  });
});

describe("a group recovered from one voter", () => {
  it("takes in a voter of the former group, whose log is replaced by a snapshot in pieces", async () => {
    const control = new GroupWorld(3, 41);
    await control.boot();
    await control.propose(noops(20), 2000);
    await control.world.run(500);
    const [survivor, former, lost] = control.voters;
    for (const { id } of control.voters) control.kill(id);
    const restarted = control.restart(survivor.id);
    await control.world.run(200);
    const asked = { group: "group-scale", voter: survivor.id, by: "ann" };
    const recovered = await control.world.finish(restarted.process, () => restarted.group.recover(asked, []), 2000);
    expect(recovered).toMatchObject({ ok: true });
    await control.world.run(3000);
    expect(control.leader()!.id).toBe(survivor.id);
    const rejoined = control.restart(former.id);
    await control.world.run(3000);
    expect(rejoined.group.groupId()).toBe("group-scale+1");
    expect(rejoined.group.lastApplied).toBe(control.leader()!.group.lastApplied);
    expect(rejoined.group.voters()).toEqual([survivor.id]);
    expect(control.world.processes.get(lost.id)!.alive).toBe(false);
    control.end();
  });
});

describe("a payload sent in chunks", () => {
  const payload = { prevLogIndex: 4, prevLogTerm: 2, entries: [{ index: 5, term: 2, command: noop }] };
  const payloadOnWire = { prevIndex: 4, prevTerm: 2, entries: [{ index: 5, term: 2, command: noop }] };
  const packed = ChunkedPayload.pack(payload);
  const half = Math.floor(packed.bytes.length / 2);
  const first = (): PayloadChunk => ChunkedPayload.chunk("c1-2-1", packed, 0, half);
  const second = (): PayloadChunk => ChunkedPayload.chunk("c1-2-1", packed, half, packed.bytes.length);

  it("is complete again at the receiver, also when some chunks come twice or out of order", () => {
    const receiver = new ChunkReceiver();
    expect(receiver.receive(second())).toEqual({ tag: "incomplete", receivedBytes: 0 });
    expect(receiver.receive(first())).toEqual({ tag: "incomplete", receivedBytes: half });
    expect(receiver.receive(first())).toEqual({ tag: "incomplete", receivedBytes: half });
    expect(receiver.receive(second())).toEqual({ tag: "complete", payload: payloadOnWire });
  });

  it("is rejected when a chunk is malformed, of a wrong size or damaged", () => {
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
      expect({ fields, result: receiver.receive({ ...first(), ...fields }).tag }).toEqual({
        fields,
        result: "rejected",
      });
    receiver.receive(first());
    expect(receiver.receive({ ...second(), checksum: packed.checksum ^ 1 }).tag).toBe("rejected");
    const damaged = Buffer.from(packed.bytes);
    damaged[half + 1] ^= 0xff;
    receiver.receive(first());
    expect(
      receiver.receive(ChunkedPayload.chunk("c1-2-1", { ...packed, bytes: damaged }, half, damaged.length)).tag,
    ).toBe("rejected");
    expect(receiver.receive(first())).toEqual({ tag: "incomplete", receivedBytes: half });
    expect(receiver.receive(second())).toEqual({ tag: "complete", payload: payloadOnWire });
  });
});

describe("a lead whose disk is slower than its followers'", () => {
  it("folds entries that it has not synced itself, and restarts from what it wrote", async () => {
    for (const seed of [51, 52, 53]) {
      const control = new GroupWorld(3, seed);
      await control.boot();
      const leader = control.leader()!;
      leader.process.disk.syncMs = [40, 5];
      const last = leader.group.lastLogIndex() + 3 * Constants.logEntriesUntilSnapshot;
      // entries come one after the other, and are committed by the followers while an earlier one is being synced
      let proposing = true;
      Csp.go(leader.process.scope, "proposals", function* () {
        while (leader.group.lastLogIndex() < last) {
          for (let burst = 0; burst < 8; burst += 1)
            Csp.go(leader.process.scope, "proposal", () => leader.group.propose(noop, 3000));
          yield* EnvTools.sleep(leader.process.env, 5);
        }
        proposing = false;
      });
      for (let waited = 0; proposing && waited < 300; waited += 1) await control.world.run(100);
      await control.world.run(1000);
      expect(leader.group.snapshotIndex).toBeGreaterThan(0);
      const held = leader.group.inspect().entries.map(({ index }) => index);
      expect(held).toEqual(held.map((_index, at) => held[0] + at));
      const { lastApplied: applied, snapshotIndex: baseIndex } = leader.group;
      control.kill(leader.id);
      const restarted = control.restart(leader.id);
      await control.world.run(100);
      const reread = restarted.group.inspect().entries.map(({ index }) => index);
      expect({ seed, baseIndex: restarted.group.snapshotIndex }).toEqual({ seed, baseIndex });
      expect({ seed, reread }).toEqual({ seed, reread: reread.map((_index, at) => baseIndex + 1 + at) });
      await control.world.run(4000);
      expect(restarted.group.lastApplied).toBeGreaterThanOrEqual(applied);
      expect(restarted.group.lastApplied).toBe(control.leader()!.group.lastApplied);
      expect(control.voters.flatMap(({ process }) => process.errors)).toEqual([]);
      control.end();
    }
  });
});
