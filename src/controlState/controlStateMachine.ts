import { applyCancel, applySchedule, applyTransition } from "./calendarCommands";
import type { Command, BootstrapCommand, Outcome, PoliciesCommand, ShardViewCommand, VotersCommand } from "./command";
import { changeDocument, replaceConfiguration } from "./compareAndSet";
import { ConfigurationPatch } from "./configurationPatch";
import { ControlSnapshot } from "./controlSnapshot";
import type { ControlState } from "./controlState";
import { recordDecision } from "./decisions";
import { applyRetire } from "./storeRetirements";
import { applyDrain } from "./zoneDrains";

const CONTROL_GROUP = "control group";

function applyBootstrap(state: ControlState, index: number, { group, voters }: BootstrapCommand): Outcome {
  state.group = group;
  state.voters = voters;
  const decision = `founded with voters ${voters.join(", ")}`;
  recordDecision(state, index, CONTROL_GROUP, decision, "all founders empty and agreed");
  return { tag: "done", version: index };
}

function applyVoters(state: ControlState, index: number, { voters }: VotersCommand): Outcome {
  state.voters = voters;
  recordDecision(state, index, CONTROL_GROUP, `voters are ${voters.join(", ")}`, "voter replaced or removed");
  return { tag: "done", version: index };
}

function applyPolicies(state: ControlState, index: number, command: PoliciesCommand): Outcome {
  return changeDocument(state, index, command, "policies", () => {
    const version = state.policies.version + 1;
    state.policies = { version, doc: command.doc };
    return version;
  });
}

function applyView(state: ControlState, index: number, { view, reason }: ShardViewCommand): Outcome {
  const { shard, epoch, members, lead: leader } = view;
  const current = state.views[shard];
  if ((current?.epoch ?? 0) >= epoch) return { tag: "conflict", version: current.epoch };
  state.views = { ...state.views, [shard]: view };
  recordDecision(state, index, `shard ${shard}`, `view ${epoch}: ${members.join(", ")} led by ${leader}`, reason);
  return { tag: "done", version: epoch };
}

function applyCommand(state: ControlState, index: number, command: Command): Outcome {
  switch (command.tag) {
    case "noop":
      return { tag: "done", version: index };
    case "found":
      return applyBootstrap(state, index, command);
    case "voters":
      return applyVoters(state, index, command);
    case "manifest":
      return changeDocument(state, index, command, "manifest", () =>
        replaceConfiguration(state, command.doc, command.version),
      );
    case "patch": {
      const doc = ConfigurationPatch.apply(state.manifest.doc, command.patch);
      return changeDocument(state, index, command, "manifest", () => replaceConfiguration(state, doc, command.version));
    }
    case "policies":
      return applyPolicies(state, index, command);
    case "pencil":
      return applySchedule(state, index, command);
    case "erase":
      return applyCancel(state, index, command);
    case "move":
      return applyTransition(state, index, command);
    case "drain":
    case "undrain":
      return applyDrain(state, index, command);
    case "retire":
      return applyRetire(state, index, command);
    case "view":
      return applyView(state, index, command);
    case "told":
      state.untold = state.untold.filter((decision) => decision.index > command.upTo);
      return { tag: "done", version: index };
    default:
      return command satisfies never;
  }
}

/**
 * The deterministic state machine behind the consensus log: every voter applies the same commands in the same order.
 *
 * @example
 * const state = ControlState.empty();
 * ControlStateMachine.apply(state, 1, { tag: "found", group: "g", voters: ["a"] });
 */
export const ControlStateMachine = {
  /**
   * Applies a committed entry to the state in place. A command that cannot be applied changes only the recorded
   * outcomes and queued decisions; its outcome gives the reason.
   */
  apply(state: ControlState, index: number, command: Command): Outcome {
    const before = ControlSnapshot.parts(state);
    const outcome = applyCommand(state, index, command);
    if (ControlSnapshot.parts(state).some((part, position) => part !== before[position])) state.frameIndex = index;
    return outcome;
  },
};
