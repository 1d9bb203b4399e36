import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { TwoSlots } from "../runtime/twoSlots";
import { ReadIndex } from "../node/readIndexConfirmation";
import { Fault, Result } from "../common/fault";
import { LeaderClock, OrderDeadline } from "../node/orderDeadline";
import { Node } from "../node/node";
import { Member } from "../membership/member";
import { Settings } from "../common/settings";
import { ProtocolAdapters } from "../adapters/protocolAdapters";
import { OperatorHttp } from "../adapters/operatorHttp";
import { ShardClient } from "../storage/shardClient";
import { Calendar } from "./calendar";
import { CalendarEntry } from "../controlState/calendarEntry";
import { Command, Outcome } from "../controlState/command";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { ControlState } from "../controlState/controlState";
import { ShardView } from "../controlState/shardView";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { roleOnWire } from "../consensus/role";
import { VoterSelection, VoterSituation } from "./voterSelection";
import { ShardPlacement } from "./shardPlacement";

const isLiving = (member: Member): boolean => member.state === "alive" || member.state === "suspect";

/* eslint-disable @typescript-eslint/no-explicit-any */
/**
 * A control member: the group's log, and, while it leads, shard views, due moves and the telling of decisions.
 *
 * @example
 * const started = yield* ControlNode.start(env, settings);
 */
export class ControlNode {
  readonly group: ConsensusGroup;
  readonly views: ShardPlacement;
  readonly calendar: Calendar;
  private readonly shardClient: ShardClient;
  /** Names this process's clock: a reading of it means nothing to another process, nor to this one's next start. */
  private readonly clockId: string;
  /** A majority stays when as many as may be lost at once are lost. */
  private readonly votersWanted: number;
  private readonly startedAt: number;
  private constructor(
    readonly env: Env,
    readonly settings: Settings,
    readonly node: Node,
  ) {
    this.clockId = `${node.self.id}@${env.wall()}/${env.mono()}`;
    this.startedAt = env.mono();
    this.votersWanted = 2 * (settings.losses ?? Constants.losses) + 1;
    this.group = new ConsensusGroup(env, node.rpc, node.self.id, new TwoSlots(env, `${settings.data}/group`), {
      addressOf: (id) => node.addressOf(id),
      otherNodes: () =>
        node.membership
          .alive("control")
          .map((member) => member.id)
          .filter((id) => id !== node.self.id),
      onApplied: (state, index) => this.applied(state, index),
    });
    this.views = new ShardPlacement(env, node, this.group);
    this.calendar = new Calendar(env, node, this.group, this.views);
    this.shardClient = new ShardClient(env, node.rpc, node.self.id, () => node.snapshot());
  }

  /** @example yield* ControlNode.start(env, settings) */
  static *start(env: Env, settings: Settings, shapes: ProtocolAdapters = {}): Task<Result<ControlNode>> {
    const started = yield* Node.start(env, settings, "control");
    if (!started.ok) return started;
    const control = new ControlNode(env, settings, started.value);
    const opened = yield* control.group.open();
    if (!opened.ok) {
      env.log(1006, { reason: opened.fault.detail });
      return opened;
    }
    control.node.readIndex = () => control.readIndex();
    control.node.leaderAddress = () => control.leaderAddress();
    const { rpc } = control.node;
    rpc.handle("found.status", function* () {
      return Fault.ok({
        id: control.node.self.id,
        founded: control.group.isBootstrapped(),
        group: control.group.groupId() || control.node.gossip.snapshot?.group || "",
        founders: [...(settings.founders ?? [])].sort(),
      });
    });
    rpc.handle("found.commit", function* (body) {
      if (control.node.gossip.snapshot && control.node.gossip.snapshot.group !== body.group)
        return Fault.fail("conflict", "found", control.node.self.id, "a group is known");
      return yield* control.group.bootstrap(body.group, body.voters);
    });
    rpc.handle("views.call", function* () {
      control.views.call();
      return Fault.ok(true);
    });
    rpc.handle("control.recover", (body) => control.recover(body));
    rpc.handle("control.op", (body) => control.operate(body));
    rpc.handle("control.status", function* () {
      return Fault.ok({
        id: control.node.self.id,
        role: roleOnWire(control.group.role),
        lead: control.group.leaderId,
        voters: control.group.voters(),
        applied: control.group.lastApplied,
        holds: control.group.hasLeaderLease(),
      });
    });
    control.group.start();
    EnvTools.keep(env, env.scope, "founding", () => control.foundLoop());
    EnvTools.keep(env, env.scope, "lead duties", () => control.dutyLoop());
    EnvTools.keep(env, env.scope, "ledger telling", () => control.tellLoop());
    control.views.start();
    control.calendar.start();
    const http = yield* OperatorHttp.serve(env, settings.http, control.node, {
      unreadyReason: () =>
        control.node.stopping ? "stopping" : !control.group.isBootstrapped() ? "no control group yet" : undefined,
      metrics: () => control.metrics(),
      ledgerSource: control.shardClient,
    });
    if (!http.ok) return http;
    for (const surface of shapes.control?.(control) ?? []) {
      const opened = yield* env.serveHttp(surface.address, surface.serve);
      if (!opened.ok) return opened;
    }
    return Fault.ok(control);
  }
  /** @example control.metrics().is_lead */
  metrics(): Record<string, number> {
    return {
      is_lead: this.group.hasLeaderLease() ? 1 : 0,
      applied_index: this.group.lastApplied,
      elections: this.group.electionsStarted,
      voters: this.group.voters().length,
      views_changed: this.views.changed,
      moves_run: this.calendar.ran,
    };
  }
  private applied(state: ControlState, index: number): void {
    if (state.group) this.node.gossip.offerSnapshot(ControlSnapshot.of(state, index));
  }

