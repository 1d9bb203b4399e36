import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { ShardView } from "../controlState/shardView";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";

/** Body of "control.recover", an operator's order. */
interface RecoveryRequest {
  /** Id of the group, so that the order cannot be applied to another one. */
  group: string;
  /** The voter to continue from. */
  voter: string;
  /** The operator, for the ledger. */
  by: string;
}

/** The group id and log position that the recovered group continues from. */
interface RecoveryResult {
  /** New id of the group. */
  group: string;
  /** Last log index on the voter's disk. */
  upTo: number;
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /**
     * Recovers the group from the called voter. Faults: "conflict" while a majority is alive, or if the group or the
     * voter does not match. A repeated request is rejected once the voter leads; before that it raises term and index
     * again.
     */
    "control.recover": RpcMethod<RecoveryRequest, RecoveryResult>;
  }
}

const VOTER_TIMEOUT_MS = 500;
const STORE_TIMEOUT_MS = 800;

function isRecoveryRequest(body: unknown): body is RecoveryRequest {
  if (typeof body !== "object" || body === null) return false;
  const { group, voter, by } = body as Record<string, unknown>;
  return [group, voter, by].every((text) => typeof text === "string");
}

/** Recovers the consensus group from this voter alone, by an operator's order, after a majority is lost for good. */
export class GroupRecoveryHandler {
  constructor(
    private readonly node: Node,
    private readonly group: ConsensusGroup,
  ) {}

  serve(): void {
    this.node.rpc.handle("control.recover", (body) => this.onRecover(body));
  }

  /**
   * Rejects the request with "conflict" while a majority of the voters is alive, since the group then continues by
   * itself.
   */
  private *onRecover(body: unknown): Task<Result<RecoveryResult>> {
    const { id } = this.node.self;
    if (!isRecoveryRequest(body)) return Fault.fail("invalid", "recover", id, "malformed request");
    const voters = this.group.voters();
    const live = yield* this.countLiveVoters(voters);
    if (live > voters.length / 2)
      return Fault.fail("conflict", "recover", id, `${live} of ${voters.length} voters live: they go on by themselves`);
    return yield* this.group.recover(body, yield* this.readViewsFromStores());
  }

  private *countLiveVoters(voters: string[]): Task<number> {
    let live = 0;
    for (const id of voters) {
      const isLive = yield* this.isLive(id);
      if (isLive || id === this.node.self.id) live += 1;
    }
    return live;
  }

  private *isLive(id: string): Task<boolean> {
    const address = this.node.addressOf(id);
    const state = this.node.membership.find(id)?.state;
    const response =
      address === undefined ? undefined : yield* this.node.rpc.call(address, "control.status", {}, VOTER_TIMEOUT_MS);
    // Another id at the same address means that the voter has lost its disk.
    if (response?.ok) return response.value.id === id;
    return state === "alive" || state === "suspect";
  }

  /**
   * Returns the views on the storage nodes' disks. Of the voters, only the lost ones may have known the newest views.
   */
  private *readViewsFromStores(): Task<ShardView[]> {
    const views: ShardView[] = [];
    for (const { address } of this.node.membership.alive("store")) {
      const status = yield* this.node.rpc.call<{ shards: { view: ShardView | null }[] }>(
        address,
        "store.status",
        {},
        STORE_TIMEOUT_MS,
      );
      if (status.ok) views.push(...status.value.shards.flatMap((replica) => replica.view ?? []));
    }
    return views;
  }
}
