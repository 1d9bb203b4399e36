import { DataFolder, Identity } from "../src/runtime/dataFolder";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const first: Identity = { id: "control-1", cluster: "c", program: "control" };
/** What a start says of a folder that holds these files, and what stands in it then. */
async function open(files: Record<string, string>): Promise<{ said: string; identity: string; logged: boolean }> {
  const world = new SimWorld(1);
  const disk = new SimDisk(world);
  const logged: number[] = [];
  const process = world.start("p", disk);
  const env = { ...process.env, log: (event: number) => void logged.push(event) };
  const said = await world.runTask(
    process,
    function* () {
      for (const [name, text] of Object.entries(files)) yield* env.disk.write(`data/${name}`, Buffer.from(text));
      const opened = yield* DataFolder.open(env, "data", "a:1", first);
      return opened.ok ? opened.value : opened.fault.detail;
    },
    10_000,
  );
  world.kill("p", true);
  return {
    said: said!,
    identity: disk.under("data").get("identity")?.toString("utf8") ?? "",
    logged: logged.includes(1006),
  };
}
const former = '{"id":"control-7","cluster":"c","program":"control"}';

test("a first start leaves an identity that the next one reads", async () => {
  const { said, identity, logged } = await open({});
  expect([said, logged]).toEqual(["control-1", false]);
  expect((await open({ identity, "group/slot-a": "x" })).said).toBe("control-1");
});
test("an identity of a former version is read", async () => {
  expect(await open({ identity: former, "group/slot-a": "x" })).toEqual({
    said: "control-7",
    identity: former,
    logged: false,
  });
});
test.each(["", "\0\0\0\0", '{"id', '{"id":"control-7","clu', `${former.slice(0, 20)}\0\0\0`])(
  "a first start that was cut short left %j and no more: it is done anew",
  async (torn) => {
    const { said, identity } = await open({ identity: torn, lock: "3", "identity.new": "{" });
    expect([said, JSON.parse(identity).id]).toEqual(["control-1", "control-1"]);
  },
);
test.each([
  [
    { identity: '{"id":"control-7","clu', "group/slot-a": "x" },
    "folder is not empty and its identity is damaged: group",
  ],
  [{ "group/slot-a": "x" }, "folder is not empty and has no identity: group"],
  [{ identity: "# of another program" }, "folder belongs to nobody readable of no cluster"],
  [{ identity: former.replace('"c"', '"d"') }, "folder belongs to control of d"],
  [{ identity: former.replace('"control"', '"store"') }, "folder belongs to store of c"],
  [{ identity: former.replace("}", ',"format":2}') }, "folder has format 2; this version reads format 1"],
  [{ identity: former.replace("}", ',"format":1,"sum":5}') }, "identity is damaged"],
])("a folder with %j is refused by name and left as it is", async (files: Record<string, string>, reason) => {
  expect(await open(files)).toEqual({ said: reason, identity: files.identity ?? "", logged: true });
});
