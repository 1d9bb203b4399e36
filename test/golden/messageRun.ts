import { goldenPolicies, requestItems } from "./configuration";
import { Exchange } from "./exchange";
import { GoldenFleet } from "./goldenFleet";
import { observeFrames } from "./observeFrames";
import { configure, scheduleOperations } from "./operatorSteps";
import { withShortLogs } from "./shortLogs";

export type MessageRecording = { exchanges: Exchange[]; frames: Buffer[]; logLines: string[] };
const SEED = 1;
const announcement = (id: string, address: string): Record<string, unknown> => ({
  address,
  pool: "events",
  district: "north",
  version: "v1",
  capacity: 8,
  active: 0,
  waiting: 0,
  instance: id,
});

/** Restarts an ingress with a separate agent process instead of the agent inside the ingress. */
function useSeparateAgent(golden: GoldenFleet, ingress: string, agent: string): void {
  const { fleet } = golden;
  fleet.kill(ingress);
  const { seeds: _seeds, ...settings } = fleet.settings.get(ingress)!;
  fleet.settings.set(ingress, { ...settings, agent: fleet.settings.get(agent)!.address });
  fleet.start(ingress);
}
async function sendRequestsBeforeConfiguration({ call, fleet }: GoldenFleet): Promise<void> {
  await fleet.run(200);
  await call("GET", "/readyz");
  await call("GET", "/readyz", { at: "ingress-1" });
  await call("GET", "/v1/inforce", { at: "ingress-1" });
  await call("POST", "/v1/requests/status", { at: "ingress-1", body: {} });
  await call("GET", "/page/1", { at: "ingress-1", headers: { host: "golden.example" } });
  await fleet.run(4000);
}
async function startEndpoints(golden: GoldenFleet): Promise<void> {
  const { call } = golden;
  golden.startEndpoint("model-1", "model", 9001, ["ingress-1", "ingress-2"]);
  golden.startEndpoint("desk-1", "desk", 9002, ["ingress-2"]);
  golden.startEventEndpoint("e1", 9003);
  const body = announcement("e1", "127.0.0.1:9003");
  golden.repeatRequest("PUT", "/v1/replicas/e1", body, golden.http("ingress-1"));
  await golden.fleet.run(500);
  await call("PUT", "/v1/replicas/e1", { at: "ingress-1", body });
  await call("PUT", "/v1/replicas/e2", { at: "ingress-2", body: announcement("e2", "127.0.0.1:9004") });
  await call("DELETE", "/v1/replicas/e2", { at: "ingress-2" });
  await call("PUT", "/v1/replicas/e2", { at: "ingress-2", body: announcement("e2", "127.0.0.1:9004") });
  await call("PUT", "/v1/replicas/e3", { at: "ingress-1", body: { address: "nowhere" } });
  await golden.waitFor("GET", "/readyz", { at: "ingress-1" });
  await golden.waitFor("GET", "/readyz", { at: "ingress-2" });
  await golden.fleet.run(1500);
}
async function sendRequests({ call }: GoldenFleet): Promise<void> {
  const post = (name: string, body: unknown, headers: Record<string, string> = {}, at = "ingress-1") =>
    call("POST", `/v1/requests/${name}`, { at, body, headers });
  await post("status", { q: 1 });
  await post("status", { q: 1 }, {}, "ingress-2");
  await post("nobody", {});
  await post("status", "[");
  await post("status", [1]);
  await post("status", { long: "x".repeat(70_000) });
  await post("confirm", { q: 2 }, { "idempotency-key": "k1", "x-caller": "batch" });
  await post("confirm", { q: 2 }, { "idempotency-key": "k1" });
  await post("confirm", { q: 3 }, { "idempotency-key": "k1" });
  await post("ask", { prompt: "a prompt of some length", pieces: 4 }, { "idempotency-key": "s1" });
  const streamed = await post("ask", { prompt: "another prompt", pieces: 3 });
  const id = streamed.headers["x-request-id"] ?? "none";
  await call("GET", `/v1/streams/${id}`, { at: "ingress-2", headers: { "last-event-id": "1" } });
  await call("GET", "/v1/streams/nobody", { at: "ingress-1" });
  await call("GET", `/v1/streams/${id}?after=x`, { at: "ingress-1" });
  for (const path of ["/page/1?x=1", "/elsewhere"])
    await call("GET", path, { at: "ingress-1", headers: { host: "golden.example", "x-request-id": "direct-1" } });
  await call("POST", "/bulk/1", { at: "ingress-1", headers: { host: "golden.example" }, body: {} });
}
async function submitBatchJobs({ call, fleet }: GoldenFleet): Promise<void> {
  const post = (body: unknown, at = "ingress-1"): Promise<Exchange> => call("POST", "/v1/lots", { at, body });
  const items = [{ a: 1 }, { a: 2 }, { a: 3 }];
  await post({ id: "lot-1", binding: "confirm", items });
  await post({ id: "lot-1", binding: "confirm", items });
  await post({ id: "lot-1", binding: "confirm", items: [{ a: 9 }] });
  await post({ binding: "confirm", items: [] });
  await post({ binding: "status", items });
  await post({ id: "lot-2", binding: "confirm", items: Array.from({ length: 40 }, (_unused, index) => ({ index })) });
  await call("POST", "/v1/lots/lot-2/end", { at: "ingress-2", headers: { "x-caller": "batch" } });
  await post({ id: "lot-3", binding: "bulk", requests: requestItems("lot-3", 3, 10) });
  await post({ id: "lot-3", binding: "bulk", requests: requestItems("lot-3", 3, 10) });
  await post({ id: "lot-3", binding: "bulk", requests: requestItems("lot-3", 2, 10) });
  await post({ id: "lot-4", binding: "bulk", requests: requestItems("lot-4", 3, 900) });
  await post({ id: "lot-5", binding: "doomed", requests: requestItems("lot-5", 2, 10) });
  await call("GET", "/v1/lots/lot-3/items/lot-3-i1", { at: "ingress-1" });
  await call("GET", "/v1/lots/lot-3/items/nobody", { at: "ingress-1" });
  await fleet.run(3000);
  for (const lot of ["lot-1", "lot-2", "lot-3", "lot-5", "nobody"]) {
    await call("GET", `/v1/lots/${lot}`, { at: "ingress-1" });
    await call("GET", `/v1/lots/${lot}/results?after=0&limit=10&waitMs=500`, { at: "ingress-1" });
  }
  await call("GET", "/v1/lots/lot-1/results?limit=x", { at: "ingress-1" });
  await call("POST", "/v1/lots/nobody/end", { at: "ingress-1" });
}
async function readLedger({ call }: GoldenFleet): Promise<void> {
  const first = await call("GET", "/v1/ledger?limit=5");
  const next = encodeURIComponent((first.body as { next?: string }).next ?? "");
  await call("GET", `/v1/ledger?limit=100&after=${next}`, { at: "ingress-1" });
  for (const subject of ["lot-1", "lot-1/0", "golden-1", "0", "nobody"]) await call("GET", `/v1/why/${subject}`);
  await call("GET", "/v1/at/lot%20lot-1?time=1790000000000", { at: "ingress-1" });
  await call("GET", "/v1/at/nobody?waitMs=100");
}
async function readProcessState({ call }: GoldenFleet): Promise<void> {
  for (const at of ["control-1", "store-1", "agent-1", "ingress-1", "ingress-2"])
    for (const path of ["/livez", "/readyz", "/metrics", "/v1/inforce"]) await call("GET", path, { at });
  await call("GET", "/v1/members");
  await call("GET", "/v1/shards");
  await call("GET", "/nowhere");
  await call("GET", "/v1/calendar/%ff");
  await call("DELETE", "/v1/manifest");
}
async function drainAndRetire({ call, fleet }: GoldenFleet): Promise<void> {
  await call("POST", "/v1/districts/east/drain", { headers: { "x-change-id": "drain-1" } });
  await fleet.run(500);
  await call("GET", "/v1/members");
  await call("DELETE", "/v1/districts/east/drain");
  await call("POST", "/v1/stores/nobody/retirement");
  await call("GET", "/v1/stores/nobody/retirement");
  await call("POST", "/v1/stores/store-4/retirement");
  await call("GET", "/v1/stores/store-4/retirement");
  await fleet.run(4000);
  await call("GET", "/v1/calendar");
}
/** Sends RPCs that members rarely send to each other, and bytes that are not an RPC. */
async function sendRareRpcs(golden: GoldenFleet): Promise<void> {
  const { fleet } = golden;
  const stamp = { time: 1_790_000_000_000 + fleet.world.now, node: "golden", seq: 1 };
  await golden.sendRpc("control-1", "control.status", {});
  await golden.sendRpc("control-1", "group.takeOver", { to: "nobody", group: "none", term: 0 });
  await golden.sendRpc("control-1", "control.op", { op: "read", what: "manifest" });
  await golden.sendRpc("agent-1", "agent.tell", { key: "crowd/golden/desk", value: { pool: "desk" }, grantMs: 600 });
  for (const name of ["store-1", "store-2", "store-3"]) {
    await golden.sendRpc(name, "work.running", { ids: ["nobody"] });
    await golden.sendRpc(name, "quota.tallies", { binding: "bulk", shards: [0, 1, 2, 3], anyCopy: true });
    for (let shard = 0; shard < 8; shard += 1) {
      await golden.sendRpc(name, "lot.list", { shard, id: "lot-3", from: 0, waitMs: 0 });
      await golden.sendRpc(name, "shard.goesOn", { shard, epoch: 1 });
      await golden.sendRpc(name, "shard.mend", { shard, epoch: 0, seq: 0, works: [], lots: [] });
      await golden.sendRpc(name, "lot.refuse", { shard, id: `refused-${shard}`, stamp });
      await golden.sendRpc(name, "work.refuse", { shard, id: `refused-${shard}`, stamp });
    }
    await golden.sendRpc(name, "shard.mendSegments", { shard: 0, from: fleet.settings.get("store-1")!.address });
  }
  await golden.sendRpc("store-1", "no.such", {});
  await golden.sendBytes("store-1", Buffer.from("GET / HTTP/1.1\r\n\r\n"));
}
/** Lets the disk of a storage node fail for a while. */
async function failDisk({ fleet, call }: GoldenFleet): Promise<void> {
  const disk = fleet.disks.get("store-2")!;
  disk.failing = true;
  await call("POST", "/v1/requests/confirm", { at: "ingress-1", body: { q: 4 } });
  await fleet.run(3000);
  disk.failing = false;
  await fleet.run(5500);
}
/** Restarts a storage node with a damaged snapshot, a torn log and damaged segments. */
async function damageFiles(golden: GoldenFleet): Promise<void> {
  const { fleet } = golden;
  const disk = fleet.disks.get("store-1")!;
  fleet.kill("store-1");
  const files = [...disk.under("data/store-1").keys()].sort();
  const tornLog = files.filter((file) => /\/log-\d+$/.test(file)).at(-1)!;
  await golden.appendFile("store-1", tornLog, Buffer.from("PBR2"));
  // The log from before this snapshot still exists, so the logs are complete without the snapshot.
  const redundantSnapshot = files.find(
    (file) => file.endsWith("slot-b") && files.includes(file.replace("slot-b", "log-0")),
  );
  disk.damage((path) => redundantSnapshot !== undefined && path.endsWith(redundantSnapshot));
  disk.damage((path) => path.endsWith(".seg"));
  fleet.restart("store-1");
  await fleet.run(7000);
}
/** Restarts one storage node with an empty disk, then all storage nodes at once. */
async function loseStorageNodes({ fleet, call }: GoldenFleet): Promise<void> {
  fleet.kill("store-3", true);
  await call("POST", "/v1/lots", { at: "ingress-1", body: { id: "lot-6", binding: "confirm", items: [1, 2] } });
  fleet.restart("store-3", { withEmptyDisk: true });
  await fleet.run(5000);
  const stores = ["store-1", "store-2", "store-3"];
  for (const name of stores) fleet.kill(name, true);
  await fleet.run(4000);
  await call("GET", "/v1/ledger?limit=5");
  await call("GET", "/v1/lots/lot-1", { at: "ingress-1" });
  await call("POST", "/v1/lots", { at: "ingress-1", body: { id: "lot-7", binding: "confirm", items: [1, 2] } });
  for (const name of stores) fleet.restart(name);
  await fleet.run(4000);
}
async function freezeProcessesAndSkewClocks({ fleet }: GoldenFleet): Promise<void> {
  for (const name of ["ingress-1", "agent-1"]) fleet.world.processes.get(name)!.freeze();
  await fleet.run(4000);
  for (const name of ["ingress-1", "agent-1"]) fleet.world.processes.get(name)!.resume();
  await fleet.run(2000);
  const store = fleet.world.processes.get("store-2")!;
  store.skewMs = 200;
  await fleet.run(4000);
  store.skewMs = 0;
  await fleet.run(4000);
}
async function recoverControlGroup(golden: GoldenFleet): Promise<void> {
  const { fleet, call } = golden;
  const leader = fleet.leader()!;
  await fleet.terminate(leader);
  await fleet.run(2000);
  fleet.restart(leader);
  await fleet.run(4000);
  const group = fleet.control("control-1")!.group.groupId();
  const voters = fleet.control("control-1")!.group.voters();
  const survivor = fleet.names("control").find((name) => voters.includes(fleet.control(name)!.node.self.id))!;
  const voterId = fleet.control(survivor)!.node.self.id;
  const recovery = { group, voter: voterId, acceptLoss: true };
  await call("POST", "/v1/control/recover", { at: survivor, body: { group, voter: voterId } });
  await call("POST", "/v1/control/recover", { at: survivor, body: { ...recovery, voter: "nobody" } });
  await call("POST", "/v1/control/recover", { at: survivor, body: recovery });
  for (const name of fleet.names("control")) if (name !== survivor) fleet.kill(name, true);
  await fleet.run(6000);
  await call("GET", "/v1/manifest", { at: survivor });
  await call("PUT", "/v1/policies", { at: survivor, body: goldenPolicies, headers: { "if-match": '"1"' } });
  await call("POST", "/v1/control/recover", { at: survivor, body: recovery, headers: { "x-operator": "ann" } });
  await fleet.run(8000);
  await call("GET", "/v1/manifest", { at: survivor });
}

const steps = [
  sendRequestsBeforeConfiguration,
  configure,
  scheduleOperations,
  startEndpoints,
  sendRequests,
  submitBatchJobs,
  readLedger,
  readProcessState,
  drainAndRetire,
  sendRareRpcs,
  failDisk,
  damageFiles,
  loseStorageNodes,
  freezeProcessesAndSkewClocks,
  recoverControlGroup,
];

/** Runs the scenario whose messages, responses and log events are recorded in the golden files. */
export async function runMessageScenario(): Promise<MessageRecording> {
  const frames: Buffer[] = [];
  const golden = await observeFrames(
    (bytes) => frames.push(bytes),
    () =>
      withShortLogs(async () => {
        const recorded = new GoldenFleet(SEED, { controls: 4, stores: 4, agents: 1, ingresses: 2 });
        useSeparateAgent(recorded, "ingress-2", "agent-1");
        for (const step of steps) await step(recorded);
        recorded.fleet.close();
        return recorded;
      }),
  );
  return { exchanges: golden.exchanges, frames, logLines: golden.logLines };
}