  /** Founding: every founder empty, all agreed, and nobody in reach knows a group. */
  private *foundLoop(): Task<void> {
    const founders = [...(this.settings.founders ?? [])].sort();
    let told = "";
    while (!this.group.isBootstrapped()) {
      yield* EnvTools.sleep(this.env, Constants.foundRetryMs);
      const hold = (reason: string): void => {
        if (reason !== told) this.env.log(1302, { reason });
        told = reason;
      };
      if (this.node.gossip.snapshot) {
        hold(`a group is known here; waiting to be taken in as standby`);
        continue;
      }
      // the first founder proposes; the others wait for it
      if (founders[0] !== this.settings.address) continue;
      const ids: string[] = [];
      for (const address of founders) {
        if (address === this.settings.address) {
          ids.push(this.node.self.id);
          continue;
        }
        const status = yield* this.node.rpc.call(address, "found.status", {}, 500);
        if (!status.ok) hold(`founder ${address} does not answer`);
        else if (status.value.founded || status.value.group)
          hold(`founder ${address} knows group ${status.value.group}`);
        else if (JSON.stringify(status.value.founders) !== JSON.stringify(founders))
          hold(`founder ${address} names other founders`);
        else ids.push(status.value.id);
      }
      if (ids.length < founders.length) continue;
      let known = "";
      for (const member of this.node.membership.alive()) {
        if (member.id === this.node.self.id) continue;
        const snapshot = yield* this.node.rpc.call(member.address, "frame.fetch", { have: 0 }, 500);
        if (snapshot.ok && snapshot.value) known = member.id;
      }
      if (known) {
        hold(`member ${known} knows a group`);
        continue;
      }
      const group = EnvTools.id(this.env, "group");
      const voters = ids.slice(0, this.votersWanted);
      const own = yield* this.group.bootstrap(group, voters);
      if (!own.ok) {
        this.env.log(1404, { fault: own.fault });
        continue;
      }
      this.env.log(1301, { group, voters });
      for (const address of founders)
        if (address !== this.settings.address)
          yield* this.node.rpc.call(address, "found.commit", { group, voters }, 1000);
    }
    for (;;) yield* EnvTools.sleep(this.env, 3_600_000);
  }

