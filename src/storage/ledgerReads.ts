import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Stamp } from "../common/stamp";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { LedgerIndex } from "../shard/state/ledgerIndex";
import { LedgerEntry } from "../shard/shardTypes";
import {
  LedgerAboutRequest,
  LedgerAboutResponse,
  LedgerReadRequest,
  LedgerReadResponse,
  TemporalGetRequest,
  TemporalGetResponse,
} from "./messages/shardMessages";
import { isInView, notInViewFault } from "./viewMembership";

/** Sorts before every stamp of an entry. */
const BEFORE_ALL_STAMPS: Stamp = { time: -1, node: "", seq: 0 };

/**
 * Temporal reads of a shard's ledger. Any member of the shard's view serves them, from the sealed segments and from the
 * unsealed entries behind the frontier, which is the end of its stable prefix.
 *
 * @example
 * const page = yield* reads.read(replica, { shard: 3, after: "", limit: 100 });
 */
export class LedgerReads {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
  ) {}

  /** Reads a page of entries in the order of their stamps. The entries of one put are never split between pages. */
  *read(replica: ShardReplica, body: LedgerReadRequest): Task<Result<LedgerReadResponse>> {
    if (!isInView(this.node, replica)) return notInViewFault(this.node, "read");
    const frontier = replica.frontier();
    const after = Stamp.parse(body.after) ?? BEFORE_ALL_STAMPS;
    const sealed = yield* replica.readConsistently(() => replica.segments.ledger.after(after, body.limit));
    if (!sealed.ok) return sealed;
    // Unsealed entries are found by position, not by stamp: the entries of one put may lie on both sides of the end of
    // the newest segment.
    const unsealed = sealed.value.all ? replica.data.ledger.slice(LedgerIndex.firstAfter(replica.data, after)) : [];
    const entries = [...sealed.value.entries, ...unsealed];
    let end = Math.min(body.limit, entries.length);
    while (end > 0 && end < entries.length && Stamp.compare(entries[end].stamp, entries[end - 1].stamp) === 0) end += 1;
    const oldest = replica.segments.ledger.oldestStamp() ?? replica.data.ledger[0]?.stamp ?? null;
    return Fault.ok({ frontier, entries: entries.slice(0, end), oldest });
  }

  /** Reads all entries about some subjects. The leader of the shard adds entries that are not stable yet. */
  *about(replica: ShardReplica, { subjects, change }: LedgerAboutRequest): Task<Result<LedgerAboutResponse>> {
    if (!isInView(this.node, replica)) return notInViewFault(this.node, "read");
    const isAbout = (entry: LedgerEntry): boolean =>
      subjects.some((subject) => entry.subject === subject || entry.subject.startsWith(`${subject}/`)) ||
      (change !== "" && !!entry.cause.note?.startsWith(`change ${change} `));
    const sealed = yield* replica.readConsistently(() =>
      replica.segments.ledger.about([...subjects, `change ${change}`], 0, isAbout, Constants.subjectEntriesMax),
    );
    if (!sealed.ok) return sealed;
    const stable = replica.data.ledger.filter(isAbout);
    const unstable = replica.holdsLease() ? replica.data.unstablePuts.flatMap((put) => put.ledger).filter(isAbout) : [];
    return Fault.ok({ entries: [...sealed.value, ...stable, ...unstable], frontier: replica.frontier() });
  }

  /**
   * Reads the oldest stable version of a subject that is not older than a time. The fault is "busy" if there is none
   * when the wait ends.
   */
  *nearestVersion(replica: ShardReplica, body: TemporalGetRequest): Task<Result<TemporalGetResponse>> {
    if (!isInView(this.node, replica)) return notInViewFault(this.node, "read");
    const { subject, time } = body;
    const deadline = this.env.monotonicMs() + Math.min(body.waitMs, Constants.readWaitMs);
    const isCandidate = (entry: LedgerEntry): boolean => entry.subject === subject && entry.stamp.time >= time;
    for (;;) {
      const frontier = replica.frontier();
      const sealed = yield* replica.readConsistently(() =>
        replica.segments.ledger.about([subject], time, isCandidate, 1),
      );
      if (!sealed.ok) return sealed;
      const version = sealed.value[0] ?? LedgerIndex.nearest(replica.data, subject, time);
      if (version) return Fault.ok({ version, frontier });
      if (this.env.monotonicMs() >= deadline) {
        const retryAfterMs = Math.round(Math.max(Constants.retryAfterMs, time - frontier));
        const detail = `no stable version not prior to ${time} yet`;
        return Fault.busy("temporal get", this.node.self.id, detail, retryAfterMs);
      }
      yield* replica.waitForChange(deadline - this.env.monotonicMs());
    }
  }
}
