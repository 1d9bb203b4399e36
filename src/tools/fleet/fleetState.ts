import { Task } from "../../runtime/csp";
import { ProcessPlan } from "../deployment";
import type { Fleet } from "./fleet";

/** The programs whose processes elect leaders among themselves. */
export type ReplicatedProgram = "store" | "control";

/** Returns the process of that name in the plan; throws if there is none. */
export function planOf(fleet: Fleet, name: string): ProcessPlan {
  const process = fleet.plan.processes.find((each) => each.name === name);
  if (!process) throw new Error(`the plan has no process ${name}`);
  return process;
}

/** Returns the number of shards that each storage node leads, by its address. */
function* ledShardCounts(fleet: Fleet): Task<Map<string, number>> {
  const cluster = yield* fleet.operator.members();
  const counts = new Map<string, number>();
  for (const view of cluster?.views ?? []) {
    const address = cluster?.members.find((member) => member.id === view.lead)?.address ?? "";
    counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  return counts;
}
function* busiestStorageNode(fleet: Fleet, storageNodes: ProcessPlan[]): Task<string> {
  const counts = yield* ledShardCounts(fleet);
  const countOf = ({ settings }: ProcessPlan): number => counts.get(settings.address) ?? 0;
  return [...storageNodes].sort((left, right) => countOf(right) - countOf(left))[0].name;
}
function* controlLeader(fleet: Fleet, controls: ProcessPlan[]): Task<string> {
  for (const { name, settings } of controls) {
    const metrics = yield* fleet.operator.metrics(settings.http);
    if (metrics.includes("petrelbeam_is_lead 1")) return name;
  }
  return controls[0].name;
}

/** Returns the name of the storage node that leads the most shards, or of the leader of the control group. */
export function* busiestMember(fleet: Fleet, program: ReplicatedProgram): Task<string> {
  const processes = fleet.plan.processes.filter(({ settings }) => settings.program === program);
  return yield* program === "store" ? busiestStorageNode(fleet, processes) : controlLeader(fleet, processes);
}