  /** An operator's word: go on from this voter alone. Refused while a majority of the voters lives. */
  private *recover(body: { group: string; voter: string; by: string }): Task<Result<{ group: string; upTo: number }>> {
    const { group, node } = this;
    const voters = group.voters();
    let living = 0;
    for (const id of voters) {
      const address = node.addressOf(id);
      const state = node.membership.find(id)?.state;
      const response =
        address === undefined ? undefined : yield* node.rpc.call<{ id: string }>(address, "control.status", {}, 500);
      // another id at the same address: that voter's folder is gone
      const there = response?.ok ? response.value.id === id : state === "alive" || state === "suspect";
      if (id === node.self.id || there) living += 1;
    }
    if (living > voters.length / 2)
      return Fault.fail(
        "conflict",
        "recover",
        node.self.id,
        `${living} of ${voters.length} voters live: they go on by themselves`,
      );
    // views that only the lost voters knew are on the stores' disks
    const views: ShardView[] = [];
    for (const store of node.membership.alive("store")) {
      const status = yield* node.rpc.call<{ shards: { view: ShardView | null }[] }>(
        store.address,
        "store.status",
        {},
        800,
      );
      if (status.ok) views.push(...status.value.shards.flatMap((replica) => replica.view ?? []));
    }
    return yield* group.recover(body, views);
  }
  /** A voter whose disk is gone: another member speaks at its address. It can neither acknowledge nor vote again. */
  private voterEmptied(id: string): boolean {
    const { node } = this;
    const member = node.membership.find(id);
    if (id === node.self.id || !member || (member.state !== "dead" && member.state !== "left")) return false;
    return node.membership.alive("control").some((other) => other.address === member.address);
  }
  /** How long a node that this lead never heard of could have made itself known, ms. */
  private unheardFor(): number {
    const now = this.env.mono();
    const leadsLongEnough = now - this.group.leaderSince > Constants.voterUnknownLeadMs;
    return leadsLongEnough ? now - this.startedAt : 0;
  }
  /** A voter that is gone for so long that another should stand in for it. */
  private voterGone(id: string): boolean {
    const { node } = this;
    if (id === node.self.id) return false;
    const member = node.membership.find(id);
    if (!member) return this.unheardFor() > Constants.voterUnknownMs;
    const silentFor = node.membership.stateAgeMs(id);
    switch (member.state) {
      case "alive":
      case "suspect":
        return false;
      case "dead":
        return silentFor > Constants.voterDeadMs;
      case "left":
        return silentFor > Constants.voterLeftMs;
      default: {
        const never: never = member.state;
        return never;
      }
    }
  }
  /** What the choice of the next voters rests on, as this lead sees it now. */
  private voterSituation(): VoterSituation {
    const { group, node } = this;
    const committed = group.state.voters;
    const standbys = node.membership
      .alive("control")
      .map((member) => member.id)
      .filter((id) => id !== node.self.id && !committed.includes(id) && group.isCaughtUp(id));
    return {
      self: node.self.id,
      wanted: this.votersWanted,
      committed,
      newest: group.voters(),
      emptied: committed.filter((id) => this.voterEmptied(id)),
      gone: committed.filter((id) => this.voterGone(id)),
      standbys,
      lag: (id) => group.lag(id),
    };
  }
  private *dutyLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.dutyPeriodMs);
      if (!this.group.hasLeaderLease()) continue;
      const voters = VoterSelection.next(this.voterSituation());
      if (!voters) continue;
      const outcome = yield* this.group.propose({ tag: "voters", voters }, Constants.proposeTimeoutMs);
      if (outcome.ok) this.env.log(1305, { voters });
    }
  }
  /** A group founded by fewer than it needs takes no first change until it has grown, or has waited long enough. */
  private growing(): boolean {
    const { manifest: configuration, policies, calendar } = this.group.state;
    const first = configuration.version === 0 && policies.version === 0 && Object.keys(calendar).length === 0;
    if (!first || this.group.state.voters.length >= this.votersWanted) return false;
    const waiting = this.env.mono() - this.group.leaderSince < Constants.groupGrowMs;
    if (!waiting) this.env.log(1309, { voters: this.group.state.voters.length, wanted: this.votersWanted });
    return waiting;
  }
  /** Decisions of control reach the ledger keyed by log index, so that a repeat adds nothing. */
  private *tellLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, this.group.role === "leader" ? 200 : Constants.dutyPeriodMs);
      if (!this.group.hasLeaderLease()) continue;
      const untold = this.group.state.untold.slice(0, 50);
      if (untold.length === 0 || Object.keys(this.group.state.views).length < Constants.shardCount) continue;
      let upTo = 0;
      for (const decision of untold) {
        const told = yield* this.shardClient.put(
          this.shardClient.shardOf(decision.subject),
          `control-${decision.index}`,
          [
            {
              op: "note",
              entries: [{ subject: decision.subject, decision: decision.decision, cause: { note: decision.cause } }],
              once: { source: "control", index: decision.index },
            },
          ],
          {},
          5000,
        );
        if (!told.ok) break;
        upTo = decision.index;
      }
      this.env.point(37);
      if (upTo > 0) yield* this.group.propose({ tag: "told", upTo }, Constants.proposeTimeoutMs);
    }
  }

  /** As the lead: nothing that nodes are told past this index was committed when contact with a majority last began. */
  private readIndex(): ReadIndex | undefined {
    const { group } = this;
    if (!group.hasLeaderLease()) return undefined;
    return { group: group.groupId(), index: group.state.frameIndex ?? group.lastApplied, at: group.quorumContactAt() };
  }
  private leaderAddress(): string | undefined {
    const { leaderId: lead } = this.group;
    return lead === "" || lead === this.node.self.id ? undefined : this.node.addressOf(lead);
  }
  private notLeader = (): Result<never> =>
    Fault.fail(
      "notLead",
      "control op",
      this.node.self.id,
      this.group.role === "leader" ? "" : (this.leaderAddress() ?? ""),
    );
  /**
   * What operators ask for; only the lead answers, and only while it holds its lease. What it says from memory alone is
   * said only if the lease still stands afterwards; what went through the log is true whatever became of the lease.
   */
  private *operate(body: any): Task<Result<any>> {
    if (!this.group.hasLeaderLease()) return this.notLeader();
    const response = yield* this.operateAsLeader(body);
    const fromMemory = body.op === "read" || (!response.ok && response.fault.tag !== "unknown");
    return fromMemory && !this.group.hasLeaderLease() ? this.notLeader() : response;
  }
  private *operateAsLeader(body: any): Task<Result<any>> {
    const { group } = this;
    const late = this.lateOrder(body.deadline);
    if (late) return late;
    switch (body.op) {
      case "clock":
        return Fault.ok({ clockId: this.clockId, now: this.env.mono() } satisfies LeaderClock);
      case "read":
        if (body.what === "retirement") return Fault.ok(yield* this.confirmedRetirement(body.id));
        return Fault.ok(this.read(group.state, body.what, body.id));
      case "change":
        return yield* this.change(body.command);
      case "retire":
        return yield* this.retire(body);
      default:
        return Fault.fail("invalid", "control op", this.node.self.id, `unknown op ${String(body.op)}`);
    }
  }
  /** An order is appended only while its caller waits for the answer; how late it comes is read from our own clock. */
  private lateOrder(deadline: OrderDeadline | undefined): Result<never> | undefined {
    if (!deadline) return undefined;
    if (deadline.clockId !== this.clockId)
      return Fault.fail("late", "control op", this.node.self.id, OrderDeadline.otherClock);
    if (this.env.mono() <= deadline.at) return undefined;
    return Fault.fail("late", "control op", this.node.self.id, "its caller no longer waits");
  }
  private *change(asked: Command): Task<Result<{ version: number }>> {
    const { group } = this;
    // how long ago an order was taken is counted by one clock, the lead's
    const command: Command =
      asked.tag === "drain" || asked.tag === "undrain" ? { ...asked, at: this.env.wall() } : asked;
    const known = "changeId" in command ? group.state.changes[command.changeId] : undefined;
    if (!known && this.growing())
      return Fault.busy(
        "change",
        this.node.self.id,
        "the control group has not all its voters yet",
        Constants.retryAfterMs,
      );
    const outcome: Result<Outcome> = known
      ? Fault.ok(known)
      : yield* group.propose(command, Constants.proposeTimeoutMs);
    // an entry that was replaced refuses nothing: the same order may stand in the log under another index
    if (!outcome.ok && outcome.fault.tag === "conflict")
      return Fault.fail("unknown", "change", this.node.self.id, outcome.fault.detail);
    if (!outcome.ok) return outcome;
    switch (outcome.value.tag) {
      case "done":
        this.env.log(1306, { tag: command.tag, version: outcome.value.version });
        return Fault.ok({ version: outcome.value.version });
      case "conflict":
        return Fault.fail("conflict", "change", this.node.self.id, `current version is ${outcome.value.version}`);
      case "refused":
        return Fault.fail("invalid", "change", this.node.self.id, outcome.value.detail);
      case "undecided":
        return Fault.busy("change", this.node.self.id, outcome.value.detail, Constants.retryAfterMs);
      default: {
        const never: never = outcome.value;
        return never;
      }
    }
  }
  /** A store is to be emptied, named by its machine or its id: refused where it is not known, or too few would stay. */
  private *retire(body: { changeId: string; store: string; by: string }): Task<Result<{ version: number }>> {
    const stores = this.storesCalled(body.store);
    const living = stores.find(isLiving);
    const store = living ?? stores[0];
    const needed = this.views.replicasWanted;
    const staying = store ? this.views.knownWithout(store) : 0;
    const again = store !== undefined && this.group.state.retiring.includes(store.id);
    // a lead that was just chosen may not have heard of every store yet
    if (!again && (!store || staying < needed) && this.env.mono() - this.group.leaderSince < Constants.voterGoneMs)
      return Fault.busy("retire", this.node.self.id, "the stores are not all known here yet", Constants.retryAfterMs);
    const earlier = living ? null : this.retirement(this.group.state, body.store);
    if (earlier) return this.retiredEarlier(earlier);
    if (!store) return Fault.fail("notFound", "retire", this.node.self.id, `no store ${body.store}`);
    if (!again && staying < needed)
      return Fault.fail(
        "conflict",
        "retire",
        this.node.self.id,
        `too few stores would stay: ${staying}, needed ${needed}`,
      );
    return yield* this.change({
      tag: "retire",
      changeId: body.changeId,
      store: store.id,
      name: body.store,
      by: body.by,
      at: this.env.wall(),
    });
  }
  /** Stores of this id or machine's name, gone ones included. */
  private storesCalled(store: string): Member[] {
    return this.node.membership
      .all()
      .filter((member) => member.program === "store" && (member.id === store || member.name === store));
  }
  /**
   * The answer to a retirement whose machine is not there any more. A resend gets the first answer; later than any resend
   * the order may mean a successor of the same name that isn't known here yet, and gets none.
   */
  private retiredEarlier(entry: CalendarEntry): Result<{ version: number }> {
    const age = this.env.wall() - entry.due;
    if (entry.fate === "started" || (age >= 0 && age < Constants.orderResendMs))
      return Fault.ok({ version: entry.version });
    return Fault.busy(
      "retire",
      this.node.self.id,
      "the machine was retired before, and isn't known here now",
      Constants.retryAfterMs,
    );
  }
  private read(state: ControlState, what: string, id: string): unknown {
    switch (what) {
      case "manifest":
        return state.manifest;
      case "policies":
        return state.policies;
      case "calendar":
        return id
          ? (state.calendar[id] ?? null)
          : { entries: Object.values(state.calendar).sort((left, right) => left.due - right.due) };
      case "change":
        return state.changes[id] ?? null;
      case "views":
        return state.views;
      default:
        return null;
    }
  }
  /** A finished retirement counts as going on while the copies elsewhere are short: the machine must not go then. */
  private *confirmedRetirement(store: string): Task<CalendarEntry | null> {
    const entry = this.retirement(this.group.state, store);
    if (entry?.fate !== "finished" || entry.move.kind !== "retire") return entry;
    return (yield* this.views.confirmEmptied(entry.move)) ? entry : { ...entry, fate: "started" };
  }
  /**
   * The newest retirement of a store, by its id or its machine's name: the last one in the log, whatever the clocks said.
   * One that was carried out says nothing of a successor with the same name.
   */
  private retirement(state: ControlState, store: string): CalendarEntry | null {
    const newest = Object.values(state.calendar)
      .filter(({ move }) => move.kind === "retire" && (move.store === store || move.name === store))
      .pop();
    if (newest?.move.kind !== "retire") return null;
    const { store: retired } = newest.move;
    const living = this.storesCalled(store).find(isLiving);
    return newest.fate === "finished" && living && living.id !== retired ? null : newest;
  }
  /** SIGTERM: a lead hands over to another voter before it goes. @example yield* control.stop(); */
  stop(): Task<void> {
    const control = this;
    return this.node.shutDown(function* () {
      yield* control.group.transferLeadership();
      yield* EnvTools.sleep(control.env, Constants.handOverWaitMs);
    });
  }
}
