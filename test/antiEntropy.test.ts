import * as fs from "fs";
import * as path from "path";
import { Constants } from "../src/common/constants";
import { ShardReplica } from "../src/shard/shardReplica";
import { RangeDigests } from "../src/shard/state/rangeDigests";
import { SimFleet } from "../src/simulation/simFleet";
import { Deployment } from "../src/tools/deployment";

const deployment = Deployment.check(JSON.parse(fs.readFileSync(path.join(__dirname, "../../deploy/sim.json"), "utf8")));
if (!deployment.ok) throw new Error("deploy/sim.json is not valid");

test("under load, a replica that silently lost part of its state is detected by digests and repaired with the leader's newer objects", async () => {
  const sizes = { ...Constants.segmentObjects };
  const fleet = new SimFleet(deployment.value, 5);
  Object.assign(Constants.segmentObjects, sizes); // segments of production size, so that nothing is sealed during the test
  await fleet.boot();
  await fleet.run(4000);
  const replicas = fleet
    .names("store")
    .flatMap((name) => [
      ...(fleet.daemons.get(name) as unknown as { replicas: Map<number, ShardReplica> }).replicas.values(),
    ]);
  const member = replicas.find((replica) => replica.role === "member" && replica.data.jobs.size > 0)!;
  const leader = replicas.find((replica) => replica.shard === member.shard && replica.role === "lead")!;
  const [jobId] = member.data.jobs.keys();
  const positions = [...member.data.jobs.get(jobId)!.positions];
  member.data.jobs.get(jobId)!.items[0].result = "rotten";
  member.data.jobs.get(jobId)!.version -= 1;
  for (const requestId of [...member.data.liveRequests.keys()].slice(0, 2)) member.data.liveRequests.delete(requestId);
  expect(RangeDigests.of(member.data)).not.toEqual(RangeDigests.of(leader.data));
  await fleet.run(25_000);
  expect(member.counts.repaired).toBeGreaterThanOrEqual(1);
  expect(member.data.jobs.get(jobId)!.items[0].result).toBe(leader.data.jobs.get(jobId)!.items[0].result);
  expect(member.data.jobs.get(jobId)!.positions.slice(0, positions.length)).toEqual(positions);
  expect(await fleet.stopAndCheck()).toEqual([]);
}, 120_000);

test("a damaged segment file is detected by its checksum and fetched from another replica", async () => {
  const fleet = new SimFleet(deployment.value, 6);
  await fleet.boot();
  await fleet.run(14_000);
  const name = fleet.names("store")[0];
  const replicas = (fleet.daemons.get(name) as unknown as { replicas: Map<number, ShardReplica> }).replicas;
  const damaged = fleet.disks.get(name)!.damage((file) => /shard-\d+\/lots-0\.seg$/.test(file));
  expect(damaged.length).toBeGreaterThan(1);
  const before = damaged.map((file) =>
    Buffer.from(fleet.disks.get(name)!.under(path.dirname(file)).get(path.basename(file))!),
  );
  await fleet.run(1000);
  for (const replica of replicas.values())
    for (let turn = 0; turn < replica.segments.list().length; turn += 1)
      await fleet.world.runTask(fleet.world.processes.get(name)!, () => replica.scrub(turn), 10_000);
  damaged.forEach((file, index) =>
    expect(fleet.disks.get(name)!.under(path.dirname(file)).get(path.basename(file))!.equals(before[index])).toBe(
      false,
    ),
  );
  expect([...replicas.values()].reduce((sum, replica) => sum + replica.counts.repaired, 0)).toBe(damaged.length);
  expect(await fleet.stopAndCheck()).toEqual([]);
}, 120_000);
