import { Stamp } from "../src/common/stamp";

const bounds = { deltaMs: 25, epsilonMs: 50, bigDeltaMs: 250 };

test("rule 1: a timestamp at the bounds now − δ − ε and now + δ is accepted, one beyond them is rejected", () => {
  expect([924.9, 925, 1000, 1025, 1025.1].map((time) => Stamp.admits(time, 1000, bounds))).toEqual([
    false,
    true,
    true,
    true,
    false,
  ]);
});
test("rule 2: a read uses a timestamp Δ + 2δ + ε in the past", () => {
  expect(Stamp.delay(bounds)).toBe(350);
});
test("timestamps of one node increase even if its clock stops or steps back, and survive conversion to text", () => {
  const next = Stamp.maker("n");
  const stamps = [5.7, 5.9, 4, 6].map(next);
  for (let at = 1; at < stamps.length; at += 1) expect(Stamp.compare(stamps[at - 1], stamps[at])).toBeLessThan(0);
  expect(stamps.map((stamp) => Stamp.parse(Stamp.text(stamp)))).toEqual(stamps);
  expect(["", "x~n~0", "5~n", "5~n~0.5"].map((text) => Stamp.parse(text))).toEqual([
    undefined,
    undefined,
    undefined,
    undefined,
  ]);
});
