import { AcceptedChanges } from "./acceptedChanges";
import type { CalendarEntry } from "./calendarEntry";
import type { Outcome } from "./command";
import type { Configuration } from "./configuration";
import type { PolicyRule } from "./policy";
import type { Release } from "./release";
import type { ShardView } from "./shardView";

/** A document that is replaced as a whole, by compare-and-set on its version. */
export interface Versioned<T> {
  /** 0 before the first change; it only rises. */
  version: number;
  doc: T;
}

/** The documents that are changed by compare-and-set, as the state names them. */
export type DocumentName = "manifest" | "policies";

/** A decision of the control group, on its way to the ledger. */
export interface Decision {
  /** Log index of the entry that made it; the ledger takes each index once. */
  index: number;
  /** What it is about, such as "manifest" or "shard 3". */
  subject: string;
  decision: string;
  cause: string;
}

/**
 * The state that the consensus log replicates. It is stored in snapshots and sent to voters as it is, under the names of
 * the first version. Parts that nodes get are replaced, never changed in place, so that identity shows what has changed.
 */
export interface ControlState {
  /** Id of the consensus group; "" before it is founded. */
  group: string;
  /** Ids of the voters, by the last committed entry that names them. */
  voters: string[];
  /** The configuration. */
  manifest: Versioned<Configuration>;
  policies: Versioned<PolicyRule[]>;
  /** Calendar entries by id, in the order of the log. */
  calendar: Record<string, CalendarEntry>;
  /** Views in force, by shard. */
  views: Record<string, ShardView>;
  /** Drained zones. */
  drained: string[];
  /** Ids of storage nodes that are retiring or retired. */
  retiring: string[];
  /** Current release, by pool. */
  releases: Record<string, Release>;
  /** Outcomes of the last changes, by change id. */
  changes: Record<string, Outcome>;
  /** Ids of those changes, oldest first. */
  changeOrder: string[];
  /** Absent in a state that an older version stored. */
  accepted?: Record<DocumentName, AcceptedChanges>;
  /** Decisions that have not been delivered to the ledger. */
  untold: Decision[];
  /** Views of a recovered group get epochs above this, and so above all that the former group can have given. */
  epochFloor: number;
  /** Log index of the last entry that changed what nodes get; absent in a state that an older version stored. */
  frameIndex?: number;
}

/** @example const state = ControlState.empty(); */
export const ControlState = {
  /** The state before the first log entry. @example ControlState.empty().manifest.version // 0 */
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

  /** The accepted changes of a document. @example ControlState.acceptedChanges(state, "policies") */
  acceptedChanges(state: ControlState, document: DocumentName): AcceptedChanges {
    state.accepted ??= { manifest: AcceptedChanges.empty(), policies: AcceptedChanges.empty() };
    return state.accepted[document];
  },
};
