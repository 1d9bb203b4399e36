import { Command, Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";

/** The documents that walks change by compare-and-set; "manifest" is the configuration. */
export type VersionedDocument = "policies" | "manifest";

interface Register {
  version: number;
  /** Id of the change that wrote this version. */
  changeId: string;
}

const NO_CHANGE = "";

/**
 * Returns the id of the change that wrote the configuration. Walks store it in the document, so that replicas can be
 * compared by it.
 */
function configurationChangeOf(state: ControlState): string {
  const origin = state.manifest.doc.origin as { changeId: string } | undefined;
  return origin?.changeId ?? NO_CHANGE;
}
function policiesChangeOf(state: ControlState): string {
  return state.policies.doc[0]?.match.caller ?? NO_CHANGE;
}
function byChangeId([left]: [string, Outcome], [right]: [string, Outcome]): number {
  return left < right ? -1 : 1;
}

/**
 * A second, simpler implementation of the state machine, with two versioned registers, the outcome of each change, and
 * the voters. It applies each committed command once, and every replica is compared with the result.
 */
export class ReferenceModel {
  private readonly registers: Record<VersionedDocument, Register> = {
    policies: { version: 0, changeId: NO_CHANGE },
    manifest: { version: 0, changeId: NO_CHANGE },
  };
  private voters: string[] = [];
  /** Outcomes of changes by change id. */
  readonly outcomes = new Map<string, Outcome>();

  /** Returns the current version of a document. */
  version(document: VersionedDocument): number {
    return this.registers[document].version;
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
  private change(document: VersionedDocument, changeId: string, ifVersion: number): void {
    const current = this.version(document);
    if (this.outcomes.has(changeId) || ifVersion > current) return;
    if (ifVersion < current) {
      this.outcomes.set(changeId, { tag: "conflict", version: current });
      return;
    }
    this.registers[document] = { version: current + 1, changeId };
    this.outcomes.set(changeId, { tag: "done", version: current + 1 });
  }

  /** Returns the whole state as text, for comparison with replicas. */
  digest(): string {
    const { policies, manifest } = this.registers;
    return JSON.stringify([this.voters, policies, manifest, [...this.outcomes].sort(byChangeId)]);
  }
  /** Returns the same text for a replica's state. */
  static digestOf(state: ControlState): string {
    const policies: Register = { version: state.policies.version, changeId: policiesChangeOf(state) };
    const configuration: Register = { version: state.manifest.version, changeId: configurationChangeOf(state) };
    return JSON.stringify([state.voters, policies, configuration, Object.entries(state.changes).sort(byChangeId)]);
  }
}
