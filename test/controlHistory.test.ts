import { OperatorRaceCampaign } from "./operatorRaceCampaign";
import { ControlHistory } from "./controlHistory";

const { change, read, drainOrder: order, drained, configurations, zone } = ControlHistory;

describe("the judge of operators' histories", () => {
  test("finds an order for concurrent calls, lost answers and reads on either side of them", () => {
    expect(
      configurations([
        change("a", 0, 30, 0, 3, "acknowledged"),
        change("b", 5, 40, 0, 3, "refused"),
        read("", 6, 9, 0),
        read("a", 7, 8, 3),
        change("c", 50, 60, 3, 4, "unknown"),
        read("a", 70, 71, 3),
        read("c", 80, 81, 4),
        change("d", 90, 99, 4, 9, "acknowledged"),
      ]).tag,
    ).toBe("linearizable");
    expect(
      zone([order("drain", 0, 9, true), drained(true, 10), order("undrain", 11, 20, true), drained(false, 21)]).tag,
    ).toBe("linearizable");
    // two orders under way at once: either may be the later one
    for (const last of [true, false])
      expect(zone([order("drain", 0, 9, true), order("undrain", 3, 8, true), drained(last, 10)]).tag).toBe(
        "linearizable",
      );
  });
  test.each([
    [
      "two acknowledged on one version",
      [change("a", 0, 9, 0, 3, "acknowledged"), change("b", 1, 9, 0, 3, "acknowledged")],
    ],
    ["a refused one in force", [change("a", 0, 9, 0, 3, "refused"), read("a", 20, 21, 3)]],
    ["refused, though its version was current", [change("a", 0, 9, 0, 3, "refused"), read("", 20, 21, 0)]],
    ["an acknowledged one lost", [change("a", 0, 9, 0, 3, "acknowledged"), read("", 20, 21, 0)]],
    ["an old read after a newer one", [change("a", 0, 90, 0, 3, "unknown"), read("a", 20, 21, 3), read("", 22, 23, 0)]],
    [
      "another document under its number",
      [change("a", 0, 9, 0, 3, "acknowledged"), change("b", 0, 9, 0, 3, "refused"), read("b", 20, 21, 3)],
    ],
    ["read before it was sent", [read("a", 1, 2, 3), change("a", 5, 9, 0, 3, "acknowledged")]],
  ])("a planted violation is seen: %s", (_what, operations) => {
    expect(configurations(operations).tag).toBe("violated");
  });
  test.each([
    ["an acknowledged drain lost", [order("drain", 0, 9, true), drained(false, 10)]],
    [
      "drained by a call that was over",
      [order("drain", 0, 9, false), order("undrain", 20, 29, true), drained(true, 30)],
    ],
    [
      "drained by a late duplicate",
      [order("drain", 0, 9, true), order("undrain", 20, 29, true), drained(false, 30), drained(true, 31)],
    ],
  ])("a planted violation is seen: %s", (_what, operations) => {
    expect(zone(operations).tag).toBe("violated");
  });
  test("a day of 400 operations is judged", () => {
    const operations = Array.from({ length: 200 }, (_, at) => [
      change(`a${at}`, at * 10, at * 10 + 8, at, at + 1, "acknowledged"),
      change(`b${at}`, at * 10 + 1, at * 10 + 9, at, at + 1, at % 3 === 0 ? "unknown" : "refused"),
    ]).flat();
    expect(configurations(operations).tag).toBe("linearizable");
  });
});

describe("operators of configurations and zones, answers lost, while control machines are in trouble", () => {
  const [first, count] = [Number(process.env.ORDER_SEED ?? 1), Number(process.env.ORDER_SEEDS ?? 1)];
  const faults = Number(process.env.ORDER_TROUBLES ?? 2);
  test.each([
    [4, 1],
    [7, 2],
  ])(
    "%i machines, %i of them lost: what operators saw has an order",
    async (controls, losses) => {
      const violations: Record<number, string[]> = {};
      for (let seed = first; seed < first + count; seed += 1) {
        const result = await OperatorRaceCampaign.run(seed, { controls, losses, faults, orders: true });
        if (result.violations.length > 0) violations[seed] = [...result.violations, ...result.injectedFaults];
        expect(result.acknowledged).toBeGreaterThan(10);
      }
      expect(violations).toEqual({});
    },
    120_000 * count,
  );
});
