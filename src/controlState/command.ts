import type { CalendarEntryState, PlannedOperation } from "./calendarEntry";
import type { Configuration } from "./configuration";
import type { ConfigurationPatch } from "./configurationPatch";
import type { PolicyRule } from "./policy";
import type { ShardView } from "./shardView";

/** Fields that every change by an operator has. */
export interface Change {
  /** Identifies the change, so that a retry gets the first outcome. */
  changeId: string;
  /** The operator, for the ledger. */
  by: string;
}

/** A change of a versioned document by compare-and-set. */
export interface VersionedChange extends Change {
  /** The version that the change was made against. */
  ifVersion: number;
}

/** Changes nothing. A new leader commits it to learn which entries are committed. */
export interface NoopCommand {
  tag: "noop";
}

/** Creates the consensus group; the first entry of the log. */
export interface BootstrapCommand {
  tag: "found";
  /** Id of the consensus group. */
  group: string;
  voters: string[];
}

/** Replaces the voters of the consensus group. */
export interface VotersCommand {
  tag: "voters";
  voters: string[];
}

/** Replaces the configuration. */
export interface ConfigurationCommand extends VersionedChange {
  tag: "manifest";
  /** Version number that the operator assigns; absent: the next one. */
  version?: number;
  doc: Configuration;
}

/** Changes individual routes or pools of the configuration. */
export interface PatchCommand extends VersionedChange {
  tag: "patch";
  /** Version number that the operator assigns; absent: the next one. */
  version?: number;
  patch: ConfigurationPatch;
}

/** Replaces the policies. */
export interface PoliciesCommand extends VersionedChange {
  tag: "policies";
  doc: PolicyRule[];
}

/** Enters a planned operation in the calendar, or replaces one that has not started. */
export interface ScheduleCommand extends VersionedChange {
  tag: "pencil";
  /** Id of the calendar entry. */
  id: string;
  /** Start time, wall clock, ms. */
  due: number;
  move: PlannedOperation;
}

/** Cancels a calendar entry that has not started. */
export interface CancelCommand extends VersionedChange {
  tag: "erase";
  /** Id of the calendar entry. */
  id: string;
}

/** Drains a zone, or ends its drain, as soon as the entry is committed. */
export interface DrainCommand extends Change {
  tag: "drain" | "undrain";
  /** The zone. */
  district: string;
  /** Time at which the leader received the order, by its wall clock, ms. */
  at: number;
  /** Whether the operator provided the change id. If not, the id does not distinguish a retry from a new order. */
  identified?: boolean;
}

/** Starts the retirement of a storage node. */
export interface RetireCommand extends Change {
  tag: "retire";
  /** Id of the storage node. */
  store: string;
  /** Name that the operator used: the id of the node or the name of its machine. */
  name: string;
  /** Time at which the leader received the order, by its wall clock, ms. */
  at: number;
}

/** Moves a calendar entry from one state to the next. */
export interface TransitionCommand {
  tag: "move";
  /** Id of the calendar entry. */
  id: string;
  from: CalendarEntryState;
  to: CalendarEntryState;
  detail: string;
  /** Time of the transition by the leader's wall clock, ms. */
  at: number;
}

/** Puts a view of a shard in force. */
export interface ShardViewCommand {
  tag: "view";
  view: ShardView;
  /** Cause of the view change, for the ledger. */
  reason: string;
}

/** Records that the decisions up to a log index have been delivered to the ledger. */
export interface DeliveredCommand {
  tag: "told";
  /** Log index, inclusive. */
  upTo: number;
}

/** A command that the consensus log replicates. Tags and fields are stored in the log and sent between voters. */
export type Command =
  | NoopCommand
  | BootstrapCommand
  | VotersCommand
  | ConfigurationCommand
  | PatchCommand
  | PoliciesCommand
  | ScheduleCommand
  | CancelCommand
  | DrainCommand
  | RetireCommand
  | TransitionCommand
  | ShardViewCommand
  | DeliveredCommand;

/** Result of applying a command. */
export type Outcome =
  /** Accepted; `version` is that of the document or entry, or the log index if the command has no version. */
  | { tag: "done"; version: number }
  /** Made against another version than the current one. */
  | { tag: "conflict"; version: number }
  /** Rejected: the command itself is not valid. */
  | { tag: "refused"; detail: string }
  /** Neither accepted nor rejected: the same order may be sent again. */
  | { tag: "undecided"; detail: string };
