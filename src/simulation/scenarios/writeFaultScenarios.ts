import { SimDisk } from "../simDisk";
import { SimFleet } from "../simFleet";
import { pickRandom, UnnumberedScenario } from "./scenario";

/** Ways in which a disk rejects writes, as flags of the simulated disk. */
const WRITE_FAULTS = ["full", "failing", "syncFailing"] as const;
type WriteFault = (typeof WRITE_FAULTS)[number];

const FAULT_MS = 5000;
/** Time after its trouble for which a machine still counts as lost, ms. */
const SYNC_TIME_MS = 4700;
/** Time within which all works again after the last loss, ms. */
const RECOVERY_MS = 15_000;
const CHANGE_PERIOD_MS = 700;
const LOST_MACHINE_DOWN_MS = 1600;

const setFault = (disk: SimDisk, fault: WriteFault, isOn: boolean): void => void (disk[fault] = isOn);

/** Sends changes for some time; returns how many were acknowledged. */
async function changeFor(fleet: SimFleet, ms: number): Promise<number> {
  let acknowledged = 0;
  for (const until = fleet.world.now + ms; fleet.world.now < until; await fleet.run(CHANGE_PERIOD_MS))
    if ((await fleet.changeConfiguration()).outcome === "acknowledged") acknowledged += 1;
  return acknowledged;
}
/** Throws unless a change is acknowledged within the time allowed for a recovery. */
async function expectChange(fleet: SimFleet, when: string): Promise<void> {
  const until = fleet.world.now + RECOVERY_MS;
  while (fleet.world.now < until) if ((await changeFor(fleet, CHANGE_PERIOD_MS)) > 0) return;
  throw new Error(`no change was acknowledged within ${RECOVERY_MS} ms ${when}`);
}
/** Makes disks reject writes for a while, during which the configuration is changed. */
async function failDisks(fleet: SimFleet, names: string[], fault: WriteFault): Promise<void> {
  fleet.recordFault(`writes at ${names.join(" and ")} fail: ${fault}`, false);
  fleet.actions.push(`disks ${fault}: ${names.join(" ")}`);
  for (const name of names) setFault(fleet.disks.get(name)!, fault, true);
  await changeFor(fleet, FAULT_MS);
  for (const name of names) setFault(fleet.disks.get(name)!, fault, false);
}
/** One voter loses its disk; on even seeds all other control and storage machines lose power at the same moment. */
async function loseDisk(fleet: SimFleet, lost: string): Promise<void> {
  const others = fleet.seed % 2 === 0 ? [...fleet.names("control"), ...fleet.names("store")] : [];
  const stopped = [lost, ...others.filter((name) => name !== lost)];
  fleet.recordFault(`disk of ${lost} lost, ${stopped.length - 1} others without power`, true);
  for (const name of stopped) fleet.kill(name, true);
  await fleet.run(LOST_MACHINE_DOWN_MS);
  for (const name of stopped) fleet.restart(name, { withEmptyDisk: name === lost });
}

/** Scenarios in which disks reject writes, and take them again, and another disk is lost afterwards. */
export const writeFaultScenarios: UnnumberedScenario[] = [
  {
    name: "control-disks-in-turn",
    description:
      "writes fail at two control voters in turn while the configuration changes, then a third one loses its disk (even seeds: all others power)",
    run: async (fleet) => {
      const fault = pickRandom(fleet, [...WRITE_FAULTS]);
      const [first, second] = fleet.controlGroup().voters.map(({ name }) => name);
      for (const name of [first, second]) {
        await failDisks(fleet, [name], fault);
        await fleet.run(SYNC_TIME_MS);
        await expectChange(fleet, `after the disk of ${name} took writes again`);
      }
      const remaining = fleet.controlGroup().voters.map(({ name }) => name);
      await loseDisk(fleet, remaining.find((name) => name !== first && name !== second) ?? remaining[0]);
      await expectChange(fleet, "after another disk was lost");
      await fleet.run(SYNC_TIME_MS);
    },
  },
  {
    name: "control-disks-at-once",
    description:
      "writes fail at all control machines at once while the configuration changes, then one of them loses its disk (even seeds: all others power)",
    run: async (fleet) => {
      const fault = pickRandom(fleet, [...WRITE_FAULTS]);
      await failDisks(fleet, fleet.names("control"), fault);
      await expectChange(fleet, "after the disks took writes again");
      await fleet.run(SYNC_TIME_MS);
      await loseDisk(fleet, fleet.controlLeader());
      await expectChange(fleet, "after a disk was lost");
      await fleet.run(SYNC_TIME_MS);
    },
  },
];
