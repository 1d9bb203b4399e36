import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { Csp } from "../src/runtime/csp";
import { EnvironmentTools, HttpExchange } from "../src/runtime/env";
import { TestTools } from "./tools";

test("a process that stops serving takes no new connection, and what is in flight is still answered whole", async () => {
  const seen = await TestTools.run(function* (env) {
    const address = "127.0.0.1:17991";
    const arrived = Csp.chan<HttpExchange>(4);
    yield* env.serveHttp(address, function* (incoming: HttpExchange) {
      yield* Csp.put(arrived, incoming);
    });
    const responses = Csp.chan<string>(4);
    Csp.go(env.scope, "ask", function* () {
      const response = yield* env.http(address, { method: "GET", path: "/", timeoutMs: 3000 });
      const body = response.ok
        ? yield* EnvironmentTools.bodyOf(env, response.value, 1000, 3000)
        : response.fault.detail;
      Csp.offer(responses, `${response.ok && response.value.headers.connection} ${body}`);
    });
    const held = (yield* Csp.take(arrived))!;
    env.stopServing();
    const late = yield* env.http(address, { method: "GET", path: "/", timeoutMs: 3000, fresh: true });
    held.send(200, {}, "whole");
    return { late: late.ok ? "taken" : late.fault.tag, held: yield* Csp.take(responses) };
  });
  expect(seen).toEqual({ late: "refused", held: "close whole" });
});
test("a folder whose lock names our own address is ours, whatever lives under the process number in it", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-lock-"));
  const parent = fs.readFileSync(`/proc/${process.ppid}/stat`, "utf8");
  const living = `${process.ppid} ${parent.slice(parent.lastIndexOf(")") + 2).split(" ")[19]}`;
  const locked = await TestTools.run(function* (env) {
    fs.writeFileSync(path.join(folder, "lock"), `${living} 127.0.0.1:7001\n`);
    const another = yield* env.disk.lock(folder, "127.0.0.1:7002");
    return [another.ok, (yield* env.disk.lock(folder, "127.0.0.1:7001")).ok];
  });
  fs.rmSync(folder, { recursive: true, force: true });
  expect(locked).toEqual([false, true]);
});
test("a lock that a loss of power cut short, at any byte, keeps nobody out", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-lock-"));
  const parent = fs.readFileSync(`/proc/${process.ppid}/stat`, "utf8");
  const startTime = parent.slice(parent.lastIndexOf(")") + 2).split(" ")[19];
  const whole = `${process.ppid} ${startTime} 127.0.0.1:7001\n`;
  const torn = [
    ...Array.from({ length: whole.length }, (_each, size) => whole.slice(0, size)),
    "4194304", // the number of no process
    "4194304 undefined 127.0.0.1:7001\n",
    "\0".repeat(whole.length),
  ];
  const refused = await TestTools.run(function* (env) {
    const found: string[] = [];
    for (const text of torn) {
      fs.writeFileSync(path.join(folder, "lock"), text);
      if (!(yield* env.disk.lock(folder, "127.0.0.1:7002")).ok) found.push(text);
    }
    fs.writeFileSync(path.join(folder, "lock"), whole);
    return [found, (yield* env.disk.lock(folder, "127.0.0.1:7002")).ok];
  });
  fs.rmSync(folder, { recursive: true, force: true });
  expect(refused).toEqual([[], false]);
});
