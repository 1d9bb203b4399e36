/** The type of scenarios, the fault points and helpers of scenarios. */
import { SimFleet } from "../simFleet";

/** A simulated run: what it does to a fleet, and what it expects in addition to the checker's invariants. */
export type Scenario = {
  number: number;
  name: string;
  description: string;
  /** Load of the callers, as a multiple of the deployment's usual load. */
  load?: number;
  /** Fault points, each of which gets its own run unless one is chosen. */
  points?: number[];
  run: (fleet: SimFleet, point: number) => Promise<void>;
};

/** Fault points at which a process can be killed, with the prefix of the processes' names. docs/faults.md explains them. */
export const faultPoints: Record<number, { process: string; description: string }> = {
  11: { process: "store-", description: "before a log append" },
  12: { process: "store-", description: "after a log append, before it is acknowledged" },
  13: { process: "store-", description: "a checkpoint was written, the next log file was not created yet" },
  14: { process: "store-", description: "the next log file was created, the old one was not removed yet" },
  15: { process: "store-", description: "a segment was written, its index was not written yet" },
  16: {
    process: "store-",
    description: "a segment and its index were written, the checkpoints still contain the objects",
  },
  17: { process: "store-", description: "in a state transfer a whole segment file was received but not written yet" },
  21: { process: "agent-", description: "a newer control snapshot was just adopted" },
  31: { process: "control-", description: "a candidate voted for itself and has not requested other votes yet" },
  32: { process: "control-", description: "an election was won, nothing was written yet" },
  33: { process: "control-", description: "an entry was just committed, nobody was notified yet" },
  34: { process: "control-", description: "a vote was saved, the response was not sent yet" },
  35: { process: "control-", description: "a follower saved entries, the response was not sent yet" },
  37: { process: "control-", description: "decisions were written to the ledger but not marked as delivered yet" },
  36: {
    process: "control-",
    description: "all members of the next view have the whole sealed log, the view was not committed yet",
  },
  38: { process: "control-", description: "a view was committed but not installed yet" },
  39: { process: "control-", description: "the reachable members were sealed, there is no new view yet" },
  40: { process: "control-", description: "the state transfer to a joining replica ended, no member was sealed yet" },
  41: { process: "store-", description: "a member is about to write an entry" },
  42: { process: "store-", description: "a member wrote an entry, the response was not sent yet" },
  43: { process: "store-", description: "a member was sealed, the response was not sent yet" },
  44: { process: "store-", description: "a new leader brought all members up to date but does not lead yet" },
  45: { process: "store-", description: "the leader sent an entry and has not written it itself yet" },
  46: { process: "store-", description: "the leader wrote an entry, not all members have it yet" },
  47: { process: "store-", description: "all members have an entry, which was just acknowledged" },
  48: { process: "store-", description: "the leader is starting a state transfer to a new replica" },
  49: {
    process: "store-",
    description: "a member of the next view got the whole sealed log, the response was not sent yet",
  },
  50: {
    process: "store-",
    description: "the replica with the longest sealed log is about to sync the others to its end",
  },
  51: { process: "store-", description: "a request was opened and claimed but not forwarded yet" },
  52: { process: "store-", description: "right before a request is forwarded" },
  53: { process: "store-", description: "a response or a chunk came from an endpoint and was not put yet" },
  54: { process: "store-", description: "an attempt of a request ended" },
  55: { process: "store-", description: "a batch item was claimed but not forwarded yet" },
  56: { process: "store-", description: "the result of a batch item came and was not put yet" },
  61: { process: "control-", description: "the next state of a planned operation is about to be proposed" },
  62: { process: "control-", description: "the next state of a planned operation was proposed" },
};
/** Fault points that a shard passes while a replica joins, in this order. */
export const joinPoints = [48, 40, 39, 50, 49, 36, 38];
/** A random element of the list. */
export const pickRandom = <T>(fleet: SimFleet, from: T[]): T => from[Math.floor(fleet.world.random() * from.length)];
/** The names of all processes of a program except one. */
export const otherProcesses = (fleet: SimFleet, program: string, excluded: string): string[] =>
  fleet.names(program).filter((name) => name !== excluded);
/** Changes the configuration, and drains and undrains a zone, so that fault points 13, 14 and 31 to 62 are reached. */
export async function runOperatorChanges(fleet: SimFleet): Promise<void> {
  await fleet.changeConfiguration();
  const zone = pickRandom(fleet, fleet.deployment.districts);
  await fleet.runPlannedOperation({ kind: "drain", district: zone }, 6000);
  await fleet.runPlannedOperation({ kind: "undrain", district: zone }, 4000);
}

/** A scenario without its number, which follows from its position among all scenarios. */
export type UnnumberedScenario = Omit<Scenario, "number">;
