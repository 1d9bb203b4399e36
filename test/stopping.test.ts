import { Csp } from "../src/csp/csp";
import { EnvTools, HttpIn } from "../src/env/env";
import { TestTools } from "./tools";

test("a process that stops serving takes no new connection, and what is in flight is still answered whole", async () => {
  const seen = await TestTools.run(function* (env) {
    const address = "127.0.0.1:17991";
    const arrived = Csp.chan<HttpIn>(4);
    yield* env.serveHttp(address, function* (incoming: HttpIn) {
      yield* Csp.put(arrived, incoming);
    });
    const replies = Csp.chan<string>(4);
    Csp.go(env.scope, "ask", function* () {
      const replied = yield* env.http(address, { method: "GET", path: "/", timeoutMs: 3000 });
      const body = replied.ok ? yield* EnvTools.bodyOf(env, replied.value, 1000, 3000) : replied.fault.detail;
      Csp.offer(replies, `${replied.ok && replied.value.headers.connection} ${body}`);
    });
    const held = (yield* Csp.take(arrived))!;
    env.stopServing();
    const late = yield* env.http(address, { method: "GET", path: "/", timeoutMs: 3000, fresh: true });
    held.send(200, {}, "whole");
    return { late: late.ok ? "taken" : late.fault.tag, held: yield* Csp.take(replies) };
  });
  expect(seen).toEqual({ late: "refused", held: "close whole" });
});
