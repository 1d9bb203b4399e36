import { Violation } from "./checker";

/** What became of a lot at its callers, and what its replicas saw. Times are the observer's wall clock, ms. */
export type LotSeen =
  | { tag: "said"; at: number; lot: string; said: "accepted" | "refused" | "notFitting" | "unknown"; tokens: number }
  | {
      tag: "listed";
      at: number;
      lot: string;
      from: number;
      total: number;
      results: { id: string; state: string; text: string }[];
    }
  | { tag: "notFound"; at: number; lot: string; sure: boolean }
  | { tag: "ended"; at: number; lot: string }
  | { tag: "body"; at: number; lot: string; item: string; body: string | undefined }
  | { tag: "waiting"; at: number; tokens: number }; // counted by the replicas' own word, at an acceptance
export type LotRun = {
  id: string;
  at: number;
  after: number;
  body: string;
  target: string;
  events: number;
  whole: boolean;
  asked: number;
};
/** What was handed in, and what a whole run of an item gives. */
export type LotSent = {
  lot: string;
  items: { id: string; body: string; target: string; tokens: number; text: string; fate: "done" | "never" | "fails" }[];
};
export type LotBounds = {
  endMs: number;
  settleMs: number;
  giveUpMs: number;
  rounds: number;
  maxTokens: number;
  overrun: number;
};
type Day = { seen: LotSeen[]; runs: LotRun[]; sent: LotSent[]; bounds: LotBounds };
type Rule = { name: string; sentence: string; check: (day: Day) => string[] };

const of = <K extends LotSeen["tag"]>(day: Day, tag: K): Extract<LotSeen, { tag: K }>[] =>
  day.seen.filter((seen): seen is Extract<LotSeen, { tag: K }> => seen.tag === tag);
const jobOf = (day: Day, job: string): LotSent | undefined => day.sent.find((sent) => sent.lot === job);
const runsOf = (day: Day, job: LotSent): LotRun[] =>
  day.runs.filter((run) => job.items.some(({ id }) => id === run.id));
const acceptedAt = (day: Day, job: string): number =>
  Math.min(
    Infinity,
    ...of(day, "said")
      .filter((seen) => seen.lot === job && seen.said === "accepted")
      .map(({ at }) => at),
  );
const endedAt = (day: Day, job: string): number =>
  Math.min(
    Infinity,
    ...of(day, "ended")
      .filter((seen) => seen.lot === job)
      .map(({ at }) => at),
  );

