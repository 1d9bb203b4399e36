import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** Which voters can write, as the leader sees it. The field names are part of the protocol. */
export interface VoterStatus {
  /** Id of the leader. */
  leader: string;
  /** Ids of the voters. */
  voters: string[];
  /** Ids of those that have acknowledged the leader recently, and so can be reached and can write. */
  canWrite: string[];
  /** Number of voters that must be able to write, so that changes are accepted. */
  needed: number;
}

/** Observes, while this node leads the group, which voters can write, and logs each change of that. */
export class VoterHealth {
  /** The voters that could not write when that was last logged. */
  private reported: string[] = [];

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
  ) {}

  *run(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.leaderTaskPeriodMs);
      this.logChange();
    }
  }

  /** Returns the status of the voters; undefined on a node that does not lead, or was only just elected. */
  status(): VoterStatus | undefined {
    const { group } = this;
    const ledMs = this.env.monotonicMs() - group.leaderSince;
    if (!group.hasLeaderLease() || ledMs < Constants.electionTimeoutMinMs) return undefined;
    return {
      leader: this.node.self.id,
      voters: group.voters(),
      canWrite: group.writableVoters(),
      needed: group.majority(),
    };
  }

  /** Returns the values of `/metrics` by name; the numbers of voters are known to the leader only. */
  metrics(): Record<string, number> {
    const status = this.status();
    return {
      disk_failed: this.group.hasDiskFailed() ? 1 : 0,
      ...(status ? { voters_can_write: status.canWrite.length, voters_needed: status.needed } : {}),
    };
  }

  private logChange(): void {
    const status = this.status();
    if (!status) {
      if (this.group.role !== "leader") this.reported = [];
      return;
    }
    const { voters, canWrite, needed } = status;
    const cannotWrite = voters.filter((id) => !canWrite.includes(id));
    if (cannotWrite.join() === this.reported.join()) return;
    this.reported = cannotWrite;
    if (cannotWrite.length === 0) this.env.log(1311, { voters: voters.length, needed });
    else this.env.log(1310, { cannotWrite, canWrite: canWrite.length, voters: voters.length, needed });
  }
}
