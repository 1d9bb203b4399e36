import * as fs from "fs";
import { Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import { ProcessPlan } from "../deployment";
import { History } from "../history";
import type { Fleet } from "./fleet";
import { busiestMember, planOf, ReplicatedProgram } from "./fleetState";
import { LinkProxies } from "./linkProxies";

/** Time-out for the exit of a killed process, ms. */
const EXIT_TIMEOUT_MS = 5000;
/** Time-out for the exit of a process after SIGTERM, ms. */
const SHUTDOWN_TIMEOUT_MS = 20_000;
const RESTART_AFTER_MS = 6000;
const INGRESS_RESTART_AFTER_MS = 3000;
const FREEZE_MS = 8000;
const PARTITION_MS = 9000;
const CONTROL_PARTITION_MS = 15_000;

/** A fault that can be injected into a fleet of real processes. */
export interface FleetFault {
  /** Description for the help of the command line. */
  about: string;
  /** Injects the fault, records it in the history, and ends it. */
  inject: (fleet: Fleet, history: History) => Task<void>;
}
/** Which direction of the links is cut, as seen from the isolated process. */
type Direction = "in" | "out" | "both";

const recordFault = (fleet: Fleet, history: History, fault: string, heavy = true): void =>
  history.add({ tag: "fault", at: fleet.env.wallClockMs(), fault, heavy });

function removeData({ name, settings }: ProcessPlan): void {
  if (settings.data === undefined) throw new Error(`the settings of ${name} name no data folder`);
  fs.rmSync(settings.data, { recursive: true, force: true });
}
function* killAll(fleet: Fleet, names: string[]): Task<void> {
  for (const name of names) fleet.signal(name, "SIGKILL");
  for (const name of names) yield* fleet.waitForExit(name, EXIT_TIMEOUT_MS);
}

/** Kills the process of a program that leads most, optionally deletes its data, and restarts it. */
const kill = (program: ReplicatedProgram, losesData: boolean): FleetFault => ({
  about: `the ${program} process that leads most is killed${losesData ? ", loses its data" : ""} and is restarted after 6 s`,
  *inject(fleet, history) {
    const name = yield* busiestMember(fleet, program);
    recordFault(fleet, history, `kill ${name}${losesData ? " and empty its folder" : ""}`);
    yield* killAll(fleet, [name]);
    if (losesData) removeData(planOf(fleet, name));
    yield* EnvironmentTools.sleep(fleet.env, RESTART_AFTER_MS);
    fleet.start(planOf(fleet, name));
  },
});
const freeze = (program: ReplicatedProgram): FleetFault => ({
  about: `the ${program} process that leads most is frozen by SIGSTOP for 8 s`,
  *inject(fleet, history) {
    const name = yield* busiestMember(fleet, program);
    recordFault(fleet, history, `freeze ${name}`);
    fleet.signal(name, "SIGSTOP");
    yield* EnvironmentTools.sleep(fleet.env, FREEZE_MS);
    fleet.signal(name, "SIGCONT");
  },
});
/** Cuts the links between the chosen processes and all others for `durationMs`. */
const partition = (
  about: string,
  direction: Direction,
  chooseProcesses: (fleet: Fleet) => Task<string[]>,
  durationMs: number,
): FleetFault => ({
  about,
  *inject(fleet, history) {
    const names = yield* chooseProcesses(fleet);
    recordFault(fleet, history, `cut ${direction} at ${names.join(" and ")}`);
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

const busiestStorageNode = function* (fleet: Fleet): Task<string[]> {
  return [yield* busiestMember(fleet, "store")];
};
const controlNames = (fleet: Fleet): string[] =>
  fleet.plan.processes.filter(({ settings }) => settings.program === "control").map(({ name }) => name);
const wholeControlGroup = function* (fleet: Fleet): Task<string[]> {
  return controlNames(fleet);
};
const halfOfControlGroup = function* (fleet: Fleet): Task<string[]> {
  const names = controlNames(fleet);
  return names.slice(0, Math.ceil(names.length / 2));
};

const killIngress: FleetFault = {
  about: "an ingress and its agent are killed and are restarted after 3 s",
  *inject(fleet, history) {
    recordFault(fleet, history, "kill ingress-1 and agent-1");
    yield* killAll(fleet, ["ingress-1", "agent-1"]);
    yield* EnvironmentTools.sleep(fleet.env, INGRESS_RESTART_AFTER_MS);
    for (const name of ["agent-1", "ingress-1"]) fleet.start(planOf(fleet, name));
  },
};
const killTwoStorageNodes: FleetFault = {
  about: "the busiest storage node and another one are killed at once and are restarted after 6 s",
  *inject(fleet, history) {
    const first = yield* busiestMember(fleet, "store");
    const second = fleet.plan.processes.find(({ name, settings }) => settings.program === "store" && name !== first);
    if (!second) throw new Error("the fleet has only one storage node");
    const names = [first, second.name];
    recordFault(fleet, history, `kill ${names.join(" and ")}`);
    yield* killAll(fleet, names);
    yield* EnvironmentTools.sleep(fleet.env, RESTART_AFTER_MS);
    for (const name of names) fleet.start(planOf(fleet, name));
  },
};
const stopStorageNode: FleetFault = {
  about: "the busiest storage node is shut down by SIGTERM and is restarted",
  *inject(fleet, history) {
    const name = yield* busiestMember(fleet, "store");
    recordFault(fleet, history, `SIGTERM to ${name}`, false);
    fleet.signal(name, "SIGTERM");
    if (!(yield* fleet.waitForExit(name, SHUTDOWN_TIMEOUT_MS)))
      throw new Error(`${name} did not exit within 20 s after SIGTERM`);
    fleet.start(planOf(fleet, name));
  },
};

/**
 * Faults that can be injected into real processes, by their name in the command line's option `--trouble`.
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
  "kill-two-stores": killTwoStorageNodes,
  "cut-store": partition(
    "the busiest storage node is partitioned from all other processes for 9 s",
    "both",
    busiestStorageNode,
    PARTITION_MS,
  ),
  "cut-store-in": partition(
    "the busiest storage node receives nothing for 9 s",
    "in",
    busiestStorageNode,
    PARTITION_MS,
  ),
  "cut-store-out": partition(
    "nothing that the busiest storage node sends arrives for 9 s",
    "out",
    busiestStorageNode,
    PARTITION_MS,
  ),
  "cut-control": partition(
    "the whole control group is partitioned from all other processes for 15 s",
    "both",
    wholeControlGroup,
    CONTROL_PARTITION_MS,
  ),
  "cut-control-in-two": partition(
    "half of the control group is partitioned from all other processes for 9 s",
    "both",
    halfOfControlGroup,
    PARTITION_MS,
  ),
  "stop-store": stopStorageNode,
};

/** Returns whether a fault needs proxies between the processes. */
export const needsProxies = (faultName: string): boolean => faultName.startsWith("cut-");
