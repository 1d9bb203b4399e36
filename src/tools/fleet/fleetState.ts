import { Task } from "../../runtime/csp";
import { ProcessPlan } from "../deployment";
import type { Fleet } from "./fleet";

/** Programs whose processes elect leaders among themselves. */
export type ReplicatedProgram = "store" | "control";

/** The planned process of that name; throws where there is none. @example planOf(fleet, "store-1").settings.address */
export function planOf(fleet: Fleet, name: string): ProcessPlan {
  const process = fleet.plan.processes.find((each) => each.name === name);
  if (!process) throw new Error(`no process ${name} in the plan`);
  return process;
}

/** How many shards each store leads, by the store's address. */
function* ledShards(fleet: Fleet): Task<Map<string, number>> {
  const cluster = yield* fleet.operator.members();
  const counts = new Map<string, number>();
  for (const view of cluster?.views ?? []) {
    const address = cluster?.members.find((member) => member.id === view.lead)?.address ?? "";
    counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  return counts;
}
function* busiestStore(fleet: Fleet, stores: ProcessPlan[]): Task<string> {
  const counts = yield* ledShards(fleet);
  const countOf = ({ settings }: ProcessPlan): number => counts.get(settings.address) ?? 0;
  return [...stores].sort((left, right) => countOf(right) - countOf(left))[0].name;
}
function* leadingControl(fleet: Fleet, controls: ProcessPlan[]): Task<string> {
  for (const { name, settings } of controls) {
    const metrics = yield* fleet.operator.metrics(settings.http);
    if (metrics.includes("petrelbeam_is_lead 1")) return name;
  }
  return controls[0].name;
}

/** Name of the store that leads the most shards, or of the control group's leader. @example yield* busiestMember(fleet, "store") */
export function* busiestMember(fleet: Fleet, program: ReplicatedProgram): Task<string> {
  const processes = fleet.plan.processes.filter(({ settings }) => settings.program === program);
  return yield* program === "store" ? busiestStore(fleet, processes) : leadingControl(fleet, processes);
}
