import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
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
/** Requests that run at the same time. */
const concurrency = 8;

const event = (n: number): string => `id: ${n}\ndata: ${"rehearsal ".repeat(10)}\n\n`;

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
 * Before an ingress reports that it is ready, it forwards some requests to itself over its own address: code that has not
 * been compiled yet runs many times slower, and the first callers after a start would bear that.
 *
 * @example
 * yield* WarmUpRequests.run(env, headerNames, "10.0.0.5:7661", () => configurationIsInForce());
 */
export const WarmUpRequests = {
  /** The route that responds to the warm-up requests. */
  routes: (headerNames: HeaderNames): HttpRoute[] => [
    { method: "POST", path: new RegExp(`^${path}$`), run: (exchange) => respond(headerNames, exchange) },
  ],

  /** Sends the requests to this ingress at `address`, until all are done, the time is up, or `isNeeded` says that callers wait. */
  *run(env: Environment, headerNames: HeaderNames, address: string, isNeeded: () => boolean): Task<void> {
    const until = env.mono() + Constants.warmUpMs;
    const self = endpointAt(address);
    const finished = Csp.chan<true>(concurrency);
    for (let worker = 0; worker < concurrency; worker += 1)
      Csp.go(env.scope, "rehearsal", function* () {
        for (let n = worker; n < Constants.warmUpRequests && env.mono() < until && !isNeeded(); n += concurrency)
          if (!(yield* sendOne(env, headerNames, self, `rehearsal-${n}`))) break;
        Csp.offer(finished, true);
      });
    for (let worker = 0; worker < concurrency; worker += 1)
      yield* EnvironmentTools.takeWithin(env, finished, until - env.mono());
  },
};
