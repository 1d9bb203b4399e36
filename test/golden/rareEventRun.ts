import { Constants } from "../../src/common/constants";
import { CutResponses } from "../../src/forwarding/cutResponses";
import { SnapshotTransfer } from "../../src/membership/snapshotTransfer";
import { ReadIndexConfirmation } from "../../src/node/readIndexConfirmation";
import { RecentConfirmation } from "../../src/node/recentConfirmation";
import { Rpc } from "../../src/rpc/rpc";
import { SimDisk } from "../../src/simulation/simDisk";
import { SimWorld } from "../../src/simulation/simWorld";
import { watchSignals } from "../../src/daemon/processSignals";
import { Csp, Scope } from "../../src/runtime/csp";
import { Environment } from "../../src/runtime/env";
import { NodeEnvironment } from "../../src/runtime/nodeEnvironment";
import { RawClient, SocketTestBed } from "../rawSockets";
import { goldenConfiguration } from "./configuration";
import { GoldenFleet } from "./goldenFleet";
import type { DataFolders } from "./dataFolderRun";

/** Numbers of the log events that the operators' documentation mentions and that the message run does not log. */
export const rareEventNumbers = [
  "1006",
  "1009",
  "1010",
  "1205",
  "1206",
  "1309",
  "1312",
  "1408",
  "1410",
  "1501",
  "1604",
  "1605",
];
/** Virtual time at which the recorded folders are opened. It is later than all times in them. */
const OPENED_AFTER_MS = 15_000;
/** A snapshot that is not needed, because the logs next to it are complete. */
const REDUNDANT_SNAPSHOT = "shard-7/slot-b";
const DAMAGED_OFFSET = 18;

function withCorruptByte(content: Buffer): Buffer {
  const copy = Buffer.from(content);
  copy[DAMAGED_OFFSET] ^= 0xff;
  return copy;
}
/** Runs a control group with one member instead of three voters. */
async function runWithTooFewVoters(): Promise<string[]> {
  const golden = new GoldenFleet(41, { controls: 1, losses: 1 });
  await golden.fleet.run(1000);
  await golden.waitFor("PUT", "/v1/manifest", { body: goldenConfiguration, headers: { "if-match": '"0"' } });
  golden.fleet.close();
  return golden.logLines;
}
/**
 * Restarts one storage node with a damaged snapshot and one with a data folder of another cluster, then repairs an object that
 * differs and starts a planned operation.
 */
async function runOnDamagedFolders(folders: DataFolders): Promise<string[]> {
  const golden = new GoldenFleet(42, { controls: 1, stores: 2, losses: 0 });
  await golden.fleet.run(200);
  for (const name of Object.keys(folders)) golden.fleet.kill(name);
  await golden.fleet.run(OPENED_AFTER_MS);
  const store = folders["store-1"];
  const damagedFolders: DataFolders = {
    "control-1": folders["control-1"],
    "store-1": { ...store, [REDUNDANT_SNAPSHOT]: withCorruptByte(store[REDUNDANT_SNAPSHOT]) },
    "store-2": { identity: Buffer.from('{"id":"store-9","cluster":"another","program":"store"}') },
  };
  for (const [name, files] of Object.entries(damagedFolders)) {
    golden.fleet.disks.get(name)!.wipe();
    await golden.writeFiles(name, files);
    golden.fleet.restart(name);
  }
  await golden.fleet.run(3000);
  const request = { id: "mended", state: "done", pieces: [], version: 1, closedAt: null };
  await golden.sendRpc("store-1", "shard.mend", { shard: 7, epoch: 1_000_000, seq: 0, works: [request], lots: [] });
  const move = { due: "now", move: { kind: "drain", district: "north" } };
  await golden.call("PUT", "/v1/calendar/now", { body: move, headers: { "if-match": '"0"' } });
  await golden.fleet.run(1500);
  golden.fleet.close();
  return golden.logLines;
}

/** Reports the response of an endpoint that was reset. */
function reportCutResponse(): string[] {
  const lines: string[] = [];
  const world = new SimWorld(43, (line) => lines.push(line));
  const { env } = world.start("ingress-1", new SimDisk(world));
  CutResponses.of(env).record({ endpointId: "r1", framing: "connection", cause: "reset", receivedBytes: 300 });
  return lines;
}

