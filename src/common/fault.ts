/** What all faults say. */
interface FaultFields {
  /** What was being done, as an operation or the name of a remote method. */
  readonly step: string;
  /** Id or address of the member or endpoint concerned. */
  readonly member: string;
  /** For operators; never the base of a decision. */
  readonly detail: string;
}

/**
 * What went wrong. Faults are values, not exceptions, and go over the wire in this form. Callers decide by the tag:
 *
 * | Tag | Meaning |
 * |---|---|
 * | timeout | no response in time; the request may have run |
 * | refused | nothing was sent, or nothing there handles it: the request certainly did not run |
 * | broken | sent, and the connection ended before the response; the request may have run |
 * | busy | rejected for now; it may be repeated after `retryAfterMs` |
 * | late | a timestamp is behind the frontier or out of bounds, or a deadline is over |
 * | notLead | the member is not the leader; `detail` may have the leader's address |
 * | invalid | the request is malformed, at `paths` where that is known |
 * | conflict | the request contradicts the current state |
 * | notFound | there is no such object |
 * | unknown | the outcome is not known; never reported as success |
 * | gone | the object was removed by an operator's retention |
 * | disk | the disk failed or its content is damaged |
 * | internal | a fault of the program |
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
/** Tags of faults without a field of their own that is required. */
type PlainTag = (typeof plainTags)[number];

const tags: ReadonlySet<unknown> = new Set([...plainTags, "busy"]);

/** The value of an operation, or its fault. */
export type Result<T> = { ok: true; value: T } | { ok: false; fault: Fault };

/**
 * Makes and recognizes results and faults.
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
  /** @example return Fault.busy("accept", self, "live buffer full", 1000); */
  busy: (step: string, member: string, detail: string, retryAfterMs: number): { ok: false; fault: Fault } => ({
    ok: false,
    fault: { tag: "busy", step, member, detail, retryAfterMs },
  }),
  /** Whether what came from another process has the shape of a fault. @example Fault.is(envelope.body) */
  is(candidate: unknown): candidate is Fault {
    if (typeof candidate !== "object" || candidate === null) return false;
    const { tag, step, member, detail, retryAfterMs } = candidate as Record<string, unknown>;
    const hasTexts = [step, member, detail].every((text) => typeof text === "string");
    return tags.has(tag) && hasTexts && (tag !== "busy" || Number.isFinite(retryAfterMs));
  },
};
