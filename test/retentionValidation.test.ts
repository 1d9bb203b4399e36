import { parseCalendarEntry } from "../src/adapters/schemas/calendarSchemas";
import { parseConfiguration } from "../src/adapters/schemas/configurationSchemas";

const route = {
  kind: "item" as const,
  pool: "p",
  path: "/",
  safe: false,
  deadlineMs: 1000,
  continues: "no" as const,
  prefixBytes: 0,
};

test.each([
  [{ lotsMs: -1 }, "/retention/lotsMs: must be >= 1"],
  [{ lotsMs: "a week" }, "/retention/lotsMs: must be integer"],
  [{ requestsMs: 999 }, "/retention/requestsMs: must not be shorter than the longest deadline, 1000"],
  [{ years: 1 }, "/retention/years: must NOT have additional properties"],
])("an invalid retention %j is rejected with its path, in a configuration and in the calendar", (retention, path) => {
  const doc = { bindings: { b: { ...route, continues: undefined, prefixBytes: undefined } }, retention };
  const parsed = parseConfiguration(JSON.parse(JSON.stringify(doc)));
  expect(!parsed.ok && parsed.fault.tag === "invalid" && parsed.fault.paths).toContain(path);
  expect(
    parseCalendarEntry(
      { due: "now", move: { kind: "manifest", ifVersion: 0, doc: JSON.parse(JSON.stringify(doc)) } },
      0,
    ).ok,
  ).toBe(false);
});
