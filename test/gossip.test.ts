import { SimulatedMembership } from "../src/tools/scale/simulatedMembership";
import { Gossip } from "../src/membership/gossip";

const endpoint = (active: number, more: Record<string, unknown> = {}): Record<string, unknown> => ({
  id: "r1",
  address: "10.0.0.9:9000",
  pool: "model",
  district: "r0-z0",
  version: "v1",
  capacity: 16,
  active,
  waiting: 0,
  bornAt: 1,
  ...more,
});
const LEASE_MS = 20_000;
async function startMembers(
  members: number,
  seed: number,
): Promise<{ membership: SimulatedMembership; gossip: Gossip[] }> {
  const membership = new SimulatedMembership({ members, endpoints: 0, zones: 5, regions: 2, seed });
  expect(await membership.boot(30_000)).toBeDefined();
  return { membership, gossip: membership.runningMembers().map((member) => member.node.gossip) };
}
const values = (gossip: Gossip[], key: string): unknown[] => gossip.map((each) => each.find(key)?.value);

test("a renewal contains only changed fields and is applied by every member that knows its base version", async () => {
  const { membership: simulation, gossip } = await startMembers(12, 1);
  gossip[0].publish("replica/r1/1", endpoint(0), LEASE_MS, true);
  expect(await simulation.runUntil(3000, () => gossip.every((each) => each.find("replica/r1/1")))).toBeDefined();
  await simulation.world.run(1000);
  const idle = await simulation.measureRates(4000);
  // Three members publish four renewals a second in turn for four seconds.
  let renewalCount = 0;
  for (const at of Array(16).keys())
    simulation.world.schedule(at * 250, () =>
      gossip[at % 3].publish("replica/r1/1", endpoint((renewalCount += 1)), LEASE_MS, false),
    );
  const renewing = await simulation.measureRates(4000);
  await simulation.world.run(1500);
  gossip[0].publish("replica/r1/1", endpoint(99), LEASE_MS, false);
  await simulation.world.run(2500);
  const known = values(gossip, "replica/r1/1");
  expect(known.filter((value) => JSON.stringify(value) === JSON.stringify(endpoint(99))).length).toBeGreaterThanOrEqual(
    10,
  ); // Pushes alone reach 19 of 20 members.
  // A fact in full has 330 bytes and would be pushed to three members, four times a second.
  expect(renewing.bytes - idle.bytes).toBeLessThan(2600);
  simulation.end();
}, 60_000);
test("facts published during a partition reach every member soon after it heals, and a removed fact stays removed", async () => {
  const { membership: simulation, gossip } = await startMembers(12, 2);
  gossip[0].publish("replica/gone/1", endpoint(0, { id: "gone" }), LEASE_MS, true);
  await simulation.world.run(2000);
  simulation.world.isolate(["hollow-12"], "both");
  gossip[11].publish("replica/r1/1", endpoint(1), LEASE_MS, true);
  gossip[0].publish("replica/r2/1", endpoint(2, { id: "r2" }), LEASE_MS, true);
  gossip[0].remove("replica/gone/1");
  gossip[11].publish("replica/gone/1", endpoint(7, { id: "gone" }), LEASE_MS, true);
  await simulation.world.run(1000);
  simulation.world.heal();
  const allKnow = (): boolean =>
    gossip.every((each) => each.find("replica/r1/1") && each.find("replica/r2/1") && each.isRemoved("replica/gone/1"));
  expect(await simulation.runUntil(4000, allKnow)).toBeDefined();
  simulation.end();
}, 60_000);
test("of two versions published on both sides of a partition, one wins at every member, and renewals continue from it", async () => {
  const { membership: simulation, gossip } = await startMembers(10, 3);
  simulation.world.isolate(["hollow-9", "hollow-10"], "both");
  gossip[0].publish("replica/r1/1", endpoint(1), LEASE_MS, true);
  await simulation.world.run(700);
  gossip[9].publish("replica/r1/1", endpoint(2), LEASE_MS, true);
  await simulation.world.run(700);
  simulation.world.heal();
  const isSameEverywhere = (): boolean =>
    new Set(values(gossip, "replica/r1/1").map((value) => JSON.stringify(value))).size === 1;
  expect(await simulation.runUntil(6000, isSameEverywhere)).toBeDefined();
  expect(values(gossip, "replica/r1/1")[0]).toEqual(endpoint(2));
  // Both members that published the fact can renew it now, because the base version is the same everywhere.
  gossip[0].publish("replica/r1/1", endpoint(3), LEASE_MS, false);
  await simulation.world.run(800);
  gossip[9].publish("replica/r1/1", endpoint(4), LEASE_MS, false);
  await simulation.world.run(2000);
  expect(
    values(gossip, "replica/r1/1").filter((value) => JSON.stringify(value) === JSON.stringify(endpoint(4))).length,
  ).toBeGreaterThanOrEqual(8);
  simulation.end();
}, 60_000);
test("exchanges of digests cost the same with many facts as with few while nothing differs", async () => {
  const idleWith = async (facts: number): Promise<number> => {
    const { membership: simulation, gossip } = await startMembers(10, 4);
    for (let at = 0; at < facts; at += 1)
      gossip[at % 10].publish(`replica/r${at}/1`, endpoint(0, { id: `r${at}` }), 600_000, true);
    expect(
      await simulation.runUntil(20_000, () => gossip.every((each) => each.live("replica/").length === facts)),
    ).toBeDefined();
    await simulation.world.run(3000);
    const spent = await simulation.measureRates(4000);
    simulation.end();
    return spent.bytes;
  };
  const [few, many] = [await idleWith(5), await idleWith(500)];
  expect(many).toBeLessThan(few * 1.25); // One lost probe with its indirect probes makes 10% of the traffic.
}, 120_000);
test("one differing fact among many is found and repaired, and only the facts of its bucket are compared", async () => {
  const { membership: simulation, gossip } = await startMembers(10, 5);
  for (let at = 0; at < 300; at += 1)
    gossip[0].publish(`replica/r${at}/1`, endpoint(0, { id: `r${at}` }), 600_000, true);
  const allKnow = (facts: number): boolean => gossip.every((each) => each.live("replica/").length === facts);
  expect(await simulation.runUntil(20_000, () => allKnow(300))).toBeDefined();
  await simulation.world.run(3000);
  const idle = await simulation.measureRates(4000);
  // The fact is published while its publisher reaches no other member.
  simulation.world.isolate(["hollow-1"], "both");
  gossip[0].publish("replica/late/1", endpoint(0, { id: "late" }), 600_000, true);
  await simulation.world.run(600);
  simulation.world.heal();
  const repairing = await simulation.measureRates(4000);
  expect(allKnow(301)).toBe(true);
  expect(repairing.bytes).toBeLessThan(idle.bytes * 3);
  simulation.end();
}, 120_000);
