import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { VoterSelection, VoterSituation } from "./voterSelection";

/** Replaces lost voters of the consensus group with standbys while this node leads the group. */
export class VoterManager {
  private readonly startedAt: number;

  /**
   * @param voterCount number of voters that the group should have, so that a majority remains when as many are lost at
   *   once as the settings tolerate
   */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    readonly voterCount: number,
  ) {
    this.startedAt = env.monotonicMs();
  }

  *run(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.leaderTaskPeriodMs);
      if (!this.group.hasLeaderLease()) continue;
      const voters = VoterSelection.next(this.situation());
      if (!voters) continue;
      const outcome = yield* this.group.propose({ tag: "voters", voters }, Constants.proposeTimeoutMs);
      if (outcome.ok) this.env.log(1305, { voters });
    }
  }

  /**
   * Returns whether changes must wait because the group was bootstrapped with too few voters and has neither grown nor
   * waited `groupGrowthWaitMs` for that.
   */
  isGrowing(): boolean {
    const { manifest: configuration, policies, calendar, voters } = this.group.state;
    const isUnchanged = configuration.version === 0 && policies.version === 0 && Object.keys(calendar).length === 0;
    if (!isUnchanged || voters.length >= this.voterCount) return false;
    const isWaiting = this.env.monotonicMs() - this.group.leaderSince < Constants.groupGrowthWaitMs;
    if (!isWaiting) this.env.log(1309, { voters: voters.length, wanted: this.voterCount });
    return isWaiting;
  }

  private situation(): VoterSituation {
    const { group, node } = this;
    const committed = group.state.voters;
    const standbys = node.membership
      .alive("control")
      .map((member) => member.id)
      .filter((id) => id !== node.self.id && !committed.includes(id) && group.isCaughtUp(id));
    return {
      self: node.self.id,
      wanted: this.voterCount,
      committed,
      latest: group.voters(),
      diskLost: committed.filter((id) => this.hasLostDisk(id)),
      unavailable: committed.filter((id) => this.isUnavailable(id)),
      standbys,
      lag: (id) => group.lag(id),
    };
  }

  /** Returns whether another member uses the voter's address, so that the voter can never acknowledge or vote again. */
  private hasLostDisk(id: string): boolean {
    const member = this.node.membership.find(id);
    if (id === this.node.self.id || !member || (member.state !== "dead" && member.state !== "left")) return false;
    return this.node.membership.alive("control").some((other) => other.address === member.address);
  }

  /** Returns whether the voter has been dead, gone or unable to write for so long that another should replace it. */
  private isUnavailable(id: string): boolean {
    if (id === this.node.self.id) return false;
    const member = this.node.membership.find(id);
    if (!member) return this.undiscoveredMs() > Constants.undiscoveredVoterDelayMs;
    const stateAgeMs = this.node.membership.stateAgeMs(id);
    switch (member.state) {
      case "alive":
      case "suspect":
        return this.group.diskFailedMs(id) > Constants.unwritableVoterDelayMs;
      case "dead":
        return stateAgeMs > Constants.deadVoterDelayMs;
      case "left":
        return stateAgeMs > Constants.leftVoterDelayMs;
    }
  }

  /**
   * Returns the time in which an unknown node could have been discovered, ms; 0 until this leader has led long enough.
   */
  private undiscoveredMs(): number {
    const now = this.env.monotonicMs();
    const hasLedLongEnough = now - this.group.leaderSince > Constants.undiscoveredVoterLeaderDelayMs;
    return hasLedLongEnough ? now - this.startedAt : 0;
  }
}
