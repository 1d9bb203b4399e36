import { Stamp } from "../src/common/stamp";
import { Rpc } from "../src/rpc/rpc";
import { Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { ShardReplica } from "../src/shard/shardReplica";
import { PutOutcome, ShardOperation } from "../src/shard/shardTypes";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";

/** The route of the requests. */
export const route = {
  kind: "item" as const,
  pool: "p",
  path: "/",
  safe: false,
  deadlineMs: 1000,
  continues: "no" as const,
  prefixBytes: 0,
};
/** Start of the simulated wall clock. Twice this time is later than every stamp in this test. */
const START_WALL_MS = 1_790_000_000_000;
/** Creates the replica of a shard with one member, "s1". Its files are in the folder "d". */
export const createReplica = (process: SimProcess): ShardReplica =>
  new ShardReplica(process.env, new Rpc(process.env, "c", "s1"), "s1", 0, "d", {
    addressOf: () => undefined,
    bounds: () => Stamp.defaults,
    isClockTrusted: () => true,
    putCompleted: () => undefined,
    leadershipStarted: () => undefined,
    leadershipStopped: () => undefined,
    viewChangeNeeded: () => undefined,
  });
/** Opens the replica of a shard with one member, and makes it the leader of a view with this epoch. */
export function* startLeader(process: SimProcess, epoch: number): Task<ShardReplica> {
  const replica = createReplica(process);
  const opened = yield* replica.open();
  if (!opened.ok) throw new Error(opened.fault.detail);
  if (epoch > 1) yield* replica.viewChange.onSeal({ shard: 0, epoch });
  yield* replica.viewChange.onInstall({
    shard: 0,
    view: { shard: 0, epoch, members: ["s1"], lead: "s1" },
    waitMs: 0,
  });
  while (!replica.holdsLease()) yield* EnvironmentTools.sleep(process.env, 20);
  return replica;
}
let putCount = 0;
/** Puts operations, again while the stamp is behind the frontier. */
export function* put(replica: ShardReplica, process: SimProcess, ops: ShardOperation[]): Task<PutOutcome> {
  const putId = `p${(putCount += 1)}`;
  for (;;) {
    const done = yield* replica.put(
      { putId, stamp: { time: Math.floor(process.env.wallClockMs()), node: "n", seq: putCount }, ops, cause: {} },
      5000,
    );
    if (done.ok) return done.value;
    if (done.fault.tag !== "late") throw new Error(JSON.stringify(done.fault));
    yield* EnvironmentTools.sleep(process.env, 10); // the frontier of a leader that just started is δ ahead of its clock
  }
}
/** Operations that open a request and claim it. */
export const openOps = (id: string, body = "h"): ShardOperation[] => [
  {
    op: "open",
    work: {
      id,
      binding: "b",
      bodyHash: `0123${body.charCodeAt(0).toString(16)}aaaaaaaaaaaaa`,
      body: "{}",
      keyed: true,
      safe: false,
      exact: false,
      deadlineAt: 0,
      order: 0,
      life: `${START_WALL_MS * 2}~n~0`,
    },
  },
  { op: "claim", id, round: 1, replica: "r", owner: "s1" },
];
/** Puts the operations of a request from its start to its end. */
export function* runRequest(replica: ShardReplica, process: SimProcess, id: string): Task<void> {
  yield* put(replica, process, [
    ...openOps(id),
    { op: "pieces", id, round: 1, first: 1, data: [`response of ${id}`] },
    { op: "close", id, round: 1, state: "done", outcome: "" },
  ]);
}
/** Runs a task in a process, and checks that no task of the process has failed. */
export const runInProcess = async <T>(world: SimWorld, process: SimProcess, body: () => Task<T>): Promise<T> => {
  const done = await world.runTask(process, body, 10_000_000);
  expect(process.errors).toEqual([]);
  return done as T;
};
