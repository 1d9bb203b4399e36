import { LotWorld } from "./lotWorld";

type Changed = { shard: number; epoch: number; reason: string; members: string[] };

test("a store killed and started again, another frozen: no view is made that changes no members, and each shard has its copies again", async () => {
  for (const seed of [1, 4]) {
    const changes: Changed[] = [];
    const jobs = await LotWorld.start(seed, { stores: 4 }, {}, (line) => {
      if (line.includes(" PB1415 ")) changes.push(JSON.parse(line.slice(line.indexOf("{"))) as Changed);
    });
    let job = 0;
    const work = async (count: number, pauseMs: number): Promise<void> => {
      for (const until = job + count; job < until; job += 1) {
        expect((await jobs.handIn(`W${job}`, 3))?.ok).toBe(true);
        await jobs.world.run(pauseMs);
      }
    };
    await work(20, 20);
    jobs.kill("store-1");
    await jobs.world.run(500);
    jobs.startStore("store-1");
    await work(40, 200);
    jobs.freeze("store-2");
    await work(10, 300);
    jobs.wake("store-2");
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
    expect(Object.values(jobs.host.snapshot().control!.views).map((view) => view.members.length)).toEqual(
      Array(8).fill(3),
    );
    expect(jobs.errors()).toEqual([]);
  }
}, 200_000);
