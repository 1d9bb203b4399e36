import { withoutOrigin } from "../src/controlState/configurationOrigin";
import { ConfigurationPatch } from "../src/controlState/configurationPatch";
import { configurationProblems } from "../src/controlState/configurationValidation";

describe("configuration patches", () => {
  const route = (more: Record<string, unknown> = {}): any => ({
    kind: "lookup",
    pool: "p",
    path: "/",
    safe: true,
    deadlineMs: 1000,
    continues: "no",
    prefixBytes: 0,
    ...more,
  });
  test("a patch keeps the position of an item, the result is validated as a whole, and nodes get it without the operator's original form", () => {
    const doc = {
      bindings: { a: route({ origin: { its: "form" } }), b: route({ host: "h", prefix: "/b/" }) },
      pools: { p: { origin: 1 }, q: {} },
      origin: { rest: 1 },
    };
    const next = ConfigurationPatch.apply(doc, {
      upsert: { bindings: { c: route(), a: route({ pool: "q" }) } },
      remove: { pools: ["nobody"] },
    });
    expect(Object.keys(next.bindings)).toEqual(["a", "b", "c"]);
    expect([next.bindings.a.pool, next.origin, configurationProblems(next)]).toEqual(["q", { rest: 1 }, []]);
    const problemsAfter = (upsert: Record<string, unknown>, remove = {}): string[] =>
      configurationProblems(ConfigurationPatch.apply(doc, { upsert: { bindings: upsert as any }, remove }));
    expect(problemsAfter({}, { pools: ["p"] })).toHaveLength(2);
    expect(problemsAfter({ z: route({ host: "H", prefix: "/b/" }) })).toEqual([
      expect.stringContaining("host and prefix are those of b"),
    ]);
    expect(problemsAfter({ z: route({ split: [{ pool: "p", weight: 0 }] }) })).toEqual([
      expect.stringContaining("weights"),
    ]);
    expect(
      problemsAfter({
        z: route({
          split: [
            { pool: "p", weight: 1 },
            { pool: "nobody", weight: 0 },
          ],
        }),
      }),
    ).toEqual([expect.stringContaining("nobody")]);
    expect(problemsAfter({ z: route({ deadlineMs: 0 }) })).toEqual([expect.stringContaining("deadline")]);
    expect(problemsAfter({ z: route({ host: "h" }) })).toEqual([expect.stringContaining("go together")]);
    // A configuration without pools may name any pool.
    expect(configurationProblems({ bindings: { a: route({ pool: "anything" }) } })).toEqual([]);
    const stripped = withoutOrigin(doc);
    expect([
      JSON.stringify(stripped).includes("origin"),
      Object.keys(stripped.bindings),
      withoutOrigin(doc) === stripped,
    ]).toEqual([false, ["a", "b"], true]);
  });
});
