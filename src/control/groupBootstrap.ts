import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** Response to "found.status": what a bootstrap member (a "founder" in the settings) knows about a consensus group. */
interface BootstrapStatus {
  id: string;
  /** Whether the bootstrap member belongs to a group. */
  founded: boolean;
  /** Id of the group that it knows, or "". */
  group: string;
  /** Addresses of the bootstrap members according to its settings, sorted. */
  founders: string[];
}

/** Body of "found.commit": the first entry of the log. */
interface BootstrapRequest {
  group: string;
  voters: string[];
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Returns what a bootstrap member knows about a group. Idempotent: it only reads. */
    "found.status": RpcMethod<Record<string, never>, BootstrapStatus>;
    /**
     * Makes a bootstrap member a member of a new group. Faults: "conflict" if it belongs to another group or knows one.
     * Idempotent: a repeated request for the same group changes nothing.
     */
    "found.commit": RpcMethod<BootstrapRequest, true>;
  }
}

/** Time-out of a status request to a bootstrap member, ms. */
const STATUS_TIMEOUT_MS = 500;
const COMMIT_TIMEOUT_MS = 1000;
/** Sleep interval of the task once the group exists, ms. The task must not return, because it would be restarted. */
const IDLE_SLEEP_MS = 3_600_000;

function isBootstrapRequest(body: unknown): body is BootstrapRequest {
  if (typeof body !== "object" || body === null) return false;
  const { group, voters } = body as Record<string, unknown>;
  return typeof group === "string" && Array.isArray(voters) && voters.every((voter) => typeof voter === "string");
}

/**
 * Bootstraps the consensus group once, if every bootstrap member has empty storage and lists the same bootstrap
 * members, and if no reachable member knows a group. The bootstrap member with the first address proposes; the others
 * wait for it.
 */
export class GroupBootstrap {
  /** Addresses of the bootstrap members, sorted. */
  private readonly founders: string[];
  private lastReason = "";

  /** @param voterCount number of voters that the group should have */
  constructor(
    private readonly env: Environment,
    private readonly settings: Settings,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly voterCount: number,
  ) {
    this.founders = [...(settings.founders ?? [])].sort();
  }

  /** Registers the handlers for requests from other bootstrap members. */
  serve(): void {
    const bootstrap = this;
    this.node.rpc.handle("found.status", function* () {
      return Fault.ok(bootstrap.status());
    });
    this.node.rpc.handle("found.commit", (body) => this.onCommit(body));
  }

  private status(): BootstrapStatus {
    return {
      id: this.node.self.id,
      founded: this.group.isBootstrapped(),
      group: this.group.groupId() || this.node.gossip.snapshot?.group || "",
      founders: this.founders,
    };
  }

  private *onCommit(body: unknown): Task<Result<true>> {
    const { id } = this.node.self;
    if (!isBootstrapRequest(body)) return Fault.fail("invalid", "found", id, "malformed request");
    const known = this.node.gossip.snapshot;
    if (known && known.group !== body.group) return Fault.fail("conflict", "found", id, "a group is known");
    return yield* this.group.bootstrap(body.group, body.voters);
  }

  /** Retries the bootstrap until this node belongs to a group. */
  *run(): Task<void> {
    while (!this.group.isBootstrapped()) {
      yield* EnvironmentTools.sleep(this.env, Constants.bootstrapRetryMs);
      yield* this.attempt();
    }
    for (;;) yield* EnvironmentTools.sleep(this.env, IDLE_SLEEP_MS);
  }

  private *attempt(): Task<void> {
    if (this.node.gossip.snapshot) return this.logBlocker("a group is already known; waiting to be added as a standby");
    if (this.founders[0] !== this.settings.address) return;
    const ids = yield* this.collectEmptyMembers();
    if (ids.length < this.founders.length) return;
    const memberId = yield* this.findMemberWithGroup();
    if (memberId !== undefined) return this.logBlocker(`member ${memberId} knows a group`);
    yield* this.bootstrap(ids);
  }

  private logBlocker(reason: string): void {
    if (reason !== this.lastReason) this.env.log(1302, { reason });
    this.lastReason = reason;
  }

  /**
   * Returns the ids of the bootstrap members that are empty and list the same bootstrap members, including this node.
   */
  private *collectEmptyMembers(): Task<string[]> {
    const ids: string[] = [];
    for (const address of this.founders) {
      if (address === this.settings.address) {
        ids.push(this.node.self.id);
        continue;
      }
      const status = yield* this.node.rpc.call(address, "found.status", {}, STATUS_TIMEOUT_MS);
      const obstacle = this.bootstrapBlocker(address, status);
      if (obstacle !== undefined) this.logBlocker(obstacle);
      else if (status.ok) ids.push(status.value.id);
    }
    return ids;
  }

  private bootstrapBlocker(address: string, status: Result<BootstrapStatus>): string | undefined {
    if (!status.ok) return `bootstrap member ${address} does not respond`;
    const { founded, group, founders } = status.value;
    if (founded || group) return `bootstrap member ${address} knows group ${group}`;
    const isAgreed = JSON.stringify(founders) === JSON.stringify(this.founders);
    return isAgreed ? undefined : `bootstrap member ${address} lists other bootstrap members`;
  }

  /** Returns the id of a live member that has a snapshot of any group's state. */
  private *findMemberWithGroup(): Task<string | undefined> {
    let memberId: string | undefined;
    for (const { id, address } of this.node.membership.alive()) {
      if (id === this.node.self.id) continue;
      const snapshot = yield* this.node.rpc.call<unknown>(address, "frame.fetch", { have: 0 }, STATUS_TIMEOUT_MS);
      if (snapshot.ok && snapshot.value) memberId = id;
    }
    return memberId;
  }

  private *bootstrap(ids: string[]): Task<void> {
    const group = EnvironmentTools.randomId(this.env, "group");
    const voters = ids.slice(0, this.voterCount);
    const own = yield* this.group.bootstrap(group, voters);
    if (!own.ok) return;
    this.env.log(1301, { group, voters });
    const request: BootstrapRequest = { group, voters };
    for (const address of this.founders)
      if (address !== this.settings.address)
        yield* this.node.rpc.call(address, "found.commit", request, COMMIT_TIMEOUT_MS);
  }
}
