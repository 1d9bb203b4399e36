import { Csp, Task } from "../src/runtime/csp";
import { EnvTools } from "../src/runtime/env";
import { ControlFleet } from "./controlFleet";
import { ConfigurationState, ControlHistory, Judged, Operation } from "./controlHistory";

type Sent = {
  mark: string;
  ifVersion: number;
  version: number;
  outcome: "acknowledged" | "refused" | "unknown";
  at: number;
  endedAt: number;
};
export type CampaignResult = {
  violations: string[];
  acknowledged: number;
  acts: string[];
  slowestAckMs: number;
  backAfterMs: number;
};
/** The bounds that the users set, ms: a returned machine counts as lost for so long; calm so long after trouble; and so on. */
const bounds = { syncMs: 4700, contactMs: 3000, ackMs: 4000, applyMs: 2000, backMs: 4000 };
const kinds = [
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
type Kind = (typeof kinds)[number];
type How = { controls: number; losses: number; troubles?: number; orders?: boolean };
/** Operators of zones: two of them meet in one zone. */
const zoneOperators = { cyd: "north", dot: "east", eve: "north" } as const;
/** Orders are sent again for so long; one without an answer may be appended so long after, and committed by a later lead. */
const orderBounds = { resendMs: 4000, takenMs: 16_000 };
const lostAnswerShare = 0.15;

/**
 * Two operators change a manifest while control machines are lost, as many at a time as must be borne; then all
 * lose power, one its disk. What was acknowledged must stand, and no change that lost its race or was refused.
 *
 * @example
 * const result = await OperatorRaceCampaign.run(7, { controls: 4, losses: 1 });
 * expect(result.violations).toEqual([]);
 */
class Campaign {
  readonly fleet: ControlFleet;
  readonly sent: Sent[] = [];
  readonly acts: string[] = [];
  readonly violations: string[] = [];
  private readonly reads: Operation<ConfigurationState>[] = [];
  private readonly zones = new Map<string, Operation<boolean>[]>();
  private troubled: { from: number; to: number }[] = [{ from: 0, to: 3000 }];
  private armed = new Set<(name: string) => void>(); // told of the next acknowledgement
  private lost = new Set<string>();
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
  private settled = (from: number, to: number): boolean =>
    !this.troubled.some((each) => each.from < to && each.to + bounds.contactMs > from);

  /** One call to one control member that runs, on a connection of its own. */
  private *call(
    method: string,
    path: string,
    body: unknown,
    ifVersion: number,
  ): Task<{ status: number; body: any; node: string } | undefined> {
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
    const got = yield* EnvTools.bodyOf(env, response.value, 8_000_000, 1000);
    return got === undefined ? undefined : { status: response.value.status, body: JSON.parse(got), node };
  }
  /** Answers that get lost on their way, where orders are result: the caller sees none. */
  private answerLost = (): boolean => this.withOrders && this.random() < lostAnswerShare;
  /** An operator of a zone: drains it and gives it back, and sends each order again, to any member, until it is answered. */
  private *zoneOperator(zone: string): Task<void> {
    const { world, operator } = this.fleet;
    const path = `/v1/districts/${zone}/drain`;
    const history = this.zoneHistory(zone);
    for (let drains = true; !this.stopped; drains = !drains) {
      yield* EnvTools.sleep(operator.env, 300 + this.random() * 5000);
      const begin = world.now;
      let acknowledged = false;
      while (!acknowledged && world.now - begin < orderBounds.resendMs && !this.stopped) {
        const said = yield* this.call(drains ? "POST" : "DELETE", path, undefined, 0);
        const seen = this.answerLost() ? undefined : said;
        acknowledged = seen?.status === 200;
        if (seen && seen.status >= 400 && seen.status < 500)
          this.violations.push(`an order for ${zone} was refused with ${seen.status} at ${world.now.toFixed(0)}`);
        if (!acknowledged) yield* EnvTools.sleep(operator.env, 50 + this.random() * 300);
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
  /** What the lead holds of the zones, while its lease stands. */
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
      yield* EnvTools.sleep(this.fleet.operator.env, 500);
      this.sampleZones();
    }
  }
  /** An operator: reads, changes what it read, asks again unchanged until the answer is clear. */
  private *operator(name: string): Task<void> {
    const { world } = this.fleet;
    for (let turn = 0; !this.stopped; turn += 1) {
      yield* EnvTools.sleep(this.fleet.operator.env, 200 + this.random() * 900);
      const readAt = world.now;
      const read = yield* this.call("GET", "/v1/manifest", undefined, 0);
      if (read?.status !== 200) continue;
      this.noteRead(read.body, readAt);
      const [ifVersion, version, mark] = [
        read.body.version as number,
        read.body.version + 1 + Math.floor(this.random() * 3),
        `${name}-${turn}`,
      ];
      const route = { kind: "lookup", pool: "p", path: `/${mark}` };
      const patch = this.random() < 0.5;
      const body = patch ? { version, upsert: { bindings: { mark: route } } } : { version, bindings: { mark: route } };
      const sent: Sent = { mark, ifVersion, version, outcome: "unknown", at: world.now, endedAt: Infinity };
      this.sent.push(sent);
      for (
        let pause = 50;
        sent.outcome === "unknown" && world.now - sent.at < 15_000 && !this.stopped;
        pause = Math.min(800, pause * 2)
      ) {
        const answered = yield* this.call(patch ? "PATCH" : "PUT", "/v1/manifest", body, ifVersion);
        const said = this.answerLost() ? undefined : answered;
        if (said?.status === 200 && said.body.version === version) {
          sent.outcome = "acknowledged";
          sent.endedAt = world.now;
          for (const act of [...this.armed]) act(said.node);
        } else if (said && said.status >= 400 && said.status < 500) {
          sent.outcome = "refused";
          sent.endedAt = world.now;
        } else yield* EnvTools.sleep(this.fleet.operator.env, pause);
      }
    }
  }
  /** What is in force where: never back within one life, and everywhere in time. */
  private *watch(): Task<void> {
    const seen = new Map<object, number>();
    for (;;) {
      yield* EnvTools.sleep(this.fleet.operator.env, 50);
      const { now } = this.fleet.world;
      for (const [name, running] of this.fleet.running) {
        const { node } = running as unknown as {
          node: {
            snapshot(): {
              control?: { manifest: { version: number; doc: { bindings: Record<string, { path: string }> } } };
            };
          };
        };
        const control = node.snapshot().control;
        const version = control?.manifest.version ?? 0;
        if (version < (seen.get(running) ?? 0)) this.violations.push(`${name} went back to ${version}`);
        seen.set(running, version);
        const path = control?.manifest.doc.bindings.mark?.path;
        const made = this.sent.find((each) => path === `/${each.mark}`);
        if (made?.outcome === "refused") this.violations.push(`${name} has ${made.mark}, which was refused`);
        const due = this.sent.filter(
          (each) => each.outcome === "acknowledged" && now - each.endedAt > bounds.applyMs && each.version > version,
        );
        if (due.length > 0 && this.settled(due[0].endedAt, now))
          this.violations.push(
            `${name} has ${version} at ${now.toFixed(0)}, ${due[0].version} was acknowledged at ${due[0].endedAt.toFixed(0)}`,
          );
      }
      if (this.violations.length > 5) this.violations.length = 5;
    }
  }
  private noteRead(
    body: { version: number; doc: { bindings: Record<string, { path: string }> } },
    begin: number,
  ): void {
    const mark = body.doc.bindings.mark?.path.slice(1) ?? "";
    this.reads.push(ControlHistory.read(mark, begin, this.fleet.world.now, body.version));
  }
  /** All that operators saw, as one history of the configuration and one of each zone. */
  private judgeHistories(): void {
    const changes = this.sent.map((each) =>
      ControlHistory.change(each.mark, each.at, each.endedAt, each.ifVersion, each.version, each.outcome),
    );
    this.judgeOne("the configuration", ControlHistory.configurations([...changes, ...this.reads]));
    for (const [zone, history] of this.zones) this.judgeOne(`zone ${zone}`, ControlHistory.zone(history));
  }
  private judgeOne(what: string, judged: Judged): void {
    if (judged.tag === "linearizable") return;
    this.violations.push(
      `the history of ${what} has no order: after ${judged.reached.join("; ")} none of ${judged.stuck.join("; ")}`,
    );
  }
  private note(act: string): void {
    this.acts.push(`${this.fleet.world.now.toFixed(0)} ${act}`);
  }
  /** The given machine or another, of those that are not lost. */
  private victim(likely: string | undefined): string {
    const standing = this.fleet.names("control").filter((name) => !this.lost.has(name));
    return likely && standing.includes(likely) && this.random() < 0.5 ? likely : this.pick(standing);
  }
  /** Waits for the next acknowledgement, and up to 4 ms more; false if none came. */
  private async acknowledgement(act: (node: string) => void, withinMs: number): Promise<boolean> {
    let told = false;
    const tell = (node: string): void => {
      this.armed.delete(tell);
      act(node);
      told = true;
    };
    this.armed.add(tell);
    for (const until = this.fleet.world.now + withinMs; !told && this.fleet.world.now < until;)
      await this.fleet.run(this.random() * 4);
    this.armed.delete(tell);
    return told;
  }
  /** A control machine is lost in some way, and comes back in some way. */
  private async trouble(kind: Kind): Promise<void> {
    const { fleet } = this;
    const { world } = fleet;
    let name = this.victim(fleet.leader());
    const forMs = 300 + this.random() * 4000;
    const window = { from: world.now, to: Infinity };
    if (kind.endsWith("after ack")) {
      const acknowledged = await this.acknowledgement((node) => void this.lost.add((name = this.victim(node))), 6000);
      if (!acknowledged) return;
      window.from = world.now - 20;
    }
    this.lost.add(name);
    this.troubled.push(window);
    this.note(`${kind} ${name} for ${forMs.toFixed(0)}`);
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
        world.cutOff([name], kind === "cut" ? "both" : "in");
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
      fleet.add(fleet.names("control")[0], `control-${10 + (this.added += 1)}`);
    } else fleet.restart(name, { empty: kind.startsWith("wipe"), moved: kind === "power" && this.random() < 0.3 });
    fleet.reseed(Math.floor(this.random() * 9));
    window.to = world.now;
    await fleet.run(bounds.syncMs);
    this.lost.delete(name);
    await fleet.run(this.random() * 3000);
  }
  /** The end of the day: as many as may be lost lose their disks, the others lose power. */
  private async close(): Promise<number> {
    const { fleet } = this;
    await fleet.run(3000);
    if (!(await this.acknowledgement(() => undefined, 10_000)))
      this.violations.push("no change was acknowledged before the closing fault");
    this.stopped = true;
    for (const name of [...fleet.settings.keys()]) fleet.kill(name, true);
    this.note("all lost power");
    await fleet.run(1000);
    const wiped = new Set<string>();
    while (wiped.size < this.losses) wiped.add(this.pick(fleet.names("control")));
    const from = fleet.world.now;
    for (const name of [...fleet.settings.keys()]) fleet.restart(name, { empty: wiped.has(name) });
    this.note(`back, ${[...wiped].join(" and ")} empty`);
    const back = await fleet.until(async () => (await fleet.ask("GET", "/v1/manifest")).status === 200, 15_000, 50);
    return back === undefined ? Infinity : fleet.world.now - from;
  }
  private judge(read: { version: number; doc: { bindings: Record<string, { path: string }> } } | undefined): void {
    const acknowledged = this.sent.filter((each) => each.outcome === "acknowledged");
    for (const one of acknowledged)
      if (acknowledged.some((other) => other !== one && other.ifVersion === one.ifVersion))
        this.violations.push(`two changes on ${one.ifVersion} were acknowledged`);
    const newest = Math.max(0, ...acknowledged.map((each) => each.version));
    if (!read) return void this.violations.push("the manifest does not come");
    const made = this.sent.find((each) => read.doc.bindings.mark?.path === `/${each.mark}`);
    if (read.version < newest) this.violations.push(`read back ${read.version}, ${newest} was acknowledged`);
    if (read.version > 0 && made?.version !== read.version)
      this.violations.push(`${read.version} isn't what was sent under its number`);
    if (made?.outcome === "refused") this.violations.push(`${made.mark} is in force, and was refused`);
    for (const each of this.sent) {
      const endedAt = Math.min(each.endedAt, this.fleet.world.now);
      if (this.settled(each.at, endedAt) && endedAt - each.at > bounds.ackMs)
        this.violations.push(
          `${each.mark} sent at ${each.at.toFixed(0)} had no answer for ${(endedAt - each.at).toFixed(0)} ms in a calm time`,
        );
    }
  }
  async run(troubles: number): Promise<CampaignResult> {
    const { fleet } = this;
    const campaign = this;
    await fleet.run(3000);
    for (const name of ["ann", "bea"]) Csp.go(fleet.operator.scope, name, () => campaign.operator(name));
    Csp.go(fleet.operator.scope, "watch", () => campaign.watch());
    if (this.withOrders) {
      for (const [name, zone] of Object.entries(zoneOperators))
        Csp.go(fleet.operator.scope, name, () => campaign.zoneOperator(zone));
      Csp.go(fleet.operator.scope, "watch zones", () => campaign.watchZones());
    }
    await fleet.run(2000);
    const days = Array.from({ length: this.losses }, async () => {
      for (let at = 0; at < troubles; at += 1) await this.trouble(this.pick(kinds));
    });
    await Promise.all(days);
    const backAfterMs = await this.close();
    if (backAfterMs > bounds.backMs) this.violations.push(`the manifest came back after ${backAfterMs.toFixed(0)} ms`);
    const readAt = fleet.world.now;
    const read = await fleet.ask("GET", "/v1/manifest");
    this.judge(read.status === 200 ? read.body : undefined);
    if (read.status === 200) this.noteRead(read.body, readAt);
    if (this.withOrders) {
      await fleet.run(orderBounds.takenMs);
      this.sampleZones();
    }
    this.judgeHistories();
    const calm = this.sent
      .filter((each) => each.endedAt < Infinity && this.settled(each.at, each.endedAt))
      .map((each) => each.endedAt - each.at);
    const acknowledged = this.sent.filter((each) => each.outcome === "acknowledged").length;
    this.violations.push(...fleet.close());
    return {
      violations: this.violations,
      acknowledged,
      acts: this.acts,
      slowestAckMs: Math.max(0, ...calm),
      backAfterMs,
    };
  }
}
export const OperatorRaceCampaign = {
  run: (seed: number, how: How): Promise<CampaignResult> =>
    new Campaign(seed, how.losses, how.controls, how.orders).run(how.troubles ?? 4),
};
