// Measures one shard replica that holds a share of a day's load.
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
import { REQUESTS_PER_DAY, loadDay, uniqueId, put, requestOperations } from "./workload";

const ADDRESS = "127.0.0.1:18811";
const SELF = "s1";
const JOINER = path.join(__dirname, "joiner.js");
const PACED_LOAD_MS = 45_000;
const PACED_INTERVAL_MS = 40;
const QUIET_LOAD_MS = 12_000;
const LEASE_POLL_MS = 20;
const READS = 200;
/** Selects the third slowest of 200 reads, as in the figures of docs/measurements.md. */
const HIGH_READ_PERCENTILE = 0.985;
const BYTES_PER_MEGABYTE = 1e6;

type LoadedReport = { filledInS: number; rssMB: number; diskMB: number };
type RestartedReport = {
  startMs: number;
  quiet: LiveLoadReport;
  bytesAPut: number;
  digestMs: number;
  readMs: { p50: number; p99: number };
  fill: StateTransferReport & { sourceCpuMs: number };
  whileFilling: LiveLoadReport;
};
/** What a share of a day's load costs the replica that holds it; printed as JSON. */
export type DayReport = { day: number } & LoadedReport & RestartedReport;

function folderBytes(folder: string): number {
  return fs.readdirSync(folder).reduce((sum, name) => sum + fs.statSync(path.join(folder, name)).size, 0);
}

function userCpuMs(): number {
  return process.cpuUsage().user / 1000;
}

/** Returns a condition that holds once so many milliseconds have passed. */
function after(milliseconds: number): () => boolean {
  const endAt = performance.now() + milliseconds;
  return () => performance.now() > endAt;
}

/** Opens the replica from its disk; returns how many milliseconds that took. */
function* open(replica: ShardReplica): Task<number> {
  const startedAt = performance.now();
  const opened = yield* replica.open();
  if (!opened.ok) throw new Error(opened.fault.detail);
  return rounded(performance.now() - startedAt);
}

/** Makes the replica the only member and the leader of its shard in this epoch. */
function* becomeLeader(env: Environment, replica: ShardReplica, epoch: number): Task<void> {
  if (epoch > 1) yield* replica.viewChange.onSeal({ shard: SHARD, epoch });
  const view = { shard: SHARD, epoch, members: [SELF], lead: SELF };
  yield* replica.viewChange.onInstall({ shard: SHARD, view, waitMs: 0 });
  while (!replica.holdsLease()) yield* EnvironmentTools.sleep(env, LEASE_POLL_MS);
}

/**
 * Puts requests at a steady rate before anything is measured. The day's load was put within seconds; the put ids and the
 * log's tail of that burst have to expire first.
 */
function* runPacedLoad(env: Environment, replica: ShardReplica): Task<void> {
  const isOver = after(PACED_LOAD_MS);
  while (!isOver()) {
    yield* put(env, replica, requestOperations(uniqueId("paced")));
    yield* EnvironmentTools.sleep(env, PACED_INTERVAL_MS);
  }
}

/** Measures the latency of reading requests that are selected at random. */
function* measureReads(replica: ShardReplica, share: number): Task<{ p50: number; p99: number }> {
  const latencies: number[] = [];
  for (let count = 0; count < READS; count += 1) {
    const startedAt = performance.now();
    yield* replica.liveRequest(`key-${Math.floor(Math.random() * REQUESTS_PER_DAY * share)}`);
    latencies.push(performance.now() - startedAt);
  }
  latencies.sort((left, right) => left - right);
  return { p50: rounded(percentile(latencies, 0.5), 2), p99: rounded(percentile(latencies, HIGH_READ_PERCENTILE), 2) };
}

function measureDigests(replica: ShardReplica): number {
  const startedAt = performance.now();
  RangeDigests.of(replica.data);
  return rounded(performance.now() - startedAt, 1);
}

/** Fills a new replica in another process by state transfer, under live load; reports what that costs both sides. */
function* measureStateTransfer(
  env: Environment,
  replica: ShardReplica,
  folder: string,
): Task<Pick<RestartedReport, "fill" | "whileFilling">> {
  let transferred: StateTransferReport | undefined;
  const cpuBefore = userCpuMs();
  const joiner = fork(JOINER, [ADDRESS, folder], { stdio: "inherit" });
  joiner.on("message", (message) => (transferred = message as StateTransferReport));
  const whileFilling = yield* runLiveLoad(env, replica, () => transferred !== undefined);
  return { fill: { ...transferred!, sourceCpuMs: rounded(userCpuMs() - cpuBefore) }, whileFilling };
}

/** Puts the share of a day's load into a new replica; reports the time this takes and the size in memory and on disk. */
function* measureLoaded(env: Environment, rpc: Rpc, share: number, folder: string): Task<LoadedReport> {
  const replica = createShardReplica(env, rpc, SELF, folder);
  yield* open(replica);
  yield* becomeLeader(env, replica, 1);
  const startedAt = performance.now();
  yield* loadDay(env, replica, share);
  const filledInS = rounded((performance.now() - startedAt) / 1000);
  yield* runPacedLoad(env, replica);
  replica.stopLeader("started again");
  global.gc?.();
  return {
    filledInS,
    rssMB: rounded(process.memoryUsage().rss / BYTES_PER_MEGABYTE),
    diskMB: rounded(folderBytes(folder) / BYTES_PER_MEGABYTE, 1),
  };
}

function* measureReplica(uncountedEnv: Environment, share: number, folder: string): Task<DayReport> {
  const sourceFolder = `${folder}/a`;
  const { env, written } = countWrittenBytes(uncountedEnv);
  const rpc = new Rpc(env, "day", SELF);
  yield* rpc.serve(ADDRESS);
  const loaded = yield* measureLoaded(env, rpc, share, sourceFolder);

  const replica = createShardReplica(env, rpc, SELF, sourceFolder);
  const startMs = yield* open(replica);
  yield* becomeLeader(env, replica, 2);
  registerShardMethods(rpc, SELF, () => replica);
  const writtenBefore = written.total;
  const quiet = yield* runLiveLoad(env, replica, after(QUIET_LOAD_MS));
  const bytesAPut = rounded((written.total - writtenBefore) / quiet.puts);
  const digestMs = measureDigests(replica);
  const readMs = yield* measureReads(replica, share);
  const transferred = yield* measureStateTransfer(env, replica, `${folder}/b`);
  return { day: share, ...loaded, startMs, quiet, bytesAPut, digestMs, readMs, ...transferred };
}

/** Measures a replica that holds this share of a day's load, in a temporary folder. */
export async function measureDay(share: number): Promise<DayReport> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-day-"));
  try {
    return await runTask("source", (env) => measureReplica(env, share, folder));
  } finally {
    fs.rmSync(folder, { recursive: true, force: true });
  }
}
