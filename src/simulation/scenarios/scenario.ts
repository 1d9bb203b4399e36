/** What scenarios have in common: their shape, the points they kill processes at, and small helpers. */
import { SimFleet } from "../simFleet";

/** A run with failures: what it does to a fleet, and what it expects of it beyond the checker. */
export type Scenario = {
  number: number;
  name: string;
  description: string;
  load?: number;
  /** Each of these in turn, when none is named. */
  points?: number[];
  run: (fleet: SimFleet, point: number) => Promise<void>;
};

/** Points that a run may be killed at; docs/faults.md says what each is. */
export const points: Record<number, { process: string; description: string }> = {
  11: { process: "store-", description: "before a log append" },
  12: { process: "store-", description: "after a log append, before anyone is told" },
  13: { process: "store-", description: "slot written, next log not yet begun" },
  14: { process: "store-", description: "next log begun, old log not yet removed" },
  15: { process: "store-", description: "a segment is written, its index not yet" },
  16: { process: "store-", description: "a segment and its index are written, the slots still carry it" },
  17: { process: "store-", description: "a copy being filled has a whole file, not yet written" },
  21: { process: "agent-", description: "a newer frame was just taken" },
  31: { process: "control-", description: "voted for itself, votes not yet asked" },
  32: { process: "control-", description: "won an election, nothing written yet" },
  33: { process: "control-", description: "an entry was just committed, nobody told" },
  34: { process: "control-", description: "a vote was saved, not yet given" },
  35: { process: "control-", description: "a follower saved entries, not yet said so" },
  37: { process: "control-", description: "decisions told to the ledger, not yet marked as told" },
  36: { process: "control-", description: "all of the next view stand at the sealed end, the view not yet committed" },
  38: { process: "control-", description: "a view was committed, not yet installed" },
  39: { process: "control-", description: "survivors sealed, no view yet" },
  40: { process: "control-", description: "a joining copy was filled, nobody has sealed yet" },
  41: { process: "store-", description: "a member is about to write an entry" },
  42: { process: "store-", description: "a member wrote an entry, not yet said so" },
  43: { process: "store-", description: "a member sealed, not yet said so" },
  44: { process: "store-", description: "a new lead brought all up, not yet leading" },
  45: { process: "store-", description: "the lead sent an entry, not yet written by itself" },
  46: { process: "store-", description: "the lead wrote an entry, not yet on every copy" },
  47: { process: "store-", description: "an entry is on every copy, just answered" },
  48: { process: "store-", description: "the lead is filling a new copy" },
  49: { process: "store-", description: "a member of the next view was brought to the sealed end, not yet said so" },
  50: { process: "store-", description: "the longest sealed copy is about to bring the others to its end" },
  51: { process: "store-", description: "a request was opened and claimed, not yet delivered" },
  52: { process: "store-", description: "right before delivery" },
  53: { process: "store-", description: "a replica's piece came, not yet put" },
  54: { process: "store-", description: "a round of a request ended" },
  55: { process: "store-", description: "an item was claimed, not yet delivered" },
  56: { process: "store-", description: "an item's result came, not yet put" },
  61: { process: "control-", description: "a move's next fate is about to be put" },
  62: { process: "control-", description: "a move's fate was put" },
};
/** Points at which a copy joins a shard. */
export const joining = [48, 40, 39, 50, 49, 36, 38];
/** One of a list, by the seed. @example pick(fleet, fleet.names("store")) */
export const pick = <T>(fleet: SimFleet, from: T[]): T => from[Math.floor(fleet.world.random() * from.length)];
/** All processes of a program but one. @example others(fleet, "store", "store-1") */
export const others = (fleet: SimFleet, program: string, but: string): string[] =>
  fleet.names(program).filter((name) => name !== but);
/** Operators' moves that make points 13, 14, 31 to 62 be reached. @example await stir(fleet); */
export async function stir(fleet: SimFleet): Promise<void> {
  await fleet.changeConfiguration();
  const zone = pick(fleet, fleet.deployment.districts);
  await fleet.move({ kind: "drain", district: zone }, 6000);
  await fleet.move({ kind: "undrain", district: zone }, 4000);
}

/** A scenario before it has its number, which is its place among all. */
export type UnnumberedScenario = Omit<Scenario, "number">;
