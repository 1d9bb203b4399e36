import { CheckpointedLog } from "../src/runtime/checkpointedLog";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

test("a log in the first format is still read by the control group, and refused by a shard", async () => {
  const world = new SimWorld(1);
  const disk = new SimDisk(world);
  const process = world.start("p", disk);
  const written = await world.runTask(
    process,
    function* () {
      const slots = new CheckpointedLog(process.env, "g");
      yield* slots.open();
      yield* slots.checkpoint({ kept: 1 });
      const group = yield* new CheckpointedLog(process.env, "g").open();
      const shard = yield* new CheckpointedLog(process.env, "g", 2).open();
      return [group.ok && group.value.state, shard.ok ? "opened" : shard.fault.detail];
    },
    1000,
  );
  expect(written).toEqual([{ kept: 1 }, "g/slot-b has format 1; this version reads format 2"]);
});
