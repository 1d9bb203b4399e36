import { ConfigurationPatch } from "../../controlState/configurationPatch";
import { ControlSnapshot } from "../../controlState/controlSnapshot";
import { ControlState } from "../../controlState/controlState";
import { Csp } from "../../runtime/csp";
import { SimDisk } from "../../simulation/simDisk";
import { SimWorld } from "../../simulation/simWorld";
import { LightweightMember } from "./lightweightMember";
import { Counts, Meter } from "./meter";

export type SimulatedMembershipPlan = {
  members: number;
  endpoints: number;
  zones: number;
  regions: number;
  seed: number;
};
type PlacedMember = { name: string; zone: number; region: number; meter: Meter; member: LightweightMember | undefined };
const hasStarted = (each: PlacedMember): each is PlacedMember & { member: LightweightMember } =>
  each.member !== undefined;

/**
 * Lightweight members (membership and gossip without traffic) in virtual time, spread over zones and regions, their messages and bytes counted.
 *
 * @example
 * const membership = new SimulatedMembership({ members: 60, replicas: 17, zones: 25, regions: 7, seed: 1 });
 * await membership.boot(60_000);
 */
export class SimulatedMembership {
  readonly world: SimWorld;
  readonly placedMembers: PlacedMember[] = [];
  suspicions = 0;
  private readonly meters = new Map<string, Meter>();
  constructor(readonly plan: SimulatedMembershipPlan) {
    this.world = new SimWorld(plan.seed, (line) => {
      if (line.includes(" PB1102")) this.suspicions += 1;
    });
    this.world.wrapEnvironment = (env) => {
      const meter = new Meter();
      this.meters.set(env.name, meter);
      return meter.around(env);
    };
  }
  private address = (at: number): string => `10.${at >> 8}.${at & 255}.1:7000`;
  /** Starts all; how long until each knows each, or undefined if not in time. @example await membership.boot(60_000) */
  async boot(withinMs: number): Promise<number | undefined> {
    const { members, endpoints: endpoints, zones, regions } = this.plan;
    const seeds = [0, 1, 2].filter((at) => at < members).map(this.address);
    for (let at = 0; at < members; at += 1) {
      const zone = at % zones;
      const [name, place] = [`hollow-${at + 1}`, this.address(at)];
      const process = this.world.start(name, new SimDisk(this.world));
      const placed: PlacedMember = {
        name,
        zone,
        region: zone % regions,
        meter: this.meters.get(name)!,
        member: undefined,
      };
      this.placedMembers.push(placed);
      Csp.go(process.scope, "main", function* () {
        const settings = {
          program: at < 3 ? ("control" as const) : ("agent" as const),
          district: `r${placed.region}-z${zone}`,
          address: place,
          seeds,
        };
        const started = yield* LightweightMember.start(process.env, settings);
        if (started.ok) placed.member = started.value;
      });
    }
    const took = await this.runUntil(
      withinMs,
      () =>
        this.runningMembers().length === members &&
        this.runningMembers().every((each) => each.otherMemberCount() === members - 1),
    );
    for (const [at, each] of this.placedMembers.filter(hasStarted).entries()) {
      const ids = Array.from({ length: endpoints }, (_none, endpoint) => endpoint)
        .filter((endpoint) => endpoint % members === at)
        .map((endpoint) => `replica-${endpoint}`);
      if (ids.length > 0) each.member.announce(ids, `r${each.region}-z${each.zone}`);
    }
    return took;
  }
  /** Members whose processes run. @example membership.alive().length */
  runningMembers(): LightweightMember[] {
    return this.placedMembers
      .filter(hasStarted)
      .filter((each) => this.world.processes.get(each.name)!.alive)
      .map((each) => each.member);
  }
  /** Lets time pass until something holds; how long it took. @example await membership.until(5000, () => true) */
  async runUntil(withinMs: number, reached: () => boolean, stepMs = 10): Promise<number | undefined> {
    const from = this.world.now;
    while (!reached()) {
      if (this.world.now - from >= withinMs) return undefined;
      await this.world.run(stepMs);
    }
    return this.world.now - from;
  }
  /** What all members did over so long, a member and second. @example (await membership.over(10_000)).bytes */
  async measureRates(ms: number): Promise<Counts> {
    const before = this.placedMembers.map((each) => each.meter.copy());
    await this.world.run(ms);
    const spent = Meter.sum(this.placedMembers.map((each, at) => each.meter.since(before[at])));
    const members = this.runningMembers().length;
    return Object.fromEntries(
      Object.entries(spent).map(([name, value]) => [name, value / members / (ms / 1000)]),
    ) as Counts;
  }
  /** Ends the members that are chosen; how long until all others know. @example await membership.killMembers((each) => each.zone === 3, 20_000) */
  async killMembers(
    chosen: (each: PlacedMember) => boolean,
    withinMs: number,
  ): Promise<{ lost: number; tookMs: number | undefined }> {
    const lost = this.placedMembers.filter(chosen);
    const ids = lost.map((each) => each.member!.node.self.id);
    for (const each of lost) this.world.kill(each.name, true);
    const known = (): boolean =>
      this.runningMembers().every((member) =>
        ids.every((id) => (member.node.membership.find(id)?.state ?? "dead") === "dead"),
      );
    return { lost: lost.length, tookMs: await this.runUntil(withinMs, known) };
  }
  /** Cuts two regions from each other. @example membership.cutRegions(0, 1); */
  cutRegions(left: number, right: number): void {
    const of = (region: number): PlacedMember[] => this.placedMembers.filter((each) => each.region === region);
    for (const one of of(left))
      for (const other of of(right)) {
        this.world.partition(one.name, other.name);
        this.world.partition(other.name, one.name);
      }
  }
  /** Offers a control snapshot with that many routes at one member; how long until all have it. @example await membership.spread(1000, 2, 10_000) */
  async spread(routes: number, index: number, withinMs: number): Promise<number | undefined> {
    this.runningMembers()[0].node.gossip.offerSnapshot(SimulatedMembership.snapshot(routes, index));
    return this.inForce(index, withinMs);
  }
  /** The same for a change of one route of the previous snapshot. @example await membership.spreadChange(3, 10_000) */
  async spreadChange(index: number, withinMs: number): Promise<number | undefined> {
    const { gossip: news } = this.runningMembers()[0].node;
    const snapshot = news.snapshot!;
    const changed = { ...SimulatedMembership.route(0), deadlineMs: 10_000 + index };
    const doc = ConfigurationPatch.apply(snapshot.manifest.doc, {
      upsert: { bindings: { "tenant-0": changed } },
      remove: {},
    });
    news.offerSnapshot({ ...snapshot, index, manifest: { version: index, doc } });
    return this.inForce(index, withinMs);
  }
  private inForce(index: number, withinMs: number): Promise<number | undefined> {
    return this.runUntil(withinMs, () =>
      this.runningMembers().every((member) => (member.node.gossip.snapshot?.index ?? 0) >= index),
    );
  }
  /** A control snapshot with that many routes. @example SimulatedMembership.snapshot(12_000, 7) */
  static snapshot(routes: number, index: number): ControlSnapshot {
    const state = ControlState.empty();
    state.group = "group-scale";
    const doc = {
      bindings: Object.fromEntries(
        Array.from({ length: routes }, (_none, at) => [`tenant-${at}`, SimulatedMembership.route(at)]),
      ),
    };
    state.manifest = { version: index, doc };
    return ControlSnapshot.of(state, index);
  }
  /** @example SimulatedMembership.route(7).pool */
  static route(at: number): ControlSnapshot["manifest"]["doc"]["bindings"][string] {
    return {
      kind: "stream",
      pool: `pool-${at % 9}`,
      path: `/t/${at}`,
      safe: true,
      deadlineMs: 15_000,
      continues: "exact",
      prefixBytes: 512,
      host: `tenant-${at}.example`,
      prefix: "/v1/",
    };
  }
  /** Ends everything. @example membership.end(); */
  end(): void {
    for (const name of [...this.world.processes.keys()]) this.world.kill(name);
  }
}
