import { Stamp } from "../src/common/stamp";

const bounds = { deltaMs: 25, epsilonMs: 50, bigDeltaMs: 250 };

test("rule 1: a stamp at the edges now − δ − ε and now + δ is taken, one past them is not", () => {
  expect([924.9, 925, 1000, 1025, 1025.1].map((time) => Stamp.admits(time, 1000, bounds))).toEqual([
    false,
    true,
    true,
    true,
    false,
  ]);
});
test("rule 2: a read indexes Δ + 2δ + ε into the past", () => {
  expect(Stamp.delay(bounds)).toBe(350);
});
test("stamps of one node only grow, though its clock stands still or steps back, and their text loses nothing", () => {
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
