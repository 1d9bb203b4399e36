import { Command } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import type { TransferChunk } from "./transfer";

/** One entry of the replicated log. */
export type LogEntry = { index: number; term: number; command: Command };
/** The state after the entry at `index`, sent in place of the entries up to it. */
export type Snapshot = { index: number; term: number; state: ControlState };
/** What a lead sends to a follower: entries after a position in the log, with a snapshot before them where needed. */
export type AppendRequest = {
  to: string;
  group: string;
  term: number;
  lead: string;
  prevIndex: number;
  prevTerm: number;
  entries: LogEntry[];
  commit: number;
  whole?: Snapshot;
  piece?: TransferChunk; // of a content too long for one message; the rest of the append is then a heartbeat
};
/** What a candidate asks of a voter, before an election (pre-vote) and in it. */
export type VoteRequest = {
  to: string;
  group: string;
  term: number;
  candidate: string;
  lastIndex: number;
  lastTerm: number;
  ofNewborns: boolean;
  /** The lead of the term before has handed over to the candidate: it leads nothing any more. */
  handedOver?: boolean;
};
/** What a lead that stops tells the voter that is to lead after it. */
export type LeadershipTransferRequest = { to: string; group: string; term: number };
export type VoteResponse = { term: number; granted: boolean };
/**
 * What a follower says to an append: up to where its log equals the lead's, or where to try next. After a piece that was
 * not the last, how many bytes have come instead.
 */
export type AppendResponse =
  | { term: number; matched: true; match: number; received?: undefined }
  | { term: number; matched: false; last: number; received?: number };

type Fields = Record<string, unknown>;
const isObject = (value: unknown): value is Fields => typeof value === "object" && value !== null;
const isIndex = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isName = (value: unknown): value is string => typeof value === "string" && value !== "";

function snapshotFault(snapshot: unknown, group: unknown): string | undefined {
  if (!isObject(snapshot) || !isIndex(snapshot.index) || !isIndex(snapshot.term)) return "snapshot without its place";
  const { state } = snapshot;
  if (!isObject(state) || !Array.isArray(state.voters) || !state.voters.every(isName)) return "snapshot without voters";
  if (state.voters.length === 0) return "snapshot without voters";
  if (state.group !== group) return "snapshot of another group";
  const parts = ["manifest", "policies", "calendar", "views", "releases", "changes"];
  return parts.every((part) => isObject(state[part])) ? undefined : "snapshot with a part missing";
}
function entriesFault(entries: unknown, prevIndex: number, newestTerm: number): string | undefined {
  if (!Array.isArray(entries)) return "entries are no list";
  let term = 0;
  for (const [at, entry] of (entries as unknown[]).entries()) {
    if (!isObject(entry) || !isObject(entry.command) || !isName(entry.command.tag)) return "malformed entry";
    if (entry.index !== prevIndex + 1 + at) return "entries out of order";
    if (!isIndex(entry.term) || entry.term < term || entry.term > newestTerm) return "terms out of order";
    term = entry.term;
  }
  return undefined;
}

/**
 * Checks on what came from another process, before any of it is used.
 *
 * @example
 * const fault = Messages.appendFault(body);
 * if (fault !== undefined) return drop(fault);
 */
export const Messages = {
  /** Why a body is no append, if it isn't. @example Messages.appendFault({}) // "malformed append" */
  appendFault(body: unknown): string | undefined {
    if (!isObject(body) || !isName(body.group) || !isName(body.lead)) return "malformed append";
    if (![body.term, body.prevIndex, body.prevTerm, body.commit].every(isIndex)) return "malformed append";
    if (body.whole !== undefined) {
      const fault = snapshotFault(body.whole, body.group);
      if (fault !== undefined) return fault;
    }
    return entriesFault(body.entries, body.prevIndex as number, body.term as number);
  },
  /** Why a body asks for no vote, if it doesn't. @example Messages.voteFault({}) // "malformed request for a vote" */
  voteFault(body: unknown): string | undefined {
    const wellFormed =
      isObject(body) &&
      isName(body.group) &&
      isName(body.candidate) &&
      [body.term, body.lastIndex, body.lastTerm].every(isIndex);
    return wellFormed ? undefined : "malformed request for a vote";
  },
};
