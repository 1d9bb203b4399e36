import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../runtime/env";
import { DirectHttp, DirectRequest } from "../forwarding/directHttp";
import { EventStreamReader } from "../forwarding/eventStreamReader";
import { HeaderNames } from "../forwarding/headerNames";
import { HttpRoute } from "../adapters/http";
import { Endpoint } from "../node/clusterSnapshot";

const path = "/v1/rehearsal";
const eventsPerStream = 4;
const requestBodyBytes = 1400;
const requestTimeoutMs = 500;
/** Pause after a warm-up request, and between two looks for an idle moment, ms. */
const pauseMs = 20;

const event = (n: number): string => `id: ${n}\ndata: ${"rehearsal ".repeat(10)}\n\n`;

/** When warm-up requests may be sent. */
export interface WarmUpMoments {
  /** The ingress is ready for callers. */
  mayBegin(): boolean;
  /** Callers' requests are in flight. */
  isBusy(): boolean;
}

/** This ingress as an endpoint that its own requests can be sent to. */
const endpointAt = (address: string): Endpoint => ({
  key: "rehearsal",
  id: "rehearsal",
  instance: "rehearsal",
  address,
  pool: "",
  district: "",
  version: "",
  capacity: 1,
  active: 0,
  waiting: 0,
  bornAt: 0,
});

const requestWithId = (id: string): DirectRequest => ({
  method: "POST",
  target: path,
  headers: { host: "rehearsal" },
  body: Buffer.alloc(requestBodyBytes),
  id,
  remainingMs: requestTimeoutMs,
  lastEventId: 0,
  priority: 5,
});

/** Sends one request and reads its stream to the end; false if that fails. */
function* sendOne(env: Environment, headerNames: HeaderNames, self: Endpoint, id: string): Task<boolean> {
  const opened = yield* DirectHttp.open(env, headerNames, self, requestWithId(id), requestTimeoutMs);
  if (!opened.ok) return false;
  const events = new EventStreamReader(env, self.id, opened.value.response, 0);
  for (;;) {
    const received = yield* events.next(requestTimeoutMs);
    if (!received.ok || received.value === undefined) return received.ok;
  }
}

/** Responds to a warm-up request with a stream of a few events. */
function* respond(headerNames: HeaderNames, exchange: HttpExchange): Task<void> {
  const body = yield* exchange.body(Constants.bodyLimitBytes);
  if (!body.ok) return;
  exchange.open(200, {
    "content-type": "text/event-stream",
    [headerNames.requestId]: exchange.headers[headerNames.requestId] ?? "",
  });
  for (let n = 1; n <= eventsPerStream; n += 1) exchange.write(event(n));
  exchange.end();
}

/**
 * While no caller needs an ingress that has just become ready, it forwards some requests to itself over its own address:
 * code that has not been compiled yet runs several times slower, and the first callers would bear that. Where callers come
 * at once, as after a restart, the processor is theirs.
 *
 * @example
 * yield* WarmUpRequests.run(env, headerNames, "10.0.0.5:7661", { mayBegin: isReady, isBusy: hasRequestsInFlight });
 */
export const WarmUpRequests = {
  /** The route that responds to the warm-up requests. */
  routes: (headerNames: HeaderNames): HttpRoute[] => [
    { method: "POST", path: new RegExp(`^${path}$`), run: (exchange) => respond(headerNames, exchange) },
  ],

  /** Sends the requests to this ingress at `address`, one at a time in idle moments, until all are done or the time is up. */
  *run(env: Environment, headerNames: HeaderNames, address: string, moments: WarmUpMoments): Task<void> {
    while (!moments.mayBegin()) yield* EnvironmentTools.sleep(env, pauseMs);
    const until = env.mono() + Constants.warmUpMs;
    const self = endpointAt(address);
    for (let sent = 0; sent < Constants.warmUpRequests && env.mono() < until;) {
      const isIdle = !moments.isBusy();
      if (isIdle && !(yield* sendOne(env, headerNames, self, `rehearsal-${sent}`))) return;
      if (isIdle) sent += 1;
      yield* EnvironmentTools.sleep(env, pauseMs);
    }
  },
};
