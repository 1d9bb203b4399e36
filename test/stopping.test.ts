import * as fs from "fs";
import * as net from "net";
import * as os from "os";
import * as path from "path";
import { Csp } from "../src/runtime/csp";
import { EnvironmentTools, HttpExchange } from "../src/runtime/env";
import { ConnectionEnds } from "../src/runtime/connectionEnd";
import { SocketTestBed } from "./rawSockets";
import { TaskRunner } from "./taskRunner";

test("a process that stops serving refuses new connections, and still sends complete responses to requests in flight", async () => {
  const result = await TaskRunner.run(function* (env) {
    const address = "127.0.0.1:17991";
    const receivedExchanges = Csp.chan<HttpExchange>(4);
    yield* env.serveHttp(address, function* (exchange: HttpExchange) {
      yield* Csp.put(receivedExchanges, exchange);
    });
    const responses = Csp.chan<string>(4);
    Csp.go(env.scope, "send", function* () {
      const response = yield* env.httpRequest(address, { method: "GET", path: "/", timeoutMs: 3000 });
      const body = response.ok
        ? yield* EnvironmentTools.readBodyText(env, response.value, 1000, 3000)
        : response.fault.detail;
      Csp.offer(responses, `${response.ok && response.value.headers.connection} ${body}`);
    });
    const pending = (yield* Csp.take(receivedExchanges))!;
    env.enterServingPhase("draining");
    const lateRequest = yield* env.httpRequest(address, {
      method: "GET",
      path: "/",
      timeoutMs: 3000,
      newConnection: true,
    });
    pending.send(200, {}, "complete");
    return { late: lateRequest.ok ? "accepted" : lateRequest.fault.tag, pending: yield* Csp.take(responses) };
  });
  expect(result).toEqual({ late: "refused", pending: "close complete" });
});
test("a data folder whose lock file has our own address can be locked, even if another live process has the process id in it", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-lock-"));
  const parent = fs.readFileSync(`/proc/${process.ppid}/stat`, "utf8");
  const liveOwner = `${process.ppid} ${parent.slice(parent.lastIndexOf(")") + 2).split(" ")[19]}`;
  const locked = await TaskRunner.run(function* (env) {
    fs.writeFileSync(path.join(folder, "lock"), `${liveOwner} 127.0.0.1:7001\n`);
    const otherAddress = yield* env.disk.lock(folder, "127.0.0.1:7002");
    return [otherAddress.ok, (yield* env.disk.lock(folder, "127.0.0.1:7001")).ok];
  });
  fs.rmSync(folder, { recursive: true, force: true });
  expect(locked).toEqual([false, true]);
});
test("a lock file that a power loss truncated at any byte does not prevent locking, a complete one of a live process does", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-lock-"));
  const parent = fs.readFileSync(`/proc/${process.ppid}/stat`, "utf8");
  const startTime = parent.slice(parent.lastIndexOf(")") + 2).split(" ")[19];
  const completeText = `${process.ppid} ${startTime} 127.0.0.1:7001\n`;
  const truncatedTexts = [
    ...Array.from({ length: completeText.length }, (_each, size) => completeText.slice(0, size)),
    "4194304", // This id belongs to no process.
    "4194304 undefined 127.0.0.1:7001\n",
    "\0".repeat(completeText.length),
  ];
  const outcome = await TaskRunner.run(function* (env) {
    const refusedTexts: string[] = [];
    for (const text of truncatedTexts) {
      fs.writeFileSync(path.join(folder, "lock"), text);
      if (!(yield* env.disk.lock(folder, "127.0.0.1:7002")).ok) refusedTexts.push(text);
    }
    fs.writeFileSync(path.join(folder, "lock"), completeText);
    return [refusedTexts, (yield* env.disk.lock(folder, "127.0.0.1:7002")).ok];
  });
  fs.rmSync(folder, { recursive: true, force: true });
  expect(outcome).toEqual([[], false]);
});
/** More than the buffers between two processes hold. */
const LARGE_BODY = Buffer.alloc(50_000_000, "x");

/** A caller that has received the head of a response and reads no further. */
async function slowCaller(port: number): Promise<{ socket: net.Socket; readToEnd: () => Promise<number> }> {
  const socket = net.connect(port, "127.0.0.1", () => void socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  ConnectionEnds.observe(socket);
  socket.on("error", () => undefined);
  const closed = new Promise((done) => socket.once("close", done));
  await new Promise<void>((done) => socket.once("readable", done));
  const readToEnd = async (): Promise<number> => {
    let receivedBytes = 0;
    socket.on("data", (chunk: Buffer) => (receivedBytes += chunk.length));
    await closed;
    return receivedBytes;
  };
  return { socket, readToEnd };
}
test("a process that stops resets a response that only the end of its connection ends and that was not sent to its end", async () => {
  // Guards against a body that was cut by a stop and looks complete to its caller (users' rule MIXED).
  const bed = new SocketTestBed();
  const port = await bed.serve(function* (exchange) {
    exchange.sendUntilClose(200, {}, LARGE_BODY);
  });
  const caller = await slowCaller(port);
  bed.close();
  expect(await caller.readToEnd()).toBeLessThan(LARGE_BODY.length);
  expect(ConnectionEnds.of(caller.socket)).toBe("reset");
});
test.each(["send", "sendUntilClose"] as const)(
  "a process that stops serving sends a response of %s to its end, also to a caller that reads slowly",
  async (method) => {
    // Guards against a stop that takes a connection for idle whose response was not sent to its end (users' rules LOST, MIXED).
    const bed = new SocketTestBed();
    const port = await bed.serve(function* (exchange) {
      exchange[method](200, {}, LARGE_BODY);
    });
    const caller = await slowCaller(port);
    bed.env.enterServingPhase("draining");
    expect(bed.env.unfinishedRequests()).toBe(1);
    expect(await caller.readToEnd()).toBeGreaterThan(LARGE_BODY.length);
    expect(bed.env.unfinishedRequests()).toBe(0);
    expect(ConnectionEnds.of(caller.socket)).toBe("closed");
    bed.close();
    expect(bed.errors).toEqual([]);
  },
);
