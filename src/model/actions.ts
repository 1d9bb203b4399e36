import type { VersionedDocument } from "./referenceModel";

/**
 * The machine that a proposal is sent to: the lease holder, any machine that considers itself the leader, or a machine
 * by number.
 */
export type Target = "leaseholder" | "anyLeader" | number;

/** The version that a change is based on, relative to the committed one. */
export type BaseVersion = "current" | "stale" | "ahead";

/** Which messages of an isolated machine are lost: those to it, those from it, or both. */
export type IsolationDirection = "in" | "out" | "both";

/** Proposals to the group. */
export type ProposalAction =
  /** Sends `count` changes of a document at the same time. */
  | { tag: "change"; at: Target; register: VersionedDocument; base: BaseVersion; count: number }
  /** Retries an earlier change, selected by `pick`. */
  | { tag: "resend"; at: Target; pick: number }
  /** Sends `count` changes at the same time, each based on the version that the previous one should produce. */
  | { tag: "burst"; at: Target; count: number }
  /** Proposes to add or remove one voter, `count` times in a row. */
  | { tag: "addVoter" | "removeVoter"; at: Target; pick: number; count: number }
  /** Proposes to change two voters by one entry, which the group must reject. */
  | { tag: "jumpVoters"; at: Target; pick: number };

/** Network faults, and the action that ends them. */
export type NetworkAction =
  | { tag: "isolate"; machine: number; way: IsolationDirection }
  | { tag: "isolateLeader"; way: IsolationDirection }
  /** Partitions the machines whose bits are set in `mask` from all others. */
  | { tag: "split"; mask: number }
  /** Drops the messages from one machine to another. */
  | { tag: "cutOneWay"; from: number; to: number }
  | { tag: "heal" }
  /** Drops, duplicates and delays single messages at random. */
  | { tag: "network"; dropPercent: number; duplicatePercent: number; delayPercent: number; delayMs: number };

/**
 * How a disk fails: no write succeeds for lack of room, each operation fails, or each sync fails after a write that
 * reached the file.
 */
export type DiskFault = "full" | "failing" | "syncFailing";

/** Faults of processes, disks and clocks. */
export type MachineAction =
  | { tag: "freeze"; machine: number; forMs: number }
  | { tag: "freezeLeader"; forMs: number }
  /** Kills a process, which restarts `backInMs` later. Unless power is lost, its unsynced writes survive. */
  | { tag: "kill"; machine: number; powerLost: boolean; backInMs: number }
  /** Kills all processes with a loss of power. */
  | { tag: "killAll"; backInMs: number }
  /** Kills a process and wipes its disk; it restarts with a new id. */
  | { tag: "wipe"; machine: number; backInMs: number }
  /** Makes every sync of a disk take `forMs`, for `forMs`. */
  | { tag: "stallDisk"; machine: number; forMs: number }
  /** Makes a disk reject writes for `forMs`; see DiskFault. */
  | { tag: "failDisk"; machine: number; how: DiskFault; forMs: number }
  /** Steps the wall clock. */
  | { tag: "stepClock"; machine: number; byMs: number };

/** One step of a walk. It is plain data, so that a walk can be shortened, printed and replayed. */
export type Action = ProposalAction | NetworkAction | MachineAction | { tag: "pass"; ms: number };

/** Names of actions and targets in walks printed by earlier versions, with their current names. */
const FORMER_NAMES: Record<string, string> = {
  isolateLead: "isolateLeader",
  freezeLead: "freezeLeader",
  anyLead: "anyLeader",
};
const currentName = <Value>(value: Value): Value | string =>
  typeof value === "string" ? (FORMER_NAMES[value] ?? value) : value;

/**
 * Parses the actions of a walk as printed by this or an earlier version. Throws a SyntaxError if the text is not valid
 * JSON.
 */
export function parseActions(json: string): Action[] {
  return JSON.parse(json, (key, value: unknown) =>
    key === "tag" || key === "at" ? currentName(value) : value,
  ) as Action[];
}
