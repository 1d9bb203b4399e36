import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools, HttpLimits } from "../runtime/env";
import { defaultHttpLimits } from "../runtime/httpServer";
import { EndpointSelector } from "../routing/endpointSelector";
import { firstMatchingRule } from "../routing/policyRules";
import { SelectionCriteria } from "../routing/selectionCriteria";
import { ReadIndexConfirmation } from "../node/readIndexConfirmation";
import { Fault, Result } from "../common/fault";
import { ClusterSnapshot } from "../node/clusterSnapshot";
import { Node } from "../node/node";
import { HeaderNames, ownHeaderNames } from "../forwarding/headerNames";
import { DirectRequestHandler } from "./directRequestHandler";
import { Hash } from "../common/hash";
import { ControlClient } from "../node/controlClient";
import { controlAddresses, NodeContext } from "../node/nodeContext";
import { AdmissionQueue } from "../routing/admissionQueue";
import { Settings } from "../common/settings";
import { ProtocolAdapters, HttpSurface } from "../adapters/protocolAdapters";
import { Stamp } from "../common/stamp";
import { Http } from "../adapters/http";
import { CallerHttp } from "../adapters/callerHttp";
import { OperatorHttp } from "../adapters/operatorHttp";
import { EndpointHttp } from "../forwarding/endpointHttp";
import { Route, Limits } from "../controlState/configuration";
import { Cause } from "../shard/shardTypes";
import { ShardClient } from "../storage/shardClient";
import { Rpc } from "../rpc/rpc";
import { SnapshotFeed } from "../node/snapshotFeed";
import { WarmUpRequests } from "./warmUpRequests";
import { RequestTable, RequestHandle } from "./requestTable";

/* eslint-disable @typescript-eslint/no-explicit-any */
export type CallerResponse = { status: number; body: string };
export type AdmittedRequest = {
  name: string;
  route: Route;
  caller: string;
  order: number;
  cause: Cause;
  deadlineMs: number;
};
type Note = { subject: string; decision: string; cause: Cause };

/**
 * The ingress: takes in callers' requests, stamps them, accepts or refuses, and relays.
 *
 * @example
 * const started = yield* IngressNode.start(env, settings);
 */
export class IngressNode {
  private fed: ClusterSnapshot = {
    revision: 0,
    control: undefined,
    members: [],
    endpoints: [],
    overloadedPools: {},
    isCurrent: false,
    clockTrusted: false,
  };
  private fedAt = -Infinity;
  private notes: Note[] = [];
  private noteBatch = 0;
  private live = new Map<string, number>();
  private overloadTold = new Map<string, number>();
  readonly admissionQueue: AdmissionQueue;
  readonly id: string;
  readonly rpc: Rpc;
  readonly names: HeaderNames;
  readonly shardClient: ShardClient;
  readonly endpointSelector: EndpointSelector;
  readonly requestTable = new RequestTable<Result<CallerResponse>>(Constants.requestTableSlots);
  /** Apart from the agent's: an agent that runs on says nothing about what an ingress that has just started holds. */
  private readonly confirmation: ReadIndexConfirmation;
  stopping = false;
  inFlight = 0;
  private warmedUp = false;
  private toldLimits: Limits | undefined;
  private limits: HttpLimits | undefined;
  readonly counts = { lookups: 0, streams: 0, lots: 0, busies: 0, failures: 0, resumes: 0, notes_lost: 0, stale: 0 };
  private constructor(
    readonly env: Env,
    readonly settings: Settings,
    shapes: ProtocolAdapters,
    /** The agent, where it is a branch of this process. */
    private readonly node: Node | undefined,
  ) {
    this.id = node?.self.id ?? EnvTools.id(env, "ingress");
    this.rpc = node?.rpc ?? new Rpc(env, settings.cluster, this.id);
    this.confirmation =
      node?.confirmation ??
      new ReadIndexConfirmation(env, this.rpc, {
        own: () => undefined,
        source: () => settings.agent,
        configuration: () => this.fed.control,
        *fetch() {}, // the feed brings it
      });
    this.names = shapes.names ?? ownHeaderNames;
    this.shardClient = new ShardClient(env, this.rpc, this.id, () => this.current);
    this.endpointSelector = new EndpointSelector(env, this.id);
    this.admissionQueue = new AdmissionQueue(env, this.endpointSelector, (pool) => this.overload(pool));
  }

