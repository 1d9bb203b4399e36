import { OperatorRaceCampaign } from "./operatorRaceCampaign";
import { ControlHistory } from "./controlHistory";

const { change, read, drainOrder, drained, configurations, zone } = ControlHistory;

describe("linearizability check of what operators observed", () => {
  test("accepts concurrent calls, lost responses, and reads before and after them", () => {
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
      zone([
        drainOrder("drain", 0, 9, true),
        drained(true, 10),
        drainOrder("undrain", 11, 20, true),
        drained(false, 21),
      ]).tag,
    ).toBe("linearizable");
    // Of two concurrent orders, either may take effect last.
    for (const isDrained of [true, false])
      expect(
        zone([drainOrder("drain", 0, 9, true), drainOrder("undrain", 3, 8, true), drained(isDrained, 10)]).tag,
      ).toBe("linearizable");
  });
  test.each([
    [
      "two changes of one version are acknowledged",
      [change("a", 0, 9, 0, 3, "acknowledged"), change("b", 1, 9, 0, 3, "acknowledged")],
    ],
    ["a refused change is in force", [change("a", 0, 9, 0, 3, "refused"), read("a", 20, 21, 3)]],
    ["a change is refused although its version is current", [change("a", 0, 9, 0, 3, "refused"), read("", 20, 21, 0)]],
    ["an acknowledged change is lost", [change("a", 0, 9, 0, 3, "acknowledged"), read("", 20, 21, 0)]],
    [
      "an old version is read after a newer one",
      [change("a", 0, 90, 0, 3, "unknown"), read("a", 20, 21, 3), read("", 22, 23, 0)],
    ],
    [
      "a refused change is read under the version of the acknowledged one",
      [change("a", 0, 9, 0, 3, "acknowledged"), change("b", 0, 9, 0, 3, "refused"), read("b", 20, 21, 3)],
    ],
    ["a change is read before it was sent", [read("a", 1, 2, 3), change("a", 5, 9, 0, 3, "acknowledged")]],
  ])("reports a violation: %s", (_title, operations) => {
    expect(configurations(operations).tag).toBe("violated");
  });
  test.each([
    ["an acknowledged drain is lost", [drainOrder("drain", 0, 9, true), drained(false, 10)]],
    [
      "a zone is drained by an order that can no longer take effect",
      [drainOrder("drain", 0, 9, false), drainOrder("undrain", 20, 29, true), drained(true, 30)],
    ],
    [
      "a zone is drained by a late duplicate of an order",
      [drainOrder("drain", 0, 9, true), drainOrder("undrain", 20, 29, true), drained(false, 30), drained(true, 31)],
    ],
  ])("reports a violation: %s", (_title, operations) => {
    expect(zone(operations).tag).toBe("violated");
  });
  test("a history of 400 operations is checked", () => {
    const operations = Array.from({ length: 200 }, (_item, index) => [
      change(`a${index}`, index * 10, index * 10 + 8, index, index + 1, "acknowledged"),
      change(`b${index}`, index * 10 + 1, index * 10 + 9, index, index + 1, index % 3 === 0 ? "unknown" : "refused"),
    ]).flat();
    expect(configurations(operations).tag).toBe("linearizable");
  });
});

describe("operators change configurations and drain zones while responses are lost and control machines have faults", () => {
  const [firstSeed, seedCount] = [Number(process.env.ORDER_SEED ?? 1), Number(process.env.ORDER_SEEDS ?? 1)];
  const faults = Number(process.env.ORDER_TROUBLES ?? 2);
  test.each([
    [4, 1],
    [7, 2],
  ])(
    "%i control machines, %i of them lost: what operators observed is linearizable",
    async (controls, losses) => {
      const violations: Record<number, string[]> = {};
      for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
        const result = await OperatorRaceCampaign.run(seed, { controls, losses, faults, orders: true });
        if (result.violations.length > 0) violations[seed] = [...result.violations, ...result.injectedFaults];
        expect(result.acknowledged).toBeGreaterThan(10);
      }
      expect(violations).toEqual({});
    },
    120_000 * seedCount,
  );
});
