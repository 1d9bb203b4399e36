import { Constants } from "../common/constants";
import { Result } from "../common/fault";
import { Route } from "../controlState/configuration";
import { Node } from "../node/node";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { isClosed } from "../shard/state/liveRequest";
import { LiveRequest, PutOutcome, ShardOperation } from "../shard/shardTypes";
import { ClaimedItemScheduler } from "./claimedItems/claimedItemScheduler";
import { ExecutionCounters } from "./executionCounters";
import { specOf } from "./liveRequests/executingRequest";
import { LiveRequestExecution } from "./liveRequests/liveRequestExecution";
import { ShardWriter } from "./shardWriter";

/** Period at which an owner is polled for the claims that it still executes, ms. */
const OWNER_POLL_PERIOD_MS = 400;
/** Time-out of one poll, ms. */
const OWNER_POLL_TIMEOUT_MS = 500;
/**
 * An owner that has not responded for this long no longer holds its claims, ms: a storage node does not forward under a
 * claim that is older than `claimMaxAgeMs`.
 */
const OWNER_LOSS_TIMEOUT_MS = 2 * Constants.claimMaxAgeMs;
/** The put that closes an abandoned request is retried for this long, ms. */
const CLOSE_TIMEOUT_MS = 10_000;
/** The put that releases an abandoned claim is retried for this long, ms. */
const RELEASE_TIMEOUT_MS = 5000;

/** Ledger note on the closes of requests and the decisions about items that this recovery makes. */
const LEADER_CHANGED_NOTE = "lead changed";
const OWNER_LOST_DETAIL = "the store that ran it was lost";

/** A claim in the state of a shard, with the name under which its owner lists it as running. */
type Claim =
  { kind: "request"; name: string; id: string } | { kind: "item"; name: string; jobId: string; index: number };

/** The result of polling an owner. */
interface OwnerPoll {
  /** Whether membership has an address of the owner as a live or suspected member. */
  isReachable: boolean;
  /** The polled claims that the owner still executes; undefined if it did not respond. */
  running: string[] | undefined;
}

/**
 * Recovers claims whose owner, a storage node, no longer executes them. The leader of a shard searches for such claims
 * when it starts to lead and periodically afterwards. A request or an item that may have run is closed as "unknown",
 * unless it is safe to repeat; then it runs again.
 */
export class AbandonedClaimRecovery {
  /** `SHARD/EPOCH/OWNER` of the owners that are being polled. */
  private readonly polledOwners = new Set<string>();