  /** @example yield* IngressNode.start(env, settings) */
  static *start(env: Env, settings: Settings, shapes: ProtocolAdapters = {}): Task<Result<IngressNode>> {
    const branch = settings.agent ? undefined : yield* Node.start(env, settings, "agent");
    if (branch && !branch.ok) return branch;
    const ingress = new IngressNode(env, settings, shapes, branch?.value);
    if (branch) ingress.watchNode(branch.value);
    else {
      ingress.confirmation.start();
      EnvTools.keep(env, env.scope, "feed", () => ingress.feedLoop());
    }
    EnvTools.keep(env, env.scope, "ledger notes", () => ingress.noteLoop());
    EnvTools.keep(env, env.scope, "clock watch", () => ingress.watchClock());
    const host: NodeContext = branch
      ? NodeContext.of(branch.value)
      : {
          env,
          rpc: ingress.rpc,
          id: ingress.id,
          control: new ControlClient(env, ingress.rpc, () => controlAddresses(ingress.current)),
          snapshot: () => ingress.current,
          announce: (announcement) => ingress.rpc.call(settings.agent!, "agent.announce", announcement, 800),
          goodbye: (id) => ingress.rpc.call(settings.agent!, "agent.goodbye", { id }, 800),
        };
    const routes = [
      ...CallerHttp.routes(ingress),
      ...WarmUpRequests.routes(ingress.names),
      ...OperatorHttp.routes(host, {
        unreadyReason: () => ingress.unreadyReason(),
        metrics: () => ingress.metrics(),
        ledgerSource: ingress.shardClient,
      }),
    ];
    const direct = new DirectRequestHandler(ingress);
    const own: HttpSurface = {
      address: settings.http,
      serve: (incoming) =>
        incoming.path.startsWith("/v1/") || !direct.fits(incoming)
          ? Http.dispatch(routes, incoming)
          : direct.serve(incoming),
    };
    for (const surface of [own, ...(shapes.ingress?.(ingress, direct) ?? [])]) {
      const served = yield* env.serveHttp(
        surface.address,
        (incoming) => ingress.tracked(() => surface.serve(incoming)),
        () => ingress.httpLimits(),
      );
      if (!served.ok) return served;
    }
    Csp.go(env.scope, "rehearse", function* () {
      yield* WarmUpRequests.run(
        env,
        ingress.names,
        settings.http,
        () => (ingress.current.control?.manifest.version ?? 0) > 0,
      );
      ingress.warmedUp = true;
    });
    env.log(1001, { program: "ingress", id: ingress.id, http: settings.http });
    return Fault.ok(ingress);
  }

