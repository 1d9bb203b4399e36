import * as fs from "fs";
import * as path from "path";
import { Campaign } from "../src/simulation/campaign";
import { Scenarios } from "../src/simulation/scenarios/scenarios";
import { Deployment } from "../src/tools/deployment";

test("two runs with the same seed have the same history and the same log, byte for byte", async () => {
  const deployment = Deployment.check(
    JSON.parse(fs.readFileSync(path.join(__dirname, "../../deploy/sim.json"), "utf8")),
  );
  if (!deployment.ok) throw new Error("deploy/sim.json is invalid");
  const run = async (seed: number): Promise<{ history: string; log: string }> => {
    const lines: string[] = [];
    const report = await Campaign.run(deployment.value, Scenarios.find("kill-store")!, seed, 0, (line) =>
      lines.push(line),
    );
    return { history: JSON.stringify(report.fleet.history.observations), log: lines.join("\n") };
  };
  const [first, second] = [await run(7), await run(7)];
  expect(second.history === first.history && second.log === first.log).toBe(true);
  expect(first.log.split("\n").length).toBeGreaterThan(100);
});
