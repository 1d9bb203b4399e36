import * as fs from "fs";
import * as path from "path";
import { ShardCopy } from "../src/shard/shardCopy";
import { ShardState } from "../src/shard/shardState";
import { SimFleet } from "../src/sim/simFleet";
import { Deployment } from "../src/tools/deployment";

test("a copy that silently lost part of its state is found by digests and mended from the newer, under load", async () => {
  const read = Deployment.check(JSON.parse(fs.readFileSync(path.join(__dirname, "../../deploy/sim.json"), "utf8")));
  if (!read.ok) throw new Error("deployment");
  const fleet = new SimFleet(read.value, 5);
  await fleet.boot();
  await fleet.run(4000);
  const copies = fleet.names("store").flatMap((name) => [...(fleet.running.get(name) as unknown as { copies: Map<number, ShardCopy> }).copies.values()]);
  const member = copies.find((copy) => copy.role === "member" && Object.keys(copy.data.lots).length > 0)!;
  const lead = copies.find((copy) => copy.shard === member.shard && copy.role === "lead")!;
  const [lot] = Object.keys(member.data.lots);
  const positions = [...member.data.lots[lot].positions];
  member.data.lots[lot].items[0].result = "rotten";
  member.data.lots[lot].version -= 1;
  for (const work of Object.keys(member.data.works).slice(0, 2)) delete member.data.works[work];
  expect(ShardState.digests(member.data)).not.toEqual(ShardState.digests(lead.data));
  await fleet.run(25_000);
  expect(member.counts.mended).toBeGreaterThanOrEqual(1);
  expect(member.data.lots[lot].items[0].result).toBe(lead.data.lots[lot].items[0].result);
  expect(member.data.lots[lot].positions.slice(0, positions.length)).toEqual(positions);
  expect(await fleet.close()).toEqual([]);
}, 120_000);
