import { Violation } from "./checker/checker";

/** An observation of a caller of batch jobs; `at` is its wall-clock time, ms. */
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
  /** A read that listed nothing; `certain` is false if it failed for another reason than an unknown job. */
  | { tag: "notFound"; at: number; job: string; certain: boolean }
  | { tag: "ended"; at: number; job: string }
  | { tag: "body"; at: number; job: string; item: string; body: string | undefined }
  /** The tokens of all accepted items without a complete run, counted when a job is accepted. */
  | { tag: "waiting"; at: number; tokens: number };
/** A run of a batch item at an endpoint; `at` is the wall-clock time of its start, ms. */
export type ObservedRun = {
  id: string;
  at: number;
  /** Number of events after which the run was to resume; 0 for a run from the start. */
  after: number;
  body: string;
  target: string;
  /** Number of events that the endpoint sent. */
  events: number;
  isComplete: boolean;
  /** Wall-clock time at which the request reached the endpoint, ms. */
  requestedAt: number;
};
/** A job as it was submitted, with the output that a complete run of each item has. */
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
/** Limits that the invariants allow. */
export type BatchJobBounds = {
  /** Time after the acknowledged end of a job during which its items may still reach an endpoint, ms. */
  cancellationMs: number;
  /** Time after which an observation of one node must be visible at all nodes, ms. */
  visibilityMs: number;
  /** Time after the acceptance of a job from which its items may be abandoned as late, ms. */
  abandonAfterMs: number;
  /** Number of failed runs after which an item may be abandoned. */
  attempts: number;
  /** Quota of waiting tokens of the route; 0 for none. */
  maxTokens: number;
  /** Share of the quota by which the waiting tokens may exceed it. */
  quotaOverrun: number;
};
/** All that was submitted and observed, and the limits to check it against. */
type Observed = { observations: JobObservation[]; runs: ObservedRun[]; jobs: ExpectedJob[]; bounds: BatchJobBounds };
type Rule = { name: string; rule: string; check: (observed: Observed) => string[] };

const observationsOf = <Tag extends JobObservation["tag"]>(
  observed: Observed,
  tag: Tag,
): Extract<JobObservation, { tag: Tag }>[] =>
  observed.observations.filter(
    (observation): observation is Extract<JobObservation, { tag: Tag }> => observation.tag === tag,
  );
const jobOf = (observed: Observed, job: string): ExpectedJob | undefined =>
  observed.jobs.find((expectedJob) => expectedJob.job === job);
const runsOf = (observed: Observed, job: ExpectedJob): ObservedRun[] =>
  observed.runs.filter((run) => job.items.some(({ id }) => id === run.id));
/** Returns the time at which a job was first accepted; Infinity if it never was. */
const acceptedAt = (observed: Observed, job: string): number =>
  Math.min(
    Infinity,
    ...observationsOf(observed, "submitted")
      .filter((observation) => observation.job === job && observation.outcome === "accepted")
      .map(({ at }) => at),
  );
/** Returns the time at which the end of a job was first acknowledged; Infinity if it never was. */
const endedAt = (observed: Observed, job: string): number =>
  Math.min(
    Infinity,
    ...observationsOf(observed, "ended")
      .filter((observation) => observation.job === job)
      .map(({ at }) => at),
  );

