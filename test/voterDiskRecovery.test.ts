import { SimDisk } from "../src/simulation/simDisk";
import { ControlFleet } from "./controlFleet";

// Guards against a control voter that is lost for the life of its process after one failed write, so that the losses that
// the deployment allows take the majority away and the configuration doesn't come any more (users' rule CONFIG).

const FAULT_MS = 5000;
/** `sync_time_s` of the deployment, ms: a machine that was in trouble counts as lost for so long afterwards. */
const SYNC_TIME_MS = 6000;
/** `recovery_s` of the deployment, ms. */
const RECOVERY_MS = 15_000;
const CHANGE_PERIOD_MS = 500;

/** A way in which writes fail: sets it on a disk, or ends it. */
const WRITE_FAULTS: Record<string, (disk: SimDisk, isOn: boolean) => void> = {
  "no space": (disk, isOn) => (disk.full = isOn),
  "input and output errors": (disk, isOn) => (disk.failing = isOn),
  "syncs that fail after their write": (disk, isOn) => (disk.syncFailing = isOn),
};

const configuration = (version: number): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path: `/${version}` } },
});
async function change(fleet: ControlFleet, version: number): Promise<boolean> {
  const headers = { "if-match": String(version - 1), "petrelbeam-change-id": `change-${version}` };
  return (await fleet.send("PUT", "/v1/manifest", configuration(version), headers)).status === 200;
}
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
