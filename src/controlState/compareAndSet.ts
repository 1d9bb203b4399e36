import { AcceptedChanges } from "./acceptedChanges";
import type { Outcome, VersionedChange } from "./command";
import type { Configuration } from "./configuration";
import { configurationProblems } from "./configurationValidation";
import { ControlState, DocumentName } from "./controlState";
import { recordOutcome } from "./decisions";

/** Carries out a change: the new version, or why the change is rejected. */
type ApplyChange = () => number | string;

/**
 * Compare-and-set with memory of outcomes, for everything that has a version. A change whose id is known gets its first
 * outcome again.
 * @example compareAndSet(state, 7, command, "move m1", entry.version, () => replaceEntry());
 */
export function compareAndSet(
  state: ControlState,
  index: number,
  change: VersionedChange,
  subject: string,
  current: number,
  apply: ApplyChange,
): Outcome {
  const earlier = state.changes[change.changeId];
  if (earlier) return earlier;
  const versions = `made against version ${change.ifVersion}, current is ${current}`;
  // not rejected: the same change may be accepted once that version exists, and a rejection has to be final
  if (change.ifVersion > current) return { tag: "undecided", detail: versions };
  if (change.ifVersion !== current)
    return recordOutcome(state, index, change, subject, { tag: "conflict", version: current }, `refused: ${versions}`);
  const applied = apply();
  if (typeof applied === "string")
    return recordOutcome(state, index, change, subject, { tag: "refused", detail: applied }, `refused: ${applied}`);
  const outcome: Outcome = { tag: "done", version: applied };
  return recordOutcome(state, index, change, subject, outcome, `accepted as version ${applied}`);
}

/** The outcome of a late retry whose first outcome is no longer remembered by its id; undefined where it is no such retry. */
function outcomeOfLateRetry(
  state: ControlState,
  { changeId, ifVersion }: VersionedChange,
  document: DocumentName,
): Outcome | undefined {
  const { version: current } = state[document];
  if (state.changes[changeId] || ifVersion >= current) return undefined;
  const accepted = ControlState.acceptedChanges(state, document);
  switch (AcceptedChanges.verdict(accepted, ifVersion, changeId)) {
    case "accepted":
      return { tag: "done", version: AcceptedChanges.result(accepted, ifVersion, current) };
    case "forgotten":
      return {
        tag: "undecided",
        detail: `who changed version ${ifVersion} is not known any more, current is ${current}`,
      };
    case "lost":
      return undefined;
  }
}

/**
 * Compare-and-set of a document. Which change made each version is remembered for long, so that a retry gets its first
 * outcome or none.
 * @example changeDocument(state, 7, command, "policies", () => replacePolicies(state, command.doc));
 */
export function changeDocument(
  state: ControlState,
  index: number,
  change: VersionedChange,
  document: DocumentName,
  apply: ApplyChange,
): Outcome {
  const accepted = ControlState.acceptedChanges(state, document);
  const ofLateRetry = outcomeOfLateRetry(state, change, document);
  if (ofLateRetry) return ofLateRetry;
  const isRetry = state.changes[change.changeId] !== undefined;
  const outcome = compareAndSet(state, index, change, document, state[document].version, apply);
  if (!isRetry && outcome.tag === "done") AcceptedChanges.add(accepted, change.ifVersion, change.changeId);
  return outcome;
}

/**
 * Puts a configuration in force under the operator's version, or the next one; gives the version, or why it is rejected.
 * @example replaceConfiguration(state, doc)
 */
export function replaceConfiguration(
  state: ControlState,
  doc: Configuration,
  version = state.manifest.version + 1,
): number | string {
  if (version <= state.manifest.version)
    return `version ${version} is not higher than the current one, ${state.manifest.version}`;
  const [problem] = configurationProblems(doc);
  if (problem !== undefined) return problem;
  state.manifest = { version, doc };
  return version;
}
