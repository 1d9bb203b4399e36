import { Violation } from "./checker/checker";

/** What a caller of a batch job observed; times are wall time at the caller, ms. */
export type JobObservation =
  | {
      tag: "submitted";
      at: number;
      job: string;
      outcome: "accepted" | "refused" | "notFitting" | "unknown";
      tokens: number;
    }
  | {
      tag: "listed";
      at: number;
      job: string;
      from: number;
      total: number;
      results: { id: string; state: string; text: string }[];
    }
  | { tag: "notFound"; at: number; job: string; certain: boolean }
  | { tag: "ended"; at: number; job: string }
  | { tag: "body"; at: number; job: string; item: string; body: string | undefined }
  | { tag: "waiting"; at: number; tokens: number }; // as the endpoints saw it, at an acceptance
export type ObservedRun = {
  id: string;
  at: number;
  after: number;
  body: string;
  target: string;
  events: number;
  isComplete: boolean;
  requestedAt: number;
};
/** What was submitted, and what a complete run of an item gives. */
export type ExpectedJob = {
  job: string;
  items: {
    id: string;
    body: string;
    target: string;
    tokens: number;
    text: string;
    expected: "done" | "impossible" | "fails";
  }[];
};
export type BatchJobBounds = {
  cancellationMs: number;
  visibilityMs: number;
  abandonAfterMs: number;
  attempts: number;
  maxTokens: number;
  quotaOverrun: number;
};
type ObservedDay = { observations: JobObservation[]; runs: ObservedRun[]; jobs: ExpectedJob[]; bounds: BatchJobBounds };
type Rule = { name: string; rule: string; check: (day: ObservedDay) => string[] };

const observationsOf = <K extends JobObservation["tag"]>(
  day: ObservedDay,
  tag: K,
): Extract<JobObservation, { tag: K }>[] =>
  day.observations.filter((seen): seen is Extract<JobObservation, { tag: K }> => seen.tag === tag);
const jobOf = (day: ObservedDay, job: string): ExpectedJob | undefined => day.jobs.find((sent) => sent.job === job);
const runsOf = (day: ObservedDay, job: ExpectedJob): ObservedRun[] =>
  day.runs.filter((run) => job.items.some(({ id }) => id === run.id));
const acceptedAt = (day: ObservedDay, job: string): number =>
  Math.min(
    Infinity,
    ...observationsOf(day, "submitted")
      .filter((seen) => seen.job === job && seen.outcome === "accepted")
      .map(({ at }) => at),
  );
const endedAt = (day: ObservedDay, job: string): number =>
  Math.min(
    Infinity,
    ...observationsOf(day, "ended")
      .filter((seen) => seen.job === job)
      .map(({ at }) => at),
  );

