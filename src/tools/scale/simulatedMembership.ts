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
/** A member and the place of its process; `member` is undefined until it has started. */
type PlacedMember = { name: string; zone: number; region: number; meter: Meter; member: LightweightMember | undefined };
const hasStarted = (placed: PlacedMember): placed is PlacedMember & { member: LightweightMember } =>
  placed.member !== undefined;

/**
 * Lightweight members (membership and gossip without traffic) in virtual time, spread over zones and regions; their messages
 * and bytes are counted.
 *
 * @example
 * const membership = new SimulatedMembership({ members: 60, endpoints: 17, zones: 25, regions: 7, seed: 1 });
 * await membership.boot(60_000);
 */
export class SimulatedMembership {
  readonly world: SimWorld;
  readonly placedMembers: PlacedMember[] = [];
  suspicions = 0;
  private readonly meters = new Map<string, Meter>();
  constructor(readonly plan: SimulatedMembershipPlan) {
    // PB1102 is the log event of a member that becomes suspected.
    this.world = new SimWorld(plan.seed, (line) => {
      if (line.includes(" PB1102")) this.suspicions += 1;
    });
    this.world.wrapEnvironment = (env) => {
      const meter = new Meter();
      this.meters.set(env.name, meter);
      return meter.wrap(env);
    };
  }
  private address = (index: number): string => `10.${index >> 8}.${index & 255}.1:7000`;
  /**
   * Starts all members and, once they know each other or the time is over, the announcements of the endpoints. Returns the
   * time until every member knew every other, undefined if that exceeds the time.
   */
  async boot(withinMs: number): Promise<number | undefined> {
    const { members, endpoints, zones, regions } = this.plan;
    const seeds = [0, 1, 2].filter((index) => index < members).map(this.address);
    for (let index = 0; index < members; index += 1) {
      const zone = index % zones;
      const [name, address] = [`hollow-${index + 1}`, this.address(index)];
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
          program: index < 3 ? ("control" as const) : ("agent" as const),
          district: `r${placed.region}-z${zone}`,
          address,
          seeds,
        };
        const started = yield* LightweightMember.start(process.env, settings);
        if (started.ok) placed.member = started.value;
      });
    }
    const tookMs = await this.runUntil(
      withinMs,
      () =>
        this.runningMembers().length === members &&
        this.runningMembers().every((member) => member.otherMemberCount() === members - 1),
    );
    for (const [index, placed] of this.placedMembers.filter(hasStarted).entries()) {
      const ids = Array.from({ length: endpoints }, (_none, endpoint) => endpoint)
        .filter((endpoint) => endpoint % members === index)
        .map((endpoint) => `replica-${endpoint}`);
      if (ids.length > 0) placed.member.announce(ids, `r${placed.region}-z${placed.zone}`);
    }
    return tookMs;
  }
  /** Members whose processes run. */
  runningMembers(): LightweightMember[] {
    return this.placedMembers
      .filter(hasStarted)
      .filter((placed) => this.world.processes.get(placed.name)!.alive)
      .map((placed) => placed.member);
  }
  /** Runs until the condition holds; returns the time that took, undefined if it exceeds the limit. */
  async runUntil(withinMs: number, isReached: () => boolean, stepMs = 10): Promise<number | undefined> {
    const startedAt = this.world.now;
    while (!isReached()) {
      if (this.world.now - startedAt >= withinMs) return undefined;
      await this.world.run(stepMs);
    }
    return this.world.now - startedAt;
  }
  /** Runs for so long; returns the counts of all members per running member and second. */
  async measureRates(ms: number): Promise<Counts> {
    const before = this.placedMembers.map((placed) => placed.meter.copy());
    await this.world.run(ms);
    const counts = Meter.sum(this.placedMembers.map((placed, index) => placed.meter.since(before[index])));
    const members = this.runningMembers().length;
    return Object.fromEntries(
      Object.entries(counts).map(([name, value]) => [name, value / members / (ms / 1000)]),
    ) as Counts;
  }
  /**
   * Kills the selected members with loss of power; returns how many these are and the time until all others consider them
   * dead, undefined if that exceeds the limit.
   */
  async killMembers(
    isSelected: (placed: PlacedMember) => boolean,
    withinMs: number,
  ): Promise<{ lost: number; tookMs: number | undefined }> {
    const lost = this.placedMembers.filter(isSelected);
    const ids = lost.map((placed) => placed.member!.node.self.id);
    for (const placed of lost) this.world.kill(placed.name, true);
    const isKnown = (): boolean =>
      this.runningMembers().every((member) =>
        ids.every((id) => (member.node.membership.find(id)?.state ?? "dead") === "dead"),
      );
    return { lost: lost.length, tookMs: await this.runUntil(withinMs, isKnown) };
  }
  /** Partitions two regions from each other in both directions. */
  partitionRegions(left: number, right: number): void {
    const membersIn = (region: number): PlacedMember[] =>
      this.placedMembers.filter((placed) => placed.region === region);
    for (const one of membersIn(left))
      for (const other of membersIn(right)) {
        this.world.partition(one.name, other.name);
        this.world.partition(other.name, one.name);
      }
  }
  /** Offers a control snapshot with that many routes at one member; returns the time until all members have it. */
  async distributeSnapshot(routes: number, index: number, withinMs: number): Promise<number | undefined> {
    this.runningMembers()[0].node.gossip.offerSnapshot(SimulatedMembership.snapshot(routes, index));
    return this.runUntilInForce(index, withinMs);
  }
  /** Offers the previous control snapshot with one route changed; returns the time until all members have it. */
  async distributeRouteChange(index: number, withinMs: number): Promise<number | undefined> {
    const { gossip } = this.runningMembers()[0].node;
    const snapshot = gossip.snapshot!;
    const changed = { ...SimulatedMembership.route(0), deadlineMs: 10_000 + index };
    const doc = ConfigurationPatch.apply(snapshot.manifest.doc, {
      upsert: { bindings: { "tenant-0": changed } },
      remove: {},
    });
    gossip.offerSnapshot({ ...snapshot, index, manifest: { version: index, doc } });
    return this.runUntilInForce(index, withinMs);
  }
  private runUntilInForce(index: number, withinMs: number): Promise<number | undefined> {
    return this.runUntil(withinMs, () =>
      this.runningMembers().every((member) => (member.node.gossip.snapshot?.index ?? 0) >= index),
    );
  }
  /** A control snapshot whose configuration has that many routes. */
  static snapshot(routes: number, index: number): ControlSnapshot {
    const state = ControlState.empty();
    state.group = "group-scale";
    const doc = {
      bindings: Object.fromEntries(
        Array.from({ length: routes }, (_none, number) => [`tenant-${number}`, SimulatedMembership.route(number)]),
      ),
    };
    state.manifest = { version: index, doc };
    return ControlSnapshot.of(state, index);
  }
  static route(number: number): ControlSnapshot["manifest"]["doc"]["bindings"][string] {
    return {
      kind: "stream",
      pool: `pool-${number % 9}`,
      path: `/t/${number}`,
      safe: true,
      deadlineMs: 15_000,
      continues: "exact",
      prefixBytes: 512,
      host: `tenant-${number}.example`,
      prefix: "/v1/",
    };
  }
  /** Kills all processes. */
  end(): void {
    for (const name of [...this.world.processes.keys()]) this.world.kill(name);
  }
}
