import { BatchJobFleet } from "./batchJobFleet";

type Changed = { shard: number; epoch: number; reason: string; members: string[] };

test("after a kill and a freeze no view repeats the members of the one before, and each shard has all its replicas again", async () => {
  for (const seed of [1, 4]) {
    const changes: Changed[] = [];
    const fleet = await BatchJobFleet.start(seed, { stores: 4 }, {}, (line) => {
      if (line.includes(" PB1415 ")) changes.push(JSON.parse(line.slice(line.indexOf("{"))) as Changed);
    });
    let job = 0;
    const work = async (count: number, pauseMs: number): Promise<void> => {
      for (const until = job + count; job < until; job += 1) {
        expect((await fleet.submit(`W${job}`, 3))?.ok).toBe(true);
        await fleet.world.run(pauseMs);
      }
    };
    await work(20, 20);
    fleet.kill("store-1");
    await fleet.world.run(500);
    fleet.startStore("store-1");
    await work(40, 200);
    fleet.freeze("store-2");
    await work(10, 300);
    fleet.wake("store-2");
    await work(30, 300);
    const last = new Map<number, string>();
    for (const { shard, reason, members } of changes) {
      expect({ shard, reason, members: [...members].sort().join() }).not.toEqual({
        shard,
        reason,
        members: last.get(shard),
      });
      last.set(shard, [...members].sort().join());
    }
    expect(changes.length).toBeGreaterThan(8);
    expect(Object.values(fleet.host.snapshot().control!.views).map((view) => view.members.length)).toEqual(
      Array(8).fill(3),
    );
    expect(fleet.errors()).toEqual([]);
  }
}, 200_000);
