import { Constants } from "../common/constants";
import type { ControlState } from "./controlState";
import { recordDecision } from "./decisions";
import type { ShardView } from "./shardView";

/** Suffix "+n" of the id of a group that was recovered n times. */
const GENERATION = /\+(\d+)$/;

const withoutGeneration = (group: string): string => group.replace(GENERATION, "");

/**
 * Recovers the consensus group from one voter after the others are permanently lost. Each recovery gives the group an
 * id of the next generation.
 *
 * @example
 * GroupRecovery.supersedes("group-a+1", "group-a"); // true
 */
export const GroupRecovery = {
  /** Returns how often a group was recovered. @example GroupRecovery.generation("group-a+2") // 2 */
  generation: (group: string): number => Number(GENERATION.exec(group)?.[1] ?? 0),

  /** Returns whether a group is the result of a recovery of another group. */
  supersedes: (group: string, former: string): boolean =>
    withoutGeneration(group) === withoutGeneration(former) &&
    GroupRecovery.generation(group) > GroupRecovery.generation(former),

  /** Returns the state that a single voter continues from, including newer shard views that storage nodes know. */
  recoveredState(former: ControlState, index: number, voter: string, views: ShardView[], by: string): ControlState {
    const state = structuredClone(former);
    const generation = GroupRecovery.generation(state.group) + 1;
    const lost = state.voters.filter((id) => id !== voter);
    state.group = `${withoutGeneration(state.group)}+${generation}`;
    state.voters = [voter];
    state.epochFloor = generation * Constants.recoveryEpochGap;
    state.frameIndex = index;
    for (const view of views) if (view.epoch > (state.views[view.shard]?.epoch ?? 0)) state.views[view.shard] = view;
    const decision = `recovered as ${state.group} from voter ${voter} alone; what only ${lost.join(", ")} had acknowledged is lost`;
    recordDecision(state, index, "control group", decision, `operator's word by ${by}`);
    return state;
  },
};
