import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { Route } from "../../controlState/configuration";
import { Endpoint } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { AdmissionQueue } from "../../routing/admissionQueue";
import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { PutOutcome, ShardOperation } from "../../shard/shardTypes";
import { ExecutionCounters } from "../executionCounters";
import { KeyedLock } from "../keyedLock";
import {
  ExistingObject,
  OpenRequest,
  OpenResponse,
  RefuseRequest,
  RefuseResponse,
} from "../messages/liveRequestMessages";
import { notLeaderFault } from "../notLeaderFault";
import { liveRequestCriteria, RoutedRequest } from "../selectionCriteria";
import { ShardClient } from "../shardClient";
import { RESTAMP_PAUSE_MS, ShardWriter } from "../shardWriter";
import { LiveRequestExecution, remainingWaitMs } from "./liveRequestExecution";

/** Time-out of the put that opens a request at the leader, ms. It is longer than a view change. */
const OPEN_PUT_TIMEOUT_MS = 1100;
/** Time-out of the put that refuses a request at the leader, ms. */
const REFUSE_PUT_TIMEOUT_MS = 1000;
/** The opening put is retried for at least this long after an unknown outcome, ms. */
const OUTCOME_TIMEOUT_MIN_MS = 1000;

/**
 * Accepts live requests at the leader of their shard. One put accepts the request and claims its first attempt, so a
 * request is forwarded only after it is on every replica.
 */
