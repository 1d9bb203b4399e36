import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../runtime/env";
import { DirectHttp, DirectRequest } from "../forwarding/directHttp";
import { EventStreamReader } from "../forwarding/eventStreamReader";
import { HeaderNames } from "../forwarding/headerNames";
import { HttpRoute } from "../adapters/http";
import { Endpoint } from "../node/clusterSnapshot";

const WARM_UP_PATH = "/v1/rehearsal";
const EVENTS_PER_STREAM = 4;
const REQUEST_BODY_BYTES = 1400;
const REQUEST_TIMEOUT_MS = 500;
/** The number of requests that run concurrently. */
const CONCURRENCY = 8;

const eventText = (n: number): string => `id: ${n}\ndata: ${"rehearsal ".repeat(10)}\n\n`;

/** Represents this ingress as an endpoint, so that it can send requests to itself. */
const selfEndpoint = (address: string): Endpoint => ({
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

const warmUpRequest = (id: string): DirectRequest => ({
  method: "POST",
  target: WARM_UP_PATH,
  headers: { host: "rehearsal" },
  body: Buffer.alloc(REQUEST_BODY_BYTES),
  id,
  remainingMs: REQUEST_TIMEOUT_MS,
  lastEventId: 0,
  priority: 5,
});

/** Sends one request and reads its stream to the end; returns false if that fails. */
function* sendOne(env: Environment, headerNames: HeaderNames, self: Endpoint, id: string): Task<boolean> {
  const opened = yield* DirectHttp.open(env, headerNames, self, warmUpRequest(id), REQUEST_TIMEOUT_MS);
  if (!opened.ok) return false;
  const events = new EventStreamReader(env, self.id, opened.value.response, 0);
  for (;;) {
    const received = yield* events.next(REQUEST_TIMEOUT_MS);
    if (!received.ok || received.value === undefined) return received.ok;
  }
}

/** Responds to a warm-up request with a short event stream. */
function* respondWithStream(headerNames: HeaderNames, exchange: HttpExchange): Task<void> {
  const body = yield* exchange.body(Constants.bodyLimitBytes);
  if (!body.ok) return;
  exchange.startStream(200, {
    "content-type": "text/event-stream",
    [headerNames.requestId]: exchange.headers[headerNames.requestId] ?? "",
  });
  for (let n = 1; n <= EVENTS_PER_STREAM; n += 1) exchange.write(eventText(n));
  exchange.end();
}

/**
 * Forwards requests from an ingress to its own address before it reports that it is ready. Code that the JIT compiler has
 * not compiled yet runs many times slower, which the first callers after a start would notice.
 */
export const WarmUpRequests = {
  /** Returns the route that responds to the warm-up requests. */
  routes: (headerNames: HeaderNames): HttpRoute[] => [
    {
      method: "POST",
      path: new RegExp(`^${WARM_UP_PATH}$`),
      run: (exchange) => respondWithStream(headerNames, exchange),
    },
  ],

  /** Sends the requests to `address` until all have ended, the time limit is reached, or `shouldStop` returns true. */
  *run(env: Environment, headerNames: HeaderNames, address: string, shouldStop: () => boolean): Task<void> {
    const deadline = env.monotonicMs() + Constants.warmUpTimeoutMs;
    const self = selfEndpoint(address);
    const finished = Csp.chan<true>(CONCURRENCY);
    for (let worker = 0; worker < CONCURRENCY; worker += 1)
      Csp.go(env.scope, "rehearsal", function* () {
        for (
          let n = worker;
          n < Constants.warmUpRequests && env.monotonicMs() < deadline && !shouldStop();
          n += CONCURRENCY
        )
          if (!(yield* sendOne(env, headerNames, self, `rehearsal-${n}`))) break;
        Csp.offer(finished, true);
      });
    for (let worker = 0; worker < CONCURRENCY; worker += 1)
      yield* EnvironmentTools.takeWithin(env, finished, deadline - env.monotonicMs());
  },
};
