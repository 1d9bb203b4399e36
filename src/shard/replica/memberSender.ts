import { Constants } from "../../common/constants";
import type { Result } from "../../common/fault";
import type { Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import type { ReplicateRequest, ReplicateResponse } from "../messages/replicationMessages";
import type { Leadership } from "./leadership";
import type { ReplicaState } from "./replicaState";
import type { StablePrefix } from "./stablePrefix";

/**
 * "synced": the member has synced the log up to the position sent. "behind": its log ends at another position.
 * "notLeading": this replica no longer leads. "failed": the member did not respond, or its disk is broken.
 */
export type SendOutcome = "synced" | "behind" | "notLeading" | "failed";

/** Pause before a request is sent to a member again, ms. */
export const RESEND_MS = 40;
/** Sent as the epoch of an entry that is no longer in memory. It matches no epoch. */
const UNKNOWN_EPOCH = -2;

/** Sends the leader's log to the other members of the view, and records from their responses whether they sync. */
export class MemberSender {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly stablePrefix: StablePrefix,
  ) {}

  /** Renews the lease of a member whose log reaches `prevSeq`. The request carries the frontier. */
  *renewLease(id: string, epoch: number, prevSeq: number): Task<SendOutcome> {
    const { state } = this;
    const { env, rpc, shard, hooks } = state.context;
    const address = hooks.addressOf(id);
    if (!address || !state.view) return "failed";
    const sentAt = env.monotonicMs();
    const request: ReplicateRequest = {
      shard,
      epoch,
      view: state.view,
      prevSeq,
      prevEpoch: state.log.epochAt(prevSeq) ?? UNKNOWN_EPOCH,
      entries: [],
      frontier: this.stablePrefix.published,
      stable: state.appliedSeq,
    };
    const response = yield* rpc.call(address, "shard.replicate", request, Constants.replicateTimeoutMs);
    const outcome = this.outcomeOf(id, epoch, sentAt, response);
    if (outcome === "synced" && response.ok && response.value.tag === "ok")
      this.leadership.diskReported(id, response.value.lowDisk);
    return outcome;
  }

  /** Sends a request to a member until the member has synced it. Returns false once this replica no longer leads. */
  *sendUntilSynced(id: string, request: ReplicateRequest): Task<boolean> {
    const { env, rpc, hooks } = this.state.context;
    const { epoch } = request;
    for (;;) {
      if (!this.leadership.isLeaderOf(epoch)) return false;
      const address = hooks.addressOf(id);
      const sentAt = env.monotonicMs();
      const response = address
        ? yield* rpc.call(address, "shard.replicate", request, Constants.replicateTimeoutMs)
        : undefined;
      const outcome = this.outcomeOf(id, epoch, sentAt, response);
      if (outcome === "synced") return true;
      if (outcome === "notLeading") return false;
      if (outcome === "behind") this.leadership.memberFailed(id, sentAt);
      yield* EnvironmentTools.sleep(env, RESEND_MS);
    }
  }

  private outcomeOf(
    id: string,
    epoch: number,
    sentAt: number,
    response: Result<ReplicateResponse> | undefined,
  ): SendOutcome {
    const { leadership } = this;
    if (!leadership.isLeaderOf(epoch)) return "notLeading";
    if (!response?.ok) {
      leadership.memberFailed(id, sentAt, response?.fault);
      return "failed";
    }
    switch (response.value.tag) {
      case "ok":
        leadership.memberSynced(id, sentAt);
        return "synced";
      case "sealed":
        leadership.stop(`refused by ${id}: sealed for ${response.value.epoch}`);
        return "notLeading";
      case "behind":
        return "behind";
      case "broken":
        leadership.memberDiskFailed(id);
        return "failed";
    }
  }
}
