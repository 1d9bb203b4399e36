import { ControlFleet } from "./controlFleet";

/** How a machine that held a vote comes back without its disk. */
export type ReturnKind = "wiped" | "replaced";
export type VoterTrial = {
  seed: number;
  losses: number;
  /** The machines that lose their disks at once, and how each comes back. */
  kinds: ReturnKind[];
  /** The machine that is lost first: the leader or another voter. */
  victim: "lead" | "follower";
  /** Time between the loss and the return, ms. */
  downMs: number;
  /** Machines that serve control beside the voters. */
  standbys: number;
  /** All others lose power at the same moment, keep their disks and come back at the same moment. */
  allPower: boolean;
};
/** Times since the machines' return, ms; undefined: not within the limit. */
export type RecoveryTimes = {
  /** The leader considers the former voters dead. */
  detectedMs: number | undefined;
  /** A committed entry no longer names the former voters. */
  removedMs: number | undefined;
  /** The group has all its voters again, live and caught up. */
  completeMs: number | undefined;
  /** After the loss of as many other voters, when the first loss no longer counts: time until a leader is elected. */
  nextLeaderMs: number | undefined;
  /** The answer to that change; 0: none in time. */
  changeStatus: number;
};
/** `sync_time_s` of the smaller site: a machine counts as lost until that long after its return. */
const SYNC_TIME_MS = 4700;
const RECOVERY_LIMIT_MS = 12_000;
const POLL_STEP_MS = 10;

/** Measures how long the control group is short of a voter after a machine returned without its disk. */
export const VoterRecovery = {
  /** Whether the group has all its voters, live and caught up. */
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
  /** A fixed mix of all losses. */
  trials(seeds: number, losses: number): VoterTrial[] {
    const downTimes = [0, 60, 300, 1000, 2500, 6000];
    return Array.from({ length: seeds }, (_, at): VoterTrial => {
      const kinds: ReturnKind[] = at % 2 === 0 ? ["wiped", "replaced"] : ["replaced", "wiped"];
      const choice = Math.floor(at / 2);
      return {
        seed: 1000 + at,
        losses,
        kinds: kinds.slice(0, losses === 1 ? 1 : 1 + (choice % 2)),
        victim: choice % 3 === 0 ? "lead" : "follower",
        downMs: downTimes[choice % downTimes.length],
        standbys: Math.floor(at / 5) % 3,
        allPower: choice % 5 === 4,
      };
    });
  },
  /** Kills and restarts the machines of the trial. */
  async crashAndReturn(fleet: ControlFleet, trial: VoterTrial, victims: string[]): Promise<void> {
    const others = fleet.names("control").filter((name) => !victims.includes(name));
    const stopped = trial.allPower ? [...victims, ...others] : victims;
    for (const name of stopped) fleet.kill(name, true);
    await fleet.run(trial.downMs);
    victims.forEach((victim, at) => {
      if (trial.kinds[at] === "wiped") return fleet.restart(victim, { withEmptyDisk: true });
      fleet.settings.delete(victim);
      fleet.updateSeeds(trial.seed);
      fleet.addMachine(others[0], `${victim}-successor`);
    });
    if (trial.allPower) for (const name of others) fleet.restart(name);
  },
  async run(trial: VoterTrial): Promise<RecoveryTimes> {
    const wanted = 2 * trial.losses + 1;
    const fleet = new ControlFleet(trial.seed, { controls: wanted + trial.standbys, losses: trial.losses });
    await fleet.run(3000 + (trial.seed % 7) * 90);
    if ((await fleet.until(() => VoterRecovery.hasAllVoters(fleet, wanted), 8000)) === undefined)
      throw new Error(`seed ${trial.seed}: not all voters before the loss`);
    // before its first change a group that is short of voters waits for them
    if ((await VoterRecovery.putConfiguration(fleet, 1)) !== 200)
      throw new Error(`seed ${trial.seed}: no first change`);
    const victims = VoterRecovery.selectVoters(fleet, trial.victim, trial.kinds.length);
    const formerIds = victims.map((name) => fleet.control(name)!.node.self.id);
    await VoterRecovery.crashAndReturn(fleet, trial, victims);
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
    const next = VoterRecovery.selectVoters(fleet, "lead", trial.losses);
    for (const name of next) fleet.kill(name, true);
    times.nextLeaderMs = await fleet.until(() => fleet.leader() !== undefined, 5000, 50);
    times.changeStatus = await VoterRecovery.putConfiguration(fleet, 2);
    const errors = fleet.close();
    if (errors.length > 0) throw new Error(`seed ${trial.seed}: ${errors.join("; ")}`);
    return times;
  },
  /** An operator's change to this version; its status. @example await VoterRecovery.change(fleet, 1) // 200 */
  async putConfiguration(fleet: ControlFleet, version: number): Promise<number> {
    const ifMatch = { "if-match": String(version - 1) };
    return (await fleet.send("PUT", "/v1/manifest", { version, bindings: {} }, ifMatch)).status;
  },
  /** Names of voters, the leader first or left out. */
  selectVoters(fleet: ControlFleet, first: "lead" | "follower", count: number): string[] {
    const leader = fleet.leader();
    if (leader === undefined) return [];
    const voters = fleet.control(leader)!.group.voters();
    const followers = fleet
      .names("control")
      .filter((name) => name !== leader && voters.includes(fleet.control(name)?.node.self.id ?? ""));
    return (first === "lead" ? [leader, ...followers] : followers).slice(0, count);
  },
  /** One line: median and slowest of each stage. */
  summary(all: { trial: VoterTrial; times: RecoveryTimes }[]): string {
    const stage = (pick: (times: RecoveryTimes) => number | undefined): string => {
      const sorted = all.map(({ times }) => pick(times) ?? Infinity).sort((left, right) => left - right);
      return `${Math.round(sorted[sorted.length >> 1])}/${Math.round(sorted[sorted.length - 1])}`;
    };
    return (
      `${all.length} trials, median/slowest ms: detected ${stage((times) => times.detectedMs)}, ` +
      `removed ${stage((times) => times.removedMs)}, whole ${stage((times) => times.completeMs)}, ` +
      `a lead after the next loss ${stage((times) => times.nextLeaderMs)}`
    );
  },
};
