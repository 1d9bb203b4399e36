import { runSelect } from "../src/cli/selectQuery";

const tables = {
  members: [
    { id: "a", program: "store" },
    { id: "b", program: "store" },
    { id: "c", program: "agent" },
  ],
  replicas: [
    { id: "r1", district: "north", active: 2 },
    { id: "r2", district: "south", active: 5 },
  ],
  views: [{ shard: 0, lead: "a" }],
  shards: [],
  lots: [{ id: "L", open: 0 }],
};
test("a SELECT reads from one table or joins two", () => {
  expect(runSelect("SELECT program, COUNT(*) AS n FROM members GROUP BY program ORDER BY program", tables)).toEqual([
    { program: "agent", n: 1 },
    { program: "store", n: 2 },
  ]);
  expect(runSelect("SELECT members.id FROM views JOIN members ON views.lead = members.id", tables)).toEqual([
    { id: "a" },
  ]);
  expect(runSelect("SELECT id FROM replicas WHERE active > 3", tables)).toEqual([{ id: "r2" }]);
});
test.each([
  "DELETE FROM members",
  "SELECT * INTO CSV('x.csv') FROM members",
  "SELECT * FROM CSV('/etc/passwd')",
  "SELECT * FROM nothing",
  "SELECT 1 AS x FROM members; DROP TABLE members",
  "CREATE TABLE x",
  "not sql",
])("anything but one SELECT over the known tables throws: %s", (text) => {
  expect(() => runSelect(text, tables)).toThrow();
});
