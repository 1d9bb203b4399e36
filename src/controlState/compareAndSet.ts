import { AcceptedChanges } from "./acceptedChanges";
import type { Outcome, VersionedChange } from "./command";
import type { Configuration } from "./configuration";
import { configurationProblems } from "./configurationValidation";
import { ControlState, DocumentName } from "./controlState";
import { recordOutcome } from "./decisions";

/** Applies a change, and returns the new version or the reason for a rejection. */
type ApplyChange = () => number | string;

/**
 * Applies a change by compare-and-set to anything that has a version, and records the outcome. A change with a known id
 * gets its first outcome again.
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
  // This is no rejection: rejections are final, but the same change may be accepted once that version exists.
  if (change.ifVersion > current) return { tag: "undecided", detail: versions };
  if (change.ifVersion !== current)
    return recordOutcome(state, index, change, subject, { tag: "conflict", version: current }, `refused: ${versions}`);
  const applied = apply();
  if (typeof applied === "string")
    return recordOutcome(state, index, change, subject, { tag: "refused", detail: applied }, `refused: ${applied}`);
  const outcome: Outcome = { tag: "done", version: applied };
  return recordOutcome(state, index, change, subject, outcome, `accepted as version ${applied}`);
}

/**
 * Returns the outcome of a late retry whose outcome by id is no longer retained, or undefined if the change is none.
 */
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
 * Applies a change to a document by compare-and-set. The record of which change made each version is retained for long,
 * so that a retry gets either its first outcome or no definite one.
 */
export function changeDocument(
  state: ControlState,
  index: number,
  change: VersionedChange,
  document: DocumentName,
  apply: ApplyChange,
): Outcome {
  const accepted = ControlState.acceptedChanges(state, document);
  const lateRetryOutcome = outcomeOfLateRetry(state, change, document);
  if (lateRetryOutcome) return lateRetryOutcome;
  const isRetry = state.changes[change.changeId] !== undefined;
  const outcome = compareAndSet(state, index, change, document, state[document].version, apply);
  if (!isRetry && outcome.tag === "done") AcceptedChanges.add(accepted, change.ifVersion, change.changeId);
  return outcome;
}

/**
 * Puts a configuration in force under the given version or the next one. Returns the version, or the reason for a
 * rejection.
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