const rules: Rule[] = [
  {
    name: "lot-stays",
    rule: "An accepted job stays known, and a position that was read once stays readable",
    check: (day) => [
      ...observationsOf(day, "notFound")
        .filter((seen) => seen.certain && seen.at > acceptedAt(day, seen.job) + day.bounds.visibilityMs)
        .map((seen) => `job ${seen.job} was reported as not found`),
      ...observationsOf(day, "listed").flatMap((seen) => {
        const read = observationsOf(day, "listed")
          .filter((before) => before.job === seen.job && before.at < seen.at - day.bounds.visibilityMs)
          .map((before) => before.from + before.results.length);
        const highest = Math.max(0, ...read);
        return seen.from < highest && seen.results.length === 0
          ? [`job ${seen.job} has nothing at ${seen.from}, though ${highest} were read before`]
          : [];
      }),
    ],
  },
  {
    name: "item-one-position",
    rule: "An item has one position, and the result at a position never changes",
    check: (day) =>
      day.jobs.flatMap(({ job }) => {
        const at = new Map<number, string>();
        const positions = new Map<string, number>();
        return observationsOf(day, "listed")
          .filter((seen) => seen.job === job)
          .flatMap((seen) =>
            seen.results.flatMap((result, offset) => {
              const position = seen.from + offset;
              const content = JSON.stringify(result);
              const problems =
                at.has(position) && at.get(position) !== content ? [`position ${position} of job ${job} changed`] : [];
              if (positions.has(result.id) && positions.get(result.id) !== position)
                problems.push(`item ${result.id} is at ${positions.get(result.id)} and ${position} of job ${job}`);
              at.set(position, content);
              positions.set(result.id, position);
              return problems;
            }),
          );
      }),
  },
  {
    name: "item-whole",
    rule: "A complete result is the whole output of its item; an abandoned item could not be done, or not in time",
    check: (day) =>
      observationsOf(day, "listed").flatMap((seen) => {
        const sent = jobOf(day, seen.job);
        const problems =
          sent && seen.total !== sent.items.length
            ? [`job ${seen.job} says ${seen.total} items of ${sent.items.length}`]
            : [];
        for (const result of seen.results) {
          const item = sent?.items.find(({ id }) => id === result.id);
          if (!item) problems.push(`job ${seen.job} lists ${result.id}, which is not of it`);
          else if (result.state === "complete" && result.text !== item.text)
            problems.push(`item ${result.id} is complete with another text`);
          else if (result.state === "abandoned" && !mayBeAbandoned(day, seen, item))
            problems.push(`item ${result.id} was abandoned before its time`);
        }
        return problems;
      }),
  },
  {
    name: "item-exact",
    rule: "A run resumes only after events that were received before, and what runs is what was submitted",
    check: (day) =>
      day.runs.flatMap((run) => {
        const sent = day.jobs.flatMap(({ items }) => items).find(({ id }) => id === run.id);
        if (!sent) return [`item ${run.id} ran and was never sent`];
        const problems =
          run.body !== sent.body || run.target !== sent.target ? [`item ${run.id} ran with another body or path`] : [];
        const before = day.runs
          .filter((other) => other.id === run.id && other.at <= run.at && other !== run)
          .map((other) => other.after + other.events);
        if (run.after > 0 && !before.some((events) => events >= run.after))
          problems.push(`item ${run.id} was asked for after ${run.after}, which never came`);
        return problems;
      }),
  },
  {
    name: "refused-lot-never-runs",
    rule: "No item runs of a job that was rejected at every attempt",
    check: (day) =>
      day.jobs.flatMap((sent) => {
        const outcome = observationsOf(day, "submitted").filter(({ job }) => job === sent.job);
        const refused =
          outcome.length > 0 && outcome.every((seen) => seen.outcome === "refused" || seen.outcome === "notFitting");
        return refused && runsOf(day, sent).length > 0 ? [`job ${sent.job} was rejected at every attempt and ran`] : [];
      }),
  },
  {
    name: "ended-lot-stops",
    rule: "No item of an ended job reaches an endpoint later than a set time after the end was acknowledged",
    check: (day) =>
      day.jobs.flatMap((sent) =>
        runsOf(day, sent)
          .filter((run) => run.requestedAt > endedAt(day, sent.job) + day.bounds.cancellationMs)
          .map((run) => `item ${run.id} ran after job ${sent.job} was ended`),
      ),
  },
  {
    name: "quota-kept",
    rule: "At an acceptance, the tokens that wait on a route never exceed its quota by more than the overrun",
    check: (day) =>
      observationsOf(day, "waiting")
        .filter(
          (seen) => day.bounds.maxTokens > 0 && seen.tokens > day.bounds.maxTokens * (1 + day.bounds.quotaOverrun),
        )
        .map((seen) => `${seen.tokens} tokens waited at ${seen.at}`),
  },
  {
    name: "body-kept",
    rule: "The body of an item that is not listed can be read as it was submitted, until its job is ended",
    check: (day) =>
      observationsOf(day, "body").flatMap((seen) => {
        const item = jobOf(day, seen.job)?.items.find(({ id }) => id === seen.item);
        if (seen.body !== undefined) return seen.body === item?.body ? [] : [`body of ${seen.item} has other bytes`];
        const listed = observationsOf(day, "listed").some(
          (list) =>
            list.job === seen.job &&
            list.at <= seen.at + day.bounds.visibilityMs &&
            list.results.some(({ id }) => id === seen.item),
        );
        return listed || seen.at >= endedAt(day, seen.job) || seen.at < acceptedAt(day, seen.job)
          ? []
          : [`body of ${seen.item} can't be read, though it is not listed`];
      }),
  },
];
/** An item may be abandoned once it was found impossible, has failed often enough, is too late, or its job was ended. */
function mayBeAbandoned(
  day: ObservedDay,
  seen: { at: number; job: string },
  item: ExpectedJob["items"][number],
): boolean {
  const failures = day.runs.filter((run) => run.id === item.id && run.at < seen.at).length;
  const isLate = seen.at > acceptedAt(day, seen.job) + day.bounds.abandonAfterMs;
  return (
    (item.expected === "impossible" && failures > 0) ||
    (item.expected === "fails" && failures >= day.bounds.attempts) ||
    isLate ||
    seen.at >= endedAt(day, seen.job)
  );
}

/**
 * Invariants of batch jobs whose items are whole requests, over what callers and endpoints observed.
 *
 * @example
 * BatchJobChecker.check({ observations, runs, jobs, bounds });
 */
export const BatchJobChecker = {
  rules: rules.map(({ name, rule }) => ({ name, rule })),
  check: (day: ObservedDay): Violation[] =>
    rules.flatMap((rule) => rule.check(day).map((detail) => ({ invariant: rule.name, detail }))),
};