const RULES: Rule[] = [
  {
    name: "lot-stays",
    rule: "An accepted job stays known, and a position that was read once stays readable",
    check: (observed) => [
      ...observationsOf(observed, "notFound")
        .filter(
          (observation) =>
            observation.certain &&
            observation.at > acceptedAt(observed, observation.job) + observed.bounds.visibilityMs,
        )
        .map((observation) => `accepted job ${observation.job} was reported as not found`),
      ...observationsOf(observed, "listed").flatMap((observation) => {
        const positionsRead = observationsOf(observed, "listed")
          .filter(
            (before) => before.job === observation.job && before.at < observation.at - observed.bounds.visibilityMs,
          )
          .map((before) => before.from + before.results.length);
        const highest = Math.max(0, ...positionsRead);
        return observation.from < highest && observation.results.length === 0
          ? [`job ${observation.job} lists no results after ${observation.from}, although ${highest} were read before`]
          : [];
      }),
    ],
  },
  {
    name: "item-one-position",
    rule: "An item has one position, and the result at a position never changes",
    check: (observed) =>
      observed.jobs.flatMap(({ job }) => {
        const resultAt = new Map<number, string>();
        const positions = new Map<string, number>();
        return observationsOf(observed, "listed")
          .filter((observation) => observation.job === job)
          .flatMap((observation) =>
            observation.results.flatMap((result, offset) => {
              const position = observation.from + offset;
              const content = JSON.stringify(result);
              const violations =
                resultAt.has(position) && resultAt.get(position) !== content
                  ? [`position ${position} of job ${job} changed`]
                  : [];
              if (positions.has(result.id) && positions.get(result.id) !== position)
                violations.push(
                  `item ${result.id} is at position ${positions.get(result.id)} and at position ${position} of job ${job}`,
                );
              resultAt.set(position, content);
              positions.set(result.id, position);
              return violations;
            }),
          );
      }),
  },
  {
    name: "item-whole",
    rule: "A complete result is the whole output of its item; an abandoned item could not be done, or not in time",
    check: (observed) =>
      observationsOf(observed, "listed").flatMap((observation) => {
        const expectedJob = jobOf(observed, observation.job);
        const violations =
          expectedJob && observation.total !== expectedJob.items.length
            ? [
                `job ${observation.job} lists a total of ${observation.total} items, but has ${expectedJob.items.length}`,
              ]
            : [];
        for (const result of observation.results) {
          const item = expectedJob?.items.find(({ id }) => id === result.id);
          if (!item) violations.push(`job ${observation.job} lists ${result.id}, which is not one of its items`);
          else if (result.state === "complete" && result.text !== item.text)
            violations.push(`the text of the complete item ${result.id} differs from its output`);
          else if (result.state === "abandoned" && !mayBeAbandoned(observed, observation, item))
            violations.push(`item ${result.id} was abandoned too early`);
        }
        return violations;
      }),
  },
  {
    name: "item-exact",
    rule: "A run resumes only after events that were received before, and what runs is what was submitted",
    check: (observed) =>
      observed.runs.flatMap((run) => {
        const expectedItem = observed.jobs.flatMap(({ items }) => items).find(({ id }) => id === run.id);
        if (!expectedItem) return [`item ${run.id} ran but was never submitted`];
        const violations =
          run.body !== expectedItem.body || run.target !== expectedItem.target
            ? [`item ${run.id} ran with a body or path other than submitted`]
            : [];
        const receivedBefore = observed.runs
          .filter((other) => other.id === run.id && other.at <= run.at && other !== run)
          .map((other) => other.after + other.events);
        if (run.after > 0 && !receivedBefore.some((events) => events >= run.after))
          violations.push(`item ${run.id} was resumed after event ${run.after}, which was never received`);
        return violations;
      }),
  },
  {
    name: "refused-lot-never-runs",
    rule: "No item runs of a job that was rejected at every attempt",
    check: (observed) =>
      observed.jobs.flatMap((expectedJob) => {
        const attempts = observationsOf(observed, "submitted").filter(({ job }) => job === expectedJob.job);
        const isRejected =
          attempts.length > 0 &&
          attempts.every((observation) => observation.outcome === "refused" || observation.outcome === "notFitting");
        return isRejected && runsOf(observed, expectedJob).length > 0
          ? [`job ${expectedJob.job} was rejected at every attempt but ran`]
          : [];
      }),
  },
  {
    name: "ended-lot-stops",
    rule: "No item of an ended job reaches an endpoint later than a fixed time after its end was acknowledged",
    check: (observed) =>
      observed.jobs.flatMap((expectedJob) =>
        runsOf(observed, expectedJob)
          .filter((run) => run.requestedAt > endedAt(observed, expectedJob.job) + observed.bounds.cancellationMs)
          .map((run) => `item ${run.id} ran too long after the end of job ${expectedJob.job}`),
      ),
  },
  {
    name: "quota-kept",
    rule: "At an acceptance, the tokens that wait on a route never exceed its quota by more than the overrun",
    check: (observed) =>
      observationsOf(observed, "waiting")
        .filter(
          (observation) =>
            observed.bounds.maxTokens > 0 &&
            observation.tokens > observed.bounds.maxTokens * (1 + observed.bounds.quotaOverrun),
        )
        .map((observation) => `${observation.tokens} tokens were waiting at ${observation.at}`),
  },
  {
    name: "body-kept",
    rule: "The body of an item can be read as submitted until the item is listed or its job is ended",
    check: (observed) =>
      observationsOf(observed, "body").flatMap((observation) => {
        const item = jobOf(observed, observation.job)?.items.find(({ id }) => id === observation.item);
        if (observation.body !== undefined)
          return observation.body === item?.body
            ? []
            : [`the body of ${observation.item} differs from the submitted one`];
        const isListed = observationsOf(observed, "listed").some(
          (page) =>
            page.job === observation.job &&
            page.at <= observation.at + observed.bounds.visibilityMs &&
            page.results.some(({ id }) => id === observation.item),
        );
        return isListed ||
          observation.at >= endedAt(observed, observation.job) ||
          observation.at < acceptedAt(observed, observation.job)
          ? []
          : [`the body of ${observation.item} cannot be read, although the item is not listed`];
      }),
  },
];
/** Returns whether an item may be abandoned: it is impossible, has failed often enough, is late, or its job was ended. */
function mayBeAbandoned(
  observed: Observed,
  observation: { at: number; job: string },
  item: ExpectedJob["items"][number],
): boolean {
  const failedRuns = observed.runs.filter((run) => run.id === item.id && run.at < observation.at).length;
  const isLate = observation.at > acceptedAt(observed, observation.job) + observed.bounds.abandonAfterMs;
  return (
    (item.expected === "impossible" && failedRuns > 0) ||
    (item.expected === "fails" && failedRuns >= observed.bounds.attempts) ||
    isLate ||
    observation.at >= endedAt(observed, observation.job)
  );
}

/**
 * Checks the invariants of batch jobs whose items are whole HTTP requests, over the observations of callers and endpoints.
 *
 * @example
 * BatchJobChecker.check({ observations, runs, jobs, bounds });
 */
export const BatchJobChecker = {
  rules: RULES.map(({ name, rule }) => ({ name, rule })),
  check: (observed: Observed): Violation[] =>
    RULES.flatMap((rule) => rule.check(observed).map((detail) => ({ invariant: rule.name, detail }))),
};
