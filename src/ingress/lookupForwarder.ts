import type { AdmittedRequest, CallerResponse, Lookups } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { EndpointHttp } from "../forwarding/endpointHttp";
import type { ClusterSnapshot, Endpoint } from "../node/clusterSnapshot";
import { AdmissionQueue } from "../routing/admissionQueue";
import { EndpointSelector } from "../routing/endpointSelector";
import { SelectionCriteria } from "../routing/selectionCriteria";
import { Csp, Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { IngressCounters } from "./ingressCounters";
import type { LedgerNotes } from "./ledgerNotes";
import { RequestHandle, RequestTable } from "./requestTable";

/** The shortest time-out of an attempt that another one may follow, in ms. */
const MIN_ATTEMPT_TIMEOUT_MS = 200;
/** A refused lookup is rejected once this many endpoints have failed or refused it. */
const MAX_ENDPOINTS_PER_LOOKUP = 8;

/** What a lookup forwarder needs from its ingress. */
export interface LookupContext {
  readonly env: Environment;
  readonly id: string;
  readonly admissionQueue: AdmissionQueue;
  readonly endpointSelector: EndpointSelector;
  readonly requestTable: RequestTable<Result<CallerResponse>>;
  readonly counters: IngressCounters;
  readonly notes: Pick<LedgerNotes, "add">;
  snapshot(): ClusterSnapshot;
}

/** The state of a lookup across its attempts. */
interface PendingLookup {
  id: string;
  request: AdmittedRequest;
  body: string;
  handle: RequestHandle;
  /** Monotonic ms, as is deadlineAt. */
  startedAt: number;
  deadlineAt: number;
  /** The maximum number of attempts; those that an endpoint refused without running the request do not count. */
  maxAttempts: number;
  /** The number of the current attempt, from 1. */
  attempt: number;
  /** Keys of the endpoints that failed or refused the lookup. */
  exclude: Set<string>;
  /** Whether any endpoint may have run the lookup. */
  mayHaveRun: boolean;
  lastFault: Fault | undefined;
}

/** Forwards idempotent single requests directly to endpoints, and retries them at other endpoints. */
export class LookupForwarder implements Lookups {
  constructor(private readonly context: LookupContext) {}

  start(
    id: string,
    request: AdmittedRequest,
    body: string,
    respond: (outcome: Result<CallerResponse>) => void,
  ): Result<{ cancel(): void }> {
    const { context } = this;
    const { requestTable } = context;
    const handle = requestTable.open(respond);
    if (!handle) return Fault.busy("accept", context.id, "too many requests at once", Constants.retryAfterMs);
    Csp.go(context.env.scope, `lookup ${id}`, () => this.run(handle, id, request, body));
    return Fault.ok({
      cancel() {
        if (requestTable.isOpen(handle)) requestTable.cancel(handle);
      },
    });
  }

  /** Runs a lookup and completes its handle with the response or the last fault. */
  *run(handle: RequestHandle, id: string, request: AdmittedRequest, body: string): Task<void> {
    const { counters, env, notes, requestTable } = this.context;
    counters.lookups += 1;
    const startedAt = env.monotonicMs();
    const outcome = yield* this.attemptAll({
      id,
      request,
      body,
      handle,
      startedAt,
      deadlineAt: startedAt + request.deadlineMs,
      maxAttempts: request.route.rounds ?? Constants.lookupAttempts,
      attempt: 1,
      exclude: new Set(),
      mayHaveRun: false,
      lastFault: undefined,
    });
    if (!outcome.ok && outcome.fault.tag === "busy") counters.rejections += 1;
    else if (!outcome.ok) counters.failures += 1;
    const decision = outcome.ok ? `replied ${outcome.value.status}` : `${outcome.fault.tag}: ${outcome.fault.detail}`;
    notes.add(`request ${id}`, decision, request.cause);
    requestTable.complete(handle, outcome);
  }

  private *attemptAll(lookup: PendingLookup): Task<Result<CallerResponse>> {
    const { admissionQueue, env, id: selfId, requestTable } = this.context;
    const { pool } = lookup.request.route;
    while (lookup.attempt <= lookup.maxAttempts) {
      const leftMs = lookup.deadlineAt - env.monotonicMs();
      if (leftMs <= 0) break;
      const endpoint = yield* this.acquire(lookup, leftMs);
      if (!endpoint) {
        if (lookup.mayHaveRun) break;
        return Fault.busy("choose", selfId, `no room in pool ${pool}`, admissionQueue.retryAfterMs(pool));
      }
      if (!requestTable.isOpen(lookup.handle)) {
        admissionQueue.release(endpoint, true);
        return Fault.fail("broken", "lookup", "caller", "caller went away");
      }
      const response = yield* this.attemptAt(endpoint, lookup, leftMs);
      if (response.ok) return response;
      lookup.lastFault = response.fault;
      lookup.exclude.add(endpoint.key);
      if (response.fault.tag !== "refused") {
        lookup.mayHaveRun = true;
        lookup.attempt += 1;
      } else if (lookup.exclude.size >= MAX_ENDPOINTS_PER_LOOKUP) break;
    }
    return this.failure(lookup);
  }

  /** Acquires an endpoint; waits only if an eligible endpoint is left at which the lookup has not failed. */
  private *acquire(lookup: PendingLookup, leftMs: number): Task<Endpoint | undefined> {
    const { admissionQueue, endpointSelector, env } = this.context;
    const makeCriteria = (): SelectionCriteria => this.criteria(lookup);
    const hasOtherEndpoint = endpointSelector
      .eligible(makeCriteria())
      .some((endpoint) => !lookup.exclude.has(endpoint.key));
    const waitMs = Constants.admissionWaitMaxMs - (env.monotonicMs() - lookup.startedAt);
    const maxWaitMs = hasOtherEndpoint ? Math.min(leftMs, waitMs) : 0;
    return yield* admissionQueue.acquire(makeCriteria, lookup.request.order, lookup.startedAt, maxWaitMs);
  }

  private criteria({ request, exclude }: PendingLookup): SelectionCriteria {
    return {
      snapshot: this.context.snapshot(),
      pool: request.route.pool,
      route: request.name,
      caller: request.caller,
      kind: request.route.kind,
      prefix: "",
      trafficClass: "live",
      exclude,
    };
  }

  private *attemptAt(endpoint: Endpoint, lookup: PendingLookup, leftMs: number): Task<Result<CallerResponse>> {
    const { admissionQueue, env } = this.context;
    const { id, request, body, attempt, maxAttempts } = lookup;
    const shareMs = Math.max(MIN_ATTEMPT_TIMEOUT_MS, request.deadlineMs / Constants.lookupAttempts);
    const response = yield* EndpointHttp.single(env, endpoint, {
      path: request.route.path,
      id,
      attempt,
      body,
      receivedChunks: [],
      deadlineMs: attempt < maxAttempts ? Math.min(leftMs, shareMs) : leftMs,
      idempotent: true,
    });
    const healthy = response.ok || response.fault.step === "deliver";
    admissionQueue.release(endpoint, healthy);
    return response;
  }

  private failure({ lastFault, mayHaveRun }: PendingLookup): { ok: false; fault: Fault } {
    if (mayHaveRun) return { ok: false, fault: lastFault! };
    const detail = lastFault ? `no replica took it: ${lastFault.detail}` : "deadline passed before there was room";
    return Fault.busy("lookup", this.context.id, detail, Constants.retryAfterMs);
  }
}
