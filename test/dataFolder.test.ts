import { DataFolder, Identity } from "../src/runtime/dataFolder";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const initialIdentity: Identity = { id: "control-1", cluster: "c", program: "control" };
/** Opens a folder with these files. Returns the id or the fault's detail, and the identity in the folder afterwards. */
async function open(files: Record<string, string>): Promise<{ outcome: string; identity: string; logged: boolean }> {
  const world = new SimWorld(1);
  const disk = new SimDisk(world);
  const events: number[] = [];
  const process = world.start("p", disk);
  const env = { ...process.env, log: (event: number) => void events.push(event) };
  const outcome = await world.runTask(
    process,
    function* () {
      for (const [name, text] of Object.entries(files)) yield* env.disk.write(`data/${name}`, Buffer.from(text));
      const opened = yield* DataFolder.open(env, "data", "a:1", initialIdentity);
      return opened.ok ? opened.value : opened.fault.detail;
    },
    10_000,
  );
  world.kill("p", true);
  return {
    outcome: outcome!,
    identity: disk.under("data").get("identity")?.toString("utf8") ?? "",
    logged: events.includes(1006),
  };
}
/** The identity file of an earlier version. */
const earlierIdentity = '{"id":"control-7","cluster":"c","program":"control"}';

test("a first start writes an identity that the next start reads", async () => {
  const { outcome, identity, logged } = await open({});
  expect([outcome, logged]).toEqual(["control-1", false]);
  expect((await open({ identity, "group/slot-a": "x" })).outcome).toBe("control-1");
});
test("an identity of an earlier version is read", async () => {
  expect(await open({ identity: earlierIdentity, "group/slot-a": "x" })).toEqual({
    outcome: "control-7",
    identity: earlierIdentity,
    logged: false,
  });
});
test.each(["", "\0\0\0\0", '{"id', '{"id":"control-7","clu', `${earlierIdentity.slice(0, 20)}\0\0\0`])(
  "an interrupted first start that left only the torn identity %j is repeated",
  async (torn) => {
    const { outcome, identity } = await open({ identity: torn, lock: "3", "identity.new": "{" });
    expect([outcome, JSON.parse(identity).id]).toEqual(["control-1", "control-1"]);
  },
);
test.each([
  [
    { identity: '{"id":"control-7","clu', "group/slot-a": "x" },
    "folder is not empty and its identity is damaged: group",
  ],
  [{ "group/slot-a": "x" }, "folder is not empty and has no identity: group"],
  [{ identity: "# of another program" }, "folder belongs to nobody readable of no cluster"],
  [{ identity: earlierIdentity.replace('"c"', '"d"') }, "folder belongs to control of d"],
  [{ identity: earlierIdentity.replace('"control"', '"store"') }, "folder belongs to store of c"],
  [{ identity: earlierIdentity.replace("}", ',"format":2}') }, "folder has format 2; this version reads format 1"],
  [{ identity: earlierIdentity.replace("}", ',"format":1,"sum":5}') }, "identity is damaged"],
])("a folder with %j is rejected with its reason and not changed", async (files: Record<string, string>, reason) => {
  expect(await open(files)).toEqual({ outcome: reason, identity: files.identity ?? "", logged: true });
});
