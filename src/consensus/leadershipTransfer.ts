import { Constants } from "../common/constants";
import { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { CatchUp } from "./catchUp";
import { ConsensusReplica } from "./consensusReplica";
import { LeaderLease } from "./leaderLease";
import { MessageCodec } from "./messageCodec";
import { ConsensusMethod } from "./wireMessages";

/** Interval between checks whether the successor has the whole log, in ms. */
const CHECK_PERIOD_MS = 10;

/** Transfers the leadership to another voter before this server stops (Ongaro's thesis, section 3.10). */
export class LeadershipTransfer {
  constructor(
    private readonly replica: ConsensusReplica,
    private readonly catchUp: CatchUp,
    private readonly lease: LeaderLease,
    private readonly rpc: Rpc,
  ) {}

  /**
   * Waits up to `leadershipTransferTimeoutMs` until all entries are committed and a successor has them. It then gives
   * up the lease and asks the successor to start an election immediately. Because the lease is given up first, the
   * other voters need not wait until it expires. Without a lease or a successor, nothing is done, and the other voters
   * elect a leader after the usual time-out.
   */
  *run(): Task<void> {
    const { replica } = this;
    const term = replica.log.currentTerm;
    yield* this.waitForSuccessor();
    const successor = this.catchUp.bestSuccessor();
    const address = successor === undefined ? undefined : replica.hooks.addressOf(successor);
    if (!this.lease.isHeld() || replica.log.currentTerm !== term || successor === undefined || !address) return;
    replica.becomeFollower();
    replica.resetElectionTimer();
    const request = MessageCodec.encodeTimeoutNow({ targetId: successor, groupId: replica.groupId(), term });
    yield* this.rpc.call(address, ConsensusMethod.timeoutNow, request, Constants.leadershipTransferTimeoutMs);
  }
  private *waitForSuccessor(): Task<void> {
    const { env } = this.replica;
    const deadline = env.monotonicMs() + Constants.leadershipTransferTimeoutMs;
    while (this.lease.isHeld() && !this.isSuccessorReady() && env.monotonicMs() < deadline)
      yield* EnvironmentTools.sleep(env, CHECK_PERIOD_MS);
  }
  private isSuccessorReady(): boolean {
    const { commitIndex, log } = this.replica;
    const successor = this.catchUp.bestSuccessor();
    return commitIndex === log.lastIndex() && successor !== undefined && this.catchUp.lag(successor) === 0;
  }
}
