/**
 * Validates messages from other processes before any of their fields is used. Field names are those of the wire format
 * (wireMessages.ts).
 */

/** Defects of a message. The texts are sent back as fault details and logged. */
export const MessageDefect = {
  append: "malformed append",
  appendResponse: "malformed response to an append",
  voteRequest: "malformed request for a vote",
  voteResponse: "malformed response to a request for a vote",
  entry: "malformed entry",
  entriesNotArray: "entries are no list",
  entriesOutOfOrder: "entries out of order",
  termsOutOfOrder: "terms out of order",
  snapshotWithoutPosition: "snapshot without its place",
  snapshotWithoutVoters: "snapshot without voters",
  snapshotOfOtherGroup: "snapshot of another group",
  snapshotIncomplete: "snapshot with a part missing",
  chunk: "malformed piece",
  payloadSize: "transfer of a wrong size",
  chunkSize: "piece of a wrong size",
  payloadDamaged: "transfer damaged on its way",
} as const;
export type MessageDefect = (typeof MessageDefect)[keyof typeof MessageDefect];

type UnknownFields = Record<string, unknown>;

const isObject = (value: unknown): value is UnknownFields => typeof value === "object" && value !== null;
const isNonNegativeInteger = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isNonEmptyString = (value: unknown): value is string => typeof value === "string" && value !== "";

/** Fields that the state in a snapshot always has, besides group and voters. */
const REQUIRED_STATE_PARTS = ["manifest", "policies", "calendar", "views", "releases", "changes"];

function snapshotDefect(snapshot: unknown, groupId: unknown): MessageDefect | undefined {
  if (!isObject(snapshot) || !isNonNegativeInteger(snapshot.index) || !isNonNegativeInteger(snapshot.term))
    return MessageDefect.snapshotWithoutPosition;
  const { state } = snapshot;
  if (!isObject(state) || !Array.isArray(state.voters) || !state.voters.every(isNonEmptyString))
    return MessageDefect.snapshotWithoutVoters;
  if (state.voters.length === 0) return MessageDefect.snapshotWithoutVoters;
  if (state.group !== groupId) return MessageDefect.snapshotOfOtherGroup;
  return REQUIRED_STATE_PARTS.every((part) => isObject(state[part])) ? undefined : MessageDefect.snapshotIncomplete;
}

/** Checks that indexes are consecutive and that terms neither decrease nor exceed the leader's term. */
function entriesDefect(entries: unknown, prevLogIndex: number, leaderTerm: number): MessageDefect | undefined {
  if (!Array.isArray(entries)) return MessageDefect.entriesNotArray;
  let previousTerm = 0;
  for (const [position, entry] of (entries as unknown[]).entries()) {
    if (!isObject(entry) || !isObject(entry.command) || !isNonEmptyString(entry.command.tag))
      return MessageDefect.entry;
    if (entry.index !== prevLogIndex + 1 + position) return MessageDefect.entriesOutOfOrder;
    if (!isNonNegativeInteger(entry.term) || entry.term < previousTerm || entry.term > leaderTerm)
      return MessageDefect.termsOutOfOrder;
    previousTerm = entry.term;
  }
  return undefined;
}

/** Each function returns the defect of a message; undefined if the message is well-formed. */
export const MessageValidation = {
  /** Checks an AppendEntries request. ChunkReceiver checks the chunk in it. */
  appendEntriesDefect(body: unknown): MessageDefect | undefined {
    if (!isObject(body) || !isNonEmptyString(body.group) || !isNonEmptyString(body.lead)) return MessageDefect.append;
    const { term, prevIndex, prevTerm, commit } = body;
    if (
      !isNonNegativeInteger(term) ||
      !isNonNegativeInteger(prevIndex) ||
      !isNonNegativeInteger(prevTerm) ||
      !isNonNegativeInteger(commit)
    )
      return MessageDefect.append;
    const defect = body.whole === undefined ? undefined : snapshotDefect(body.whole, body.group);
    return defect ?? entriesDefect(body.entries, prevIndex, term);
  },

  /** Checks a request for a vote or a pre-vote. */
  requestVoteDefect(body: unknown): MessageDefect | undefined {
    const isWellFormed =
      isObject(body) &&
      isNonEmptyString(body.group) &&
      isNonEmptyString(body.candidate) &&
      [body.term, body.lastIndex, body.lastTerm].every(isNonNegativeInteger);
    return isWellFormed ? undefined : MessageDefect.voteRequest;
  },

  /** Checks a response to AppendEntries. */
  appendEntriesResponseDefect(body: unknown): MessageDefect | undefined {
    const isWellFormed =
      isObject(body) &&
      isNonNegativeInteger(body.term) &&
      (body.matched === true ? isNonNegativeInteger(body.match) : isNonNegativeInteger(body.last)) &&
      (body.received === undefined || isNonNegativeInteger(body.received));
    return isWellFormed ? undefined : MessageDefect.appendResponse;
  },

  /** Checks a response to a request for a vote or a pre-vote. */
  requestVoteResponseDefect(body: unknown): MessageDefect | undefined {
    const isWellFormed = isObject(body) && isNonNegativeInteger(body.term) && typeof body.granted === "boolean";
    return isWellFormed ? undefined : MessageDefect.voteResponse;
  },

  /** Checks a chunk of a payload; `maxBytes` is the maximum size of the whole packed payload. */
  chunkDefect(body: unknown, maxBytes: number): MessageDefect | undefined {
    if (!isObject(body)) return MessageDefect.chunk;
    const { transferId, totalBytes, offset, data, checksum } = body;
    if (typeof transferId !== "string" || typeof data !== "string") return MessageDefect.chunk;
    if (!isNonNegativeInteger(totalBytes) || !isNonNegativeInteger(offset) || !isNonNegativeInteger(checksum))
      return MessageDefect.chunk;
    return totalBytes === 0 || totalBytes > maxBytes ? MessageDefect.payloadSize : undefined;
  },
};
