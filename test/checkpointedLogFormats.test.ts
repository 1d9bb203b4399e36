import { CheckpointedLog } from "../src/runtime/checkpointedLog";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

test("a log in format 1 is read by the control group, and rejected by a shard, which reads format 2", async () => {
  const world = new SimWorld(1);
  const disk = new SimDisk(world);
  const process = world.start("p", disk);
  const results = await world.runTask(
    process,
    function* () {
      const log = new CheckpointedLog(process.env, "g");
      yield* log.open();
      yield* log.checkpoint({ kept: 1 });
      const group = yield* new CheckpointedLog(process.env, "g").open();
      const shard = yield* new CheckpointedLog(process.env, "g", 2).open();
      return [group.ok && group.value.state, shard.ok ? "opened" : shard.fault.detail];
    },
    1000,
  );
  expect(results).toEqual([{ kept: 1 }, "g/slot-b has format 1; this version reads format 2"]);
});
