import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { WhyBody } from "../src/cli/operator/responses";
import { EnvironmentTools } from "../src/runtime/env";
import { Callers } from "../src/tools/callers/callers";
import { Checker } from "../src/tools/checker/checker";
import { Deployment } from "../src/tools/deployment";
import { Fleet } from "../src/tools/fleet/fleet";
import { History } from "../src/tools/history";
import { TaskRunner } from "./taskRunner";

/** The ports of a run lie below 32768, where the ports of outgoing connections begin. */
const FIRST_PORT = 20_000;
const PORT_RANGE = 12_000;

// Runs separate processes on real sockets and files. Every wait is for a condition, so the result does not depend on speed.
test("processes discover each other, accept a configuration, serve lookups, streams and batch jobs, and survive the kill of a storage node", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-"));
  const parsed = Deployment.check(JSON.parse(fs.readFileSync(path.join(__dirname, "../../deploy/small.json"), "utf8")));
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.fault));
  const deployment = parsed.value;
  const plan = Deployment.plan(deployment, FIRST_PORT + (process.pid % PORT_RANGE), folder);
  let fleet: Fleet | undefined;
  try {
    await TaskRunner.run(function* (env) {
      fleet = new Fleet(env, plan, folder);
      fleet.startAll();
      yield* fleet.startEndpoints();
      expect(yield* fleet.operator.configure(deployment, 60_000)).toBe(true);
      expect(yield* fleet.operator.waitUntilReady(60_000)).toBe(true);
      const history = new History();
      const callers = new Callers(env, deployment.mix, plan.ingressHttp, history);
      callers.start(1);
      const hasServedEnough = (): boolean =>
        history.of("lookup").length >= 20 &&
        history.of("streamEnd").length >= 5 &&
        history.of("lotFinished").length >= 3 &&
        history.of("single").length >= 2;
      for (let waited = 0; !hasServedEnough() && waited < 600; waited += 1) yield* EnvironmentTools.sleep(env, 100);
      expect(hasServedEnough()).toBe(true);
      fleet.signal("store-2", "SIGKILL");
      const finishedBefore = history.of("lotFinished").length;
      const streamsBefore = history.of("streamEnd").length;
      for (
        let waited = 0;
        (history.of("lotFinished").length < finishedBefore + 5 || history.of("streamEnd").length < streamsBefore + 5) &&
        waited < 600;
        waited += 1
      )
        yield* EnvironmentTools.sleep(env, 100);
      callers.stopNew();
      for (let waited = 0; callers.callsInFlight > 0 && waited < 1200; waited += 1)
        yield* EnvironmentTools.sleep(env, 100);
      for (const ingress of plan.ingressHttp) yield* callers.reread(ingress);
      // These invariants hold at any speed. Time limits are checked in virtual time by other tests.
      const invariantsWithoutTimeLimits = [
        "right-caller",
        "no-false-success",
        "never-twice",
        "busy-never-ran",
        "stream-exact",
        "lot-kept",
        "one-position",
      ];
      expect(
        Checker.check(history, fleet.endpoints).filter((violation) =>
          invariantsWithoutTimeLimits.includes(violation.invariant),
        ),
      ).toEqual([]);
      expect(history.of("lotFinished").length).toBeGreaterThanOrEqual(finishedBefore + 5);
      const [job] = callers.acceptedJobs.keys();
      const response = yield* fleet.operator.get(plan.ingressHttp[0], `/v1/why/${job}`);
      expect(
        (response?.body as WhyBody).entries.some((entry) => entry.decision.startsWith("accepted with 12 items")),
      ).toBe(true);
      // After SIGTERM, a process exits by itself.
      fleet.signal("ingress-1", "SIGTERM");
      expect(yield* fleet.waitForExit("ingress-1", 30_000)).toBe(true);
      expect(fleet.children.get("ingress-1")!.exitCode).toBe(0);
    });
  } finally {
    fleet?.stopAll();
    fs.rmSync(folder, { recursive: true, force: true });
  }
});
