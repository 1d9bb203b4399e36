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

const LEAST_SECONDS_BEFORE_FAULTS = 5;
const AFTER_FAULT_MS = 16_000;
const DRAIN_TIMEOUT_MS = 100_000; // for calls that are under way when no new ones are started
const DRAIN_POLL_MS = 100;
const SLOW_ACCEPTANCE_WINDOW_MS = 12_000; // after a fault
/** Longest time between two served calls that is no gap, by kind. */
const GAP_MS: Readonly<Record<ServedKind, number>> = { lookup: 1500, stream: 1500, lot: 4000 };
const REPORTED_STORE_METRICS = /_(put_ms|relay_ms|late_puts|overrun|disk_syncs|puts |skew)/;

/** What a checked run does. */
export interface CheckedRunOptions {
  plan: DeploymentPlan;
  deployment: Deployment;
  /** How long the mix is sent before the first fault, in seconds. */
  seconds: number;
  /** Multiple of the mix's rates. */
  load: number;
  /** The fleet, where this process started it: then its endpoints' runs are checked and faults can be injected. */
  fleet?: Fleet;
  /** Names of the faults to inject, one after the other. */
  faultNames?: string[];
  /** Takes each line of the report. */
  print: (line: string) => void;
}

/** Lets the mix run and injects the faults. */
function* injectFaults(env: Environment, options: CheckedRunOptions, history: History): Task<void> {
  const { fleet, faultNames = [], seconds } = options;
  const leastSeconds = faultNames.length > 0 ? LEAST_SECONDS_BEFORE_FAULTS : 0;
  yield* EnvironmentTools.sleep(env, Math.max(seconds, leastSeconds) * 1000);
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
      (kind) => `${kind} ${recoveryTimeMs(history, at, kind, GAP_MS[kind]).toFixed(0)} ms`,
    );
    const slowest = slowestAcceptanceMs(history, at).toFixed(0);
    print(
      `fault ${fault}: served again without a gap after ${recoveries.join(", ")}; slowest lot taken after ${slowest} ms`,
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
 * Sends the deployment's mix to a running fleet, injects faults, reads all batch jobs again at every ingress, and checks
 * what callers and endpoints saw. Returns whether something was served and no invariant was violated.
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
    print("nothing was served: a run that exercised nothing is a failure");
    return false;
  }
  return violations.length === 0;
}
