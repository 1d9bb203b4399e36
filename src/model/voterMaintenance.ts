import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import type { DiskLossLimit } from "./diskLossLimit";
import type { Incarnation, Machine } from "./machine";

/**
 * A simpler form of the control node's voter maintenance. A leader removes voters whose disks were wiped, and restores
 * the target number of voters.
 */
export class VoterMaintenance {
  constructor(
    private readonly machines: readonly Machine[],
    private readonly diskLoss: DiskLossLimit,
    private readonly targetVoterCount: number,
  ) {}

  /** Runs in the process of one replica until the process ends. */
  *run(incarnation: Incarnation): Task<void> {
    const { process, group } = incarnation;
    for (;;) {
      yield* EnvironmentTools.sleep(process.env, Constants.leaderTaskPeriodMs);
      if (!group.hasLeaderLease()) continue;
      const voters = this.nextVoters(incarnation);
      if (voters && this.diskLoss.allows(voters))
        yield* group.propose({ tag: "voters", voters }, Constants.proposeTimeoutMs);
    }
  }
  private nextVoters({ id: selfId, group }: Incarnation): string[] | undefined {
    const voters = group.voters();
    const wiped = voters.find((id) => this.diskLoss.isWiped(id));
    if (wiped !== undefined) return voters.filter((id) => id !== wiped);
    if (voters.length > this.targetVoterCount) {
      const others = voters.filter((id) => id !== selfId);
      const surplus = others.sort((left, right) => group.lag(right) - group.lag(left))[0];
      return voters.filter((id) => id !== surplus);
    }
    if (voters.length === this.targetVoterCount) return undefined;
    const ids = this.machines.map(({ incarnation }) => incarnation.id);
    const standby = ids.find((id) => !voters.includes(id) && group.isCaughtUp(id));
    return standby === undefined ? undefined : [...voters, standby];
  }
}
