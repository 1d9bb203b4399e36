/** What went wrong, at which step, with which member. */
export type Fault =
  | { tag: "timeout"; step: string; member: string; detail: string }
  | { tag: "refused"; step: string; member: string; detail: string } // nothing was sent: provably not run
  | { tag: "broken"; step: string; member: string; detail: string } // sent, and the reply never came
  | { tag: "busy"; step: string; member: string; detail: string; retryAfterMs: number }
  | { tag: "late"; step: string; member: string; detail: string } // stamp behind the frontier or outside the bounds
  | { tag: "notLead"; step: string; member: string; detail: string }
  | { tag: "invalid"; step: string; member: string; detail: string; paths?: string[] }
  | { tag: "conflict"; step: string; member: string; detail: string }
  | { tag: "notFound"; step: string; member: string; detail: string }
  | { tag: "unknown"; step: string; member: string; detail: string } // fate not known; never called success
  | { tag: "gone"; step: string; member: string; detail: string } // was kept, and trimmed by an operator's retention
  | { tag: "disk"; step: string; member: string; detail: string }
  | { tag: "internal"; step: string; member: string; detail: string };

export type Result<T> = { ok: true; value: T } | { ok: false; fault: Fault };
const tags: Record<Fault["tag"], true> = {
  timeout: true,
  refused: true,
  broken: true,
  busy: true,
  late: true,
  notLead: true,
  invalid: true,
  conflict: true,
  notFound: true,
  unknown: true,
  gone: true,
  disk: true,
  internal: true,
};
type Plain = Exclude<Fault["tag"], "busy">;

/**
 * Makers of results.
 *
 * @example
 * if (size > limit) return Fault.fail("invalid", "read body", caller, "too long");
 * return Fault.ok(body);
 */
export const Fault = {
  ok: <T>(value: T): { ok: true; value: T } => ({ ok: true, value }),
  fail: (tag: Plain, step: string, member: string, detail: string): { ok: false; fault: Fault } => ({
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
    const known = typeof tag === "string" && Object.prototype.hasOwnProperty.call(tags, tag);
    const texts = [step, member, detail].every((text) => typeof text === "string");
    return known && texts && (tag !== "busy" || Number.isFinite(retryAfterMs));
  },
};
