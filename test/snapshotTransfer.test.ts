import { Configuration } from "../src/controlState/configuration";
import { withoutOrigin } from "../src/controlState/configurationOrigin";
import { ConfigurationPatch } from "../src/controlState/configurationPatch";
import { HollowWorld } from "../src/tools/scale/hollowWorld";

const doc = (count: number): Configuration => HollowWorld.snapshot(count, 1).manifest.doc;
const versions = (hollow: HollowWorld): number[] =>
  hollow.alive().map((member) => member.node.gossip.snapshot?.manifest.version ?? 0);
const docs = (hollow: HollowWorld): Set<string> =>
  new Set(hollow.alive().map((member) => JSON.stringify(member.node.gossip.snapshot?.manifest.doc)));

test("the patch between two configurations turns the first into the second; there is none where it would be no shorter", () => {
  const from = doc(40);
  const patch = {
    upsert: { bindings: { "tenant-3": HollowWorld.route(99), more: HollowWorld.route(7) } },
    remove: { bindings: ["tenant-5"] },
  };
  const to = ConfigurationPatch.apply(from, patch);
  const found = ConfigurationPatch.between(from, to)!;
  expect(Object.keys(found.upsert.bindings!)).toEqual(["tenant-3", "more"]);
  expect(JSON.stringify(ConfigurationPatch.apply(from, found))).toBe(JSON.stringify(to));
  // the same in the form that operators send: fields that only control adds are left out
  const patchedWithOrigin = ConfigurationPatch.apply(
    { ...from, origin: "x" },
    { upsert: { bindings: { more: { ...HollowWorld.route(7), origin: "y" } } }, remove: {} },
  );
  expect(
    Object.keys(
      ConfigurationPatch.between(withoutOrigin({ ...from, origin: "x" }), withoutOrigin(patchedWithOrigin))!.upsert
        .bindings!,
    ),
  ).toEqual(["more"]);
  // in another order, with other settings beside the items, or mostly changed: no patch
  const turned: Configuration = { bindings: Object.fromEntries(Object.entries(from.bindings).reverse()) };
  expect(ConfigurationPatch.between(from, turned)).toBeUndefined();
  expect(
    ConfigurationPatch.between(from, { ...from, clock: { deltaMs: 1, epsilonMs: 1, bigDeltaMs: 1 } }),
  ).toBeUndefined();
  expect(ConfigurationPatch.between(from, doc(40))).toBeUndefined();
  expect(ConfigurationPatch.between({ ...from, limits: { bodyBytes: 1 } }, from)).toBeUndefined();
  expect(ConfigurationPatch.between(from, { ...from, pools: {} })).toBeUndefined();
});
test("members apply changes step by step and end with the source's configuration, also those that missed some", async () => {
  const hollow = new HollowWorld({ members: 10, replicas: 0, zones: 5, regions: 2, seed: 6 });
  await hollow.boot(30_000);
  expect(await hollow.spread(200, 1, 5000)).toBeDefined();
  expect(await hollow.spreadChange(2, 5000)).toBeDefined();
  // one member misses three versions
  hollow.world.cutOff(["hollow-10"], "both");
  const { gossip } = hollow.alive()[0].node;
  for (let version = 3; version <= 5; version += 1) {
    const patch = {
      upsert: { bindings: { [`new-${version}`]: HollowWorld.route(version) } },
      remove: { bindings: [`tenant-${version}`] },
    };
    gossip.offerSnapshot({
      ...gossip.snapshot!,
      index: version,
      manifest: { version, doc: ConfigurationPatch.apply(gossip.snapshot!.manifest.doc, patch) },
    });
    await hollow.world.run(400);
  }
  expect(versions(hollow)).toEqual([5, 5, 5, 5, 5, 5, 5, 5, 5, 2]);
  hollow.world.heal();
  expect(await hollow.until(5000, () => versions(hollow).every((version) => version === 5))).toBeDefined();
  expect(docs(hollow).size).toBe(1);
  // a configuration in full is no step and is taken as it is
  expect(await hollow.spread(30, 6, 5000)).toBeDefined();
  expect(docs(hollow)).toEqual(new Set([JSON.stringify(doc(30))]));
  hollow.end();
}, 60_000);
test("a change of one route costs the same in a large configuration as in a small one", async () => {
  const bytes = async (routes: number): Promise<number> => {
    const hollow = new HollowWorld({ members: 10, replicas: 0, zones: 5, regions: 2, seed: 7 });
    await hollow.boot(30_000);
    await hollow.spread(routes, 1, 5000);
    await hollow.world.run(3000);
    const before = hollow.placed.reduce((sum, each) => sum + each.meter.counts.bytes, 0);
    expect(await hollow.spreadChange(2, 5000)).toBeDefined();
    const spent = hollow.placed.reduce((sum, each) => sum + each.meter.counts.bytes, 0) - before;
    hollow.end();
    return spent;
  };
  expect(await bytes(2000)).toBeLessThan((await bytes(50)) * 1.5);
}, 60_000);