export class LiveRequestAdmission {
  /** Held for each request that is being opened, by its id. */
  private readonly openLocks = new KeyedLock();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly shardClient: ShardClient,
    private readonly writer: ShardWriter,
    private readonly queue: AdmissionQueue,
    private readonly execution: LiveRequestExecution,
    private readonly counters: ExecutionCounters,
  ) {}

  /** Accepts a request and starts its first attempt. The fault "busy" means that the request was not put. */
  *open(replica: ShardReplica, body: OpenRequest): Task<Result<OpenResponse>> {
    const { id } = body.work;
    yield* this.openLocks.waitUntilFree(id);
    if (!replica.holdsLease() || this.node.stopping || !this.node.mayHoldLeases())
      return notLeaderFault(this.node, replica, "open");
    const existing = findExisting(replica, body);
    if (existing) return Fault.ok(existing);
    if (!Stamp.admits(body.stamp.time, this.env.wallClockMs(), this.node.clockBounds()))
      return Fault.fail("late", "open", this.node.self.id, `stamp ${Stamp.text(body.stamp)} outside the bounds`);
    const route = this.node.snapshot().control?.manifest.doc.bindings[body.work.binding];
    if (!route) return Fault.fail("notFound", "open", this.node.self.id, `no binding ${body.work.binding}`);
    this.openLocks.acquire(id);
    try {
      return yield* this.openAtEndpoint(replica, body, route);
    } finally {
      this.openLocks.release(id);
    }
  }

  /** Waits for an endpoint with capacity, then opens the request and runs it there. */
  private *openAtEndpoint(replica: ShardReplica, body: OpenRequest, route: Route): Task<Result<OpenResponse>> {
    const { id, binding: routeName } = body.work;
    const routed: RoutedRequest = { route, routeName, caller: body.caller, body: body.work.body };
    const exclude = new Set<string>();
    const endpoint = yield* this.queue.acquire(
      () => liveRequestCriteria(this.node.snapshot(), routed, exclude),
      body.work.order,
      body.stamp.time,
      Math.min(remainingWaitMs(this.env, body.work), body.work.deadlineAt - this.env.wallClockMs()),
    );
    if (!endpoint) {
      this.counters.busies += 1;
      const retryAfterMs = this.queue.retryAfterMs(route.pool);
      return Fault.busy("open", this.node.self.id, `no room in pool ${route.pool}`, retryAfterMs);
    }
    const claimedAt = this.env.monotonicMs();
    this.execution.running.add(id);
    const put = yield* this.putOpen(replica, body, endpoint);
    this.env.faultPoint(51);
    if (!put.ok || put.value.tag !== "done") {
      this.execution.running.delete(id);
      this.queue.release(endpoint, true);
      if (!put.ok) return put;
      return Fault.ok(put.value.tag === "exists" ? put.value : { tag: "exists", same: false, state: "refused" });
    }
    const request = { ...routed, spec: { ...body.work }, shard: replica.shard, attempt: 1, claimedAt, chunks: [] };
    Csp.go(this.env.scope, `run ${id}`, () => this.execution.run(request, endpoint));
    return Fault.ok({ tag: "opened" });
  }

  /** Accepts the request and claims its first attempt in one put. */
  private *putOpen(replica: ShardReplica, body: OpenRequest, endpoint: Endpoint): Task<Result<PutOutcome>> {
    const { id, life, deadlineAt } = body.work;
    const putId = `open-${id}-${life}`;
    const ops: ShardOperation[] = [
      { op: "open", work: body.work },
      { op: "claim", id, round: 1, replica: endpoint.key, owner: this.node.self.id },
    ];
    // The put has the stamp of the request's arrival, or a new one if the stable prefix has passed that meanwhile.
    let stamp = body.stamp;
    let put: Result<PutOutcome>;
    for (let attempt = 0; ; attempt += 1) {
      const cause = { ...body.cause, view: replica.view?.epoch };
      put = yield* replica.put({ putId, stamp, ops, cause }, OPEN_PUT_TIMEOUT_MS);
      if (put.ok || put.fault.tag !== "late" || attempt >= Constants.restampAttempts) break;
      stamp = this.shardClient.stamp(this.env.wallClockMs());
      yield* EnvironmentTools.sleep(this.env, RESTAMP_PAUSE_MS);
    }
    if (put.ok || put.fault.tag !== "unknown") return put;
    // A view change interrupted the put. Nothing was forwarded yet, so the same put is retried to learn its outcome.
    const outcomeTimeoutMs = Math.max(OUTCOME_TIMEOUT_MIN_MS, deadlineAt - this.env.wallClockMs());
    return yield* this.writer.put(replica.shard, putId, ops, body.cause, outcomeTimeoutMs);
  }

  /** Ensures that a request that its ingress has given up never runs, unless it was accepted before. */
  *refuse(replica: ShardReplica, { id, stamp }: RefuseRequest): Task<Result<RefuseResponse>> {
    yield* this.openLocks.waitUntilFree(id);
    const put = yield* replica.put(
      {
        putId: `refuse-${id}-${Stamp.text(stamp)}`,
        stamp,
        ops: [{ op: "close", id, round: 0, state: "refused", outcome: "given up before it ran" }],
        cause: {},
      },
      REFUSE_PUT_TIMEOUT_MS,
    );
    if (!put.ok) return put;
    const wasRefused = put.value.tag === "exists" && put.value.state === "refused";
    return Fault.ok({ refused: put.value.tag === "done" || wasRefused });
  }
}

/** The request of the same id that was accepted earlier, unless it was refused before this arrival's stamp. */
function findExisting(replica: ShardReplica, body: OpenRequest): ExistingObject | undefined {
  const { id, bodyHash } = body.work;
  const sealed = replica.segments.find("works", id);
  if (sealed) {
    const state = sealed.trimmed ? "trimmed" : sealed.state;
    return { tag: "exists", same: replica.segments.hasSameBody(sealed, bodyHash), state };
  }
  const existing = replica.data.liveRequests.get(id);
  if (!existing) return undefined;
  const refusedEarlier =
    existing.state === "refused" && existing.closedAt !== null && Stamp.compare(body.stamp, existing.closedAt) > 0;
  return refusedEarlier ? undefined : { tag: "exists", same: existing.bodyHash === bodyHash, state: existing.state };
}
