import { ControlFleet } from "./controlFleet";
import { VoterRecovery, RecoveryTimes, VoterTrial } from "./voterRecoveryTrial";

/** Number of trials for each group size. `VOTER_SEEDS=500` runs the long campaign and prints its figures. */
const TRIAL_COUNT = +(process.env.VOTER_SEEDS ?? 12);
/**
 * Limit for the recovery, ms. It is well below `sync_time_s`, the time for which a returned machine still counts as
 * lost.
 */
const RECOVERY_LIMIT_MS = 3500;

describe.each([1, 2])("a voter that lost its disk, with %d losses tolerated", (losses) => {
  test("the group has all its voters again, caught up, before another machine may be lost", async () => {
    const results: { trial: VoterTrial; times: RecoveryTimes }[] = [];
    for (const trial of VoterRecovery.trials(TRIAL_COUNT, losses))
      results.push({ trial, times: await VoterRecovery.run(trial) });
    if (process.env.VOTER_SEEDS) {
      console.log(`${losses} losses: ${VoterRecovery.summary(results)}`);
      for (const kind of ["wiped", "replaced"] as const) {
        const oneKind = results.filter(
          ({ trial }) => trial.kinds.length === 1 && trial.kinds[0] === kind && !trial.allPower,
        );
        console.log(`${losses} losses, one machine ${kind}: ${VoterRecovery.summary(oneKind)}`);
      }
      const power = results.filter(({ trial }) => trial.allPower);
      console.log(`${losses} losses, all power lost: ${VoterRecovery.summary(power)}`);
      const both = results.filter(({ trial }) => trial.kinds.length === 2 && !trial.allPower);
      if (both.length > 0) console.log(`two at once: ${VoterRecovery.summary(both)}`);
    }
    const failed = results.filter(
      ({ times }) =>
        !(times.completeMs! <= RECOVERY_LIMIT_MS) || times.nextLeaderMs === undefined || times.changeStatus !== 200,
    );
    expect(failed).toEqual([]);
  }, 3_600_000);
});

describe("changes of voters", () => {
  /** Returns the number of uncommitted entries that list voters, by this node's log. */
  const pendingVoterEntries = (fleet: ControlFleet, name: string): number => {
    const group = fleet.control(name)?.group;
    const entries = group?.inspect().entries ?? [];
    return entries.filter(({ index, command }) => command.tag === "voters" && index > group!.commitIndex).length;
  };
  test("the leader proposes no change of voters while another one is not committed, however long the leader's disk stalls", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const leader = fleet.leader()!;
      const voters = fleet.control(leader)!.group.voters();
      const target = fleet
        .names("control")
        .find((name) => name !== leader && voters.includes(fleet.control(name)!.node.self.id))!;
      // Two voters are left, so nothing is committed without the leader's disk.
      fleet.disks.get(leader)!.syncMs = [7000, 0];
      fleet.kill(target, true);
      fleet.restart(target, { withEmptyDisk: true });
      let mostPending = 0;
      await fleet.until(
        () => {
          for (const name of fleet.names("control"))
            mostPending = Math.max(mostPending, pendingVoterEntries(fleet, name));
          return false;
        },
        6000,
        0.5,
      );
      expect([seed, mostPending]).toEqual([seed, 1]);
      fleet.disks.get(leader)!.syncMs = [0.3, 2.5];
      expect(await fleet.until(() => VoterRecovery.hasAllVoters(fleet, 3), 8000)).toBeDefined();
      expect(fleet.close()).toEqual([]);
    }
  });
  test("the loss of a successor while the machine that it replaced still counts as lost does not stop the group", async () => {
    for (const seed of [1, 2, 3, 4]) {
      const fleet = new ControlFleet(seed, { controls: 3 });
      await fleet.run(3000);
      const [target] = VoterRecovery.selectVoters(fleet, "follower", 1);
      fleet.kill(target, true);
      fleet.settings.delete(target);
      fleet.updateSeeds();
      fleet.addMachine(fleet.names("control")[0], "successor");
      const isVoter = (): boolean =>
        fleet
          .control(fleet.leader() ?? "")
          ?.group.voters()
          .includes(fleet.control("successor")?.node.self.id ?? "") ?? false;
      expect(await fleet.until(isVoter, 8000, 1)).toBeDefined();
      fleet.kill("successor", true);
      await fleet.run(1500);
      const put = await fleet.send("PUT", "/v1/manifest", { version: 1, bindings: {} }, { "if-match": "0" });
      expect([seed, put.status]).toEqual([seed, 200]);
      expect(fleet.close()).toEqual([]);
    }
  });
});