/** Reports data on a connection without a request in progress. */
function reportUnexpectedResponse(): string[] {
  const lines: string[] = [];
  const world = new SimWorld(46, (line) => lines.push(line));
  const { env } = world.start("ingress-1", new SimDisk(world));
  env.connectionEvents.unexpectedResponse("127.0.0.1:1", "idleConnection");
  return lines;
}

/** Fetches a control snapshot from a member that does not exist. */
async function runFailedFetch(): Promise<string[]> {
  const lines: string[] = [];
  const world = new SimWorld(44, (line) => lines.push(line));
  const { env } = world.start("ingress-1", new SimDisk(world));
  const ignore = (): void => undefined;
  const transfer = new SnapshotTransfer(env, new Rpc(env, "golden", "ingress-1"), ignore, ignore);
  transfer.start();
  transfer.announced("127.0.0.1:1", 5);
  await world.run(1000);
  return lines;
}

/** Lets batch items wait for a confirmation while no member can be asked for one. */
async function runWithoutConfirmation(): Promise<string[]> {
  const lines: string[] = [];
  const world = new SimWorld(45, (line) => lines.push(line));
  const { env } = world.start("store-1", new SimDisk(world));
  const confirmation = new ReadIndexConfirmation(env, new Rpc(env, "golden", "store-1"), {
    own: () => undefined,
    source: () => undefined,
    configuration: () => undefined,
    announced: () => undefined,
  });
  const recent = new RecentConfirmation(env, confirmation);
  for (let waitedMs = 0; waitedMs <= Constants.confirmationWaitLogMs; waitedMs += Constants.jobSchedulingPeriodMs) {
    recent.isRecent();
    await world.run(Constants.jobSchedulingPeriodMs);
  }
  return lines;
}

/** Lets the disk of a control process reject writes, and take them again. */
async function runWithFullControlDisk(): Promise<string[]> {
  const golden = new GoldenFleet(47, { controls: 1, losses: 0 });
  await golden.fleet.run(3000);
  const disk = golden.fleet.disks.get("control-1")!;
  disk.full = true;
  await golden.call("PUT", "/v1/manifest", { body: goldenConfiguration, headers: { "if-match": '"0"' } });
  disk.full = false;
  await golden.fleet.run(3000);
  golden.fleet.close();
  return golden.logLines;
}

/** Collects log lines in the form of the simulator. */
function lineLog(lines: string[]): Environment["log"] {
  return (event, fields) => void lines.push(`0.0 ingress-1 PB${event} ${JSON.stringify(fields ?? {})}`);
}

/** Ends a process that has not responded to a request. */
async function reportCutRequest(): Promise<string[]> {
  const lines: string[] = [];
  const scope = new Scope("ingress-1", (task, error) => lines.push(`${task}: ${String(error)}`));
  const env = NodeEnvironment.make("ingress-1", scope, lineLog(lines));
  const port = await SocketTestBed.freePort();
  await new Promise<void>((arrived) =>
    Csp.go(scope, "serve", function* () {
      yield* env.serveHttp(`127.0.0.1:${port}`, function* () {
        arrived();
      });
      new RawClient(port).write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }),
  );
  scope.stop();
  return lines;
}

/** Sends a signal that has no effect. */
function reportIgnoredSignal(): string[] {
  const lines: string[] = [];
  watchSignals(lineLog(lines));
  process.emit("SIGHUP", "SIGHUP");
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.removeAllListeners(signal);
  return lines;
}

/** Returns the log lines of the rare events, from runs that produce them. */
export async function recordRareEvents(folders: DataFolders): Promise<string[]> {
  const lines = [
    ...(await runWithTooFewVoters()),
    ...(await runOnDamagedFolders(folders)),
    ...reportCutResponse(),
    ...reportUnexpectedResponse(),
    ...(await runFailedFetch()),
    ...(await runWithoutConfirmation()),
    ...(await runWithFullControlDisk()),
    ...(await reportCutRequest()),
    ...reportIgnoredSignal(),
  ];
  return lines.filter((line) => rareEventNumbers.some((event) => line.includes(` PB${event} `)));
}
