import { AcceptedChanges } from "./acceptedChanges";
import type { CalendarEntry } from "./calendarEntry";
import type { Outcome } from "./command";
import type { Configuration } from "./configuration";
import type { PolicyRule } from "./policy";
import type { Release } from "./release";
import type { ShardView } from "./shardView";

/** A document that is replaced as a whole, by compare-and-set on its version. */
export interface Versioned<T> {
  /** Version number, which only increases; 0 before the first change. */
  version: number;
  doc: T;
}

/** Documents that are changed by compare-and-set, by their field names in the state. */
export type DocumentName = "manifest" | "policies";

/** A decision of the control group that is to be delivered to the ledger. */
export interface Decision {
  /** Log index of the entry that made the decision; the ledger accepts each index once. */
  index: number;
  /** Subject of the decision, such as "manifest" or "shard 3". */
  subject: string;
  decision: string;
  cause: string;
}

/**
 * The state that the consensus log replicates. Its field names are part of stored snapshots and of messages between
 * voters. Parts that nodes receive are replaced, never changed in place, so that a comparison by identity shows
 * changes.
 */
export interface ControlState {
  /** Id of the consensus group; "" before the bootstrap. */
  group: string;
  /** Ids of the voters according to the last committed entry that lists them. */
  voters: string[];
  /** The configuration. */
  manifest: Versioned<Configuration>;
  policies: Versioned<PolicyRule[]>;
  /** Calendar entries by id, in the order of the log. */
  calendar: Record<string, CalendarEntry>;
  /** Current views, by shard. */
  views: Record<string, ShardView>;
  /** Drained zones. */
  drained: string[];
  /** Ids of storage nodes that are retiring or retired. */
  retiring: string[];
  /** Current release, by pool. */
  releases: Record<string, Release>;
  /** Outcomes of the most recent changes, by change id. */
  changes: Record<string, Outcome>;
  /** Ids of those changes, oldest first. */
  changeOrder: string[];
  /** Accepted changes, by document; absent in a state that an older version stored. */
  accepted?: Record<DocumentName, AcceptedChanges>;
  /** Decisions that have not been delivered to the ledger yet. */
  untold: Decision[];
  /**
   * Views of a recovered group get epochs above this, and so above all epochs that the former group can have assigned.
   */
  epochFloor: number;
  /** Log index of the last entry that changed the control snapshot; absent in a state that an older version stored. */
  frameIndex?: number;
}

export const ControlState = {
  /** Returns the state before the first log entry. */
  empty: (): ControlState => ({
    group: "",
    voters: [],
    manifest: { version: 0, doc: { bindings: {} } },
    policies: { version: 0, doc: [] },
    calendar: {},
    views: {},
    drained: [],
    retiring: [],
    releases: {},
    changes: {},
    changeOrder: [],
    untold: [],
    epochFloor: 0,
  }),

  /** Returns the accepted changes of a document. */
  acceptedChanges(state: ControlState, document: DocumentName): AcceptedChanges {
    state.accepted ??= { manifest: AcceptedChanges.empty(), policies: AcceptedChanges.empty() };
    return state.accepted[document];
  },
};
