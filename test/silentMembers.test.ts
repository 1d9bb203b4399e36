import { Constants } from "../src/common/constants";
import { Fault } from "../src/common/fault";
import { EnvironmentTools } from "../src/runtime/env";
import { ControlFleet } from "./controlFleet";
import { seedsFrom } from "./seeds";

// Guards against a configuration that is in force too late at an undisturbed machine because other machines fall silent
// (users' rule CONFIG, docs/incidents/late-configuration.md). By hand, for many seeds:
//   SILENT_SEEDS=1-50 npx jest silentMembers

/** The deployment of the incident without its stores, which take no part in this. */
const size = { controls: 5, ingresses: 53, losses: 2, founders: 3 };
const CHANGES = 4;
/** `config_apply_ms` of that deployment. */
const CONFIGURATION_APPLY_MS = 2500;
/** Time for which an older configuration would be noticed after that. */
const OBSERVED_MS = 6000;
const STEP_MS = 20;
const SILENT_SHARE = 0.3;
/** Fault point: a control snapshot was adopted, and its index is about to be announced to other members. */
const SNAPSHOT_ADOPTED_POINT = 21;
/** The silence begins at most this long after that, so that some announcements are sent and no fetch is answered. */
const SILENCE_DELAY_MAX_MS = 2;
/** After it, all machines have been in touch for `contact_window_ms`. */
const CALM_MS = 5000;

const route = { kind: "lookup", pool: "p", path: "/x" };

async function put(fleet: ControlFleet, version: number): Promise<number> {
  const leader = fleet.leader();
  if (leader === undefined) return 0;
  const change = { version, bindings: { [`only-in-${version}`]: route } };
  const headers = { "if-match": String(version - 1) };
  return (await fleet.send("PUT", "/v1/manifest", change, headers, fleet.settings.get(leader)!.http)).status;
}
const versionAt = (fleet: ControlFleet, name: string): number =>
  fleet.ingress(name)?.snapshot().control?.manifest.version ?? 0;
const serves = (fleet: ControlFleet, name: string): boolean =>
  fleet.ingress(name)?.readiness.unreadyReason() === undefined;

async function startFleet(seed: number): Promise<ControlFleet> {
  const fleet = new ControlFleet(seed, size);
  expect(await fleet.until(async () => (await put(fleet, 1)) === 200, 15_000)).toBeDefined();
  const isInForce = (): boolean =>
    fleet.names("ingress").every((name) => serves(fleet, name) && versionAt(fleet, name) === 1);
  expect(await fleet.until(isInForce, 15_000)).toBeDefined();
  await fleet.run(CALM_MS);
  return fleet;
}
function pickShare(fleet: ControlFleet, names: string[], share: number): Set<string> {
  const picked = new Set<string>();
  while (picked.size < Math.round(names.length * share))
    picked.add(names[Math.floor(fleet.world.random() * names.length)]);
  return picked;
}
/** Freezes each of these processes right after it has adopted its next control snapshot. */
function silenceOnceAnnounced({ world }: ControlFleet, names: Set<string>): void {
  world.onFaultPoint = (process, point) => {
    if (point !== SNAPSHOT_ADOPTED_POINT || !names.has(process.name)) return;
    world.schedule(world.random() * SILENCE_DELAY_MAX_MS, () => process.freeze());
  };
}
/** Returns the ingresses that serve an older version when it must no longer be in force, with the time at which they do. */
async function lateIngresses(fleet: ControlFleet, names: string[], version: number): Promise<string[]> {
  const late = new Map<string, number>();
  const acknowledgedAt = fleet.world.now;
  let outdated = names;
  for (let sinceMs = 0; outdated.length > 0 && sinceMs < OBSERVED_MS; sinceMs = fleet.world.now - acknowledgedAt) {
    await fleet.run(STEP_MS);
    outdated = outdated.filter((name) => versionAt(fleet, name) < version);
    if (sinceMs < CONFIGURATION_APPLY_MS) continue;
    for (const name of outdated) if (serves(fleet, name)) late.set(name, Math.round(sinceMs));
  }
  return [...late].map(([name, sinceMs]) => `${name} served a version before ${version} after ${sinceMs} ms`);
}

describe("a configuration is in force in time at undisturbed ingresses", () => {
  test.each(seedsFrom(process.env.SILENT_SEEDS ?? "3"))(
    "while other ingresses fall silent as it spreads, seed %i",
    async (seed) => {
      const fleet = await startFleet(seed);
      const late: string[] = [];
      for (let version = 2; version < 2 + CHANGES; version += 1) {
        const silent = pickShare(fleet, fleet.names("ingress"), SILENT_SHARE);
        silenceOnceAnnounced(fleet, silent);
        expect(await put(fleet, version)).toBe(200);
        const undisturbed = fleet.names("ingress").filter((name) => !silent.has(name));
        late.push(...(await lateIngresses(fleet, undisturbed, version)));
        fleet.world.onFaultPoint = () => undefined;
        for (const name of silent) fleet.world.processes.get(name)!.resume();
        await fleet.run(CALM_MS);
      }
      expect(late).toEqual([]);
      expect(fleet.close()).toEqual([]);
    },
  );
});

describe("a node that was told of a newer configuration", () => {
  // Guards against a node that cannot fetch the configuration it was told of, and serves the older one as current.
  test("serves the older one no longer than it would without contact, while no member lets it fetch the newer one", async () => {
    const fleet = new ControlFleet(1, { controls: 3, ingresses: 1 });
    const isInForce = (version: number) => (): boolean =>
      serves(fleet, "ingress-1") && versionAt(fleet, "ingress-1") === version;
    expect(await fleet.until(async () => (await put(fleet, 1)) === 200, 15_000)).toBeDefined();
    expect(await fleet.until(isInForce(1), 15_000)).toBeDefined();
    const transfers = fleet.names("control").map((name) => fleet.control(name)!.node.rpc);
    const { env } = fleet.operator;
    for (const rpc of transfers)
      rpc.handle("frame.fetch", function* () {
        yield* EnvironmentTools.sleep(env, Infinity);
        return Fault.ok(null);
      });
    expect(await put(fleet, 2)).toBe(200);
    await fleet.run(CONFIGURATION_APPLY_MS);
    expect(isInForce(1)()).toBe(false);
    expect(fleet.ingress("ingress-1")!.metrics().behind_ms).toBeGreaterThan(Constants.contactTimeoutMs);
    fleet.close();
  });
});