const rules: Rule[] = [
  {
    name: "lot-stays",
    sentence: "An accepted lot is known, and a position once read is there, from then on",
    check: (day) => [
      ...of(day, "notFound")
        .filter((seen) => seen.sure && seen.at > acceptedAt(day, seen.lot) + day.bounds.settleMs)
        .map((seen) => `lot ${seen.lot} was said not to be there`),
      ...of(day, "listed").flatMap((seen) => {
        const read = of(day, "listed")
          .filter((before) => before.lot === seen.lot && before.at < seen.at - day.bounds.settleMs)
          .map((before) => before.from + before.results.length);
        const most = Math.max(0, ...read);
        return seen.from < most && seen.results.length === 0
          ? [`lot ${seen.lot} has nothing at ${seen.from}, though ${most} were read before`]
          : [];
      }),
    ],
  },
  {
    name: "item-one-position",
    sentence: "One item stands at one position, and a position holds what it held",
    check: (day) =>
      day.sent.flatMap(({ lot: job }) => {
        const at = new Map<number, string>();
        const places = new Map<string, number>();
        return of(day, "listed")
          .filter((seen) => seen.lot === job)
          .flatMap((seen) =>
            seen.results.flatMap((result, offset) => {
              const position = seen.from + offset;
              const held = JSON.stringify(result);
              const wrong =
                at.has(position) && at.get(position) !== held ? [`position ${position} of lot ${job} changed`] : [];
              if (places.has(result.id) && places.get(result.id) !== position)
                wrong.push(`item ${result.id} stands at ${places.get(result.id)} and ${position} of lot ${job}`);
              at.set(position, held);
              places.set(result.id, position);
              return wrong;
            }),
          );
      }),
  },
  {
    name: "item-whole",
    sentence: "A complete result is the whole output of that item; what is abandoned could not be done, or not in time",
    check: (day) =>
      of(day, "listed").flatMap((seen) => {
        const sent = jobOf(day, seen.lot);
        const wrong =
          sent && seen.total !== sent.items.length
            ? [`lot ${seen.lot} says ${seen.total} items of ${sent.items.length}`]
            : [];
        for (const result of seen.results) {
          const item = sent?.items.find(({ id }) => id === result.id);
          if (!item) wrong.push(`lot ${seen.lot} lists ${result.id}, which is not of it`);
          else if (result.state === "complete" && result.text !== item.text)
            wrong.push(`item ${result.id} is complete with another text`);
          else if (result.state === "abandoned" && !mayBeAbandoned(day, seen, item))
            wrong.push(`item ${result.id} was abandoned before its time`);
        }
        return wrong;
      }),
  },
  {
    name: "item-exact",
    sentence: "A run goes on only after the last event that came before it, and what runs is what was sent",
    check: (day) =>
      day.runs.flatMap((run) => {
        const sent = day.sent.flatMap(({ items }) => items).find(({ id }) => id === run.id);
        if (!sent) return [`item ${run.id} ran and was never sent`];
        const wrong =
          run.body !== sent.body || run.target !== sent.target ? [`item ${run.id} ran with another body or path`] : [];
        const before = day.runs
          .filter((other) => other.id === run.id && other.at <= run.at && other !== run)
          .map((other) => other.after + other.events);
        if (run.after > 0 && !before.some((events) => events >= run.after))
          wrong.push(`item ${run.id} was asked for after ${run.after}, which never came`);
        return wrong;
      }),
  },
  {
    name: "refused-lot-never-runs",
    sentence: "Nothing of a lot runs that was refused at every try",
    check: (day) =>
      day.sent.flatMap((sent) => {
        const said = of(day, "said").filter(({ lot: job }) => job === sent.lot);
        const refused = said.length > 0 && said.every((seen) => seen.said === "refused" || seen.said === "notFitting");
        return refused && runsOf(day, sent).length > 0 ? [`lot ${sent.lot} was refused at every try and ran`] : [];
      }),
  },
  {
    name: "ended-lot-stops",
    sentence: "Nothing of an ended lot reaches a replica later than its time after the end was acknowledged",
    check: (day) =>
      day.sent.flatMap((sent) =>
        runsOf(day, sent)
          .filter((run) => run.asked > endedAt(day, sent.lot) + day.bounds.endMs)
          .map((run) => `item ${run.id} ran after lot ${sent.lot} was ended`),
      ),
  },
  {
    name: "quota-kept",
    sentence: "What waits on a binding never comes to more than it may, and its overrun, at an acceptance",
    check: (day) =>
      of(day, "waiting")
        .filter((seen) => day.bounds.maxTokens > 0 && seen.tokens > day.bounds.maxTokens * (1 + day.bounds.overrun))
        .map((seen) => `${seen.tokens} tokens waited at ${seen.at}`),
  },
  {
    name: "body-kept",
    sentence: "The body of an item that is not listed comes back as it was sent, until its lot is ended",
    check: (day) =>
      of(day, "body").flatMap((seen) => {
        const item = jobOf(day, seen.lot)?.items.find(({ id }) => id === seen.item);
        if (seen.body !== undefined)
          return seen.body === item?.body ? [] : [`body of ${seen.item} came back with other bytes`];
        const listed = of(day, "listed").some(
          (list) =>
            list.lot === seen.lot &&
            list.at <= seen.at + day.bounds.settleMs &&
            list.results.some(({ id }) => id === seen.item),
        );
        return listed || seen.at >= endedAt(day, seen.lot) || seen.at < acceptedAt(day, seen.lot)
          ? []
          : [`body of ${seen.item} did not come, though it is not listed`];
      }),
  },
];
/** Abandoned: after its reply that it can never be done, after enough failures, after its time, or after the end. */
function mayBeAbandoned(day: Day, seen: { at: number; lot: string }, item: LotSent["items"][number]): boolean {
  const failures = day.runs.filter((run) => run.id === item.id && run.at < seen.at).length;
  const late = seen.at > acceptedAt(day, seen.lot) + day.bounds.giveUpMs;
  return (
    (item.fate === "never" && failures > 0) ||
    (item.fate === "fails" && failures >= day.bounds.rounds) ||
    late ||
    seen.at >= endedAt(day, seen.lot)
  );
}

/**
 * What must never happen to lots of whole requests, as named invariants over what callers and replicas saw.
 *
 * @example
 * LotChecker.check({ seen, runs, sent, bounds });
 */
export const LotChecker = {
  sentences: rules.map(({ name, sentence }) => ({ name, sentence })),
  check: (day: Day): Violation[] =>
    rules.flatMap((rule) => rule.check(day).map((detail) => ({ invariant: rule.name, detail }))),
};
