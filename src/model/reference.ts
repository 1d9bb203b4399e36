import { Command, Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";

type Register = { version: number; changeId: string };

const noChange = "";
const configurationMark = (state: ControlState): string =>
  (state.manifest.doc.origin as { changeId: string } | undefined)?.changeId ?? noChange;
const policiesMark = (state: ControlState): string => state.policies.doc[0]?.match.caller ?? noChange;

/**
 * What the state machine should do, told a second time and more simply: two versioned registers, a memory of the outcome
 * of each change, and the voters. Walks apply each committed command here once and compare every replica with the result.
 *
 * @example
 * const reference = new Reference();
 * reference.apply({ tag: "found", group: "g", voters: ["a"] });
 * reference.digest() === Reference.digestOf(state);
 */
export class Reference {
  private policies: Register = { version: 0, changeId: noChange };
  private manifest: Register = { version: 0, changeId: noChange };
  private voters: string[] = [];
  readonly outcomes = new Map<string, Outcome>();

  /** The version a change should be made against now. @example reference.version("policies") */
  version(register: "policies" | "manifest"): number {
    return this[register].version;
  }

  /** Applies one committed command. */
  apply(command: Command): void {
    switch (command.tag) {
      case "found":
      case "voters":
        this.voters = command.voters;
        return;
      case "policies":
      case "manifest":
        this.change(command.tag, command.changeId, command.ifVersion);
        return;
      default:
        return;
    }
  }
  private change(name: "policies" | "manifest", changeId: string, ifVersion: number): void {
    const current = this[name].version;
    if (this.outcomes.has(changeId) || ifVersion > current) return;
    if (ifVersion < current) {
      this.outcomes.set(changeId, { tag: "conflict", version: current });
      return;
    }
    this[name] = { version: current + 1, changeId };
    this.outcomes.set(changeId, { tag: "done", version: current + 1 });
  }
  /** What replicas are compared by. */
  digest(): string {
    return JSON.stringify([this.voters, this.policies, this.manifest, [...this.outcomes].sort(byFirst)]);
  }
  /** The same of a replica's state. */
  static digestOf(state: ControlState): string {
    const policies: Register = { version: state.policies.version, changeId: policiesMark(state) };
    const configuration: Register = { version: state.manifest.version, changeId: configurationMark(state) };
    return JSON.stringify([state.voters, policies, configuration, Object.entries(state.changes).sort(byFirst)]);
  }
}
const byFirst = (left: [string, Outcome], right: [string, Outcome]): number => (left[0] < right[0] ? -1 : 1);
