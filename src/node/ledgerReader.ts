import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { LedgerEntry } from "../shard/shardState";
import { Fault, Result } from "../common/fault";
import { Host } from "./nodeContext";
import { Stamp } from "../common/stamp";

export type Told = { stamp: string; subject: string; decision: string; cause: LedgerEntry["cause"]; shard: number };

/** Asks some member of every shard's view; all must answer, else the order would have holes. */
function* everyShard(
  host: Host,
  verb: string,
  body: Record<string, unknown>,
): Task<Result<{ shard: number; value: any }[]>> {
  const done = Csp.chan<Result<{ shard: number; value: any }>>(Constants.shardCount);
  for (let shard = 0; shard < Constants.shardCount; shard += 1)
    Csp.go(host.env.scope, verb, function* () {
      const frame = host.frame();
      const view = frame.control?.views[shard];
      let last: Result<any> = Fault.fail("timeout", verb, `shard ${shard}`, "no view is known");
      for (const id of view ? [view.lead, ...view.members.filter((member) => member !== view.lead)] : []) {
        const address = frame.members.find((member) => member.id === id)?.address;
        if (!address) continue;
        last = yield* host.rpc.ask(address, verb, { ...body, shard }, 900);
        if (last.ok) break;
      }
      Csp.offer(done, last.ok ? Fault.ok({ shard, value: last.value }) : last);
    });
  const replies: { shard: number; value: any }[] = [];
  let failed: Result<never> | undefined;
  for (let heard = 0; heard < Constants.shardCount; heard += 1) {
    const reply = (yield* Csp.take(done))!;
    if (reply.ok) replies.push(reply.value);
    else failed = reply;
  }
  return failed
    ? Fault.busy(verb, failed.ok ? "" : failed.fault.member, "not every shard answered", Constants.retryAfterMs)
    : Fault.ok(replies);
}
const tell =
  (shard: number) =>
  (entry: LedgerEntry): Told => ({
    stamp: Stamp.text(entry.stamp),
    subject: entry.subject,
    decision: entry.decision,
    cause: entry.cause,
    shard,
  });
const inOrder = (left: Told, right: Told): number => Stamp.compare(Stamp.parse(left.stamp)!, Stamp.parse(right.stamp)!);

/**
 * The ledger in its one order, behind the least frontier of all shards, from any node.
 *
 * @example
 * const page = yield* Ledger.read(host, "", 100);
 * const reasons = yield* Ledger.why(host, "lot-17");
 */
export const Ledger = {
  *read(host: Host, after: string, limit: number): Task<Result<{ entries: Told[]; frontier: number; next: string }>> {
    const replies = yield* everyShard(host, "ledger.read", { after, limit });
    if (!replies.ok) return replies;
    const frontier = Math.min(...replies.value.map((reply) => reply.value.frontier));
    const merged = replies.value
      .flatMap((reply) =>
        (reply.value.entries as LedgerEntry[]).filter((entry) => entry.stamp.time <= frontier).map(tell(reply.shard)),
      )
      .sort(inOrder);
    let cut = Math.min(limit, merged.length);
    while (cut < merged.length && merged[cut].stamp === merged[cut - 1].stamp) cut += 1; // a put's entries stay together
    const entries = merged.slice(0, cut);
    return Fault.ok({ entries, frontier, next: entries.length > 0 ? entries[entries.length - 1].stamp : after });
  },
  /** All that bears on a request, lot, item, move, change, shard or replica. @example yield* Ledger.why(host, "move-3") */
  *why(host: Host, id: string): Task<Result<{ id: string; entries: Told[]; because: Told[] }>> {
    const kinds = ["request", "lot", "item", "move", "shard", "replica"];
    const replies = yield* everyShard(host, "ledger.about", {
      subjects: [id, ...kinds.map((kind) => `${kind} ${id}`)],
      change: id,
    });
    if (!replies.ok) return replies;
    const entries = replies.value
      .flatMap((reply) => (reply.value.entries as LedgerEntry[]).map(tell(reply.shard)))
      .sort(inOrder);
    const manifests = new Set(entries.map((entry) => entry.cause.manifest).filter((version) => version !== undefined));
    const views = new Set(
      entries
        .filter((entry) => entry.cause.view !== undefined)
        .map((entry) => `${entry.shard} view ${entry.cause.view}:`),
    );
    if (manifests.size + views.size === 0) return Fault.ok({ id, entries, because: [] });
    const shards = [...new Set(entries.map((entry) => entry.shard))];
    const related = yield* everyShard(host, "ledger.about", {
      subjects: ["manifest", ...shards.map((shard) => `shard ${shard}`)],
      change: "",
    });
    if (!related.ok) return related;
    const because = related.value
      .flatMap((reply) => (reply.value.entries as LedgerEntry[]).map(tell(reply.shard)))
      .filter((entry) =>
        entry.subject === "manifest"
          ? [...manifests].some((version) => entry.decision === `accepted as version ${version}`)
          : [...views].some((view) => `${entry.subject.slice(6)} ${entry.decision}`.startsWith(view)),
      )
      .sort(inOrder);
    return Fault.ok({ id, entries, because });
  },
};
