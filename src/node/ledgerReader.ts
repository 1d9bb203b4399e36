import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { LedgerEntry } from "../common/ledgerEntry";
import { Fault, Result } from "../common/fault";
import { NodeContext } from "./nodeContext";
import { Stamp } from "../common/stamp";

export type LedgerRecord = {
  stamp: string;
  subject: string;
  decision: string;
  cause: LedgerEntry["cause"];
  shard: number;
};

/** Asks some member of every shard's view; all must answer, else the order would have holes. */
function* everyShard(
  host: NodeContext,
  verb: string,
  body: Record<string, unknown>,
): Task<Result<{ shard: number; value: any }[]>> {
  const done = Csp.chan<Result<{ shard: number; value: any }>>(Constants.shardCount);
  for (let shard = 0; shard < Constants.shardCount; shard += 1)
    Csp.go(host.env.scope, verb, function* () {
      const snapshot = host.snapshot();
      const view = snapshot.control?.views[shard];
      let last: Result<any> = Fault.fail("timeout", verb, `shard ${shard}`, "no view is known");
      for (const id of view ? [view.lead, ...view.members.filter((member) => member !== view.lead)] : []) {
        const address = snapshot.members.find((member) => member.id === id)?.address;
        if (!address) continue;
        last = yield* host.rpc.call(address, verb, { ...body, shard }, 900);
        if (last.ok) break;
      }
      Csp.offer(done, last.ok ? Fault.ok({ shard, value: last.value }) : last);
    });
  const responses: { shard: number; value: any }[] = [];
  let failed: Result<never> | undefined;
  for (let heard = 0; heard < Constants.shardCount; heard += 1) {
    const response = (yield* Csp.take(done))!;
    if (response.ok) responses.push(response.value);
    else failed = response;
  }
  return failed
    ? Fault.busy(verb, failed.ok ? "" : failed.fault.member, "not every shard answered", Constants.retryAfterMs)
    : Fault.ok(responses);
}
const tell =
  (shard: number) =>
  (entry: LedgerEntry): LedgerRecord => ({
    stamp: Stamp.text(entry.stamp),
    subject: entry.subject,
    decision: entry.decision,
    cause: entry.cause,
    shard,
  });
const inOrder = (left: LedgerRecord, right: LedgerRecord): number =>
  Stamp.compare(Stamp.parse(left.stamp)!, Stamp.parse(right.stamp)!);

/**
 * The ledger in its one order, behind the least frontier of all shards, from any node.
 *
 * @example
 * const page = yield* Ledger.read(host, "", 100);
 * const reasons = yield* Ledger.why(host, "lot-17");
 */
export const LedgerReader = {
  *read(
    host: NodeContext,
    after: string,
    limit: number,
  ): Task<Result<{ entries: LedgerRecord[]; frontier: number; next: string }>> {
    const responses = yield* everyShard(host, "ledger.read", { after, limit });
    if (!responses.ok) return responses;
    const frontier = Math.min(...responses.value.map((response) => response.value.frontier));
    const merged = responses.value
      .flatMap((response) =>
        (response.value.entries as LedgerEntry[])
          .filter((entry) => entry.stamp.time <= frontier)
          .map(tell(response.shard)),
      )
      .sort(inOrder);
    let cut = Math.min(limit, merged.length);
    while (cut < merged.length && merged[cut].stamp === merged[cut - 1].stamp) cut += 1; // a put's entries stay together
    const entries = merged.slice(0, cut);
    return Fault.ok({ entries, frontier, next: entries.length > 0 ? entries[entries.length - 1].stamp : after });
  },
  /** All that bears on a request, lot, item, move, change, shard or replica. @example yield* Ledger.why(host, "move-3") */
  *why(host: NodeContext, id: string): Task<Result<{ id: string; entries: LedgerRecord[]; because: LedgerRecord[] }>> {
    const kinds = ["request", "lot", "item", "move", "shard", "replica"];
    const responses = yield* everyShard(host, "ledger.about", {
      subjects: [id, ...kinds.map((kind) => `${kind} ${id}`)],
      change: id,
    });
    if (!responses.ok) return responses;
    const entries = responses.value
      .flatMap((response) => (response.value.entries as LedgerEntry[]).map(tell(response.shard)))
      .sort(inOrder);
    const configurations = new Set(
      entries.map((entry) => entry.cause.manifest).filter((version) => version !== undefined),
    );
    const views = new Set(
      entries
        .filter((entry) => entry.cause.view !== undefined)
        .map((entry) => `${entry.shard} view ${entry.cause.view}:`),
    );
    if (configurations.size + views.size === 0) return Fault.ok({ id, entries, because: [] });
    const shards = [...new Set(entries.map((entry) => entry.shard))];
    const related = yield* everyShard(host, "ledger.about", {
      subjects: ["manifest", ...shards.map((shard) => `shard ${shard}`)],
      change: "",
    });
    if (!related.ok) return related;
    const because = related.value
      .flatMap((response) => (response.value.entries as LedgerEntry[]).map(tell(response.shard)))
      .filter((entry) =>
        entry.subject === "manifest"
          ? [...configurations].some((version) => entry.decision === `accepted as version ${version}`)
          : [...views].some((view) => `${entry.subject.slice(6)} ${entry.decision}`.startsWith(view)),
      )
      .sort(inOrder);
    return Fault.ok({ id, entries, because });
  },
};
