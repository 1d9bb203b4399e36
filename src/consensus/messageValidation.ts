/**
 * Checks of messages from other processes, before any field is used. Field names are those on the wire
 * (messageCodec.ts). The reasons are sent back as fault details and logged.
 */

type Fields = Record<string, unknown>;

const isObject = (value: unknown): value is Fields => typeof value === "object" && value !== null;
const isIndex = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isName = (value: unknown): value is string => typeof value === "string" && value !== "";

/** Parts that the state in a snapshot always has, besides group and voters. */
const REQUIRED_STATE_PARTS = ["manifest", "policies", "calendar", "views", "releases", "changes"];

function snapshotDefect(snapshot: unknown, groupId: unknown): string | undefined {
  if (!isObject(snapshot) || !isIndex(snapshot.index) || !isIndex(snapshot.term)) return "snapshot without its place";
  const { state } = snapshot;
  if (!isObject(state) || !Array.isArray(state.voters) || !state.voters.every(isName)) return "snapshot without voters";
  if (state.voters.length === 0) return "snapshot without voters";
  if (state.group !== groupId) return "snapshot of another group";
  return REQUIRED_STATE_PARTS.every((part) => isObject(state[part])) ? undefined : "snapshot with a part missing";
}

/** Indexes must follow each other; terms must not fall, nor exceed the leader's. */
function entriesDefect(entries: unknown, prevLogIndex: number, leaderTerm: number): string | undefined {
  if (!Array.isArray(entries)) return "entries are no list";
  let previousTerm = 0;
  for (const [position, entry] of (entries as unknown[]).entries()) {
    if (!isObject(entry) || !isObject(entry.command) || !isName(entry.command.tag)) return "malformed entry";
    if (entry.index !== prevLogIndex + 1 + position) return "entries out of order";
    if (!isIndex(entry.term) || entry.term < previousTerm || entry.term > leaderTerm) return "terms out of order";
    previousTerm = entry.term;
  }
  return undefined;
}

/**
 * Why a message is malformed; undefined if it isn't.
 *
 * @example
 * MessageValidation.appendEntriesDefect({}) // "malformed append"
 */
export const MessageValidation = {
  /** Checks an AppendEntries request. The chunk in it is checked by ChunkReceiver. */
  appendEntriesDefect(body: unknown): string | undefined {
    if (!isObject(body) || !isName(body.group) || !isName(body.lead)) return "malformed append";
    const { term, prevIndex, prevTerm, commit } = body;
    if (!isIndex(term) || !isIndex(prevIndex) || !isIndex(prevTerm) || !isIndex(commit)) return "malformed append";
    const defect = body.whole === undefined ? undefined : snapshotDefect(body.whole, body.group);
    return defect ?? entriesDefect(body.entries, prevIndex, term);
  },

  /** Checks a request for a vote or a pre-vote. */
  requestVoteDefect(body: unknown): string | undefined {
    const isWellFormed =
      isObject(body) &&
      isName(body.group) &&
      isName(body.candidate) &&
      [body.term, body.lastIndex, body.lastTerm].every(isIndex);
    return isWellFormed ? undefined : "malformed request for a vote";
  },

  /** Checks a response to AppendEntries. */
  appendEntriesResponseDefect(body: unknown): string | undefined {
    const isWellFormed =
      isObject(body) &&
      isIndex(body.term) &&
      (body.matched === true ? isIndex(body.match) : isIndex(body.last)) &&
      (body.received === undefined || isIndex(body.received));
    return isWellFormed ? undefined : "malformed response to an append";
  },

  /** Checks a response to a request for a vote or a pre-vote. */
  requestVoteResponseDefect(body: unknown): string | undefined {
    const isWellFormed = isObject(body) && isIndex(body.term) && typeof body.granted === "boolean";
    return isWellFormed ? undefined : "malformed response to a request for a vote";
  },

  /** Checks a chunk of a payload; `maxBytes` bounds the payload that it is of. */
  chunkDefect(body: unknown, maxBytes: number): string | undefined {
    if (!isObject(body)) return "malformed piece";
    const { transferId, totalBytes, offset, data, checksum } = body;
    if (typeof transferId !== "string" || typeof data !== "string") return "malformed piece";
    if (!isIndex(totalBytes) || !isIndex(offset) || !isIndex(checksum)) return "malformed piece";
    return totalBytes === 0 || totalBytes > maxBytes ? "transfer of a wrong size" : undefined;
  },
};
