// Measures one replica of a shard that holds a share of a day.
import { fork } from "child_process";
import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { Rpc } from "../../rpc/rpc";
import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { registerShardMethods } from "../../shard/shardMethods";
import { ShardReplica } from "../../shard/shardReplica";
import { RangeDigests } from "../../shard/state/rangeDigests";
import type { StateTransferReport } from "./joiner";
import { runLiveLoad, LiveLoadReport } from "./liveLoad";
import { SHARD, countWrittenBytes, runTask, createShardReplica } from "./localReplicas";
import { percentile, rounded } from "./percentiles";
import { REQUESTS_A_DAY, loadDay, uniqueId, put, requestOperations } from "./workload";

const ADDRESS = "127.0.0.1:18811";
const SELF = "s1";
const JOINER = path.join(__dirname, "joiner.js");
const PACED_MS = 45_000;
const PACED_PAUSE_MS = 40;
const QUIET_MS = 12_000;
const LEASE_POLL_MS = 20;
const READS = 200;
/** Of 200 reads the third slowest, as in the figures of docs/measurements.md. */
const HIGH_READ_SHARE = 0.985;
const BYTES_A_MEGABYTE = 1e6;

type FilledReport = { filledInS: number; rssMB: number; diskMB: number };
type RestartedReport = {
  startMs: number;
  quiet: LiveLoadReport;
  bytesAPut: number;
  digestMs: number;
  readMs: { p50: number; p99: number };
  fill: StateTransferReport & { sourceCpuMs: number };
  whileFilling: LiveLoadReport;
};
/** What a share of a day costs the replica that holds it. */
export type DayReport = { day: number } & FilledReport & RestartedReport;

function folderBytes(folder: string): number {
  return fs.readdirSync(folder).reduce((sum, name) => sum + fs.statSync(path.join(folder, name)).size, 0);
}

function userCpuMs(): number {
  return process.cpuUsage().user / 1000;
}

/** A condition that holds once so many milliseconds have passed. */
function after(milliseconds: number): () => boolean {
  const end = performance.now() + milliseconds;
  return () => performance.now() > end;
}

/** Opens the replica from what is on its disk; the milliseconds that took. */
function* open(replica: ShardReplica): Task<number> {
  const startedAt = performance.now();
  const opened = yield* replica.open();
  if (!opened.ok) throw new Error(opened.fault.detail);
  return rounded(performance.now() - startedAt);
}

/** Makes the replica the only member and the leader of its shard in this epoch. */
function* lead(env: Environment, replica: ShardReplica, epoch: number): Task<void> {
  if (epoch > 1) yield* replica.viewChange.onSeal({ shard: SHARD, epoch });
  const view = { shard: SHARD, epoch, members: [SELF], lead: SELF };
  yield* replica.viewChange.onInstall({ shard: SHARD, view, waitMs: 0 });
  while (!replica.holdsLease()) yield* EnvironmentTools.sleep(env, LEASE_POLL_MS);
}

/** The day was pressed into seconds: put ids and the log's tail of that burst have to pass before anything is measured. */
function* runPacedLoad(env: Environment, replica: ShardReplica): Task<void> {
  const isOver = after(PACED_MS);
  while (!isOver()) {
    yield* put(env, replica, requestOperations(uniqueId("paced")));
    yield* EnvironmentTools.sleep(env, PACED_PAUSE_MS);
  }
}

/** Latency of reading a request drawn at random. */
function* measureReads(replica: ShardReplica, share: number): Task<{ p50: number; p99: number }> {
  const latencies: number[] = [];
  for (let count = 0; count < READS; count += 1) {
    const startedAt = performance.now();
    yield* replica.liveRequest(`key-${Math.floor(Math.random() * REQUESTS_A_DAY * share)}`);
    latencies.push(performance.now() - startedAt);
  }
  latencies.sort((left, right) => left - right);
  return { p50: rounded(percentile(latencies, 0.5), 2), p99: rounded(percentile(latencies, HIGH_READ_SHARE), 2) };
}

function measureDigests(replica: ShardReplica): number {
  const startedAt = performance.now();
  RangeDigests.of(replica.data);
  return rounded(performance.now() - startedAt, 1);
}

/** Fills a new replica in another process, under live load: what that cost both sides. */
function* measureFill(
  env: Environment,
  replica: ShardReplica,
  folder: string,
): Task<Pick<RestartedReport, "fill" | "whileFilling">> {
  let filled: StateTransferReport | undefined;
  const cpuBefore = userCpuMs();
  const joiner = fork(JOINER, [ADDRESS, folder], { stdio: "inherit" });
  joiner.on("message", (message) => (filled = message as StateTransferReport));
  const whileFilling = yield* runLiveLoad(env, replica, () => filled !== undefined);
  return { fill: { ...filled!, sourceCpuMs: rounded(userCpuMs() - cpuBefore) }, whileFilling };
}

/** A new replica takes the share of a day; its size in memory and on disk. */
function* measureFilled(env: Environment, rpc: Rpc, share: number, folder: string): Task<FilledReport> {
  const replica = createShardReplica(env, rpc, SELF, folder);
  yield* open(replica);
  yield* lead(env, replica, 1);
  const startedAt = performance.now();
  yield* loadDay(env, replica, share);
  const filledInS = rounded((performance.now() - startedAt) / 1000);
  yield* runPacedLoad(env, replica);
  replica.stopLeader("started again");
  global.gc?.();
  return {
    filledInS,
    rssMB: rounded(process.memoryUsage().rss / BYTES_A_MEGABYTE),
    diskMB: rounded(folderBytes(folder) / BYTES_A_MEGABYTE, 1),
  };
}

function* measureReplica(bareEnv: Environment, share: number, folder: string): Task<DayReport> {
  const sourceFolder = `${folder}/a`;
  const { env, written } = countWrittenBytes(bareEnv);
  const rpc = new Rpc(env, "day", SELF);
  yield* rpc.serve(ADDRESS);
  const filled = yield* measureFilled(env, rpc, share, sourceFolder);

  const replica = createShardReplica(env, rpc, SELF, sourceFolder);
  const startMs = yield* open(replica);
  yield* lead(env, replica, 2);
  registerShardMethods(rpc, SELF, () => replica);
  const writtenBefore = written.total;
  const quiet = yield* runLiveLoad(env, replica, after(QUIET_MS));
  const bytesAPut = rounded((written.total - writtenBefore) / quiet.puts);
  const digestMs = measureDigests(replica);
  const readMs = yield* measureReads(replica, share);
  const joined = yield* measureFill(env, replica, `${folder}/b`);
  return { day: share, ...filled, startMs, quiet, bytesAPut, digestMs, readMs, ...joined };
}

/** Measures a replica that holds this share of a day. */
export async function measureDay(share: number): Promise<DayReport> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-day-"));
  try {
    return await runTask("source", (env) => measureReplica(env, share, folder));
  } finally {
    fs.rmSync(folder, { recursive: true, force: true });
  }
}
