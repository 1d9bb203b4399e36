import { OperatorHttp } from "../adapters/operatorHttp";
import { ProtocolAdapters } from "../adapters/protocolAdapters";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { roleOnWire } from "../consensus/role";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import type { ControlState } from "../controlState/controlState";
import { Node } from "../node/node";
import { NodeContext } from "../node/nodeContext";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { CheckpointedLog } from "../runtime/checkpointedLog";
import { ShardClient } from "../storage/shardClient";
import { CalendarRunner } from "./calendarRunner";
import { ChangeProposals } from "./changeProposals";
import { ControlRequestHandler } from "./controlRequestHandler";
import { GroupBootstrap } from "./groupBootstrap";
import { GroupRecoveryHandler } from "./groupRecoveryHandler";
import { Leadership } from "./leadership";
import { LedgerDelivery } from "./ledgerDelivery";
import { RetirementOrders } from "./retirementOrders";
import { ShardPlacement } from "./shardPlacement";
import { VoterHealth } from "./voterHealth";
import { VoterManager } from "./voterManager";

/** Response to "control.status". The field names are part of the protocol. */
export interface ControlStatus {
  id: string;
  /** Role in the consensus group. */
  role: string;
  /** Id of the leader as far as this node knows, or "". */
  lead: string;
  voters: string[];
  /** Log index of the last applied entry. */
  applied: number;
  /** Whether this node leads and its lease is valid. */
  holds: boolean;
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Returns the state of a control process. Idempotent: it only reads. */
    "control.status": RpcMethod<Record<string, never>, ControlStatus>;
    /** Requests an immediate check of all shards. Idempotent: it only wakes the leader. */
    "views.call": RpcMethod<Record<string, never>, true>;
  }
}

/**
 * The control process: a member of the consensus group, and the tasks that its leader runs (voter management, shard
 * placement, the calendar, delivery of decisions to the ledger). This class only wires the parts together.
 */
export class ControlNode {
  readonly group: ConsensusGroup;
  readonly shardPlacement: ShardPlacement;
  readonly calendar: CalendarRunner;
  private readonly shardClient: ShardClient;
  private readonly leadership: Leadership;
  private readonly voterManager: VoterManager;
  private readonly voterHealth: VoterHealth;
  private readonly bootstrap: GroupBootstrap;
  private readonly recovery: GroupRecoveryHandler;
  private readonly requestHandler: ControlRequestHandler;
  private readonly ledgerDelivery: LedgerDelivery;

  private constructor(
    readonly env: Environment,
    readonly settings: Settings,
    readonly node: Node,
  ) {
    const voterCount = 2 * (settings.losses ?? Constants.toleratedLosses) + 1;
    const group = this.createGroup();
    this.group = group;
    this.leadership = new Leadership(node, group);
    this.voterManager = new VoterManager(env, node, group, voterCount);
    this.voterHealth = new VoterHealth(env, node, group);
    this.bootstrap = new GroupBootstrap(env, settings, node, group, voterCount);
    this.recovery = new GroupRecoveryHandler(node, group);
    this.shardPlacement = new ShardPlacement(env, node, group);
    const { retirement } = this.shardPlacement;
    this.calendar = new CalendarRunner(env, node, group, retirement);
    this.shardClient = new ShardClient(env, node.rpc, node.self.id, () => node.snapshot());
    this.ledgerDelivery = new LedgerDelivery(env, group, this.shardClient);
    const proposals = new ChangeProposals(env, node, group, this.voterManager);
    const retirementOrders = new RetirementOrders(env, node, group, retirement, proposals);
    this.requestHandler = new ControlRequestHandler(
      env,
      node,
      group,
      this.leadership,
      this.voterHealth,
      proposals,
      retirementOrders,
    );
  }

  private createGroup(): ConsensusGroup {
    const { env, node } = this;
    const log = new CheckpointedLog(env, `${this.settings.data}/group`);
    return new ConsensusGroup(env, node.rpc, node.self.id, log, {
      addressOf: (id) => node.addressOf(id),
      otherNodes: () =>
        node.membership
          .alive("control")
          .map((member) => member.id)
          .filter((id) => id !== node.self.id),
      onApplied: (state, index) => this.publish(state, index),
    });
  }

