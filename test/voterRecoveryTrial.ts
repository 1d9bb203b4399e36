import { ControlFleet } from "./controlFleet";

/** How the machine of a voter returns without its disk: empty at its address, or as an empty one elsewhere. */
export type ReturnKind = "wiped" | "replaced";
export type VoterTrial = {
  seed: number;
  losses: number;
  /** How each of the machines that lose their disks at the same time returns. */
  kinds: ReturnKind[];
  /** Role of the voter whose machine is lost first. */
  firstTarget: "leader" | "follower";
  /** Time between the loss and the return of the machines, ms. */
  downMs: number;
  /** Number of control machines that are not voters. */
  standbys: number;
  /** Whether all other machines lose power and return at the same moments, with their disks. */
  allPower: boolean;
};
/** Times since the return of the machines, ms; undefined if the time limit was exceeded. */
export type RecoveryTimes = {
  /** Time until the leader considers the former voters dead. */
  detectedMs: number | undefined;
  /** Time until the committed voters no longer include the former ones. */
  removedMs: number | undefined;
  /** Time until the group has all its voters again, live and caught up. */
  completeMs: number | undefined;
  /** Time until a leader is elected after the loss of as many other voters, once the first loss no longer counts. */
  nextLeaderMs: number | undefined;
  /** HTTP status of the change after that election; 0 if there was no response in time. */
  changeStatus: number;
};
/** `sync_time_s` of the smaller site, ms: the time for which a returned machine still counts as lost. */
const SYNC_TIME_MS = 4700;
const RECOVERY_LIMIT_MS = 12_000;
const POLL_STEP_MS = 10;

