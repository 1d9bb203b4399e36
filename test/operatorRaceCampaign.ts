import { Csp, Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { ControlFleet } from "./controlFleet";
import { ConfigurationState, ControlHistory, Verdict, Operation } from "./controlHistory";

/** A change of the configuration that an operator sent, possibly several times. Times are virtual, in ms. */
interface ProposedChange {
  /** Identifies the change, as the path of the only route in the configuration. */
  mark: string;
  /** Version that the change is based on. */
  ifVersion: number;
  /** Version that the change writes. */
  version: number;
  outcome: "acknowledged" | "refused" | "unknown";
  sentAt: number;
  /** Time at which the outcome became known; Infinity if it never did. */
  endedAt: number;
}

/** The configuration as the operator interface returns it. */
interface ConfigurationBody {
  version: number;
  doc: { bindings: Record<string, { path: string }> };
}

interface Response {
  status: number;
  body: ConfigurationBody;
  /** Name of the control node that sent the response. */
  node: string;
}

export interface CampaignResult {
  violations: string[];
  /** Number of changes that were acknowledged. */
  acknowledged: number;
  /** Injected faults with their times. */
  injectedFaults: string[];
  /** Longest time until the outcome of a change became known while no fault had an effect, in ms. */
  slowestAckMs: number;
  /** Time from the restart after the loss of all power until the configuration could be read, in ms. */
  recoveredAfterMs: number;
}

/**
 * Limits required by the users, in ms. A node that has returned still counts as lost for `resyncMs`. A fault has
 * effects for `faultEffectMs` after its end. A change is acknowledged within `ackMs` and in force within `applyMs`.
 * After a loss of all power, reads work again within `recoveryMs`.
 */
const LIMITS = { resyncMs: 4700, faultEffectMs: 3000, ackMs: 4000, applyMs: 2000, recoveryMs: 4000 };
const FAULT_KINDS = [
  "kill",
  "power loss",
  "wipe",
  "wipe after ack",
  "power loss after ack",
  "freeze",
  "isolate",
  "isolate inbound",
  "replace",
  "terminate",
] as const;
type FaultKind = (typeof FAULT_KINDS)[number];

export interface CampaignOptions {
  /** Number of control nodes. */
  controls: number;
  /** Number of nodes that fail at the same time. */
  losses: number;
  /** Number of consecutive faults for each node that may fail at the same time; 4 if absent. */
  faults?: number;
  /** Whether operators also drain and undrain zones, and responses get lost. */
  orders?: boolean;
}

/** The zone that each operator drains and undrains; two operators share a zone. */
const ZONE_OF_OPERATOR = { cyd: "north", dot: "east", eve: "north" } as const;
/**
 * Limits of an order, in ms. It is retried for `retryMs`. Without a response, it may still be appended, and committed by
 * a later leader, within `takeEffectMs`.
 */
const ORDER_LIMITS = { retryMs: 4000, takeEffectMs: 16_000 };
/** Share of the responses that are lost on the way to the operator. */
const LOST_RESPONSE_SHARE = 0.15;

/**
 * Two operators change the configuration concurrently while control nodes fail, as many at the same time as the
 * settings tolerate. Then all nodes lose power, and as many lose their disks. Acknowledged changes must persist, and no
 * change that was rejected, for example because a concurrent change won, may be in force.
 */
class Campaign {
  readonly fleet: ControlFleet;
  readonly changes: ProposedChange[] = [];
  readonly injectedFaults: string[] = [];
  readonly violations: string[] = [];
  private readonly reads: Operation<ConfigurationState>[] = [];
  private readonly zones = new Map<string, Operation<boolean>[]>();
  /** Periods with a fault; the first one covers the start of the fleet. */
  private faultWindows: { from: number; to: number }[] = [{ from: 0, to: 3000 }];
  /** Listeners that are called with the name of the node that acknowledged a change. */
  private acknowledgementListeners = new Set<(name: string) => void>();
  private readonly lostNodes = new Set<string>();
  private stopped = false;
  private addedNodes = 0;
  constructor(
    seed: number,
    private readonly losses: number,
    controls: number,
    private readonly withOrders = false,
  ) {
    this.fleet = new ControlFleet(seed, { controls, founders: 3, agents: 3, losses });
  }
  private random = (): number => this.fleet.world.random();
  private pick = <T>(from: readonly T[]): T => from[Math.floor(this.random() * from.length)];
  /** Whether no fault had an effect between two times. */
  private isFaultFree = (from: number, to: number): boolean =>
    !this.faultWindows.some((each) => each.from < to && each.to + LIMITS.faultEffectMs > from);

  /** Sends one request to a control node, chosen at random, on a new connection; undefined if no response arrived. */
  private *call(method: string, path: string, body: unknown, ifVersion: number): Task<Response | undefined> {
    const node = this.pick(this.fleet.names("control"));
    const { env } = this.fleet.operator;
    const text = body === undefined ? undefined : JSON.stringify(body);
    const response = yield* env.httpRequest(this.fleet.settings.get(node)!.http, {
      method,
      path,
      body: text,
      headers: { "if-match": String(ifVersion) },
      timeoutMs: 1000,
      newConnection: true,
    });
    if (!response.ok) return undefined;
    const received = yield* EnvironmentTools.readBodyText(env, response.value, 8_000_000, 1000);
    if (received === undefined) return undefined;
    return { status: response.value.status, body: JSON.parse(received) as ConfigurationBody, node };
  }
  /** Decides at random whether a response is lost on its way to the operator. */
  private isResponseLost = (): boolean => this.withOrders && this.random() < LOST_RESPONSE_SHARE;
  /**
   * Simulates an operator who alternately drains and undrains a zone, and retries each order at any node until it is
   * acknowledged.
   */
  private *zoneOperator(zone: string): Task<void> {
    const { world, operator } = this.fleet;
    const path = `/v1/districts/${zone}/drain`;
    const history = this.zoneHistory(zone);
    for (let isDrain = true; !this.stopped; isDrain = !isDrain) {
      yield* EnvironmentTools.sleep(operator.env, 300 + this.random() * 5000);
      const begin = world.now;
      let acknowledged = false;
      while (!acknowledged && world.now - begin < ORDER_LIMITS.retryMs && !this.stopped) {
        const response = yield* this.call(isDrain ? "POST" : "DELETE", path, undefined, 0);
        const received = this.isResponseLost() ? undefined : response;
        acknowledged = received?.status === 200;
        if (received && received.status >= 400 && received.status < 500)
          this.violations.push(`an order for ${zone} was refused with ${received.status} at ${world.now.toFixed(0)}`);
        if (!acknowledged) yield* EnvironmentTools.sleep(operator.env, 50 + this.random() * 300);
      }
      const end = acknowledged ? world.now : world.now + ORDER_LIMITS.takeEffectMs;
      history.push(ControlHistory.drainOrder(isDrain ? "drain" : "undrain", begin, end, acknowledged));
    }
  }
  private zoneHistory(zone: string): Operation<boolean>[] {
    const history = this.zones.get(zone) ?? [];
    this.zones.set(zone, history);
    return history;
  }
  /** Records which zones are drained according to the state of a leader that holds its lease. */
  private sampleZones(): void {
    const leader = this.fleet.leader();
    if (!leader || this.fleet.world.processes.get(leader)?.frozen) return;
    const { drained } = this.fleet.control(leader)!.group.state;
    for (const [zone, history] of this.zones) {
      const sample = ControlHistory.drained(drained.includes(zone), this.fleet.world.now);
      history.push(sample);
    }
  }
  private *watchZones(): Task<void> {
    while (!this.stopped) {
      yield* EnvironmentTools.sleep(this.fleet.operator.env, 500);
      this.sampleZones();
    }
  }
  /**
   * Simulates an operator who reads the configuration, changes it, and retries the change until its outcome is known.
   */
  private *operator(name: string): Task<void> {
    const { world } = this.fleet;
    for (let turn = 0; !this.stopped; turn += 1) {
      yield* EnvironmentTools.sleep(this.fleet.operator.env, 200 + this.random() * 900);
      const readAt = world.now;
      const read = yield* this.call("GET", "/v1/manifest", undefined, 0);
      if (read?.status !== 200) continue;
      this.recordRead(read.body, readAt);
      const ifVersion = read.body.version;
      const version = ifVersion + 1 + Math.floor(this.random() * 3);
      const mark = `${name}-${turn}`;
      const route = { kind: "lookup", pool: "p", path: `/${mark}` };
      const isPatch = this.random() < 0.5;
      const body = isPatch
        ? { version, upsert: { bindings: { mark: route } } }
        : { version, bindings: { mark: route } };
      const sent: ProposedChange = {
        mark,
        ifVersion,
        version,
        outcome: "unknown",
        sentAt: world.now,
        endedAt: Infinity,
      };
      this.changes.push(sent);
      for (
        let pause = 50;
        sent.outcome === "unknown" && world.now - sent.sentAt < 15_000 && !this.stopped;
        pause = Math.min(800, pause * 2)
      ) {
        const received = yield* this.call(isPatch ? "PATCH" : "PUT", "/v1/manifest", body, ifVersion);
        const response = this.isResponseLost() ? undefined : received;
        if (response?.status === 200 && response.body.version === version) {
          sent.outcome = "acknowledged";
          sent.endedAt = world.now;
          for (const listener of [...this.acknowledgementListeners]) listener(response.node);
        } else if (response && response.status >= 400 && response.status < 500) {
          sent.outcome = "refused";
          sent.endedAt = world.now;
        } else yield* EnvironmentTools.sleep(this.fleet.operator.env, pause);
      }
    }
  }
  /**
   * Checks the configuration in force at each node: its version never decreases while a process runs, no rejected
   * change is in force, and acknowledged changes reach all nodes in time.
   */
  private *watchConfiguration(): Task<void> {
    const seen = new Map<object, number>();
    for (;;) {
      yield* EnvironmentTools.sleep(this.fleet.operator.env, 50);
      const { now } = this.fleet.world;
      for (const [name, running] of this.fleet.running) {
        const { node } = running as unknown as {
          node: { snapshot(): { control?: { manifest: ConfigurationBody } } };
        };
        const control = node.snapshot().control;
        const version = control?.manifest.version ?? 0;
        if (version < (seen.get(running) ?? 0)) this.violations.push(`${name} went back to ${version}`);
        seen.set(running, version);
        const path = control?.manifest.doc.bindings.mark?.path;
        const changeInForce = this.changes.find((each) => path === `/${each.mark}`);
        if (changeInForce?.outcome === "refused")
          this.violations.push(`${name} has ${changeInForce.mark}, which was refused`);
        const due = this.changes.filter(
          (each) => each.outcome === "acknowledged" && now - each.endedAt > LIMITS.applyMs && each.version > version,
        );
        if (due.length > 0 && this.isFaultFree(due[0].endedAt, now))
          this.violations.push(
            `${name} has ${version} at ${now.toFixed(0)}, ${due[0].version} was acknowledged at ${due[0].endedAt.toFixed(0)}`,
          );
      }
      if (this.violations.length > 5) this.violations.length = 5;
    }
  }
  private recordRead(body: ConfigurationBody, begin: number): void {
    const mark = body.doc.bindings.mark?.path.slice(1) ?? "";
    this.reads.push(ControlHistory.read(mark, begin, this.fleet.world.now, body.version));
  }
  /** Checks all operations that operators observed, as one history of the configuration and one of each zone. */
  private checkHistories(): void {
    const changes = this.changes.map((each) =>
      ControlHistory.change(each.mark, each.sentAt, each.endedAt, each.ifVersion, each.version, each.outcome),
    );
    this.checkHistory("the configuration", ControlHistory.configurations([...changes, ...this.reads]));
    for (const [zone, history] of this.zones) this.checkHistory(`zone ${zone}`, ControlHistory.zone(history));
  }
  private checkHistory(subject: string, verdict: Verdict): void {
    if (verdict.tag === "linearizable") return;
    this.violations.push(
      `the history of ${subject} is not linearizable: after ${verdict.longestOrder.join("; ")} none of ${verdict.blockedOperations.join("; ")}`,
    );
  }
  private recordFault(fault: string): void {
    this.injectedFaults.push(`${this.fleet.world.now.toFixed(0)} ${fault}`);
  }
  /** Chooses a node that is not lost: the preferred one in half of the cases, otherwise any. */
  private chooseNode(preferred: string | undefined): string {
    const available = this.fleet.names("control").filter((name) => !this.lostNodes.has(name));
    return preferred && available.includes(preferred) && this.random() < 0.5 ? preferred : this.pick(available);
  }
  /**
   * Waits for the next acknowledged change, calls `onAcknowledged` with the node that acknowledged it, and returns true
   * up to 4 ms later. Returns false if no change is acknowledged in time.
   */
  private async nextAcknowledgement(onAcknowledged: (node: string) => void, withinMs: number): Promise<boolean> {
    let isAcknowledged = false;
    const listener = (node: string): void => {
      this.acknowledgementListeners.delete(listener);
      onAcknowledged(node);
      isAcknowledged = true;
    };
    this.acknowledgementListeners.add(listener);
    for (const deadline = this.fleet.world.now + withinMs; !isAcknowledged && this.fleet.world.now < deadline;)
      await this.fleet.run(this.random() * 4);
    this.acknowledgementListeners.delete(listener);
    return isAcknowledged;
  }
  /**
   * Injects a fault into one control node, ends it after a random time, and waits until the node no longer counts as
   * lost.
   */
  private async injectFault(kind: FaultKind): Promise<void> {
    const { fleet } = this;
    const { world } = fleet;
    let name = this.chooseNode(fleet.leader());
    const forMs = 300 + this.random() * 4000;
    const window = { from: world.now, to: Infinity };
    if (kind.endsWith("after ack")) {
      const acknowledged = await this.nextAcknowledgement(
        (node) => void this.lostNodes.add((name = this.chooseNode(node))),
        6000,
      );
      if (!acknowledged) return;
      window.from = world.now - 20;
    }
    this.lostNodes.add(name);
    this.faultWindows.push(window);
    this.recordFault(`${kind} ${name} for ${forMs.toFixed(0)}`);
    switch (kind) {
      case "kill":
        fleet.kill(name);
        break;
      case "power loss":
      case "power loss after ack":
      case "wipe":
      case "wipe after ack":
      case "replace":
        fleet.kill(name, true);
        break;
      case "freeze":
        world.processes.get(name)!.freeze();
        break;
      case "isolate":
      case "isolate inbound":
        world.isolate([name], kind === "isolate" ? "both" : "in");
        break;
      case "terminate":
        await fleet.terminate(name);
        break;
      default: {
        const never: never = kind;
        throw new Error(never);
      }
    }
    await fleet.run(forMs);
    if (kind === "freeze") world.processes.get(name)!.resume();
    else if (kind === "isolate" || kind === "isolate inbound") world.heal();
    else if (kind === "replace") {
      fleet.settings.delete(name);
      fleet.addMachine(fleet.names("control")[0], `control-${10 + (this.addedNodes += 1)}`);
    } else
      fleet.restart(name, {
        withEmptyDisk: kind.startsWith("wipe"),
        atNewAddress: kind === "power loss" && this.random() < 0.3,
      });
    fleet.updateSeeds(Math.floor(this.random() * 9));
    window.to = world.now;
    await fleet.run(LIMITS.resyncMs);
    this.lostNodes.delete(name);
    await fleet.run(this.random() * 3000);
  }
  /**
   * Cuts the power of all nodes and restarts them; as many nodes as the settings tolerate lose their disks. Returns the
   * time until the configuration can be read, in ms.
   */
  private async loseAllPower(): Promise<number> {
    const { fleet } = this;
    await fleet.run(3000);
    if (!(await this.nextAcknowledgement(() => undefined, 10_000)))
      this.violations.push("no change was acknowledged before the final power loss");
    this.stopped = true;
    for (const name of [...fleet.settings.keys()]) fleet.kill(name, true);
    this.recordFault("all nodes lost power");
    await fleet.run(1000);
    const wiped = new Set<string>();
    while (wiped.size < this.losses) wiped.add(this.pick(fleet.names("control")));
    const restartedAt = fleet.world.now;
    for (const name of [...fleet.settings.keys()]) fleet.restart(name, { withEmptyDisk: wiped.has(name) });
    this.recordFault(`all nodes restarted, ${[...wiped].join(" and ")} with wiped disks`);
    const readableAfterMs = await fleet.until(
      async () => (await fleet.send("GET", "/v1/manifest")).status === 200,
      15_000,
      50,
    );
    return readableAfterMs === undefined ? Infinity : fleet.world.now - restartedAt;
  }
  private checkFinalRead(read: ConfigurationBody | undefined): void {
    const acknowledged = this.changes.filter((each) => each.outcome === "acknowledged");
    for (const one of acknowledged)
      if (acknowledged.some((other) => other !== one && other.ifVersion === one.ifVersion))
        this.violations.push(`two changes on ${one.ifVersion} were acknowledged`);
    const newest = Math.max(0, ...acknowledged.map((each) => each.version));
    if (!read) return void this.violations.push("the configuration cannot be read");
    const changeInForce = this.changes.find((each) => read.doc.bindings.mark?.path === `/${each.mark}`);
    if (read.version < newest) this.violations.push(`read back ${read.version}, ${newest} was acknowledged`);
    if (read.version > 0 && changeInForce?.version !== read.version)
      this.violations.push(`${read.version} isn't what was sent under its number`);
    if (changeInForce?.outcome === "refused")
      this.violations.push(`${changeInForce.mark} is in force, and was refused`);
    for (const each of this.changes) {
      const endedAt = Math.min(each.endedAt, this.fleet.world.now);
      if (this.isFaultFree(each.sentAt, endedAt) && endedAt - each.sentAt > LIMITS.ackMs)
        this.violations.push(
          `${each.mark} sent at ${each.sentAt.toFixed(0)} had no response for ${(endedAt - each.sentAt).toFixed(0)} ms without a fault`,
        );
    }
  }
  /** Runs the campaign with the given number of consecutive faults for each node that may fail at the same time. */
  async run(faults: number): Promise<CampaignResult> {
    const { fleet } = this;
    const campaign = this;
    await fleet.run(3000);
    for (const name of ["ann", "bea"]) Csp.go(fleet.operator.scope, name, () => campaign.operator(name));
    Csp.go(fleet.operator.scope, "watch", () => campaign.watchConfiguration());
    if (this.withOrders) {
      for (const [name, zone] of Object.entries(ZONE_OF_OPERATOR))
        Csp.go(fleet.operator.scope, name, () => campaign.zoneOperator(zone));
      Csp.go(fleet.operator.scope, "watch zones", () => campaign.watchZones());
    }
    await fleet.run(2000);
    const faultSequences = Array.from({ length: this.losses }, async () => {
      for (let at = 0; at < faults; at += 1) await this.injectFault(this.pick(FAULT_KINDS));
    });
    await Promise.all(faultSequences);
    const recoveredAfterMs = await this.loseAllPower();
    if (recoveredAfterMs > LIMITS.recoveryMs)
      this.violations.push(`the configuration could be read only after ${recoveredAfterMs.toFixed(0)} ms`);
    const readAt = fleet.world.now;
    const read = await fleet.send("GET", "/v1/manifest");
    const body = read.status === 200 ? (read.body as ConfigurationBody) : undefined;
    this.checkFinalRead(body);
    if (body) this.recordRead(body, readAt);
    if (this.withOrders) {
      await fleet.run(ORDER_LIMITS.takeEffectMs);
      this.sampleZones();
    }
    this.checkHistories();
    const faultFreeDurations = this.changes
      .filter((each) => each.endedAt < Infinity && this.isFaultFree(each.sentAt, each.endedAt))
      .map((each) => each.endedAt - each.sentAt);
    const acknowledged = this.changes.filter((each) => each.outcome === "acknowledged").length;
    this.violations.push(...fleet.close());
    return {
      violations: this.violations,
      acknowledged,
      injectedFaults: this.injectedFaults,
      slowestAckMs: Math.max(0, ...faultFreeDurations),
      recoveredAfterMs,
    };
  }
}
export const OperatorRaceCampaign = {
  /** Runs one campaign in virtual time. */
  run: (seed: number, options: CampaignOptions): Promise<CampaignResult> =>
    new Campaign(seed, options.losses, options.controls, options.orders).run(options.faults ?? 4),
};
