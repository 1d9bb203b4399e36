import { Constants } from "../src/common/constants";
import { SimDisk } from "../src/simulation/simDisk";
import { SimFolder } from "../src/simulation/simFiles";
import { ControlFleet } from "./controlFleet";

// Guards against a control voter that is lost for the life of its process after one failed write, so that the losses that
// the deployment allows take the majority away and the configuration doesn't come any more (users' rule CONFIG).

const FAULT_MS = 5000;
/** `sync_time_s` of the deployment, ms: a machine that was in trouble counts as lost for so long afterwards. */
const SYNC_TIME_MS = 6000;
/** `recovery_s` of the deployment, ms. */
const RECOVERY_MS = 15_000;
const CHANGE_PERIOD_MS = 500;
/** Time for a response on the way to the operator, ms. */
const RESPONSE_MS = 100;

/** Removes the folder of the control log below the running process. */
function removeLogFolder(disk: SimDisk): void {
  const data = disk.find("data") as SimFolder;
  for (const machine of data.names.values()) (machine as SimFolder).change({ tag: "removed", name: "group" });
}
/** Ways in which writes fail: sets one on a disk, or ends it. */
const WRITE_FAULTS: Record<string, (disk: SimDisk, isOn: boolean) => void> = {
  "no space": (disk, isOn) => (disk.full = isOn),
  "input and output errors": (disk, isOn) => (disk.failing = isOn),
  "syncs that fail after their write": (disk, isOn) => (disk.syncFailing = isOn),
  "a folder that vanished": (disk, isOn) => isOn && removeLogFolder(disk),
};

const configuration = (version: number): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path: `/${version}` } },
});
async function changeStatus(fleet: ControlFleet, version: number): Promise<number> {
  const headers = { "if-match": String(version - 1), "petrelbeam-change-id": `change-${version}` };
  return (await fleet.send("PUT", "/v1/manifest", configuration(version), headers)).status;
}
const change = async (fleet: ControlFleet, version: number): Promise<boolean> =>
  (await changeStatus(fleet, version)) === 200;
const readBack = async (fleet: ControlFleet): Promise<number | undefined> => {
  const response = await fleet.send("GET", "/v1/manifest");
  return response.status === 200 ? (response.body as { version: number }).version : undefined;
};
/** Names of the running voters, by the leader's log; the leader's is the first. */
function voterNames(fleet: ControlFleet): string[] {
  const leader = fleet.leader()!;
  const ids = fleet.control(leader)!.group.voters();
  const others = fleet.names("control").filter((name) => name !== leader);
  return [leader, ...others.filter((name) => ids.includes(fleet.control(name)?.node.self.id ?? ""))];
}
/** Sends changes for some time; returns the version that was acknowledged last. */
async function changeFor(fleet: ControlFleet, ms: number, acknowledged: number): Promise<number> {
  let version = acknowledged;
  for (const until = fleet.world.now + ms; fleet.world.now < until; await fleet.run(CHANGE_PERIOD_MS))
    if (await change(fleet, version + 1)) version += 1;
  return version;
}

describe.each(Object.keys(WRITE_FAULTS))("a control voter whose writes failed by %s for a while", (fault) => {
  test.each(["leader", "follower"])(
    "counts again, so that the %s and two other disks may be lost in turn",
    async (role) => {
      for (const seed of [1, 2, 3]) {
        const fleet = new ControlFleet(seed, { controls: 5, losses: 2 });
        expect(await fleet.until(() => fleet.leader() !== undefined, 4000)).toBeDefined();
        expect(await fleet.until(() => change(fleet, 1), 8000, CHANGE_PERIOD_MS)).toBeDefined();
        const voters = voterNames(fleet);
        const target = role === "leader" ? voters[0] : voters[1];
        WRITE_FAULTS[fault](fleet.disks.get(target)!, true);
        const during = await changeFor(fleet, FAULT_MS, 1);
        expect(during).toBeGreaterThan(1);
        WRITE_FAULTS[fault](fleet.disks.get(target)!, false);
        await fleet.run(SYNC_TIME_MS);
        expect(await change(fleet, during + 1)).toBe(true);
        const lost = voterNames(fleet)
          .filter((name) => name !== target)
          .slice(0, 2);
        for (const name of lost) fleet.kill(name, true);
        await fleet.run(1600);
        for (const name of lost) fleet.restart(name, { withEmptyDisk: true });
        let version: number | undefined;
        const hasReadBack = async (): Promise<boolean> => (version = await readBack(fleet)) !== undefined;
        await fleet.until(hasReadBack, RECOVERY_MS, CHANGE_PERIOD_MS);
        expect([seed, version]).toEqual([seed, during + 1]);
        expect(fleet.close()).toEqual([]);
      }
    },
  );
});

