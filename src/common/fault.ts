/** Fields of all faults. */
interface FaultFields {
  /** The failed operation or the name of the remote method. */
  readonly step: string;
  /** Id or address of the member or endpoint concerned. */
  readonly member: string;
  /** Text for operators; not intended for decisions, except where a tag defines it. */
  readonly detail: string;
}

/**
 * A failure. Faults are values, not exceptions, and are sent to other processes in this form. Callers decide by the
 * tag:
 *
 * | Tag | Meaning |
 * |---|---|
 * | timeout | there was no response in time; the request may have run |
 * | refused | nothing was sent, or the receiver does not handle the request: it certainly did not run |
 * | broken | the connection ended after the request was sent and before the response; the request may have run |
 * | busy | the request is rejected temporarily; it may be repeated after `retryAfterMs` |
 * | late | a timestamp is behind the frontier or out of bounds, or a deadline has passed |
 * | notLead | the member is not the leader; `detail` may be the leader's address |
 * | invalid | the request is malformed, at `paths` if that is known |
 * | conflict | the request contradicts the current state |
 * | notFound | there is no such object |
 * | unknown | the outcome is not known; it is never reported as success |
 * | gone | the object was removed after the retention set by an operator |
 * | disk | the disk failed or its content is damaged |
 * | internal | a defect of the program |
 */
export type Fault =
  | ({ tag: "busy"; retryAfterMs: number } & FaultFields)
  | ({ tag: "invalid"; paths?: string[] } & FaultFields)
  | ({ tag: Exclude<PlainTag, "invalid"> } & FaultFields);

const plainTags = [
  "timeout",
  "refused",
  "broken",
  "late",
  "notLead",
  "invalid",
  "conflict",
  "notFound",
  "unknown",
  "gone",
  "disk",
  "internal",
] as const;
/** Tags of faults that have no additional required field. */
type PlainTag = (typeof plainTags)[number];

const tags: ReadonlySet<unknown> = new Set([...plainTags, "busy"]);

/** The value of an operation or its fault. */
export type Result<T> = { ok: true; value: T } | { ok: false; fault: Fault };

/**
 * Creates and recognizes results and faults.
 *
 * @example
 * if (size > limit) return Fault.fail("invalid", "read body", caller, "too long");
 * return Fault.ok(body);
 */
export const Fault = {
  ok: <T>(value: T): { ok: true; value: T } => ({ ok: true, value }),
  fail: (tag: PlainTag, step: string, member: string, detail: string): { ok: false; fault: Fault } => ({
    ok: false,
    fault: { tag, step, member, detail },
  }),
  /** Creates a failed result with the tag "busy". */
  busy: (step: string, member: string, detail: string, retryAfterMs: number): { ok: false; fault: Fault } => ({
    ok: false,
    fault: { tag: "busy", step, member, detail, retryAfterMs },
  }),
  /** Whether a value from another process is a well-formed fault. */
  is(candidate: unknown): candidate is Fault {
    if (typeof candidate !== "object" || candidate === null) return false;
    const { tag, step, member, detail, retryAfterMs } = candidate as Record<string, unknown>;
    const hasStrings = [step, member, detail].every((text) => typeof text === "string");
    return tags.has(tag) && hasStrings && (tag !== "busy" || Number.isFinite(retryAfterMs));
  },
};
