import { RawClient } from "./rawSockets";
import { EndpointBehaviour, requestText, responseHead, SocketIngress, statusOf } from "./socketIngress";

const okResponse = (id: string, body = `for ${id}`): string =>
  responseHead(id, `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
const refusal = (id: string): string =>
  `HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: ${id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;

let ingress: SocketIngress;
beforeEach(() => {
  ingress = new SocketIngress();
});
afterEach(() => {
  ingress.world.close();
  expect(ingress.world.errors).toEqual([]);
});

test("a request on a kept-alive connection that is reset before the first byte is retried only if it is idempotent", async () => {
  const resetFromSecondRequest: EndpointBehaviour = (socket, { id }, requestCount) =>
    void (requestCount === 1 ? socket.write(okResponse(id)) : socket.resetAndDestroy());
  await ingress.start({}, [resetFromSecondRequest]);
  expect(statusOf(await ingress.sendOnce("q1"))).toBe(200);
  expect(statusOf(await ingress.sendOnce("q2"))).toBe(502);
  expect([ingress.connections, ingress.receivedRequests.map(({ id }) => id)]).toEqual([1, ["q1", "q2"]]);
  const resetFirstAttempt: EndpointBehaviour = (socket, { id }) =>
    void (ingress.receivedRequests.filter((each) => each.id === "q4").length === 1 && id === "q4"
      ? socket.resetAndDestroy()
      : socket.write(okResponse(id)));
  await ingress.start({ safe: true }, [resetFirstAttempt]);
  expect(statusOf(await ingress.sendOnce("q3"))).toBe(200);
  expect(await ingress.sendOnce("q4")).toContain("for q4");
});
test("a connection that is reset between two requests is not used again", async () => {
  const resetAfterResponse: EndpointBehaviour = (socket, { id }) => {
    socket.write(okResponse(id), () => setImmediate(() => socket.resetAndDestroy()));
  };
  await ingress.start({}, [resetAfterResponse]);
  for (const id of ["q1", "q2", "q3"]) {
    expect(await ingress.sendOnce(id)).toContain(`for ${id}`);
    await new Promise((done) => setTimeout(done, 20));
  }
  expect(ingress.connections).toBe(3);
});
test("a response that is truncated never looks complete", async () => {
  const truncateBody: EndpointBehaviour = (socket, { id }) =>
    void socket.end(responseHead(id, "Content-Length: 100\r\n\r\n") + "only a part");
  const truncateChunks: EndpointBehaviour = (socket, { id }) =>
    void socket.end(responseHead(id, "Transfer-Encoding: chunked\r\n\r\n") + "5\r\nhello\r\n");
  const resetStream: EndpointBehaviour = (socket, { id }) => {
    const event = "id: 1\ndata: one\n\n";
    socket.write(
      responseHead(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") +
        `${event.length.toString(16)}\r\n${event}\r\n`,
    );
    setTimeout(() => socket.resetAndDestroy(), 50);
  };
  await ingress.start({}, [truncateBody]);
  expect(statusOf(await ingress.sendOnce("q1"))).toBe(502);
  await ingress.start({}, [truncateChunks]);
  expect(statusOf(await ingress.sendOnce("q2"))).toBe(502);
  await ingress.start({ kind: "stream" }, [resetStream]);
  const text = await ingress.sendOnce("q3");
  expect([text.includes("data: one"), text.includes("\r\n0\r\n")]).toEqual([true, false]);
});
test("a response that is framed only by the end of its connection is relayed in the same way and not marked as complete", async () => {
  const endWithConnection: EndpointBehaviour = (socket, { id }) =>
    void socket.end(responseHead(id, "\r\n") + "maybe a part");
  await ingress.start({}, [endWithConnection]);
  const [head, body] = (await ingress.sendOnce("q1")).split("\r\n\r\n");
  expect(head).toContain("HTTP/1.1 200 ");
  expect(head.toLowerCase()).not.toMatch(/content-length|transfer-encoding/);
  expect(head.toLowerCase()).toContain("connection: close");
  expect(body).toBe("maybe a part");
});
test("an unsolicited response before, with or after the response to the next request is not relayed", async () => {
  const sendExtraFirst: EndpointBehaviour = (socket, { id }) =>
    void socket.write(okResponse("other", "not yours") + okResponse(id));
  await ingress.start({}, [sendExtraFirst]);
  expect(await ingress.sendOnce("q1")).not.toContain("not yours");
  ingress.receivedRequests.length = 0;
  const sendExtraLater: EndpointBehaviour = (socket, { id }) => {
    socket.write(okResponse(id));
    setTimeout(() => socket.write(okResponse("late", "not yours")), 5);
  };
  await ingress.start({}, [sendExtraLater]);
  for (const id of ["q2", "q3", "q4"]) {
    expect(await ingress.sendOnce(id)).toContain(`for ${id}`);
    await new Promise((done) => setTimeout(done, 30));
  }
  const sendExtraAfter: EndpointBehaviour = (socket, { id }) =>
    void socket.write(okResponse(id) + okResponse("late", "not yours"));
  await ingress.start({}, [sendExtraAfter]);
  for (const id of ["q5", "q6"]) expect(await ingress.sendOnce(id)).toContain(`for ${id}`);
  const unsolicitedPort = await ingress.world.listen((socket) => void socket.write(okResponse("nobody", "not yours")));
  const response = await ingress.world.run(() =>
    ingress.world.env.httpRequest(`127.0.0.1:${unsolicitedPort}`, { method: "GET", path: "/", timeoutMs: 300 }),
  );
  // The HTTP client returns this response; DirectHttp.open aborts it, since its id differs from the request's.
  expect(response.ok && response.value.headers["x-request-id"]).toBe("nobody");
});
test("HEAD, 204, 304 and informational responses keep their framing on both sides", async () => {
  const behaviour: EndpointBehaviour = (socket, { id, method, target }) => {
    if (method === "HEAD") return void socket.write(responseHead(id, "Content-Length: 42\r\n\r\n"));
    if (target === "/desk/204") return void socket.write(`HTTP/1.1 204 No Content\r\nX-Request-Id: ${id}\r\n\r\n`);
    if (target === "/desk/304") return void socket.write(`HTTP/1.1 304 Not Modified\r\nX-Request-Id: ${id}\r\n\r\n`);
    socket.write(`HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${okResponse(id)}`);
  };
  await ingress.start({}, [behaviour]);
  const client = new RawClient(ingress.port).write(requestText("q1", "/desk/1", "HEAD"));
  const head = await client.until((text) => text.includes("\r\n\r\n"));
  expect([statusOf(head), /content-length: 42/i.test(head)]).toEqual([200, true]);
  client.write(requestText("q2", "/desk/204"));
  const noContent = (await client.until((text) => text.split("\r\n\r\n").length > 2)).slice(head.length);
  expect([statusOf(noContent), /content-length/i.test(noContent)]).toEqual([204, false]);
  const before = client.text.length;
  client.write(requestText("q3", "/desk/304"));
  const notModified = (await client.until((text) => text.length > before && text.endsWith("\r\n\r\n"))).slice(before);
  expect([statusOf(notModified), /content-length: 0/i.test(notModified)]).toEqual([304, false]);
  const from = client.text.length;
  client.write(requestText("q4"));
  expect(statusOf((await client.until((text) => text.endsWith("for q4"))).slice(from))).toBe(200);
});
test("conflicting or malformed lengths, and a length with a transfer encoding, get 400 and a closed connection, and nothing is forwarded", async () => {
  await ingress.start({}, [(socket, { id }) => void socket.write(okResponse(id))]);
  const smuggled = "GET /desk/smuggled HTTP/1.1\r\nHost: kiln.example\r\nX-Request-Id: s\r\n\r\n";
  for (const extraHeaders of [
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    `Content-Length: 5\r\nTransfer-Encoding: chunked\r\n`,
    `Transfer-Encoding: chunked\r\nContent-Length: 5\r\n`,
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Content-Length: +5\r\n",
    "Content-Length : 5\r\n",
  ]) {
    const text = await new RawClient(ingress.port)
      .write(requestText("q1", "/desk/1", "POST", extraHeaders) + `0\r\n\r\n${smuggled}`)
      .untilClosed();
    expect([extraHeaders, statusOf(text)]).toEqual([extraHeaders, 400]);
  }
  expect(ingress.receivedRequests).toEqual([]);
});
test("a request target that is not a path does not end the process", async () => {
  await ingress.start({}, [(socket, { id }) => void socket.write(okResponse(id))]);
  for (const target of ["//", "///", "http://", "http://[", "*", "//[", "/%", "/desk/%zz"]) {
    const text = await ingress.sendOnce("q1", target);
    expect([target, [200, 400, 404].includes(statusOf(text))]).toEqual([target, true]);
  }
  expect(await ingress.sendOnce("q2")).toContain("for q2");
});
test("pipelined requests get their own responses, in order; a malformed request behind one does not replace its response", async () => {
  const delaySlowPath: EndpointBehaviour = (socket, { id, target }) =>
    void setTimeout(() => socket.write(okResponse(id)), target === "/desk/slow" ? 60 : 0);
  await ingress.start({ rounds: 3 }, [delaySlowPath, delaySlowPath, delaySlowPath]);
  const client = new RawClient(ingress.port).write(
    requestText("q1", "/desk/slow") + requestText("q2") + requestText("q3"),
  );
  const text = await client.until((all) => all.includes("for q3"));
  expect(text.match(/for q\d/g)).toEqual(["for q1", "for q2", "for q3"]);
  const broken = await new RawClient(ingress.port)
    .write(`${requestText("q4", "/desk/slow")}NO HTTP\r\n\r\n`)
    .untilClosed();
  expect([0, 200]).toContain(statusOf(broken)); // Its own response or none, never the 400 of the malformed request.
});
test("a caller that disconnects during a request closes the connection to the endpoint", async () => {
  let closedCount = 0;
  const neverRespond: EndpointBehaviour = (socket) => void socket.once("close", () => (closedCount += 1));
  await ingress.start({ deadlineMs: 60_000, targetMs: 60_000 }, [neverRespond]);
  const client = new RawClient(ingress.port).write(requestText("q1"));
  while (ingress.receivedRequests.length === 0) await new Promise((done) => setTimeout(done, 5));
  client.destroy();
  const until = Date.now() + 3000;
  while (closedCount === 0 && Date.now() < until) await new Promise((done) => setTimeout(done, 5));
  expect(closedCount).toBe(1);
});
test("a service that has taken over an endpoint's address refuses the request, which then runs at another endpoint", async () => {
  const otherService: EndpointBehaviour = (socket, { id, instance }) =>
    void socket.write(instance === "elsewhere" ? okResponse(id, "not yours") : refusal(id));
  const respond: EndpointBehaviour = (socket, { id }) => void socket.write(okResponse(id));
  await ingress.start({}, [otherService, respond]);
  for (const id of ["q1", "q2", "q3"]) expect(await ingress.sendOnce(id)).toContain(`for ${id}`);
});
