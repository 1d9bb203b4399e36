import {
  BatchJobBounds,
  BatchJobChecker,
  ObservedRun,
  JobObservation,
  ExpectedJob,
} from "../src/tools/batchJobChecker";

const bounds: BatchJobBounds = {
  cancellationMs: 3000,
  visibilityMs: 1000,
  abandonAfterMs: 40_000,
  attempts: 3,
  maxTokens: 1000,
  quotaOverrun: 0.1,
};
const item = (id: string, expected: "done" | "impossible" | "fails" = "done"): ExpectedJob["items"][number] => ({
  id,
  body: `body ${id}`,
  target: `/b/${id}`,
  tokens: 100,
  text: `text ${id}`,
  expected,
});
const expectedJobs: ExpectedJob[] = [
  { job: "L", items: [item("a"), item("b"), item("c", "impossible"), item("d", "fails")] },
];
const run = (id: string, at: number, overrides: Partial<ObservedRun> = {}): ObservedRun => ({
  id,
  at,
  requestedAt: at,
  after: 0,
  events: 3,
  body: `body ${id}`,
  target: `/b/${id}`,
  isComplete: true,
  ...overrides,
});
const accepted: JobObservation = { tag: "submitted", at: 100, job: "L", outcome: "accepted", tokens: 400 };
const listed = (
  at: number,
  from: number,
  ...results: { id: string; state: string; text: string }[]
): JobObservation => ({
  tag: "listed",
  at,
  job: "L",
  from,
  total: 4,
  results,
});
const done = (id: string, text = `text ${id}`): { id: string; state: string; text: string } => ({
  id,
  state: "complete",
  text,
});
const abandoned = (id: string): { id: string; state: string; text: string } => ({ id, state: "abandoned", text: "" });
const violatedInvariants = (observations: JobObservation[], runs: ObservedRun[] = []): string[] => [
  ...new Set(
    BatchJobChecker.check({ observations, runs, jobs: expectedJobs, bounds }).map(({ invariant }) => invariant),
  ),
];

/** For each invariant: observations that violate it, and similar ones that do not. */
const cases: [string, [JobObservation[], ObservedRun[]?][], [JobObservation[], ObservedRun[]?][]][] = [
  [
    "lot-stays",
    [
      [[accepted, { tag: "notFound", at: 1200, job: "L", certain: true }]],
      [[accepted, listed(2000, 0, done("a")), listed(3100, 0)]],
    ],
    [
      [[accepted, { tag: "notFound", at: 1000, job: "L", certain: true }]],
      [[accepted, { tag: "notFound", at: 5000, job: "L", certain: false }]],
      [[accepted, listed(2000, 0, done("a")), listed(2900, 0)]],
    ],
  ],
  [
    "item-one-position",
    [[[accepted, listed(1, 0, done("a")), listed(2, 0, done("b"))]], [[accepted, listed(1, 0, done("a"), done("a"))]]],
    [[[accepted, listed(1, 0, done("a")), listed(2, 0, done("a"), done("b")), listed(3, 1, done("b"))]]],
  ],
  [
    "item-whole",
    [
      [[accepted, listed(1, 0, done("a", "text"))]],
      [[accepted, listed(1, 0, done("x"))]],
      [[accepted, listed(1, 0, abandoned("a"))]],
      [
        [accepted, listed(9, 0, abandoned("d"))],
        [run("d", 1), run("d", 2)],
      ],
      [[accepted, { ...listed(9, 0), total: 3 } as JobObservation]],
    ],
    [
      [[accepted, listed(9, 0, abandoned("c"))], [run("c", 1)]],
      [
        [accepted, listed(9, 0, abandoned("d"))],
        [run("d", 1), run("d", 2), run("d", 3)],
      ],
      [[accepted, listed(40_101, 0, abandoned("a"))]],
      [[accepted, { tag: "ended", at: 200, job: "L" }, listed(300, 0, abandoned("a"))]],
    ],
  ],
  [
    "item-exact",
    [
      [[accepted], [run("x", 1)]],
      [[accepted], [run("a", 1, { body: "other" })]],
      [[accepted], [run("a", 1, { target: "/b/b" })]],
      [[accepted], [run("a", 1, { events: 2 }), run("a", 2, { after: 3 })]],
    ],
    [
      [[accepted], [run("a", 1, { events: 2 }), run("a", 2, { after: 2 })]],
      [[accepted], [run("a", 1), run("a", 2)]],
    ],
  ],
  [
    "refused-lot-never-runs",
    [
      [
        [
          { ...accepted, outcome: "refused" },
          { ...accepted, outcome: "notFitting" },
        ] as JobObservation[],
        [run("a", 1)],
      ],
    ],
    [
      [[{ ...accepted, outcome: "refused" }, accepted] as JobObservation[], [run("a", 1)]],
      [[{ ...accepted, outcome: "unknown" }] as JobObservation[], [run("a", 1)]],
    ],
  ],
  [
    "ended-lot-stops",
    [[[accepted, { tag: "ended", at: 500, job: "L" }], [run("a", 3501)]]],
    [[[accepted, { tag: "ended", at: 500, job: "L" }], [run("a", 3499)]]],
  ],
  [
    "quota-kept",
    [[[accepted, { tag: "waiting", at: 1, tokens: 1101 }]]],
    [[[accepted, { tag: "waiting", at: 1, tokens: 1100 }]]],
  ],
  [
    "body-kept",
    [
      [[accepted, { tag: "body", at: 500, job: "L", item: "a", body: "other" }]],
      [[accepted, { tag: "body", at: 500, job: "L", item: "a", body: undefined }]],
    ],
    [
      [[accepted, { tag: "body", at: 500, job: "L", item: "a", body: "body a" }]],
      [[accepted, listed(1200, 0, done("a")), { tag: "body", at: 500, job: "L", item: "a", body: undefined }]],
      [[accepted, { tag: "ended", at: 400, job: "L" }, { tag: "body", at: 500, job: "L", item: "a", body: undefined }]],
    ],
  ],
];
test.each(cases)("%s is reported for each violation and for no similar case", (name, violating, valid) => {
  for (const [observations, runs] of violating) expect(violatedInvariants(observations, runs)).toContain(name);
  for (const [observations, runs] of valid) expect(violatedInvariants(observations, runs)).toEqual([]);
});
test("there are cases for every invariant", () =>
  expect(cases.map(([name]) => name)).toEqual(BatchJobChecker.rules.map(({ name }) => name)));
