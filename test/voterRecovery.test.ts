import { ControlFleet } from "./controlFleet";
import { VoterRecovery, RecoveryTimes, VoterTrial } from "./voterRecoveryTrial";

/** Trials for each size of group; `VOTER_SEEDS=500` plays the long campaign and prints its figures. */
const TRIAL_COUNT = +(process.env.VOTER_SEEDS ?? 12);
/** Well inside `sync_time_s`: a machine counts as lost until that long after its return. */
const RECOVERY_LIMIT_MS = 3500;

describe.each([1, 2])("a voter that lost its disk, with %d losses tolerated", (losses) => {
  test("the group has all its voters again, caught up, before the next loss may come", async () => {
    const all: { trial: VoterTrial; times: RecoveryTimes }[] = [];
    for (const trial of VoterRecovery.trials(TRIAL_COUNT, losses))
      all.push({ trial, times: await VoterRecovery.run(trial) });
    if (process.env.VOTER_SEEDS) {
      console.log(`${losses} losses: ${VoterRecovery.summary(all)}`);
      for (const kind of ["wiped", "replaced"] as const) {
        const those = all.filter(({ trial }) => trial.kinds.length === 1 && trial.kinds[0] === kind && !trial.allPower);
        console.log(`${losses} losses, one ${kind}: ${VoterRecovery.summary(those)}`);
      }
      const power = all.filter(({ trial }) => trial.allPower);
      console.log(`${losses} losses, all power lost: ${VoterRecovery.summary(power)}`);
      const both = all.filter(({ trial }) => trial.kinds.length === 2 && !trial.allPower);
      if (both.length > 0) console.log(`two at once: ${VoterRecovery.summary(both)}`);
    }
    const failed = all.filter(
      ({ times }) =>
        !(times.completeMs! <= RECOVERY_LIMIT_MS) || times.nextLeaderMs === undefined || times.changeStatus !== 200,
    );
    expect(failed).toEqual([]);
  }, 3_600_000);
});

describe("changes of voters", () => {
  /** Entries that name voters and are not committed, by this node's log. */
  const pendingVoterEntries = (fleet: ControlFleet, name: string): number => {
    const group = fleet.control(name)?.group;
    const entries = group?.inspect().entries ?? [];
    return entries.filter(({ index, command }) => command.tag === "voters" && index > group!.commitIndex).length;
  };
  test("the leader proposes no change of voters while another one is not committed, however long its disk stalls", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const leader = fleet.leader()!;
      const voters = fleet.control(leader)!.group.voters();
      const victim = fleet
        .names("control")
        .find((name) => name !== leader && voters.includes(fleet.control(name)!.node.self.id))!;
      // two voters are left, so that nothing is committed without the leader's own disk
      fleet.disks.get(leader)!.syncMs = [7000, 0];
      fleet.kill(victim, true);
      fleet.restart(victim, { withEmptyDisk: true });
      let most = 0;
      await fleet.until(
        () => {
          for (const name of fleet.names("control")) most = Math.max(most, pendingVoterEntries(fleet, name));
          return false;
        },
        6000,
        0.5,
      );
      expect([seed, most]).toEqual([seed, 1]);
      fleet.disks.get(leader)!.syncMs = [0.3, 2.5];
      expect(await fleet.until(() => VoterRecovery.hasAllVoters(fleet, 3), 8000)).toBeDefined();
      expect(fleet.close()).toEqual([]);
    }
  });
  test("the loss of a successor, while the machine that it replaced still counts as lost, does not stop the group", async () => {
    for (const seed of [1, 2, 3, 4]) {
      const fleet = new ControlFleet(seed, { controls: 3 });
      await fleet.run(3000);
      const [victim] = VoterRecovery.selectVoters(fleet, "follower", 1);
      fleet.kill(victim, true);
      fleet.settings.delete(victim);
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
