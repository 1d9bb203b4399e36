import { withoutOrigin } from "./configurationOrigin";
import type { ControlState } from "./controlState";

/** What every node gets of the control state. */
export interface ControlSnapshot extends Pick<
  ControlState,
  "group" | "voters" | "manifest" | "policies" | "views" | "drained" | "retiring" | "releases"
> {
  /** Log index of the last entry that changed any of it. */
  index: number;
}

/**
 * @example
 * const snapshot = ControlSnapshot.of(state, 12);
 */
export const ControlSnapshot = {
  /** The parts of a state that a snapshot holds, for a comparison by identity. @example ControlSnapshot.parts(state)[0] */
  parts: (state: ControlState): unknown[] => [
    state.group,
    state.voters,
    state.manifest,
    state.policies,
    state.views,
    state.drained,
    state.retiring,
    state.releases,
  ],

  /** The snapshot of a state up to a log index. @example ControlSnapshot.of(state, 12).index */
  of: (state: ControlState, index: number): ControlSnapshot => ({
    group: state.group,
    index: state.frameIndex ?? index,
    voters: state.voters,
    manifest: { version: state.manifest.version, doc: withoutOrigin(state.manifest.doc) },
    policies: state.policies,
    views: state.views,
    drained: state.drained,
    retiring: state.retiring,
    releases: state.releases,
  }),
};
