import { Csp, Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { ControlFleet } from "./controlFleet";
import { ConfigurationState, ControlHistory, Judged, Operation } from "./controlHistory";

/** A change of the configuration, with its retries. Times are virtual, ms. */
interface SentChange {
  /** Identifies the change: the path of its only route. */
  mark: string;
  /** The version that it was made against. */
  ifVersion: number;
  /** The version that it makes. */
  version: number;
  outcome: "acknowledged" | "refused" | "unknown";
  at: number;
  /** When its outcome was known; Infinity: never. */
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
  /** Name of the control node that gave it. */
  node: string;
}

export interface CampaignResult {
  violations: string[];
  /** Changes that were acknowledged. */
  acknowledged: number;
  /** Faults that were injected, with their times. */
  injectedFaults: string[];
  /** Longest time to an acknowledgement without a fault, ms. */
  slowestAckMs: number;
  /** Time from the last restart until the configuration could be read, ms. */
  backAfterMs: number;
}

/**
 * The bounds that the users set, ms: a node that returned counts as lost for `syncMs`; faults have an effect for
 * `contactMs`; a change is acknowledged within `ackMs` and in force within `applyMs`; reads work again within `backMs`.
 */
const bounds = { syncMs: 4700, contactMs: 3000, ackMs: 4000, applyMs: 2000, backMs: 4000 };
const faultKinds = [
  "kill",
  "power",
  "wipe",
  "wipe after ack",
  "power after ack",
  "freeze",
  "cut",
  "deaf",
  "replace",
  "stop",
] as const;
type FaultKind = (typeof faultKinds)[number];

export interface CampaignOptions {
  /** Control nodes. */
  controls: number;
  /** Nodes that are lost at a time. */
  losses: number;
  /** Faults one after the other, for each node that may be lost at a time. */
  faults?: number;
  /** Whether operators also drain zones, and responses get lost. */
  orders?: boolean;
}

/** Zones by operator; two operators share one. */
const zoneOperators = { cyd: "north", dot: "east", eve: "north" } as const;
/** An order is retried for `resendMs`; one without a response may still be appended, and committed by a later leader, for `takenMs`. */
const orderBounds = { resendMs: 4000, takenMs: 16_000 };
const lostResponseShare = 0.15;

/**
 * Two operators change the configuration concurrently while control nodes fail, as many at a time as the settings
 * tolerate; then all lose power and as many lose their disks. Acknowledged changes must stay, and no change may be in
 * force that lost its race or was rejected.
 *
 * @example
 * const result = await OperatorRaceCampaign.run(7, { controls: 4, losses: 1 });
 * expect(result.violations).toEqual([]);
 */
class Campaign {
  readonly fleet: ControlFleet;
  readonly changes: SentChange[] = [];
  readonly acts: string[] = [];
  readonly violations: string[] = [];
  private readonly reads: Operation<ConfigurationState>[] = [];
  private readonly zones = new Map<string, Operation<boolean>[]>();
  private faultWindows: { from: number; to: number }[] = [{ from: 0, to: 3000 }];
  private acknowledgementListeners = new Set<(name: string) => void>(); // called with the node that acknowledged a change
  private readonly lostNodes = new Set<string>();
  private stopped = false;
  private added = 0;
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
  private isCalm = (from: number, to: number): boolean =>
    !this.faultWindows.some((each) => each.from < to && each.to + bounds.contactMs > from);

  /** One request to a control node that runs, on a connection of its own; undefined where no response came. */
  private *call(method: string, path: string, body: unknown, ifVersion: number): Task<Response | undefined> {
    const node = this.pick(this.fleet.names("control"));
    const { env } = this.fleet.operator;
    const text = body === undefined ? undefined : JSON.stringify(body);
    const response = yield* env.http(this.fleet.settings.get(node)!.http, {
      method,
      path,
      body: text,
      headers: { "if-match": String(ifVersion) },
      timeoutMs: 1000,
      fresh: true,
    });
    if (!response.ok) return undefined;
    const received = yield* EnvironmentTools.bodyOf(env, response.value, 8_000_000, 1000);
    if (received === undefined) return undefined;
    return { status: response.value.status, body: JSON.parse(received) as ConfigurationBody, node };
  }
  /** Whether a response is lost on its way to the operator. */
  private isResponseLost = (): boolean => this.withOrders && this.random() < lostResponseShare;
  /** An operator who drains and undrains a zone in turn, and retries each order at any node until it is acknowledged. */
  private *zoneOperator(zone: string): Task<void> {
    const { world, operator } = this.fleet;
    const path = `/v1/districts/${zone}/drain`;
    const history = this.zoneHistory(zone);
    for (let drains = true; !this.stopped; drains = !drains) {
      yield* EnvironmentTools.sleep(operator.env, 300 + this.random() * 5000);
      const begin = world.now;
      let acknowledged = false;
      while (!acknowledged && world.now - begin < orderBounds.resendMs && !this.stopped) {
        const response = yield* this.call(drains ? "POST" : "DELETE", path, undefined, 0);
        const seen = this.isResponseLost() ? undefined : response;
        acknowledged = seen?.status === 200;
        if (seen && seen.status >= 400 && seen.status < 500)
          this.violations.push(`an order for ${zone} was refused with ${seen.status} at ${world.now.toFixed(0)}`);
        if (!acknowledged) yield* EnvironmentTools.sleep(operator.env, 50 + this.random() * 300);
      }
      const end = acknowledged ? world.now : world.now + orderBounds.takenMs;
      history.push(ControlHistory.order(drains ? "drain" : "undrain", begin, end, acknowledged));
    }
  }
  private zoneHistory(zone: string): Operation<boolean>[] {
    const history = this.zones.get(zone) ?? [];
    this.zones.set(zone, history);
    return history;
  }
  /** Records which zones are drained by the state of a leader with its lease. */
  private sampleZones(): void {
    const leader = this.fleet.leader();
    if (!leader || this.fleet.world.processes.get(leader)?.frozen) return;
    const { drained } = this.fleet.control(leader)!.group.state;
    for (const [zone, history] of this.zones) {
      const seen = ControlHistory.drained(drained.includes(zone), this.fleet.world.now);
      history.push(seen);
    }
  }
  private *watchZones(): Task<void> {
    while (!this.stopped) {
      yield* EnvironmentTools.sleep(this.fleet.operator.env, 500);
      this.sampleZones();
    }
  }
  /** An operator who reads the configuration, changes what was read, and retries the change until its outcome is known. */
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
      const patch = this.random() < 0.5;
      const body = patch ? { version, upsert: { bindings: { mark: route } } } : { version, bindings: { mark: route } };
      const sent: SentChange = { mark, ifVersion, version, outcome: "unknown", at: world.now, endedAt: Infinity };
      this.changes.push(sent);
      for (
        let pause = 50;
        sent.outcome === "unknown" && world.now - sent.at < 15_000 && !this.stopped;
        pause = Math.min(800, pause * 2)
      ) {
        const received = yield* this.call(patch ? "PATCH" : "PUT", "/v1/manifest", body, ifVersion);
        const response = this.isResponseLost() ? undefined : received;
        if (response?.status === 200 && response.body.version === version) {
          sent.outcome = "acknowledged";
          sent.endedAt = world.now;
          for (const act of [...this.acknowledgementListeners]) act(response.node);
        } else if (response && response.status >= 400 && response.status < 500) {
          sent.outcome = "refused";
          sent.endedAt = world.now;
        } else yield* EnvironmentTools.sleep(this.fleet.operator.env, pause);
      }
    }
  }
  /** Checks what is in force at each node: it never goes back while a process runs, and acknowledged changes reach all in time. */
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
        const made = this.changes.find((each) => path === `/${each.mark}`);
        if (made?.outcome === "refused") this.violations.push(`${name} has ${made.mark}, which was refused`);
        const due = this.changes.filter(
          (each) => each.outcome === "acknowledged" && now - each.endedAt > bounds.applyMs && each.version > version,
        );
        if (due.length > 0 && this.isCalm(due[0].endedAt, now))
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
  /** Checks all that operators saw, as one history of the configuration and one of each zone. */
  private checkHistories(): void {
    const changes = this.changes.map((each) =>
      ControlHistory.change(each.mark, each.at, each.endedAt, each.ifVersion, each.version, each.outcome),
    );
    this.checkHistory("the configuration", ControlHistory.configurations([...changes, ...this.reads]));
    for (const [zone, history] of this.zones) this.checkHistory(`zone ${zone}`, ControlHistory.zone(history));
  }
  private checkHistory(what: string, verdict: Judged): void {
    if (verdict.tag === "linearizable") return;
    this.violations.push(
      `the history of ${what} has no order: after ${verdict.reached.join("; ")} none of ${verdict.stuck.join("; ")}`,
    );
  }
  private log(act: string): void {
    this.acts.push(`${this.fleet.world.now.toFixed(0)} ${act}`);
  }
  /** The preferred node or another, of those that are not lost. */
  private chooseNode(preferred: string | undefined): string {
    const available = this.fleet.names("control").filter((name) => !this.lostNodes.has(name));
    return preferred && available.includes(preferred) && this.random() < 0.5 ? preferred : this.pick(available);
  }
  /** Waits for the next acknowledged change, and up to 4 ms more; false if none came. */
  private async nextAcknowledgement(act: (node: string) => void, withinMs: number): Promise<boolean> {
    let isAcknowledged = false;
    const listener = (node: string): void => {
      this.acknowledgementListeners.delete(listener);
      act(node);
      isAcknowledged = true;
    };
    this.acknowledgementListeners.add(listener);
    for (const until = this.fleet.world.now + withinMs; !isAcknowledged && this.fleet.world.now < until;)
      await this.fleet.run(this.random() * 4);
    this.acknowledgementListeners.delete(listener);
    return isAcknowledged;
  }
  /** A control node is lost in some way, and comes back in some way. */
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
    this.log(`${kind} ${name} for ${forMs.toFixed(0)}`);
    switch (kind) {
      case "kill":
        fleet.kill(name);
        break;
      case "power":
      case "power after ack":
      case "wipe":
      case "wipe after ack":
      case "replace":
        fleet.kill(name, true);
        break;
      case "freeze":
        world.processes.get(name)!.freeze();
        break;
      case "cut":
      case "deaf":
        world.isolate([name], kind === "cut" ? "both" : "in");
        break;
      case "stop":
        await fleet.terminate(name);
        break;
      default: {
        const never: never = kind;
        throw new Error(never);
      }
    }
    await fleet.run(forMs);
    if (kind === "freeze") world.processes.get(name)!.wake();
    else if (kind === "cut" || kind === "deaf") world.heal();
    else if (kind === "replace") {
      fleet.settings.delete(name);
      fleet.addMachine(fleet.names("control")[0], `control-${10 + (this.added += 1)}`);
    } else
      fleet.restart(name, {
        withEmptyDisk: kind.startsWith("wipe"),
        atNewAddress: kind === "power" && this.random() < 0.3,
      });
    fleet.updateSeeds(Math.floor(this.random() * 9));
    window.to = world.now;
    await fleet.run(bounds.syncMs);
    this.lostNodes.delete(name);
    await fleet.run(this.random() * 3000);
  }
  /** All lose power, and as many as the settings tolerate lose their disks; gives the time until the configuration can be read, ms. */
  private async loseAllPower(): Promise<number> {
    const { fleet } = this;
    await fleet.run(3000);
    if (!(await this.nextAcknowledgement(() => undefined, 10_000)))
      this.violations.push("no change was acknowledged before the closing fault");
    this.stopped = true;
    for (const name of [...fleet.settings.keys()]) fleet.kill(name, true);
    this.log("all lost power");
    await fleet.run(1000);
    const wiped = new Set<string>();
    while (wiped.size < this.losses) wiped.add(this.pick(fleet.names("control")));
    const from = fleet.world.now;
    for (const name of [...fleet.settings.keys()]) fleet.restart(name, { withEmptyDisk: wiped.has(name) });
    this.log(`back, ${[...wiped].join(" and ")} empty`);
    const back = await fleet.until(async () => (await fleet.send("GET", "/v1/manifest")).status === 200, 15_000, 50);
    return back === undefined ? Infinity : fleet.world.now - from;
  }
  private checkFinalRead(read: ConfigurationBody | undefined): void {
    const acknowledged = this.changes.filter((each) => each.outcome === "acknowledged");
    for (const one of acknowledged)
      if (acknowledged.some((other) => other !== one && other.ifVersion === one.ifVersion))
        this.violations.push(`two changes on ${one.ifVersion} were acknowledged`);
    const newest = Math.max(0, ...acknowledged.map((each) => each.version));
    if (!read) return void this.violations.push("the manifest does not come");
    const made = this.changes.find((each) => read.doc.bindings.mark?.path === `/${each.mark}`);
    if (read.version < newest) this.violations.push(`read back ${read.version}, ${newest} was acknowledged`);
    if (read.version > 0 && made?.version !== read.version)
      this.violations.push(`${read.version} isn't what was sent under its number`);
    if (made?.outcome === "refused") this.violations.push(`${made.mark} is in force, and was refused`);
    for (const each of this.changes) {
      const endedAt = Math.min(each.endedAt, this.fleet.world.now);
      if (this.isCalm(each.at, endedAt) && endedAt - each.at > bounds.ackMs)
        this.violations.push(
          `${each.mark} sent at ${each.at.toFixed(0)} had no answer for ${(endedAt - each.at).toFixed(0)} ms in a calm time`,
        );
    }
  }
  /** Plays the campaign with so many faults in a row. @example await campaign.run(4) */
  async run(faults: number): Promise<CampaignResult> {
    const { fleet } = this;
    const campaign = this;
    await fleet.run(3000);
    for (const name of ["ann", "bea"]) Csp.go(fleet.operator.scope, name, () => campaign.operator(name));
    Csp.go(fleet.operator.scope, "watch", () => campaign.watchConfiguration());
    if (this.withOrders) {
      for (const [name, zone] of Object.entries(zoneOperators))
        Csp.go(fleet.operator.scope, name, () => campaign.zoneOperator(zone));
      Csp.go(fleet.operator.scope, "watch zones", () => campaign.watchZones());
    }
    await fleet.run(2000);
    const faultSequences = Array.from({ length: this.losses }, async () => {
      for (let at = 0; at < faults; at += 1) await this.injectFault(this.pick(faultKinds));
    });
    await Promise.all(faultSequences);
    const backAfterMs = await this.loseAllPower();
    if (backAfterMs > bounds.backMs) this.violations.push(`the manifest came back after ${backAfterMs.toFixed(0)} ms`);
    const readAt = fleet.world.now;
    const read = await fleet.send("GET", "/v1/manifest");
    const body = read.status === 200 ? (read.body as ConfigurationBody) : undefined;
    this.checkFinalRead(body);
    if (body) this.recordRead(body, readAt);
    if (this.withOrders) {
      await fleet.run(orderBounds.takenMs);
      this.sampleZones();
    }
    this.checkHistories();
    const calm = this.changes
      .filter((each) => each.endedAt < Infinity && this.isCalm(each.at, each.endedAt))
      .map((each) => each.endedAt - each.at);
    const acknowledged = this.changes.filter((each) => each.outcome === "acknowledged").length;
    this.violations.push(...fleet.close());
    return {
      violations: this.violations,
      acknowledged,
      injectedFaults: this.acts,
      slowestAckMs: Math.max(0, ...calm),
      backAfterMs,
    };
  }
}
export const OperatorRaceCampaign = {
  /** Plays one campaign in virtual time. @example await OperatorRaceCampaign.run(7, { controls: 4, losses: 1 }) */
  run: (seed: number, options: CampaignOptions): Promise<CampaignResult> =>
    new Campaign(seed, options.losses, options.controls, options.orders).run(options.faults ?? 4),
};