  private get current(): ClusterSnapshot {
    return this.node?.snapshot() ?? this.fed;
  }
  /** @example ingress.frame().replicas */
  snapshot = (): ClusterSnapshot => this.current;
  /** The limits of callers' connections by the configuration in force; the same object until that changes. @example ingress.httpLimits().idleMs */
  httpLimits(): HttpLimits {
    const told = this.current.control?.manifest.doc.limits;
    if (told !== this.toldLimits || !this.limits) {
      this.toldLimits = told;
      this.limits = { ...defaultHttpLimits, ...told };
    }
    return this.limits;
  }
  /** The largest body of a caller by the configuration in force. @example ingress.bodyLimit() */
  bodyLimitBytes = (): number => this.current.control?.manifest.doc.limits?.bodyBytes ?? Constants.bodyLimitBytes;
  private *tracked(body: () => Task<void>): Task<void> {
    this.inFlight += 1;
    try {
      yield* body();
    } finally {
      this.inFlight -= 1;
    }
  }
  private watchNode(node: Node): void {
    let told = -1;
    const changed = (): void => {
      this.admissionQueue.endpointsChanged();
      const index = node.gossip.snapshot?.index ?? -1;
      if (index > told) this.env.log(1601, { index, manifest: node.gossip.snapshot?.manifest.version });
      told = Math.max(told, index);
    };
    node.gossip.onChange(changed);
    node.membership.onChange(changed);
  }
  /** Why direct work cannot be taken, if so; while stopping, what still comes is served. @example const why = ingress.held(); */
  rejectReason(): string | undefined {
    const why = this.unreadyReason();
    if (why !== undefined && why !== "stopping") return why;
    return this.current.control?.manifest.version ? undefined : "no manifest in force yet";
  }
  /** Why new work is held, if it is. @example const why = ingress.unready(); */
  unreadyReason(): string | undefined {
    if (this.stopping) return "stopping";
    if (!this.current.control) return "no manifest yet";
    if (!this.warmedUp) return "rehearsing";
    if (!this.confirmation.isConfirmed()) return "configuration not confirmed by the control lead";
    if ((!this.node && this.env.mono() - this.fedAt > Constants.frameStaleMs) || !this.current.isCurrent)
      return "no fresh frame";
    if (!this.current.clockTrusted) return "clock not vouched for";
    return undefined;
  }
  /** @example ingress.metrics().lookups */
  metrics(): Record<string, number> {
    return {
      ...this.counts,
      slab_used: this.requestTable.used,
      late_replies: this.requestTable.lateOutcomes,
      in_flight: this.inFlight,
      frame_index: this.current.control?.index ?? 0,
      manifest_version: this.current.control?.manifest.version ?? 0,
      replicas: this.current.endpoints.length,
      affinity_hits: this.endpointSelector.affinityHits,
      affinity_misses: this.endpointSelector.affinityMisses,
    };
  }
  private *feedLoop(): Task<void> {
    for (;;) {
      const askedAt = this.env.mono();
      const fed = yield* this.rpc.call(
        this.settings.agent!,
        "agent.feed",
        { seen: this.current.revision, controlIndex: this.current.control?.index ?? 0 },
        Constants.feedWaitMs + 500,
      );
      if (!fed.ok) {
        yield* EnvTools.sleep(this.env, 100);
        continue;
      }
      const { control, controlIndex, ...rest } = SnapshotFeed.decode(fed.value);
      const kept = this.current.control;
      // the control part only ever grows
      const newest = control && (!kept || control.index > kept.index) ? control : kept;
      if (newest !== kept) this.env.log(1601, { index: newest?.index, manifest: newest?.manifest.version });
      // an agent that was started again may know less than we do: its word counts once it has caught up
      this.fed = { ...rest, control: newest, isCurrent: rest.isCurrent && controlIndex >= (newest?.index ?? 0) };
      this.fedAt = askedAt;
      this.admissionQueue.endpointsChanged();
    }
  }
  private *watchClock(): Task<void> {
    let last = this.env.mono();
    let told = false;
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.clockWatchMs);
      const now = this.env.mono();
      if (now - last > Constants.clockJumpMs + Constants.clockWatchMs) {
        this.env.log(1005, { forMs: Math.round(now - last) });
        this.fedAt = -Infinity;
        if (!this.node) this.confirmation.invalidate(); // an agent in this process sees to its own
      }
      const stale = !this.node && now - this.fedAt > Constants.frameStaleMs;
      if (stale && !told) {
        this.env.log(1602);
        this.counts.stale += 1;
      }
      told = stale;
      last = now;
    }
  }

  // ---------- the ledger entries of what is not durable ----------
  /** @example ingress.note("request r1", "accepted", cause); */
  note(subject: string, decision: string, cause: Cause): void {
    if (this.notes.length >= Constants.ledgerBatch) {
      this.notes.shift();
      this.counts.notes_lost += 1;
    }
    this.notes.push({ subject, decision, cause });
  }
  private *noteLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, Constants.ledgerFlushMs);
      if (this.notes.length === 0 || !this.current.control) continue;
      const batch = this.notes.splice(0, 100);
      this.noteBatch += 1;
      const put = yield* this.shardClient.put(
        this.shardClient.shardOf(this.id),
        `notes-${this.id}-${this.noteBatch}`,
        [{ op: "note", entries: batch }],
        {},
        10_000,
      );
      if (!put.ok) this.counts.notes_lost += batch.length;
    }
  }

  // ---------- accept or refuse ----------
  /** Whether a request may come in now, by manifest, policies and room. @example const accepted = ingress.accept("ask", headers); */
  accept(name: string, headers: Record<string, string>): Result<AdmittedRequest> {
    const why = this.unreadyReason();
    if (why) return this.busy("accept", why, Constants.retryAfterMs);
    const { manifest: configuration, policies } = this.current.control!;
    const route = Object.prototype.hasOwnProperty.call(configuration.doc.bindings, name)
      ? configuration.doc.bindings[name]
      : undefined;
    if (!route) return Fault.fail("notFound", "accept", this.id, `no binding ${name}`);
    const caller = headers["x-caller"] ?? "";
    const criteria = { route: name, kind: route.kind, caller };
    const ordered = firstMatchingRule(criteria, policies.doc, (line) => line.order !== undefined);
    const limited = firstMatchingRule(criteria, policies.doc, (line) => line.limit !== undefined);
    const limit = Math.min(limited?.limit ?? Infinity, route.kind === "lookup" ? Infinity : Constants.liveBuffer * 4);
    const cause: Cause = {
      manifest: configuration.version,
      ...(ordered ? { policy: `line ${policies.doc.indexOf(ordered) + 1} of version ${policies.version}` } : {}),
    };
    if ((this.live.get(name) ?? 0) >= limit) {
      this.note(`binding ${name}`, "refused as busy: limit reached", {
        ...cause,
        note: limited ? `line ${policies.doc.indexOf(limited) + 1} limits to ${limited.limit}` : "live buffer full",
      });
      return this.busy("accept", "limit reached", Constants.retryAfterMs);
    }
    const asked = Number(headers["x-deadline-ms"]);
    const deadlineMs = Number.isFinite(asked) && asked > 0 ? Math.min(asked, route.deadlineMs) : route.deadlineMs;
    return Fault.ok({ name, route, caller, order: ordered?.order ?? 100, cause, deadlineMs });
  }
  private busy(step: string, detail: string, retryAfterMs: number): { ok: false; fault: Fault } {
    this.counts.busies += 1;
    return Fault.busy(step, this.id, detail, retryAfterMs);
  }
  /** Counts a request as live while the body runs. @example yield* ingress.counted("ask", body) */
  *countLive<T>(name: string, body: () => Task<T>): Task<T> {
    this.live.set(name, (this.live.get(name) ?? 0) + 1);
    try {
      return yield* body();
    } finally {
      this.live.set(name, this.live.get(name)! - 1);
    }
  }
  private overload(pool: string): void {
    const now = this.env.mono();
    if (now - (this.overloadTold.get(pool) ?? -Infinity) < 200) return;
    this.overloadTold.set(pool, now);
    this.tell(`crowd/${this.id}/${pool}`, { pool }, Constants.jobOverloadHoldMs);
  }
  /** News of ours, by the agent. @example ingress.tell("crowd/i1/model", { pool: "model" }, 600); */
  tell(key: string, value: unknown, leaseMs: number): void {
    if (this.node) return this.node.gossip.publish(key, value, leaseMs, true);
    const ingress = this;
    Csp.go(this.env.scope, "tell news", () =>
      ingress.rpc.call(ingress.settings.agent!, "agent.tell", { key, value, grantMs: leaseMs }, 500),
    );
  }

  // ---------- lookups: straight to a replica, repeated only where safe ----------
  /** Resumes the ticket with a reply or the fault. @example Csp.go(scope, "lookup", () => ingress.lookup(ticket, id, accepted, body)); */
  *lookup(ticket: RequestHandle, id: string, accepted: AdmittedRequest, body: string): Task<void> {
    this.counts.lookups += 1;
    const outcome = yield* this.lookupAttempts(id, accepted, body, ticket);
    if (!outcome.ok && outcome.fault.tag === "busy") this.counts.busies += 1;
    else if (!outcome.ok) this.counts.failures += 1;
    this.note(
      `request ${id}`,
      outcome.ok ? `replied ${outcome.value.status}` : `${outcome.fault.tag}: ${outcome.fault.detail}`,
      accepted.cause,
    );
    this.requestTable.resume(ticket, outcome);
  }
  private *lookupAttempts(
    id: string,
    accepted: AdmittedRequest,
    body: string,
    ticket: RequestHandle,
  ): Task<Result<CallerResponse>> {
    const { route: binding, name, caller } = accepted;
    const until = this.env.mono() + accepted.deadlineMs;
    const exclude = new Set<string>();
    let sent = false;
    let last: Fault | undefined;
    const startedAt = this.env.mono();
    const attempts = binding.rounds ?? Constants.lookupAttempts;
    for (let attempt = 1; attempt <= attempts;) {
      const left = until - this.env.mono();
      if (left <= 0) break;
      const make = (): SelectionCriteria => ({
        snapshot: this.current,
        pool: binding.pool,
        route: name,
        caller,
        kind: binding.kind,
        prefix: "",
        workClass: "live",
        exclude,
      });
      const open = this.endpointSelector.eligible(make()).some((endpoint) => !exclude.has(endpoint.key));
      const patience = open ? Math.min(left, Constants.liveWaitMs - (this.env.mono() - startedAt)) : 0;
      const chosen = yield* this.admissionQueue.acquire(make, accepted.order, startedAt, patience);
      if (!chosen) {
        if (sent) break;
        return Fault.busy(
          "choose",
          this.id,
          `no room in pool ${binding.pool}`,
          this.admissionQueue.retryAfterMs(binding.pool),
        );
      }
      if (!this.requestTable.isOpen(ticket)) {
        this.admissionQueue.release(chosen, true);
        return Fault.fail("broken", "lookup", "caller", "caller went away");
      }
      const attemptMs =
        attempt < attempts ? Math.min(left, Math.max(200, accepted.deadlineMs / Constants.lookupAttempts)) : left;
      const response = yield* EndpointHttp.single(this.env, chosen, {
        path: binding.path,
        id,
        attempt: attempt,
        body,
        receivedChunks: [],
        deadlineMs: attemptMs,
        idempotent: true,
      });
      this.admissionQueue.release(chosen, response.ok || response.fault.step === "deliver");
      if (response.ok) return response;
      last = response.fault;
      exclude.add(chosen.key);
      if (last.tag !== "refused") {
        sent = true;
        attempt += 1;
      } else if (exclude.size >= 8) break;
    }
    if (!sent)
      return Fault.busy(
        "lookup",
        this.id,
        last ? `no replica took it: ${last.detail}` : "deadline passed before there was room",
        Constants.retryAfterMs,
      );
    return { ok: false, fault: last! };
  }

  // ---------- streams and single requests held by a shard ----------
  /** Opens a request at its shard; ok says whether it is new or known. @example yield* ingress.open(id, accepted, body, hash) */
  *open(
    id: string,
    accepted: AdmittedRequest,
    body: string,
    bodyHash: string,
    keyed: boolean,
    stamp: Stamp,
  ): Task<Result<{ tag: "opened" } | { tag: "exists"; same: boolean; state: string }>> {
    const shard = this.shardClient.shardOf(id);
    const work = {
      id,
      binding: accepted.name,
      bodyHash,
      body,
      keyed,
      safe: accepted.route.safe,
      exact: accepted.route.continues === "exact",
      deadlineAt: this.env.wall() + accepted.deadlineMs,
      order: accepted.order,
    };
    let first = true;
    const opened = yield* this.shardClient.callLeader(
      shard,
      "work.open",
      () => {
        const arrival = first ? stamp : this.shardClient.stamp(this.env.wall());
        first = false;
        return {
          stamp: arrival,
          work: { ...work, life: Stamp.text(arrival) },
          caller: accepted.caller,
          cause: accepted.cause,
        };
      },
      accepted.deadlineMs,
      2000,
      Constants.openPatienceMs,
    );
    if (opened.ok || opened.fault.tag === "busy") return opened;
    if (opened.fault.tag === "unknown") {
      // it may be running: make sure that it never will, or say plainly that we don't know
      const refused = yield* this.shardClient.callLeader(
        shard,
        "work.refuse",
        () => ({ id, stamp: this.shardClient.stamp(this.env.wall()) }),
        1500,
      );
      if (refused.ok && refused.value.refused)
        return this.busy("open", "no store took it in time", Constants.retryAfterMs);
      return opened;
    }
    if (
      opened.fault.tag === "timeout" ||
      opened.fault.tag === "refused" ||
      opened.fault.tag === "notLead" ||
      opened.fault.tag === "late"
    )
      return this.busy("open", opened.fault.detail, Constants.retryAfterMs);
    return opened;
  }
  /** @example yield* ingress.read(id, 3, 800, 12000) */
  *read(id: string, after: number, waitMs: number, withinMs: number): Task<Result<any>> {
    return yield* this.shardClient.callLeader(
      this.shardClient.shardOf(id),
      "work.read",
      () => ({ id, after, waitMs }),
      withinMs,
      waitMs + 700,
    );
  }
  /** @example ingress.keyedId("confirm", "k1") */
  keyedId = (name: string, key: string): string => `key-${Hash.text(`${name}\n${key}`)}`;
  /** The stamp of an arrival: this is the first node it reaches, so rule 1 is checked here. @example const stamp = ingress.stamp(); */
  stamp(): Result<Stamp> {
    const stamp = this.shardClient.stamp(this.env.wall());
    const bounds = this.current.control?.manifest.doc.clock ?? Stamp.defaults;
    if (!Stamp.admits(stamp.time, this.env.wall(), bounds))
      return this.busy("stamp", "our stamps are ahead of our clock", Constants.retryAfterMs);
    return Fault.ok(stamp);
  }
  /** Temporal reads of a lot's results, from any member of its shard's view. @example yield* ingress.lotResults("L1", 0, 100, 0) */
  *jobResults(id: string, after: number, limit: number, waitMs: number): Task<Result<any>> {
    const shard = this.shardClient.shardOf(id);
    const until = this.env.mono() + Math.max(waitMs, 500) + 2500;
    let last: Result<any> = Fault.fail("timeout", "lot results", `shard ${shard}`, "no view is known");
    while (this.env.mono() < until) {
      const view = this.current.control?.views[shard];
      for (const member of view ? [view.lead, ...view.members.filter((each) => each !== view.lead)] : []) {
        const address = this.current.members.find((each) => each.id === member)?.address;
        if (!address) continue;
        last = yield* this.rpc.call(address, "lot.results", { shard, id, after, limit, waitMs }, waitMs + 700);
        if (last.ok || last.fault.tag === "notFound" || last.fault.tag === "gone") return last;
      }
      yield* EnvTools.sleep(this.env, 100);
    }
    return last.ok ? last : Fault.busy("lot results", last.fault.member, last.fault.detail, Constants.retryAfterMs);
  }
  /** SIGTERM: unready, nothing new, what is in flight ends or is told where to go on. @example yield* ingress.stop(); */
  *stop(): Task<void> {
    this.env.log(1002);
    this.stopping = true;
    if (this.node) this.node.stopping = true;
    const startedAt = this.env.mono();
    // callers come until they have seen that we are unready: what they send is still served
    yield* EnvTools.sleep(this.env, Constants.stopListenMs);
    // whoever comes now finds no listener and goes elsewhere: nothing is taken in that our end could cut
    this.env.stopServing();
    while (this.env.mono() < startedAt + Constants.stopGraceMs && this.inFlight > 0)
      yield* EnvTools.sleep(this.env, 50);
    yield* EnvTools.sleep(this.env, Constants.ledgerFlushMs + 100);
    if (this.node)
      yield* this.node.shutDown(function* () {
        /* nothing is left to finish */
      });
    else this.env.log(1003);
  }
}
