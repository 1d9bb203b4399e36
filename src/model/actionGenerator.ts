import type { Arbitrary } from "fast-check";
import type { Action, Target } from "./actions";

type FastCheck = typeof import("fast-check");
/** A generator of one kind of action, with its frequency relative to the other kinds. */
interface WeightedAction {
  weight: number;
  arbitrary: Arbitrary<Action>;
}

const MIN_ACTIONS = 4;
const MAX_ACTIONS = 60;
/** Upper bound of `pick`, which selects a change, voter or standby modulo the number of those that exist. */
const MAX_CHOICE_INDEX = 30;
const DISK_FAULT_MS = [5, 60, 300, 1500, 5000];
const FREEZE_MS = [100, 500, 900, 1500, 4000];

const weighted = (weight: number, arbitrary: Arbitrary<Action>): WeightedAction => ({ weight, arbitrary });

/** Generates random walks, which are lists of actions. Actions that stress a group have higher weights. */
export class ActionGenerator {
  private readonly machine: Arbitrary<number>;
  private readonly target: Arbitrary<Target>;
  private readonly choiceIndex: Arbitrary<number>;

  /**
   * @param fc the fast-check module, passed in because only model runs load it
   * @param withDiskFaults whether disks reject writes for a while; the other walks of a seed stay the same
   */
  constructor(
    private readonly fc: FastCheck,
    private readonly machines: number,
    private readonly withDiskFaults = false,
  ) {
    this.machine = fc.integer({ min: 0, max: machines - 1 });
    this.target = fc.oneof(
      { weight: 4, arbitrary: fc.constant("leaseholder" as const) },
      { weight: 3, arbitrary: fc.constant("anyLeader" as const) },
      { weight: 1, arbitrary: this.machine },
    );
    this.choiceIndex = fc.integer({ min: 0, max: MAX_CHOICE_INDEX });
  }

  /**
   * Returns a generator of walks. The order of the actions in `oneof` determines which walk a seed gives, so it must
   * not change.
   */
  walk(): Arbitrary<Action[]> {
    const action = this.fc.oneof(
      ...this.proposals(),
      ...this.networkFaults(),
      ...this.machineFaults(),
      ...this.timeSteps(),
      ...(this.withDiskFaults ? this.diskFaults() : []),
    );
    return this.fc.array(action, { minLength: MIN_ACTIONS, maxLength: MAX_ACTIONS, size: "max" });
  }

  private proposals(): WeightedAction[] {
    const { fc, target: at, choiceIndex: pick } = this;
    const change = fc.record({
      tag: fc.constant("change" as const),
      at,
      register: fc.constantFrom("policies" as const, "manifest" as const),
      base: fc.constantFrom(
        "current" as const,
        "current" as const,
        "current" as const,
        "stale" as const,
        "ahead" as const,
      ),
      count: fc.integer({ min: 1, max: 4 }),
    });
    const changeOfVoters = fc.record({
      tag: fc.constantFrom("addVoter" as const, "removeVoter" as const),
      at,
      pick,
      count: fc.integer({ min: 1, max: 2 }),
    });
    return [
      weighted(14, change),
      weighted(5, fc.record({ tag: fc.constant("resend" as const), at, pick })),
      weighted(2, fc.record({ tag: fc.constant("burst" as const), at, count: fc.integer({ min: 10, max: 40 }) })),
      weighted(5, changeOfVoters),
      weighted(1, fc.record({ tag: fc.constant("jumpVoters" as const), at, pick })),
    ];
  }

  private networkFaults(): WeightedAction[] {
    const { fc, machine } = this;
    const direction = fc.constantFrom("in" as const, "out" as const, "both" as const);
    const mask = fc.integer({ min: 1, max: 2 ** this.machines - 2 });
    const network = fc.record({
      tag: fc.constant("network" as const),
      dropPercent: fc.constantFrom(0, 2, 10, 30),
      duplicatePercent: fc.constantFrom(0, 5, 20),
      delayPercent: fc.constantFrom(0, 5, 30),
      delayMs: fc.constantFrom(50, 400, 2000),
    });
    return [
      weighted(3, fc.record({ tag: fc.constant("isolate" as const), machine, way: direction })),
      weighted(4, fc.record({ tag: fc.constant("isolateLeader" as const), way: direction })),
      weighted(3, fc.record({ tag: fc.constant("split" as const), mask })),
      weighted(2, fc.record({ tag: fc.constant("cutOneWay" as const), from: machine, to: machine })),
      weighted(5, fc.record({ tag: fc.constant("heal" as const) })),
      weighted(3, network),
    ];
  }

  private machineFaults(): WeightedAction[] {
    const { fc, machine } = this;
    const forMs = fc.constantFrom(...FREEZE_MS);
    const kill = fc.record({
      tag: fc.constant("kill" as const),
      machine,
      powerLost: fc.boolean(),
      backInMs: fc.constantFrom(5, 100, 600, 3000),
    });
    const wipe = fc.record({ tag: fc.constant("wipe" as const), machine, backInMs: fc.constantFrom(5, 300, 2000) });
    const stallDisk = fc.record({
      tag: fc.constant("stallDisk" as const),
      machine,
      forMs: fc.constantFrom(200, 1000, 4000),
    });
    const stepClock = fc.record({
      tag: fc.constant("stepClock" as const),
      machine,
      byMs: fc.constantFrom(-3_600_000, -500, 500, 3_600_000),
    });
    return [
      weighted(3, fc.record({ tag: fc.constant("freeze" as const), machine, forMs })),
      weighted(3, fc.record({ tag: fc.constant("freezeLeader" as const), forMs })),
      weighted(4, kill),
      weighted(1, fc.record({ tag: fc.constant("killAll" as const), backInMs: fc.constantFrom(5, 100, 600) })),
      weighted(3, wipe),
      weighted(2, stallDisk),
      weighted(1, stepClock),
    ];
  }

  private diskFaults(): WeightedAction[] {
    const { fc, machine } = this;
    const how = fc.constantFrom("full" as const, "failing" as const, "syncFailing" as const);
    const forMs = fc.constantFrom(...DISK_FAULT_MS);
    return [weighted(8, fc.record({ tag: fc.constant("failDisk" as const), machine, how, forMs }))];
  }

  private timeSteps(): WeightedAction[] {
    const { fc } = this;
    const ms = fc.constantFrom(1, 5, 20, 80, 250, 700, 1200, 2500);
    return [weighted(32, fc.record({ tag: fc.constant("pass" as const), ms }))];
  }
}