  /** @param running names of the requests and items that this node executes under a claim */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly writer: ShardWriter,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    private readonly running: Set<string>,
    private readonly execution: LiveRequestExecution,
    private readonly scheduler: ClaimedItemScheduler,
    private readonly counters: ExecutionCounters,
  ) {}

  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "orphans", () => this.recoveryLoop());
  }

  /** Recovers the abandoned claims of a shard, in one background task for each owner. */
  recoverShard(replica: ShardReplica): void {
    const { epoch } = replica.view!;
    for (const [owner, claims] of claimsByOwner(replica)) {
      const key = `${replica.shard}/${epoch}/${owner}`;
      const notRunningHere = claims.filter(({ name }) => !this.running.has(name));
      if (notRunningHere.length === 0 || this.polledOwners.has(key)) continue;
      this.polledOwners.add(key);
      const recovery = this;
      Csp.go(this.env.scope, `recover claims of ${owner}`, function* () {
        try {
          yield* recovery.recoverFrom(owner, replica, epoch, notRunningHere);
        } finally {
          recovery.polledOwners.delete(key);
        }
      });
    }
  }

  /**
   * Searches all led shards periodically. The search also finds objects that were accepted or claimed by a put that
   * completed only after its caller had stopped waiting.
   */
  private *recoveryLoop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.abandonedClaimSearchMs);
      for (const replica of this.replicas.values()) {
        if (!replica.holdsLease()) continue;
        this.scheduler.addJobsOf(replica);
        this.recoverShard(replica);
      }
    }
  }

  /** Recovers each claim that its owner no longer executes, and polls the owner until none of the claims is left. */
  private *recoverFrom(owner: string, replica: ShardReplica, epoch: number, claims: Claim[]): Task<void> {
    let remaining = claims;
    let lastResponseAt = this.env.monotonicMs();
    while (remaining.length > 0 && replica.holdsLease() && replica.view?.epoch === epoch) {
      const names = remaining.map(({ name }) => name);
      const poll = yield* this.pollOwner(owner, names);
      let stillRunning = new Set<string>(poll.running);
      if (poll.running !== undefined) lastResponseAt = this.env.monotonicMs();
      else if (poll.isReachable && this.env.monotonicMs() - lastResponseAt < OWNER_LOSS_TIMEOUT_MS)
        stillRunning = new Set(names);
      for (const claim of remaining) {
        if (stillRunning.has(claim.name) || this.running.has(claim.name)) continue;
        if (claim.kind === "request") yield* this.recoverRequest(replica, claim.id);
        else yield* this.recoverItem(replica, claim);
      }
      remaining = remaining.filter(({ name }) => stillRunning.has(name));
      if (remaining.length > 0) yield* EnvironmentTools.sleep(this.env, OWNER_POLL_PERIOD_MS);
    }
  }

  private *pollOwner(owner: string, names: string[]): Task<OwnerPoll> {
    if (owner === this.node.self.id)
      return { isReachable: true, running: names.filter((name) => this.running.has(name)) };
    const state = this.node.membership.find(owner)?.state;
    const address = state === "alive" || state === "suspect" ? this.node.addressOf(owner) : undefined;
    if (!address) return { isReachable: false, running: undefined };
    const response = yield* this.node.rpc.call(address, "work.running", { ids: names }, OWNER_POLL_TIMEOUT_MS);
    return { isReachable: true, running: response.ok ? response.value.running : undefined };
  }

  private *recoverRequest(replica: ShardReplica, id: string): Task<void> {
    const request = replica.data.liveRequests.get(id);
    if (!request || isClosed(request)) return;
    if (request.state === "claimed" && !request.safe) {
      this.counters.unknowns += 1;
      yield* this.closeRequest(replica, request, "unknown", `${OWNER_LOST_DETAIL}; it may have run`);
      return;
    }
    const route = this.node.snapshot().control?.manifest.doc.bindings[request.binding];
    const canContinue = request.pieces.length === 0 || request.exact;
    if (!route || request.deadlineAt < this.env.wallClockMs() || !canContinue) {
      const hasNotRun = request.state === "accepted" && request.pieces.length === 0;
      yield* this.closeRequest(replica, request, hasNotRun ? "refused" : "failed", OWNER_LOST_DETAIL);
      return;
    }
    yield* this.resumeRequest(replica, request, route);
  }

  /** Resumes a request after the response chunks that are already stored. */
  private *resumeRequest(replica: ShardReplica, request: LiveRequest, route: Route): Task<void> {
    const { id, round: attempt } = request;
    this.counters.resumed += 1;
    this.running.add(id);
    if (request.state === "claimed") {
      const release: ShardOperation = { op: "release", id, round: attempt, why: "its store was lost" };
      const putId = recoveryPutId(request);
      const released = yield* this.writer.put(replica.shard, putId, [release], {}, RELEASE_TIMEOUT_MS);
      if (!released.ok || released.value.tag !== "done") {
        this.running.delete(id);
        return;
      }
    }
    const spec = specOf(request);
    const executing = {
      spec,
      shard: replica.shard,
      route,
      routeName: spec.binding,
      caller: "",
      body: spec.body,
      attempt: request.round,
      claimedAt: this.env.monotonicMs(),
      chunks: request.pieces.map((chunk) => chunk.data),
    };
    Csp.go(this.env.scope, `run ${id}`, () => this.execution.run(executing, undefined));
  }

  private closeRequest(
    replica: ShardReplica,
    request: LiveRequest,
    state: "failed" | "unknown" | "refused",
    detail: string,
  ): Task<Result<PutOutcome>> {
    const outcome = JSON.stringify({ detail, retryAfterMs: Constants.retryAfterMs });
    return this.writer.put(
      replica.shard,
      recoveryPutId(request),
      [{ op: "close", id: request.id, round: request.round, state, outcome }],
      { note: LEADER_CHANGED_NOTE },
      CLOSE_TIMEOUT_MS,
    );
  }

  private *recoverItem(replica: ShardReplica, claim: Extract<Claim, { kind: "item" }>): Task<void> {
    const { jobId, index, name } = claim;
    const job = replica.data.jobs.get(jobId);
    const item = job?.items[index];
    if (!job || !item || item.state !== "claimed") return;
    const { round: attempt } = item;
    const operation: ShardOperation = job.safe
      ? { op: "itemRelease", lot: jobId, item: index, round: attempt, why: "its store was lost" }
      : {
          op: "itemResult",
          lot: jobId,
          item: index,
          round: attempt,
          state: "unknown",
          result: JSON.stringify({ detail: `${OWNER_LOST_DETAIL}; it may have run` }),
        };
    const putId = `recover-${name}-${attempt}`;
    yield* this.writer.put(replica.shard, putId, [operation], { note: LEADER_CHANGED_NOTE }, RELEASE_TIMEOUT_MS);
  }
}

const recoveryPutId = ({ id, life, round }: LiveRequest): string => `recover-${id}-${life}-${round}`;

/** All claims in the state of a shard, by owner. Requests that were accepted and not claimed have the owner "". */
function claimsByOwner(replica: ShardReplica): Map<string, Claim[]> {
  const claims = new Map<string, Claim[]>();
  const add = (owner: string, claim: Claim): void => void claims.set(owner, [...(claims.get(owner) ?? []), claim]);
  for (const request of replica.data.liveRequests.values())
    if (!isClosed(request)) add(request.owner, { kind: "request", name: request.id, id: request.id });
  for (const job of replica.data.jobs.values()) {
    if (job.open === 0) continue;
    for (const [index, item] of job.items.entries())
      if (item.state === "claimed") add(item.owner, { kind: "item", name: `${job.id}/${index}`, jobId: job.id, index });
  }
  return claims;
}
