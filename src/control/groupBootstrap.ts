import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** Response to "found.status": what a founder knows of a group. */
interface FounderStatus {
  id: string;
  /** Whether the founder belongs to a group. */
  founded: boolean;
  /** Id of the group that it knows; "": none. */
  group: string;
  /** Addresses of the founders by its settings, sorted. */
  founders: string[];
}

/** Body of "found.commit": the first entry of the log. */
interface BootstrapRequest {
  group: string;
  voters: string[];
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /** What a founder knows of a group. Idempotent: it only reads. */
    "found.status": RpcMethod<Record<string, never>, FounderStatus>;
    /**
     * Makes a founder a member of a new group. Faults: "conflict" where it belongs to another group or knows one.
     * Idempotent: the same group again changes nothing.
     */
    "found.commit": RpcMethod<BootstrapRequest, true>;
  }
}

/** A founder is given so long to respond, ms. */
const STATUS_TIMEOUT_MS = 500;
const COMMIT_TIMEOUT_MS = 1000;
/** A task that has ended sleeps in turns of this, ms. */
const IDLE_SLEEP_MS = 3_600_000;

function isBootstrapRequest(body: unknown): body is BootstrapRequest {
  if (typeof body !== "object" || body === null) return false;
  const { group, voters } = body as Record<string, unknown>;
  return typeof group === "string" && Array.isArray(voters) && voters.every((voter) => typeof voter === "string");
}

/**
 * Bootstraps the consensus group: once, if every founder is empty and names the same founders, and no member in reach
 * knows a group. The founder with the first address proposes; the others wait for it.
 *
 * @example
 * const bootstrap = new GroupBootstrap(env, settings, node, group, 3);
 * bootstrap.serve();
 */
export class GroupBootstrap {
  /** Addresses of the founders, sorted. */
  private readonly founders: string[];
  private lastReason = "";

  /** @param voterCount voters that the group should have */
  constructor(
    private readonly env: Environment,
    private readonly settings: Settings,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly voterCount: number,
  ) {
    this.founders = [...(settings.founders ?? [])].sort();
  }

  /** Answers other founders. @example bootstrap.serve(); */
  serve(): void {
    const bootstrap = this;
    this.node.rpc.handle("found.status", function* () {
      return Fault.ok(bootstrap.status());
    });
    this.node.rpc.handle("found.commit", (body) => this.onCommit(body));
  }

  private status(): FounderStatus {
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

  /** Tries until this node belongs to a group. @example EnvironmentTools.keep(env, env.scope, "bootstrap", () => bootstrap.run()); */
  *run(): Task<void> {
    while (!this.group.isBootstrapped()) {
      yield* EnvironmentTools.sleep(this.env, Constants.bootstrapRetryMs);
      yield* this.attempt();
    }
    for (;;) yield* EnvironmentTools.sleep(this.env, IDLE_SLEEP_MS);
  }

  private *attempt(): Task<void> {
    if (this.node.gossip.snapshot) return this.postpone("a group is known here; waiting to be taken in as standby");
    if (this.founders[0] !== this.settings.address) return;
    const ids = yield* this.emptyFounders();
    if (ids.length < this.founders.length) return;
    const informed = yield* this.memberWithGroup();
    if (informed !== undefined) return this.postpone(`member ${informed} knows a group`);
    yield* this.bootstrap(ids);
  }

  private postpone(reason: string): void {
    if (reason !== this.lastReason) this.env.log(1302, { reason });
    this.lastReason = reason;
  }

  /** Ids of the founders that are empty and agree; the own one included. */
  private *emptyFounders(): Task<string[]> {
    const ids: string[] = [];
    for (const address of this.founders) {
      if (address === this.settings.address) {
        ids.push(this.node.self.id);
        continue;
      }
      const status = yield* this.node.rpc.call(address, "found.status", {}, STATUS_TIMEOUT_MS);
      const obstacle = this.obstacleOf(address, status);
      if (obstacle !== undefined) this.postpone(obstacle);
      else if (status.ok) ids.push(status.value.id);
    }
    return ids;
  }

  private obstacleOf(address: string, status: Result<FounderStatus>): string | undefined {
    if (!status.ok) return `founder ${address} does not answer`;
    const { founded, group, founders } = status.value;
    if (founded || group) return `founder ${address} knows group ${group}`;
    const isAgreed = JSON.stringify(founders) === JSON.stringify(this.founders);
    return isAgreed ? undefined : `founder ${address} names other founders`;
  }

  /** Id of a live member that has a snapshot of some group's state. */
  private *memberWithGroup(): Task<string | undefined> {
    let informed: string | undefined;
    for (const { id, address } of this.node.membership.alive()) {
      if (id === this.node.self.id) continue;
      const snapshot = yield* this.node.rpc.call<unknown>(address, "frame.fetch", { have: 0 }, STATUS_TIMEOUT_MS);
      if (snapshot.ok && snapshot.value) informed = id;
    }
    return informed;
  }

  private *bootstrap(ids: string[]): Task<void> {
    const group = EnvironmentTools.randomId(this.env, "group");
    const voters = ids.slice(0, this.voterCount);
    const own = yield* this.group.bootstrap(group, voters);
    if (!own.ok) {
      this.env.log(1404, { fault: own.fault });
      return;
    }
    this.env.log(1301, { group, voters });
    const request: BootstrapRequest = { group, voters };
    for (const address of this.founders)
      if (address !== this.settings.address)
        yield* this.node.rpc.call(address, "found.commit", request, COMMIT_TIMEOUT_MS);
  }
}