  /** Offers the applied state to gossip, which spreads it to every node. */
  private publish(state: ControlState, index: number): void {
    if (state.group) this.node.gossip.offerSnapshot(ControlSnapshot.of(state, index));
  }

  /** Starts a control process. A fault names the part that failed. */
  static *start(env: Environment, settings: Settings, adapters: ProtocolAdapters = {}): Task<Result<ControlNode>> {
    const node = yield* Node.start(env, settings, "control");
    if (!node.ok) return node;
    const control = new ControlNode(env, settings, node.value);
    const opened = yield* control.group.open();
    if (!opened.ok) {
      env.log(1006, { reason: opened.fault.detail });
      return opened;
    }
    control.serveMembers();
    control.startTasks();
    const served = yield* control.serveHttp(adapters);
    return served.ok ? Fault.ok(control) : served;
  }

  /** Registers the handlers for requests from other members. */
  private serveMembers(): void {
    const control = this;
    const { node } = this;
    node.readIndex = () => this.leadership.readIndex();
    node.leaderAddress = () => this.leadership.leaderAddress();
    this.bootstrap.serve();
    this.recovery.serve();
    this.requestHandler.serve();
    node.rpc.handle("views.call", function* () {
      control.shardPlacement.requestCheck();
      return Fault.ok(true);
    });
    node.rpc.handle("control.status", function* () {
      return Fault.ok(control.status());
    });
  }

  private startTasks(): void {
    const { env } = this;
    this.group.start();
    EnvironmentTools.runSupervised(env, env.scope, "bootstrap", () => this.bootstrap.run());
    EnvironmentTools.runSupervised(env, env.scope, "voter management", () => this.voterManager.run());
    EnvironmentTools.runSupervised(env, env.scope, "voter health", () => this.voterHealth.run());
    EnvironmentTools.runSupervised(env, env.scope, "ledger delivery", () => this.ledgerDelivery.run());
    this.shardPlacement.start();
    this.calendar.start();
  }

  private *serveHttp(adapters: ProtocolAdapters): Task<Result<true>> {
    const { env } = this;
    const served = yield* OperatorHttp.serve(env, this.settings.http, this.node, {
      unreadyReason: () => this.unreadyReason(),
      metrics: () => this.metrics(),
      ledgerSource: this.shardClient,
    });
    if (!served.ok) return served;
    for (const listener of adapters.control?.(NodeContext.of(this.node)) ?? []) {
      const opened = yield* env.serveHttp(listener.address, listener.serve);
      if (!opened.ok) return opened;
    }
    return Fault.ok(true);
  }

  private unreadyReason(): string | undefined {
    if (this.node.stopping) return "stopping";
    return this.group.isBootstrapped() ? undefined : "no control group yet";
  }

  private status(): ControlStatus {
    const { group } = this;
    return {
      id: this.node.self.id,
      role: roleOnWire(group.role),
      lead: group.leaderId,
      voters: group.voters(),
      applied: group.lastApplied,
      holds: group.hasLeaderLease(),
    };
  }

  /** Returns the lowest index of a control snapshot that an active member, or this one, was last known to have. */
  private oldestIndex(): number {
    const { gossip, membership } = this.node;
    const addresses = membership.alive().map((member) => member.address);
    const ownIndex = gossip.snapshot?.index ?? 0;
    return Math.min(ownIndex, gossip.announcements.lowestIndex(addresses) ?? ownIndex);
  }

  /** Returns the values of `/metrics` by name. */
  metrics(): Record<string, number> {
    return {
      is_lead: this.group.hasLeaderLease() ? 1 : 0,
      applied_index: this.group.lastApplied,
      ...this.node.configurationMetrics(),
      oldest_index: this.oldestIndex(),
      elections: this.group.electionsStarted,
      voters: this.group.voters().length,
      ...this.voterHealth.metrics(),
      views_changed: this.shardPlacement.viewsChanged,
      moves_run: this.calendar.completedCount,
    };
  }

  /** Shuts down; a leader transfers its leadership to another voter first. */
  stop(): Task<void> {
    const control = this;
    return this.node.shutDown(function* () {
      yield* control.group.transferLeadership();
      yield* EnvironmentTools.sleep(control.env, Constants.leadershipTransferTimeoutMs);
    });
  }
}
