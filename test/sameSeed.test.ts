import * as fs from "fs";
import * as path from "path";
import { Campaign } from "../src/simulation/campaign";
import { Scenarios } from "../src/simulation/scenarios/scenarios";
import { Deployment } from "../src/tools/deployment";

test("one seed gives one history and one log, byte for byte", async () => {
  const read = Deployment.check(JSON.parse(fs.readFileSync(path.join(__dirname, "../../deploy/sim.json"), "utf8")));
  if (!read.ok) throw new Error("deployment");
  const run = async (seed: number): Promise<{ seen: string; log: string }> => {
    const lines: string[] = [];
    const report = await Campaign.run(read.value, Scenarios.find("kill-store")!, seed, 0, (line) => lines.push(line));
    return { seen: JSON.stringify(report.fleet.history.observations), log: lines.join("\n") };
  };
  const [first, again] = [await run(7), await run(7)];
  expect(again.seen === first.seen && again.log === first.log).toBe(true);
  expect(first.log.split("\n").length).toBeGreaterThan(100);
});
