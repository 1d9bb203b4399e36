import { BatchJobFleet } from "./batchJobFleet";

type ViewChange = { shard: number; epoch: number; reason: string; members: string[] };

test("after one storage node is killed and another frozen, no view change repeats the reason and members of the shard's previous one, and each shard has all its replicas again", async () => {
  for (const seed of [1, 4]) {
    const changes: ViewChange[] = [];
    const fleet = await BatchJobFleet.start(seed, { storageNodes: 4 }, {}, (line) => {
      if (line.includes(" PB1415 ")) changes.push(JSON.parse(line.slice(line.indexOf("{"))) as ViewChange);
    });
    let jobNumber = 0;
    const submitJobs = async (count: number, pauseMs: number): Promise<void> => {
      for (const end = jobNumber + count; jobNumber < end; jobNumber += 1) {
        expect((await fleet.submit(`W${jobNumber}`, 3))?.ok).toBe(true);
        await fleet.world.run(pauseMs);
      }
    };
    await submitJobs(20, 20);
    fleet.kill("store-1");
    await fleet.world.run(500);
    fleet.startStorageNode("store-1");
    await submitJobs(40, 200);
    fleet.freeze("store-2");
    await submitJobs(10, 300);
    fleet.resume("store-2");
    await submitJobs(30, 300);
    const lastMembers = new Map<number, string>();
    for (const { shard, reason, members } of changes) {
      expect({ shard, reason, members: [...members].sort().join() }).not.toEqual({
        shard,
        reason,
        members: lastMembers.get(shard),
      });
      lastMembers.set(shard, [...members].sort().join());
    }
    expect(changes.length).toBeGreaterThan(8);
    expect(Object.values(fleet.context.snapshot().control!.views).map((view) => view.members.length)).toEqual(
      Array(8).fill(3),
    );
    expect(fleet.errors()).toEqual([]);
  }
}, 200_000);
