import { Result } from "../src/common/fault";
import { Command, Outcome } from "../src/controlState/command";
import { SimulatedControlGroup, GroupMember } from "../src/tools/scale/simulatedControlGroup";

export const noop: Command = { tag: "noop" };
export const noops = (count: number): Command[] => Array.from({ length: count }, () => noop);

/** Proposes a command at the given server, whether it is the leader or not. */
export async function proposeAt(
  control: SimulatedControlGroup,
  voter: GroupMember,
  command: Command,
): Promise<Result<Outcome> | undefined> {
  return await control.world.runTask(voter.process, () => voter.group.propose(command, 2000), 3000);
}

/** Partitions the given servers from all others; they can still reach each other. */
export function isolate(control: SimulatedControlGroup, ids: string[]): void {
  for (const { id } of control.members)
    if (!ids.includes(id))
      for (const isolated of ids) {
        control.world.partition(id, isolated);
        control.world.partition(isolated, id);
      }
}
