import { Constants } from "../src/common/constants";
import { Command, Outcome } from "../src/controlState/command";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import { ControlStateMachine } from "../src/controlState/controlStateMachine";

const bootstrappedState = (): ControlState => {
  const state = ControlState.empty();
  ControlStateMachine.apply(state, 1, { tag: "found", group: "g", voters: ["a"] });
  return state;
};

describe("control state machine", () => {
  test("the control snapshot gets a new index only when its content changes, and a retried change gets its first outcome", () => {
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
    // A change against a version that does not exist yet is not rejected, since it may be accepted once that version
    // exists.
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
  test("the age of an accepted order is measured by the leader's clock, and a clock that is set back does not delay an order", () => {
    const state = bootstrappedState();
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
  test("the accepted change of a version is known long after outcomes by id are dropped, even after the state is restored from a snapshot", () => {
    let state = bootstrappedState();
    let index = 1;
    const apply = (command: Command): Outcome => ControlStateMachine.apply(state, (index += 1), command);
    const changeUpTo = (upTo: number): void => {
      for (let base = state.manifest.version; base < upTo; base += 1) {
        expect(apply(change(base, `winner-${base}`)).tag).toBe("done");
        if (base % 5 === 0) expect(apply(change(base, `loser-${base}`)).tag).toBe("conflict");
      }
    };
    changeUpTo(Constants.changeOutcomesRetained + 500);
    state = JSON.parse(JSON.stringify(state)) as ControlState;
    for (const base of [0, 5, 100, 2400]) {
      expect([base, apply(change(base, `winner-${base}`))]).toEqual([base, { tag: "done", version: base + 1 }]);
      expect([base, apply(change(base, `loser-${base}`)).tag]).toEqual([base, "conflict"]);
    }
    // Beyond the retained history the outcome is undecided, never wrong.
    changeUpTo(Constants.acceptedChangesRetained + 10);
    for (const name of ["winner-3", "loser-5"]) expect(apply(change(3, name)).tag).toBe("undecided");
    expect(apply(change(10, "winner-10"))).toEqual({ tag: "done", version: 11 });
    expect(apply(change(10, "loser-10")).tag).toBe("conflict");
    expect(JSON.stringify(state.accepted).length).toBeLessThan(30 * Constants.acceptedChangesRetained);
  });
  test("a calendar entry that replaces the configuration is the accepted change of its version, and another change against that version is a conflict", () => {
    const state = bootstrappedState();
    const move = { kind: "manifest", ifVersion: 0, doc: { bindings: {} } } as const;
    const schedule = { tag: "pencil", changeId: "p", ifVersion: 0, id: "m", due: 5, move, by: "ann" } as const;
    ControlStateMachine.apply(state, 2, schedule);
    ControlStateMachine.apply(state, 3, { tag: "move", id: "m", from: "pencilled", to: "finished", detail: "", at: 5 });
    expect(state.manifest.version).toBe(1);
    expect(ControlStateMachine.apply(state, 4, change(0, "c")).tag).toBe("conflict");
  });
});
