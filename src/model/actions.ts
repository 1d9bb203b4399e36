import type { VersionedDocument } from "./referenceModel";

/** Where a change is sent: the lease holder, whoever takes itself for the leader, or a machine by number. */
export type Target = "leaseholder" | "anyLeader" | number;

/** The version that a change is made against, relative to the committed one. */
export type BaseVersion = "current" | "stale" | "ahead";

/** Which messages of an isolated machine are lost: those to it, those from it, or both. */
export type IsolationDirection = "in" | "out" | "both";

/** Proposals to the group. */
export type ProposalAction =
  /** Sends `count` changes of a document in the same instant. */
  | { tag: "change"; at: Target; register: VersionedDocument; base: BaseVersion; count: number }
  /** Retries an earlier change. */
  | { tag: "resend"; at: Target; pick: number }
  /** Sends so many changes, each against the version that the one before should give. */
  | { tag: "burst"; at: Target; count: number }
  /** Proposes one voter more or less, `count` times in a row. */
  | { tag: "addVoter" | "removeVoter"; at: Target; pick: number; count: number }
  /** Proposes a change of two voters by one entry, which the group must refuse. */
  | { tag: "jumpVoters"; at: Target; pick: number };

/** Faults of the network, and their end. */
export type NetworkAction =
  | { tag: "isolate"; machine: number; way: IsolationDirection }
  | { tag: "isolateLeader"; way: IsolationDirection }
  /** Partitions the machines whose bits are set in `mask` from the others. */
  | { tag: "split"; mask: number }
  /** Loses the messages from one machine to another. */
  | { tag: "cutOneWay"; from: number; to: number }
  | { tag: "heal" }
  /** Loses, duplicates and delays single messages. */
  | { tag: "network"; dropPercent: number; duplicatePercent: number; delayPercent: number; delayMs: number };

/** Faults of processes, disks and clocks. */
export type MachineAction =
  | { tag: "freeze"; machine: number; forMs: number }
  | { tag: "freezeLeader"; forMs: number }
  /** Ends a process; unless power is lost, its unsynced writes survive. */
  | { tag: "kill"; machine: number; powerLost: boolean; backInMs: number }
  | { tag: "killAll"; backInMs: number }
  /** Ends a process and empties its disk; it comes back under a new id. */
  | { tag: "wipe"; machine: number; backInMs: number }
  /** Makes every sync of a disk take so long. */
  | { tag: "stallDisk"; machine: number; forMs: number }
  /** Steps the wall clock. */
  | { tag: "stepClock"; machine: number; byMs: number };

/** One step of a walk, as plain data: it can be shortened, printed and replayed. */
export type Action = ProposalAction | NetworkAction | MachineAction | { tag: "pass"; ms: number };

/** Former names of actions and targets, in walks that earlier versions printed. */
const FORMER_NAMES: Record<string, string> = {
  isolateLead: "isolateLeader",
  freezeLead: "freezeLeader",
  anyLead: "anyLeader",
};
const currentName = <Value>(value: Value): Value | string =>
  typeof value === "string" ? (FORMER_NAMES[value] ?? value) : value;

/** Reads the actions of a walk as a run printed them, by this version or a former one. Throws a SyntaxError if it is no JSON. */
export function parseActions(json: string): Action[] {
  return JSON.parse(json, (key, value: unknown) =>
    key === "tag" || key === "at" ? currentName(value) : value,
  ) as Action[];
}
