import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { differingBuckets, totalChecksum } from "./checksums";
import { FactStore } from "./factStore";
import { Digest, DigestResponse, FactDiffRequest, FactDiffResponse } from "./gossipMessages";
import { Membership } from "./membership";
import { SnapshotTransfer } from "./snapshotTransfer";

/** An exchange of digests that told of a control snapshot newer than the one known here. */
interface AheadExchange {
  /** Start of the exchange, monotonic ms. */
  readonly at: number;
  /** Log index of that snapshot. */
  readonly index: number;
}

/**
 * Anti-entropy (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987) repairs the losses of
 * pushes: two members compare digests, and each gets the facts, members and control snapshot that it lacks. One total
 * checksum shows whether anything differs, checksums by bucket show where, and only entries of those buckets are
 * compared.
 */
export class AntiEntropy {
  /** Time of the last exchange that told of no snapshot newer than the one known here, monotonic ms. */
  private lastCurrentAt = -Infinity;
  /** Recent exchanges that told of a newer snapshot, which may have been fetched since. */
  private ahead: AheadExchange[] = [];

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    private readonly membership: Membership,
    private readonly facts: FactStore,
    private readonly transfer: SnapshotTransfer,
  ) {}

  /** Registers the handlers of requests from other members. */
  serve(): void {
    const { membership, facts } = this;
    this.rpc.handle("news.digest", (digest, sender) => this.onDigest(digest, sender));
    this.rpc.handle("news.differ", function* (request: FactDiffRequest): Task<Result<FactDiffResponse>> {
      return Fault.ok(facts.diff(request.buckets, request.standing));
    });
    this.rpc.handle("members.differ", function* (request) {
      return Fault.ok(membership.diff(request.buckets, request.standing));
    });
    this.rpc.handle("members.told", function* (request) {
      membership.merge(request.updates);
      return Fault.ok(true as const);
    });
  }

  /** Exchanges digests with the member at the address and repairs both sides; returns false if it did not respond. */
  *exchangeWith(address: string): Task<boolean> {
    const startedAt = this.env.monotonicMs();
    const response = yield* this.rpc.call(address, "news.digest", this.digest(), Constants.digestTimeoutMs);
    if (!response.ok) return false;
    const { renewed, memberSums, sums, frameIndex } = response.value;
    this.transfer.announced(address, frameIndex);
    for (const renewal of renewed) this.facts.applyRenewal(renewal);
    if (memberSums) yield* this.repairMembers(address, memberSums);
    if (sums) yield* this.repairFacts(address, sums);
    this.recordExchange(startedAt, frameIndex);
    return true;
  }

  /**
   * Time of the last exchange of digests, initiated by either side, monotonic ms. An exchange counts once this member has
   * a control snapshot at least as new as the one that it told of.
   */
  get lastExchangeAt(): number {
    const { index } = this.transfer;
    for (const exchange of this.ahead)
      if (exchange.index <= index) this.lastCurrentAt = Math.max(this.lastCurrentAt, exchange.at);
    this.ahead = this.ahead.filter((exchange) => exchange.index > index);
    return this.lastCurrentAt;
  }

  private recordExchange(at: number, index: number): void {
    const oldest = this.env.monotonicMs() - Constants.contactTimeoutMs;
    this.ahead = this.ahead.filter((exchange) => exchange.at > oldest);
    this.ahead.push({ at, index });
  }

  private digest(): Digest {
    return {
      sum: totalChecksum(this.facts.bucketChecksums),
      memberSum: totalChecksum(this.membership.bucketChecksums()),
      stale: this.facts.staleVersions(),
      frameIndex: this.transfer.index,
      group: this.transfer.snapshot?.group,
    };
  }

  private *onDigest(digest: Digest, sender: string): Task<Result<DigestResponse>> {
    this.recordExchange(this.env.monotonicMs(), digest.frameIndex);
    const address = this.membership.find(sender)?.address;
    if (address) this.transfer.announced(address, digest.frameIndex);
    const { bucketChecksums } = this.facts;
    const memberChecksums = this.membership.bucketChecksums();
    return Fault.ok({
      renewed: this.facts.renewalsSince(digest.stale),
      frameIndex: this.transfer.index,
      ...(digest.sum === totalChecksum(bucketChecksums) ? {} : { sums: bucketChecksums }),
      ...(digest.memberSum === totalChecksum(memberChecksums) ? {} : { memberSums: memberChecksums }),
    });
  }

  /** A change of membership is piggybacked only a limited number of times; this repairs the losses. */
  private *repairMembers(address: string, theirChecksums: number[]): Task<void> {
    const buckets = differingBuckets(this.membership.bucketChecksums(), theirChecksums);
    const request = { buckets, standing: this.membership.versions(buckets) };
    const response = yield* this.rpc.call(address, "members.differ", request, Constants.digestTimeoutMs);
    if (!response.ok) return;
    this.membership.merge(response.value.updates);
    const updates = this.membership.membersById(response.value.want);
    if (updates.length > 0) this.rpc.notify([address], "members.told", { updates });
  }

  private *repairFacts(address: string, theirChecksums: number[]): Task<void> {
    const buckets = differingBuckets(this.facts.bucketChecksums, theirChecksums);
    const request = { buckets, standing: this.facts.versions(buckets) };
    const response = yield* this.rpc.call(address, "news.differ", request, Constants.digestTimeoutMs);
    if (!response.ok) return;
    for (const fact of response.value.facts) this.facts.applyMessage(fact);
    const facts = this.facts.messages(response.value.want);
    if (facts.length === 0) return;
    const { index, snapshot } = this.transfer;
    this.rpc.notify([address], "news.push", { facts, renewed: [], frameIndex: index, group: snapshot?.group });
  }
}
