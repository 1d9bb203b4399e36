import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { Callers } from "../callers/callers";
import { Checker } from "../checker/checker";
import { Deployment, DeploymentPlan } from "../deployment";
import { History } from "../history";
import { Report } from "../report";
import type { Fleet } from "./fleet";
import { fleetFaults } from "./fleetFaults";
import { recoveryTimeMs, ServedKind } from "./recoveryTime";

const MIN_SECONDS_BEFORE_FAULTS = 5;
const AFTER_FAULT_MS = 16_000;
/** How long to wait for the calls in flight once no new calls are started, ms. */
const DRAIN_TIMEOUT_MS = 100_000;
const DRAIN_POLL_MS = 100;
/** Batch jobs submitted up to this long after a fault, ms, count for its slowest acceptance. */
const SLOW_ACCEPTANCE_WINDOW_MS = 12_000;
/** Longest interval between two served calls that does not count as a gap, by kind, ms. */
const MAX_GAP_MS: Readonly<Record<ServedKind, number>> = { lookup: 1500, stream: 1500, lot: 4000 };
const REPORTED_STORE_METRICS = /_(put_ms|relay_ms|late_puts|overrun|disk_syncs|puts |skew)/;

/** Options of a checked run. */
export interface CheckedRunOptions {
  plan: DeploymentPlan;
  deployment: Deployment;
  /** How long the traffic mix is sent before the first fault, in seconds. */
  seconds: number;
  /** Factor by which the rates of the traffic mix are multiplied. */
  load: number;
  /** The fleet if this process started it: only then can runs of endpoints be checked and faults be injected. */
  fleet?: Fleet;
  /** Names of the faults to inject one after another. */
  faultNames?: string[];
  /** Prints text of the report. */
  print: (line: string) => void;
}

/** Waits while the callers send the traffic mix, then injects the faults. */
function* injectFaults(env: Environment, options: CheckedRunOptions, history: History): Task<void> {
  const { fleet, faultNames = [], seconds } = options;
  const minSeconds = faultNames.length > 0 ? MIN_SECONDS_BEFORE_FAULTS : 0;
  yield* EnvironmentTools.sleep(env, Math.max(seconds, minSeconds) * 1000);
  if (!fleet) return;
  for (const name of faultNames) {
    yield* fleetFaults[name].inject(fleet, history);
    yield* EnvironmentTools.sleep(env, AFTER_FAULT_MS);
  }
}
function* waitForCalls(env: Environment, callers: Callers): Task<void> {
  const deadline = env.monotonicMs() + DRAIN_TIMEOUT_MS;
  while (callers.callsInFlight > 0 && env.monotonicMs() < deadline) yield* EnvironmentTools.sleep(env, DRAIN_POLL_MS);
}

function slowestAcceptanceMs(history: History, faultAt: number): number {
  const accepted = history
    .of("lotAccepted")
    .filter(({ at, tookMs }) => at > faultAt && at - tookMs < faultAt + SLOW_ACCEPTANCE_WINDOW_MS);
  return Math.max(0, ...accepted.map(({ tookMs }) => tookMs));
}
function printFaults(history: History, print: (line: string) => void): void {
  for (const { fault, at } of history.of("fault")) {
    const recoveries = (["lookup", "stream", "lot"] as const).map(
      (kind) => `${kind} ${recoveryTimeMs(history, at, kind, MAX_GAP_MS[kind]).toFixed(0)} ms`,
    );
    const slowest = slowestAcceptanceMs(history, at).toFixed(0);
    print(
      `fault ${fault}: service restored after ${recoveries.join(", ")}; slowest batch job accepted after ${slowest} ms`,
    );
  }
}
function* printStoreMetrics(fleet: Fleet, print: (line: string) => void): Task<void> {
  for (const { name, settings } of fleet.plan.processes.filter((each) => each.settings.program === "store")) {
    const metrics = yield* fleet.operator.metrics(settings.http);
    const reported = metrics.split("\n").filter((line) => REPORTED_STORE_METRICS.test(line));
    print(`${name} ${reported.map((line) => line.replace("petrelbeam_", "").replace(" ", "=")).join(" ")}`);
  }
}
/**
 * Sends the traffic mix of the deployment to a running fleet, injects faults, rereads all batch jobs at every ingress,
 * and checks what callers and endpoints observed. Returns whether lookups and streams were served without a violation.
 *
 * @example
 * const passed = yield* runChecked(env, { plan, deployment, seconds: 20, load: 1, print: console.log });
 */
export function* runChecked(env: Environment, options: CheckedRunOptions): Task<boolean> {
  const { plan, deployment, load, fleet, print } = options;
  const history = new History();
  const callers = new Callers(env, deployment.mix, plan.ingressHttp, history);
  callers.start(load);
  const startedAt = env.monotonicMs();
  yield* injectFaults(env, options, history);
  const durationMs = env.monotonicMs() - startedAt;
  callers.stopNew();
  yield* waitForCalls(env, callers);
  for (const ingress of plan.ingressHttp) yield* callers.reread(ingress);
  const violations = Checker.check(history, fleet?.endpoints ?? [], { settledAt: env.wallClockMs() });
  print(Report.text(history, durationMs));
  printFaults(history, print);
  if (fleet) yield* printStoreMetrics(fleet, print);
  for (const { invariant, detail } of violations) print(`VIOLATION ${invariant}: ${detail}`);
  print(`violations: ${violations.length}`);
  if (history.of("lookup").length === 0 || history.of("streamEnd").length === 0) {
    print("no lookup or no stream was served: the run has tested nothing and counts as failed");
    return false;
  }
  return violations.length === 0;
}
