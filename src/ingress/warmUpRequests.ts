import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools, HttpExchange } from "../runtime/env";
import { DirectHttp } from "../forwarding/directHttp";
import { EventStreamReader } from "../forwarding/eventStreamReader";
import { HeaderNames } from "../forwarding/headerNames";
import { HttpRoute } from "../adapters/http";
import { Endpoint } from "../node/clusterSnapshot";

const path = "/v1/rehearsal";
const event = (n: number): string => `id: ${n}\ndata: ${"rehearsal ".repeat(10)}\n\n`;

/**
 * Before an ingress says that it is ready, it passes some requests to itself over its own address: what runs for
 * the first time runs many times slower, and that would fall on the first callers after a start.
 *
 * @example
 * yield* Rehearsal.run(env, names, "10.0.0.5:7661", () => callersWait);
 */
export const WarmUpRequests = {
  /** What answers the rehearsed requests: a stream of a few events, under the id asked. @example Rehearsal.routes(names) */
  routes: (names: HeaderNames): HttpRoute[] => [
    {
      method: "POST",
      path: new RegExp(`^${path}$`),
      *run(incoming: HttpExchange) {
        const read = yield* incoming.body(Constants.bodyLimitBytes);
        if (!read.ok) return;
        incoming.open(200, {
          "content-type": "text/event-stream",
          [names.requestId]: incoming.headers[names.requestId] ?? "",
        });
        for (let n = 1; n <= 4; n += 1) incoming.write(event(n));
        incoming.end();
      },
    },
  ],
  /** Until it is done, or the ingress is needed. @example yield* Rehearsal.run(env, names, address, () => false) */
  *run(env: Env, names: HeaderNames, address: string, needed: () => boolean): Task<void> {
    const until = env.mono() + Constants.warmUpMs;
    const self: Endpoint = {
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
    };
    const one = function* (id: string): Task<boolean> {
      const direct = {
        method: "POST",
        target: path,
        headers: { host: "rehearsal" },
        body: Buffer.alloc(1400),
        id,
        remainingMs: 500,
        lastEventId: 0,
        priority: 5,
      };
      const opened = yield* DirectHttp.open(env, names, self, direct, 500);
      if (!opened.ok) return false;
      const pieces = new EventStreamReader(env, self.id, opened.value.response, 0);
      for (;;) {
        const got = yield* pieces.next(500);
        if (!got.ok || got.value === undefined) return got.ok;
      }
    };
    const lanes = 8;
    const finished = Csp.chan<true>(lanes);
    for (let lane = 0; lane < lanes; lane += 1)
      Csp.go(env.scope, "rehearsal", function* () {
        for (let n = lane; n < Constants.warmUpRequests && env.mono() < until && !needed(); n += lanes)
          if (!(yield* one(`rehearsal-${n}`))) break;
        Csp.offer(finished, true);
      });
    for (let lane = 0; lane < lanes; lane += 1) yield* EnvTools.takeWithin(env, finished, until - env.mono());
  },
};
