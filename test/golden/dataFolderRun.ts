import { Csp } from "../../src/runtime/csp";
import { requestItems } from "./configuration";
import { Exchange } from "./exchange";
import { GoldenFleet } from "./goldenFleet";
import { configure, scheduleOperations } from "./operatorSteps";
import { withShortLogs } from "./shortLogs";

/** The files in the data folder of each process, by path relative to the folder. */
export type DataFolders = Record<string, Record<string, Buffer>>;

const fleetOptions = { controls: 1, stores: 2, ingresses: 1, losses: 0 };
const recordedProcesses = ["control-1", "store-1", "store-2"];
const LIVE_REQUEST_COUNT = 40;
const BATCH_JOB_COUNT = 16;

/** Virtual time at which the recorded folders are opened. It is later than all times in them. */
const OPENED_AFTER_MS = 15_000;

async function startFleet(seed: number): Promise<GoldenFleet> {
  const golden = new GoldenFleet(seed, fleetOptions);
  await golden.fleet.run(200);
  return golden;
}
function startEndpoints(golden: GoldenFleet): void {
  golden.startEndpoint("model-1", "model", 9001, ["ingress-1"]);
  golden.startEndpoint("desk-1", "desk", 9002, ["ingress-1"]);
}
async function runWorkload({ call, fleet }: GoldenFleet): Promise<void> {
  const at = "ingress-1";
  for (let index = 0; index < LIVE_REQUEST_COUNT; index += 1)
    await call("POST", "/v1/requests/confirm", { at, body: { index }, headers: { "idempotency-key": `k${index}` } });
  await call("POST", "/v1/requests/ask", {
    at,
    body: { prompt: "a closed stream", pieces: 3 },
    headers: { "idempotency-key": "closed-stream" },
  });
  for (let index = 0; index < BATCH_JOB_COUNT; index += 1)
    await call("POST", "/v1/lots", { at, body: { id: `lot-${index}`, binding: "confirm", items: [{ index }, {}] } });
  await call("POST", "/v1/lots", { at, body: { id: "ended", binding: "confirm", items: Array(30).fill({}) } });
  await call("POST", "/v1/lots/ended/end", { at });
  await call("POST", "/v1/districts/east/drain", { headers: { "x-change-id": "drain-1" } });
  await fleet.run(2000);
}
/** Starts a stream and two batch jobs that are unfinished when the folders are recorded. */
async function leaveWorkUnfinished(golden: GoldenFleet): Promise<void> {
  const { call, fleet } = golden;
  const { env } = fleet.operator;
  const body = JSON.stringify({ prompt: "an open stream", pieces: 90 });
  const headers = { "idempotency-key": "open-stream" };
  Csp.go(env.scope, "open stream", function* () {
    const path = "/v1/requests/ask";
    yield* env.httpRequest(golden.http("ingress-1"), { method: "POST", path, body, headers, timeoutMs: 9000 });
  });
  const waitingJob = { id: "waiting", binding: "bulk", requests: requestItems("waiting", 3, 10) };
  await call("POST", "/v1/lots", { at: "ingress-1", body: waitingJob });
  const openJob = { id: "open", binding: "confirm", items: Array(30).fill({}) };
  await call("POST", "/v1/lots", { at: "ingress-1", body: openJob });
  await fleet.run(150);
}
function dataFoldersOf(golden: GoldenFleet): DataFolders {
  const files = (name: string): [string, Buffer][] =>
    [...golden.fleet.disks.get(name)!.under(`data/${name}`)]
      // The content of a lock file is not simulated.
      .filter(([file]) => file !== "lock")
      .sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(recordedProcesses.map((name) => [name, Object.fromEntries(files(name))]));
}
async function readRestoredState(golden: GoldenFleet): Promise<void> {
  const { call } = golden;
  const at = "ingress-1";
  for (const path of ["/v1/manifest", "/v1/policies", "/v1/calendar", "/v1/changes/golden-1", "/v1/members"])
    await call("GET", path);
  for (const id of ["waiting", "open"]) await call("GET", `/v1/lots/${id}`, { at });
  await golden.fleet.run(4000);
  for (const id of ["lot-0", "ended", "waiting", "open"]) {
    await call("GET", `/v1/lots/${id}`, { at });
    await call("GET", `/v1/lots/${id}/results`, { at });
  }
  for (const key of ["k0", `k${LIVE_REQUEST_COUNT - 1}`])
    await call("POST", "/v1/requests/confirm", {
      at,
      body: { index: +key.slice(1) },
      headers: { "idempotency-key": key },
    });
  for (const [key, prompt, pieces] of [
    ["closed-stream", "a closed stream", 3],
    ["open-stream", "an open stream", 90],
  ] as const)
    await call("POST", "/v1/requests/ask", { at, body: { prompt, pieces }, headers: { "idempotency-key": key } });
  for (const subject of ["lot-0", "golden-1", "0"]) await call("GET", `/v1/why/${subject}`);
  await call("GET", "/v1/ledger?limit=2000");
  await call("GET", "/v1/shards");
}

/** Returns the data folders that a run with a fixed seed writes. */
export const generateDataFolders = (): Promise<DataFolders> =>
  withShortLogs(async () => {
    const golden = await startFleet(21);
    await golden.fleet.run(3000);
    await configure(golden);
    await scheduleOperations(golden);
    startEndpoints(golden);
    await golden.waitFor("GET", "/readyz", { at: "ingress-1" });
    await golden.fleet.run(1500);
    await runWorkload(golden);
    await leaveWorkUnfinished(golden);
    const folders = dataFoldersOf(golden);
    golden.fleet.close();
    return folders;
  });

/** Starts a fleet on the given data folders and returns its responses to a fixed sequence of requests. */
export const reopenDataFolders = (folders: DataFolders): Promise<Exchange[]> =>
  withShortLogs(async () => {
    const golden = await startFleet(22);
    for (const name of Object.keys(folders)) golden.fleet.kill(name);
    await golden.fleet.run(OPENED_AFTER_MS);
    for (const [name, files] of Object.entries(folders)) {
      golden.fleet.disks.get(name)!.wipe();
      await golden.writeFiles(name, files);
    }
    for (const name of Object.keys(folders)) golden.fleet.restart(name);
    startEndpoints(golden);
    await golden.waitFor("GET", "/readyz", { at: "ingress-1" });
    await golden.waitFor("GET", "/v1/ledger?limit=1", { at: "ingress-1" });
    await readRestoredState(golden);
    golden.fleet.close();
    return golden.exchanges;
  });