/** Measures how long the control group has too few voters after machines returned without their disks. */
export const VoterRecovery = {
  /** Returns whether the group has all its voters, live and caught up. */
  hasAllVoters(fleet: ControlFleet, wanted: number): boolean {
    const leader = fleet.leader();
    if (!leader) return false;
    const { group } = fleet.control(leader)!;
    const voters = group.state.voters;
    if (voters.length !== wanted || group.voters().join() !== voters.join()) return false;
    const live = fleet.names("control").flatMap((name) => fleet.control(name) ?? []);
    return voters.every((id) =>
      live.some(({ node, group: own }) => node.self.id === id && own.lastApplied >= group.commitIndex),
    );
  },
  /** Returns a fixed mix of trials that covers all kinds of losses. */
  trials(seeds: number, losses: number): VoterTrial[] {
    const downTimes = [0, 60, 300, 1000, 2500, 6000];
    return Array.from({ length: seeds }, (_, at): VoterTrial => {
      const kinds: ReturnKind[] = at % 2 === 0 ? ["wiped", "replaced"] : ["replaced", "wiped"];
      const choice = Math.floor(at / 2);
      return {
        seed: 1000 + at,
        losses,
        kinds: kinds.slice(0, losses === 1 ? 1 : 1 + (choice % 2)),
        firstTarget: choice % 3 === 0 ? "leader" : "follower",
        downMs: downTimes[choice % downTimes.length],
        standbys: Math.floor(at / 5) % 3,
        allPower: choice % 5 === 4,
      };
    });
  },
  /** Kills the machines of the trial and brings them back. */
  async crashAndReturn(fleet: ControlFleet, trial: VoterTrial, targets: string[]): Promise<void> {
    const others = fleet.names("control").filter((name) => !targets.includes(name));
    const stopped = trial.allPower ? [...targets, ...others] : targets;
    for (const name of stopped) fleet.kill(name, true);
    await fleet.run(trial.downMs);
    targets.forEach((target, at) => {
      if (trial.kinds[at] === "wiped") return fleet.restart(target, { withEmptyDisk: true });
      fleet.settings.delete(target);
      fleet.updateSeeds(trial.seed);
      fleet.addMachine(others[0], `${target}-successor`);
    });
    if (trial.allPower) for (const name of others) fleet.restart(name);
  },
  async run(trial: VoterTrial): Promise<RecoveryTimes> {
    const wanted = 2 * trial.losses + 1;
    const fleet = new ControlFleet(trial.seed, { controls: wanted + trial.standbys, losses: trial.losses });
    await fleet.run(3000 + (trial.seed % 7) * 90);
    if ((await fleet.until(() => VoterRecovery.hasAllVoters(fleet, wanted), 8000)) === undefined)
      throw new Error(`seed ${trial.seed}: the group does not have all its voters before the loss`);
    // Before its first change, a group with too few voters waits for more.
    if ((await VoterRecovery.putConfiguration(fleet, 1)) !== 200)
      throw new Error(`seed ${trial.seed}: the first change was not accepted`);
    const targets = VoterRecovery.selectVoters(fleet, trial.firstTarget, trial.kinds.length);
    const formerIds = targets.map((name) => fleet.control(name)!.node.self.id);
    await VoterRecovery.crashAndReturn(fleet, trial, targets);
    const times: RecoveryTimes = {
      detectedMs: undefined,
      removedMs: undefined,
      completeMs: undefined,
      nextLeaderMs: undefined,
      changeStatus: 0,
    };
    const from = fleet.world.now;
    await fleet.until(
      () => {
        const at = fleet.world.now - from;
        const control = fleet.control(fleet.leader() ?? "");
        if (!control) return false;
        const states = formerIds.map((id) => control.node.membership.find(id)?.state ?? "dead");
        if (!states.some((state) => state === "alive" || state === "suspect")) times.detectedMs ??= at;
        if (formerIds.some((id) => control.group.state.voters.includes(id))) return false;
        times.removedMs ??= at;
        if (VoterRecovery.hasAllVoters(fleet, wanted)) times.completeMs = at;
        return times.completeMs !== undefined;
      },
      RECOVERY_LIMIT_MS,
      POLL_STEP_MS,
    );
    await fleet.run(Math.max(0, from + SYNC_TIME_MS - fleet.world.now));
    const next = VoterRecovery.selectVoters(fleet, "leader", trial.losses);
    for (const name of next) fleet.kill(name, true);
    times.nextLeaderMs = await fleet.until(() => fleet.leader() !== undefined, 5000, 50);
    times.changeStatus = await VoterRecovery.putConfiguration(fleet, 2);
    const errors = fleet.close();
    if (errors.length > 0) throw new Error(`seed ${trial.seed}: ${errors.join("; ")}`);
    return times;
  },
  /** Sends a change of the configuration to this version as an operator, and returns the HTTP status. */
  async putConfiguration(fleet: ControlFleet, version: number): Promise<number> {
    const ifMatch = { "if-match": String(version - 1) };
    return (await fleet.send("PUT", "/v1/manifest", { version, bindings: {} }, ifMatch)).status;
  },
  /** Returns names of voters: the leader and then followers, or followers only. */
  selectVoters(fleet: ControlFleet, first: "leader" | "follower", count: number): string[] {
    const leader = fleet.leader();
    if (leader === undefined) return [];
    const voters = fleet.control(leader)!.group.voters();
    const followers = fleet
      .names("control")
      .filter((name) => name !== leader && voters.includes(fleet.control(name)?.node.self.id ?? ""));
    return (first === "leader" ? [leader, ...followers] : followers).slice(0, count);
  },
  /** Returns one line with the median and the slowest time of each stage. */
  summary(all: { trial: VoterTrial; times: RecoveryTimes }[]): string {
    const stage = (timeOf: (times: RecoveryTimes) => number | undefined): string => {
      const sorted = all.map(({ times }) => timeOf(times) ?? Infinity).sort((left, right) => left - right);
      return `${Math.round(sorted[sorted.length >> 1])}/${Math.round(sorted[sorted.length - 1])}`;
    };
    return (
      `${all.length} trials, median/slowest ms: detected ${stage((times) => times.detectedMs)}, ` +
      `removed ${stage((times) => times.removedMs)}, complete ${stage((times) => times.completeMs)}, ` +
      `leader after the next loss ${stage((times) => times.nextLeaderMs)}`
    );
  },
};
