import { withoutOrigin } from "./configurationOrigin";
import type { ControlState } from "./controlState";

/** The parts of the control state that every node receives. */
export interface ControlSnapshot extends Pick<
  ControlState,
  "group" | "voters" | "manifest" | "policies" | "views" | "drained" | "retiring" | "releases"
> {
  /** Log index of the last entry that changed any of these parts. */
  index: number;
}

export const ControlSnapshot = {
  /** Returns the parts of a state that a snapshot contains, for comparison by identity. */
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

  /** Returns the snapshot of a state up to a log index. */
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
