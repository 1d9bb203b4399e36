// The load of one day on one shard, as puts of operations on live requests and batch jobs.
import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { PutOutcome, ShardOperation } from "../../shard/shardTypes";

const SHARDS = 8;
export const REQUESTS_PER_DAY = 1_000_000 / SHARDS;
const JOBS_PER_DAY = 90_000 / SHARDS;
const ITEMS_PER_JOB = 24;
const LOADING_WORKERS = 200;
const PUT_TIMEOUT_MS = 30_000;
const RETRY_DELAY_MS = 5;
const BODY_HASH = "0123456789abcdef01234567";
const RESULT = "x".repeat(80);

const JOB_ROUTE = {
  kind: "item",
  pool: "desk",
  path: "/confirm",
  safe: false,
  deadlineMs: 4000,
  continues: "no",
  prefixBytes: 0,
} as const;

/** Returns the operations of one request, from open to close. */
export function requestOperations(id: string): ShardOperation[] {
  const request = {
    id,
    binding: "book",
    bodyHash: BODY_HASH,
    body: "{}",
    keyed: true,
    safe: false,
    exact: false,
    deadlineAt: 0,
    order: 0,
    life: "1~n~0",
  };
  return [
    { op: "open", work: request },
    { op: "claim", id, round: 1, replica: "replica/desk-1", owner: "store-1" },
    { op: "pieces", id, round: 1, first: 1, data: [RESULT] },
    { op: "close", id, round: 1, state: "done", outcome: "" },
  ];
}

/** Returns the operations of one batch job and all its items. */
function jobOperations(id: string): ShardOperation[] {
  const job = {
    id,
    binding: "confirm",
    bodyHash: BODY_HASH,
    bodies: Array(ITEMS_PER_JOB).fill('{"slot":1}'),
    safe: false,
    order: 1,
    kept: JOB_ROUTE,
  };
  const itemOperations = Array.from({ length: ITEMS_PER_JOB }, (_item, item): ShardOperation[] => [
    { op: "itemClaim", lot: id, item, round: 1, replica: "replica/desk-1", owner: "store-1" },
    { op: "itemResult", lot: id, item, round: 1, state: "done", result: RESULT },
  ]);
  return [{ op: "lot", lot: job }, ...itemOperations.flat()];
}

/** Number of puts of this process so far; put ids are made from it. */
let putCount = 0;

/** Returns a request id that is unique in this process if each is put before the next is requested. */
export function uniqueId(prefix: string): string {
  return `${prefix}-${putCount}`;
}

/** Puts the operations; retries while the shard rejects the put as late or because it is busy. */
export function* put(env: Environment, replica: ShardReplica, ops: ShardOperation[]): Task<PutOutcome> {
  putCount += 1;
  const putId = `p-${putCount}`;
  for (;;) {
    const stamp = { time: Math.floor(env.wallClockMs()), node: "n", seq: putCount };
    const response = yield* replica.put({ putId, stamp, ops, cause: {} }, PUT_TIMEOUT_MS);
    if (response.ok) return response.value;
    if (response.fault.tag !== "late" && response.fault.tag !== "busy") throw new Error(JSON.stringify(response.fault));
    yield* EnvironmentTools.sleep(env, RETRY_DELAY_MS);
  }
}

/** Returns the puts of this share of a day: the requests in order, with batch jobs distributed evenly among them. */
function dayPuts(share: number): (() => ShardOperation[])[] {
  const requests = REQUESTS_PER_DAY * share;
  const jobs = JOBS_PER_DAY * share;
  const puts: (() => ShardOperation[])[] = [];
  for (let number = 0; number < requests; number += 1) puts.push(() => requestOperations(`key-${number}`));
  for (let number = 0; number < jobs; number += 1) {
    const position = Math.floor((number * puts.length) / jobs);
    puts.splice(position, 0, () => jobOperations(`lot-${number}`));
  }
  return puts;
}

/** Puts this share of a day's load into the replica as fast as it accepts puts. */
export function* loadDay(env: Environment, replica: ShardReplica, share: number): Task<void> {
  const finished = Csp.chan<true>(64);
  const puts = dayPuts(share);
  for (let worker = 0; worker < LOADING_WORKERS; worker += 1)
    Csp.go(env.scope, "worker", function* (): Task<void> {
      for (let index = worker; index < puts.length; index += LOADING_WORKERS) yield* put(env, replica, puts[index]());
      yield* Csp.put(finished, true);
    });
  for (let count = 0; count < LOADING_WORKERS; count += 1) yield* Csp.take(finished);
}
