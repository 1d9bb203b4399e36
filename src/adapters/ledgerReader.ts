import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Stamp } from "../common/stamp";
import { NodeContext } from "../node/nodeContext";
import { Csp, Task } from "../runtime/csp";
import { LedgerEntry } from "../common/ledgerEntry";

/** An entry of the ledger as sent to callers. */
export interface LedgerRecord {
  /** The stamp as text. */
  readonly stamp: string;
  readonly subject: string;
  readonly decision: string;
  readonly cause: LedgerEntry["cause"];
  readonly shard: number;
}

/** A page of the ledger; its entries are ordered by stamp. */
export interface LedgerPage {
  readonly entries: LedgerRecord[];
  /** The wall-clock time in ms up to which no shard will add entries. */
  readonly frontier: number;
  /** The stamp after which the next page begins. */
  readonly next: string;
}

/** The entries about an id, and their causes. */
export interface LedgerExplanation {
  readonly id: string;
  readonly entries: LedgerRecord[];
  /** The changes of the configuration and of shard views that the entries name as causes. */
  readonly because: LedgerRecord[];
}

interface ShardResponse<Response> {
  readonly shard: number;
  readonly response: Response;
}
type CallReplica<Response> = (address: string, shard: number) => Task<Result<Response>>;

/** The time-out of a call to one replica. */
const CALL_TIMEOUT_MS = 900;
const CONFIGURATION_SUBJECT = "manifest";
/** The kinds of ledger subjects; a subject is a kind and an id. */
const SUBJECT_KINDS = ["request", "lot", "item", "move", "shard", "replica"];

/** Calls the replicas of a shard one after another, the leader first, until one responds. */
function* callShard<Response>(
  context: NodeContext,
  method: string,
  shard: number,
  call: CallReplica<Response>,
): Task<Result<ShardResponse<Response>>> {
  const snapshot = context.snapshot();
  const view = snapshot.control?.views[shard];
  const replicas = view ? [view.lead, ...view.members.filter((id) => id !== view.lead)] : [];
  let failure: Result<never> = Fault.fail("timeout", method, `shard ${shard}`, "no view is known");
  for (const id of replicas) {
    const address = snapshot.members.find((member) => member.id === id)?.address;
    if (!address) continue;
    const response = yield* call(address, shard);
    if (response.ok) return Fault.ok({ shard, response: response.value });
    failure = response;
  }
  return failure;
}

/** Calls a replica of every shard concurrently. All shards must respond, since the order would otherwise have gaps. */
function* callEveryShard<Response>(
  context: NodeContext,
  method: string,
  call: CallReplica<Response>,
): Task<Result<ShardResponse<Response>[]>> {
  const results = Csp.chan<Result<ShardResponse<Response>>>(Constants.shardCount);
  for (let shard = 0; shard < Constants.shardCount; shard += 1)
    Csp.go(context.env.scope, method, function* () {
      Csp.offer(results, yield* callShard(context, method, shard, call));
    });
  const responses: ShardResponse<Response>[] = [];
  let failure: Fault | undefined;
  for (let received = 0; received < Constants.shardCount; received += 1) {
    const result = (yield* Csp.take(results))!;
    if (result.ok) responses.push(result.value);
    else failure = result.fault;
  }
  if (failure) return Fault.busy(method, failure.member, "not every shard answered", Constants.retryAfterMs);
  return Fault.ok(responses);
}

/** Reads the entries about some subjects and a change from all shards, ordered by stamp. */
function* entriesAbout(context: NodeContext, subjects: string[], change: string): Task<Result<LedgerRecord[]>> {
  const responses = yield* callEveryShard(context, "ledger.about", (address, shard) =>
    context.rpc.call(address, "ledger.about", { subjects, change, shard }, CALL_TIMEOUT_MS),
  );
  if (!responses.ok) return responses;
  const records = responses.value.flatMap(({ shard, response }) =>
    response.entries.map((entry) => recordOf(shard, entry)),
  );
  return Fault.ok(records.sort(byStamp));
}