// Guards against a voter that can't write, but is alive, and keeps its place for ever while a sound standby waits.
describe("a control voter whose disk never takes a write again", () => {
  const REPLACED_WITHIN_MS = 6000;
  const idOf = (fleet: ControlFleet, name: string): string => fleet.control(name)!.node.self.id;
  const votersByLeader = (fleet: ControlFleet): string[] =>
    fleet.control(fleet.leader() ?? "")?.group.state.voters ?? [];

  test.each(["leader", "follower"])(
    "is replaced by a standby, so that another disk may be lost, as %s",
    async (role) => {
      for (const seed of [1, 2, 3]) {
        const fleet = new ControlFleet(seed, { controls: 4, losses: 1 });
        expect(await fleet.until(() => change(fleet, 1), 8000, CHANGE_PERIOD_MS)).toBeDefined();
        const voters = voterNames(fleet);
        const target = role === "leader" ? voters[0] : voters[1];
        const targetId = idOf(fleet, target);
        fleet.disks.get(target)!.full = true;
        const isReplaced = (): boolean =>
          votersByLeader(fleet).length === voters.length && !votersByLeader(fleet).includes(targetId);
        const sendAndCheck = async (): Promise<boolean> => (await change(fleet, 2)) && isReplaced();
        await fleet.until(sendAndCheck, REPLACED_WITHIN_MS, CHANGE_PERIOD_MS);
        expect([seed, isReplaced()]).toEqual([seed, true]);
        const lost = voterNames(fleet)[1];
        fleet.kill(lost, true);
        fleet.restart(lost, { withEmptyDisk: true });
        expect(await fleet.until(() => change(fleet, 3), RECOVERY_MS, CHANGE_PERIOD_MS)).toBeDefined();
        expect(fleet.close()).toEqual([]);
      }
    },
  );

  test("keeps its place without a standby, and while another voter is down no voter that can write is removed", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = new ControlFleet(seed, { controls: 5, losses: 2 });
      expect(await fleet.until(() => change(fleet, 1), 8000, CHANGE_PERIOD_MS)).toBeDefined();
      const [, full, down] = voterNames(fleet);
      const writable = voterNames(fleet)
        .filter((name) => name !== full && name !== down)
        .map((name) => idOf(fleet, name));
      fleet.disks.get(full)!.full = true;
      fleet.kill(down);
      for (let waited = 0; waited < REPLACED_WITHIN_MS; waited += CHANGE_PERIOD_MS) {
        await fleet.run(CHANGE_PERIOD_MS);
        if (!fleet.leader()) continue;
        expect([seed, votersByLeader(fleet)]).toEqual([seed, expect.arrayContaining(writable)]);
        expect(votersByLeader(fleet)).toHaveLength(5);
      }
      expect(await fleet.until(() => change(fleet, 2), RECOVERY_MS, CHANGE_PERIOD_MS)).toBeDefined();
      expect(fleet.close()).toEqual([]);
    }
  });
});

// Guards against an order that hangs, or a read that shows an old state, while too few voters can write.
describe("a control group of which no majority can write", () => {
  test.each([3, 5])(
    "refuses orders and reads until %i disks of five take writes, and then loses nothing",
    async (count) => {
      for (const seed of [1, 2, 3]) {
        const fleet = new ControlFleet(seed, { controls: 5, losses: 2 });
        expect(await fleet.until(() => change(fleet, 1), 8000, CHANGE_PERIOD_MS)).toBeDefined();
        for (const name of voterNames(fleet).slice(0, count)) fleet.disks.get(name)!.full = true;
        let acknowledged = 1;
        const statuses: number[] = [];
        for (let sent = 0; sent < 3; sent += 1) {
          const startedAt = fleet.world.now;
          statuses.push(await changeStatus(fleet, acknowledged + 1));
          if (statuses.at(-1) === 200) acknowledged += 1;
          expect(fleet.world.now - startedAt).toBeLessThan(Constants.changeRetryWindowMs + RESPONSE_MS);
        }
        // Of the first ones the outcome may be unknown or known; once no voter leads, nothing was tried.
        expect([seed, statuses.at(-1)]).toEqual([seed, 503]);
        await fleet.run(SYNC_TIME_MS);
        expect([seed, await readBack(fleet)]).toEqual([seed, undefined]);
        for (const disk of fleet.disks.values()) disk.full = false;
        let version: number | undefined;
        const isInForce = async (): Promise<boolean> => (version = await readBack(fleet)) !== undefined;
        await fleet.until(isInForce, RECOVERY_MS, CHANGE_PERIOD_MS);
        expect(version).toBeGreaterThanOrEqual(acknowledged);
        expect(await fleet.until(() => change(fleet, version! + 1), RECOVERY_MS, CHANGE_PERIOD_MS)).toBeDefined();
        expect(fleet.close()).toEqual([]);
      }
    },
  );
});
