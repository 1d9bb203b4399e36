import * as fs from "fs";
import { Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import { ProcessPlan } from "../deployment";
import { History } from "../history";
import type { Fleet } from "./fleet";
import { busiestMember, planOf, ReplicatedProgram } from "./fleetState";
import { LinkProxies } from "./linkProxies";

const EXIT_TIMEOUT_MS = 5000; // of a process that was killed
const SHUTDOWN_TIMEOUT_MS = 20_000; // of a process that was sent SIGTERM
const RESTART_AFTER_MS = 6000;
const INGRESS_RESTART_AFTER_MS = 3000;
const FREEZE_MS = 8000;
const PARTITION_MS = 9000;
const CONTROL_PARTITION_MS = 15_000;

/** A fault that can be injected into a fleet of real processes. */
export interface FleetFault {
  /** One sentence for the command line's help. */
  about: string;
  /** Injects the fault, notes it in the history and repairs it. */
  inject: (fleet: Fleet, history: History) => Task<void>;
}
/** Which direction of the links is cut, as seen from the process that is cut off. */
type Direction = "in" | "out" | "both";

const record = (fleet: Fleet, history: History, fault: string, heavy = true): void =>
  history.add({ tag: "fault", at: fleet.env.wallClockMs(), fault, heavy });

function removeData({ name, settings }: ProcessPlan): void {
  if (settings.data === undefined) throw new Error(`${name} has no data folder`);
  fs.rmSync(settings.data, { recursive: true, force: true });
}
function* killAll(fleet: Fleet, names: string[]): Task<void> {
  for (const name of names) fleet.signal(name, "SIGKILL");
  for (const name of names) yield* fleet.waitForExit(name, EXIT_TIMEOUT_MS);
}

/** Kills the busiest process of a program, empties its data folder where asked to, and starts it again. */
const kill = (program: ReplicatedProgram, losesData: boolean): FleetFault => ({
  about: `the ${program} that leads most is killed${losesData ? ", its data folder emptied" : ""}, and started again after 6 s`,
  *inject(fleet, history) {
    const name = yield* busiestMember(fleet, program);
    record(fleet, history, `kill ${name}${losesData ? " and empty its folder" : ""}`);
    yield* killAll(fleet, [name]);
    if (losesData) removeData(planOf(fleet, name));
    yield* EnvironmentTools.sleep(fleet.env, RESTART_AFTER_MS);
    fleet.start(planOf(fleet, name));
  },
});
const freeze = (program: ReplicatedProgram): FleetFault => ({
  about: `the ${program} that leads most is stopped by SIGSTOP for 8 s`,
  *inject(fleet, history) {
    const name = yield* busiestMember(fleet, program);
    record(fleet, history, `freeze ${name}`);
    fleet.signal(name, "SIGSTOP");
    yield* EnvironmentTools.sleep(fleet.env, FREEZE_MS);
    fleet.signal(name, "SIGCONT");
  },
});
/** Cuts the links between the chosen processes and all others. */
const partition = (
  about: string,
  direction: Direction,
  choose: (fleet: Fleet) => Task<string[]>,
  durationMs: number,
): FleetFault => ({
  about,
  *inject(fleet, history) {
    const names = yield* choose(fleet);
    record(fleet, history, `cut ${direction} at ${names.join(" and ")}`);
    const proxies = fleet.linkProxies;
    const others = fleet.plan.proxied.map((process) => process.name).filter((name) => !names.includes(name));
    for (const name of names)
      for (const other of [...others, LinkProxies.nonMember]) {
        if (direction !== "in") proxies.cut(name, other);
        if (direction !== "out") proxies.cut(other, name);
      }
    yield* EnvironmentTools.sleep(fleet.env, durationMs);
    proxies.heal();
  },
});

const busiestStore = function* (fleet: Fleet): Task<string[]> {
  return [yield* busiestMember(fleet, "store")];
};
const controlNames = (fleet: Fleet): string[] =>
  fleet.plan.processes.filter(({ settings }) => settings.program === "control").map(({ name }) => name);
const allControls = function* (fleet: Fleet): Task<string[]> {
  return controlNames(fleet);
};
const halfOfControls = function* (fleet: Fleet): Task<string[]> {
  const names = controlNames(fleet);
  return names.slice(0, Math.ceil(names.length / 2));
};

const killIngress: FleetFault = {
  about: "an ingress and its agent are killed, and started again",
  *inject(fleet, history) {
    record(fleet, history, "kill ingress-1 and agent-1");
    yield* killAll(fleet, ["ingress-1", "agent-1"]);
    yield* EnvironmentTools.sleep(fleet.env, INGRESS_RESTART_AFTER_MS);
    for (const name of ["agent-1", "ingress-1"]) fleet.start(planOf(fleet, name));
  },
};
const killTwoStores: FleetFault = {
  about: "the two busiest stores are killed at once, and started again after 6 s",
  *inject(fleet, history) {
    const first = yield* busiestMember(fleet, "store");
    const second = fleet.plan.processes.find(({ name, settings }) => settings.program === "store" && name !== first);
    if (!second) throw new Error("the fleet has one store only");
    const names = [first, second.name];
    record(fleet, history, `kill ${names.join(" and ")}`);
    yield* killAll(fleet, names);
    yield* EnvironmentTools.sleep(fleet.env, RESTART_AFTER_MS);
    for (const name of names) fleet.start(planOf(fleet, name));
  },
};
const stopStore: FleetFault = {
  about: "the busiest store is stopped by SIGTERM and started again",
  *inject(fleet, history) {
    const name = yield* busiestMember(fleet, "store");
    record(fleet, history, `SIGTERM to ${name}`, false);
    fleet.signal(name, "SIGTERM");
    if (!(yield* fleet.waitForExit(name, SHUTDOWN_TIMEOUT_MS))) throw new Error(`${name} did not end by itself`);
    fleet.start(planOf(fleet, name));
  },
};

/**
 * Faults among real processes, by the name that the command line's `--trouble` takes.
 *
 * @example
 * yield* fleetFaults["kill-store"].inject(fleet, history);
 */
export const fleetFaults: Readonly<Record<string, FleetFault>> = {
  "kill-store": kill("store", false),
  "empty-store": kill("store", true),
  "kill-control": kill("control", false),
  "empty-control": kill("control", true),
  "freeze-store": freeze("store"),
  "freeze-control": freeze("control"),
  "kill-ingress": killIngress,
  "kill-two-stores": killTwoStores,
  "cut-store": partition("the busiest store is cut off for 9 s", "both", busiestStore, PARTITION_MS),
  "cut-store-in": partition("nothing comes in to the busiest store for 9 s", "in", busiestStore, PARTITION_MS),
  "cut-store-out": partition("nothing comes out of the busiest store for 9 s", "out", busiestStore, PARTITION_MS),
  "cut-control": partition("the whole control group is cut off for 15 s", "both", allControls, CONTROL_PARTITION_MS),
  "cut-control-in-two": partition(
    "half of the control group is cut off from all others for 9 s",
    "both",
    halfOfControls,
    PARTITION_MS,
  ),
  "stop-store": stopStore,
};

/** Whether a fault needs proxies between the processes. @example needsProxies("cut-store") // true */
export const needsProxies = (faultName: string): boolean => faultName.startsWith("cut-");