const recordOf = (shard: number, entry: LedgerEntry): LedgerRecord => ({
  stamp: Stamp.text(entry.stamp),
  subject: entry.subject,
  decision: entry.decision,
  cause: entry.cause,
  shard,
});
const byStamp = (left: LedgerRecord, right: LedgerRecord): number =>
  Stamp.compare(Stamp.parse(left.stamp)!, Stamp.parse(right.stamp)!);

/** Returns a test for entries that record the configuration or the shard view that some of `entries` name as a cause. */
function isCauseOf(entries: LedgerRecord[]): (candidate: LedgerRecord) => boolean {
  const versions = entries.flatMap((entry) => entry.cause.manifest ?? []);
  const views = entries.flatMap((entry) => (entry.cause.view === undefined ? [] : [viewPrefix(entry)]));
  const acceptances = new Set(versions.map((version) => `accepted as version ${version}`));
  return ({ subject, decision }) => {
    if (subject === CONFIGURATION_SUBJECT) return acceptances.has(decision);
    const shardAndDecision = `${subject.slice("shard ".length)} ${decision}`;
    return views.some((prefix) => shardAndDecision.startsWith(prefix));
  };
}
const viewPrefix = (entry: LedgerRecord): string => `${entry.shard} view ${entry.cause.view}:`;

/**
 * Reads the ledger of all shards in one total order, up to the lowest of their frontiers. Works on any node.
 *
 * @example
 * const page = yield* LedgerReader.read(context, "", 100);
 * const explanation = yield* LedgerReader.explain(context, "lot-17");
 */
export const LedgerReader = {
  /**
   * Reads a page of the ledger. Fault: "busy" if a shard does not respond.
   * @param after the text of the stamp after which the page begins, or "" for the beginning of the ledger
   * @param limit the maximum number of entries; it is exceeded so as not to separate the entries of one put
   */
  *read(context: NodeContext, after: string, limit: number): Task<Result<LedgerPage>> {
    const responses = yield* callEveryShard(context, "ledger.read", (address, shard) =>
      context.rpc.call(address, "ledger.read", { after, limit, shard }, CALL_TIMEOUT_MS),
    );
    if (!responses.ok) return responses;
    const frontier = Math.min(...responses.value.map(({ response }) => response.frontier));
    const records = responses.value.flatMap(({ shard, response }) =>
      response.entries.filter((entry) => entry.stamp.time <= frontier).map((entry) => recordOf(shard, entry)),
    );
    records.sort(byStamp);
    let end = Math.min(limit, records.length);
    while (end < records.length && records[end].stamp === records[end - 1].stamp) end += 1;
    const entries = records.slice(0, end);
    return Fault.ok({ entries, frontier, next: entries.at(-1)?.stamp ?? after });
  },

  /**
   * Returns the entries about a request, job, item, planned operation, change, shard or endpoint, and their causes.
   * Fault: "busy" if a shard does not respond.
   */
  *explain(context: NodeContext, id: string): Task<Result<LedgerExplanation>> {
    const subjects = [id, ...SUBJECT_KINDS.map((kind) => `${kind} ${id}`)];
    const entries = yield* entriesAbout(context, subjects, id);
    if (!entries.ok) return entries;
    const hasCauses = entries.value.some(({ cause }) => cause.manifest !== undefined || cause.view !== undefined);
    if (!hasCauses) return Fault.ok({ id, entries: entries.value, because: [] });
    const shards = [...new Set(entries.value.map((entry) => entry.shard))];
    const candidates = [CONFIGURATION_SUBJECT, ...shards.map((shard) => `shard ${shard}`)];
    const related = yield* entriesAbout(context, candidates, "");
    if (!related.ok) return related;
    return Fault.ok({ id, entries: entries.value, because: related.value.filter(isCauseOf(entries.value)) });
  },
};
