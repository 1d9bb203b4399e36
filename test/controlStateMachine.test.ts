import { Constants } from "../src/common/constants";
import { Command, Outcome } from "../src/controlState/command";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import { ControlStateMachine } from "../src/controlState/controlStateMachine";

const founded = (): ControlState => {
  const state = ControlState.empty();
  ControlStateMachine.apply(state, 1, { tag: "found", group: "g", voters: ["a"] });
  return state;
};

describe("control state machine", () => {
  test("the snapshot for nodes gets a new index only where it changed", () => {
    const state = ControlState.empty();
    ControlStateMachine.apply(state, 1, { tag: "found", group: "g", voters: ["a"] });
    ControlStateMachine.apply(state, 2, { tag: "noop" });
    expect(ControlSnapshot.of(state, 2).index).toBe(1);
    const change = {
      tag: "manifest",
      changeId: "c",
      ifVersion: 0,
      version: 4,
      doc: { bindings: {} },
      by: "ann",
    } as const;
    expect(ControlStateMachine.apply(state, 3, change)).toEqual({ tag: "done", version: 4 });
    ControlStateMachine.apply(state, 4, { tag: "told", upTo: 3 });
    expect(ControlStateMachine.apply(state, 5, change)).toEqual({ tag: "done", version: 4 });
    expect(ControlStateMachine.apply(state, 6, { ...change, changeId: "d" })).toEqual({ tag: "conflict", version: 4 });
    expect(ControlStateMachine.apply(state, 7, { ...change, changeId: "e", ifVersion: 4 })).toMatchObject({
      tag: "refused",
    });
    // against a version still to come: not refused, for it may be taken once that version is there
    expect(ControlStateMachine.apply(state, 8, { ...change, changeId: "f", ifVersion: 6, version: 7 })).toEqual({
      tag: "undecided",
      detail: "made against version 6, current is 4",
    });
    expect(ControlSnapshot.of(state, 8)).toMatchObject({ index: 3, manifest: { version: 4 } });
    expect(ControlStateMachine.apply(state, 9, { ...change, changeId: "g", ifVersion: 4, version: 6 })).toEqual({
      tag: "done",
      version: 6,
    });
    expect(ControlStateMachine.apply(state, 10, { ...change, changeId: "f", ifVersion: 6, version: 7 })).toEqual({
      tag: "done",
      version: 7,
    });
  });
  test("the age of an accepted order is measured by the leader's clock, and a clock set back delays nothing", () => {
    const state = founded();
    const drain = (index: number, tag: "drain" | "undrain", atMs: number): unknown =>
      ControlStateMachine.apply(state, index, { tag, changeId: `c${index}`, district: "north", by: "ann", at: atMs })
        .tag;
    expect([drain(2, "drain", 1000), drain(3, "drain", 1100), drain(4, "undrain", 1200)]).toEqual([
      "done",
      "done",
      "done",
    ]);
    expect(drain(5, "drain", 1300)).toBe("undecided");
    expect(drain(6, "drain", 500)).toBe("done");
  });
});

describe("compare-and-set of the configuration", () => {
  const change = (ifVersion: number, changeId: string): Command => ({
    tag: "manifest",
    changeId,
    ifVersion,
    version: ifVersion + 1,
    doc: { bindings: {} },
    by: "ann",
  });
  test("the accepted change of a version is known long after outcomes by id are dropped, also after a snapshot", () => {
    let state = founded();
    let index = 1;
    const apply = (command: Command): Outcome => ControlStateMachine.apply(state, (index += 1), command);
    const grow = (upTo: number): void => {
      for (let base = state.manifest.version; base < upTo; base += 1) {
        expect(apply(change(base, `winner-${base}`)).tag).toBe("done");
        if (base % 5 === 0) expect(apply(change(base, `loser-${base}`)).tag).toBe("conflict");
      }
    };
    grow(Constants.changeOutcomesRetained + 500);
    state = JSON.parse(JSON.stringify(state)) as ControlState;
    for (const base of [0, 5, 100, 2400]) {
      expect([base, apply(change(base, `winner-${base}`))]).toEqual([base, { tag: "done", version: base + 1 }]);
      expect([base, apply(change(base, `loser-${base}`)).tag]).toEqual([base, "conflict"]);
    }
    // past what is remembered there is no clear answer, and never a wrong one
    grow(Constants.acceptedChangesRetained + 10);
    for (const name of ["winner-3", "loser-5"]) expect(apply(change(3, name)).tag).toBe("undecided");
    expect(apply(change(10, "winner-10"))).toEqual({ tag: "done", version: 11 });
    expect(apply(change(10, "loser-10")).tag).toBe("conflict");
    expect(JSON.stringify(state.accepted).length).toBeLessThan(30 * Constants.acceptedChangesRetained);
  });
  test("a calendar entry that replaces the configuration wins its version, and another change against that version loses", () => {
    const state = founded();
    const move = { kind: "manifest", ifVersion: 0, doc: { bindings: {} } } as const;
    const pencil = { tag: "pencil", changeId: "p", ifVersion: 0, id: "m", due: 5, move, by: "ann" } as const;
    ControlStateMachine.apply(state, 2, pencil);
    ControlStateMachine.apply(state, 3, { tag: "move", id: "m", from: "pencilled", to: "finished", detail: "", at: 5 });
    expect(state.manifest.version).toBe(1);
    expect(ControlStateMachine.apply(state, 4, change(0, "c")).tag).toBe("conflict");
  });
});
