import * as net from "net";
import { Constants } from "../src/common/constants";
import { EndpointBehaviour, requestText, responseHead, SocketIngress, statusOf } from "./socketIngress";

// Guards against a response that is reset on the way and looks complete to the caller (users' rules MIXED and ORDER, review
// case 2).

const BODY = "the whole body of the response";
const EVENTS = 6;
const eventText = (n: number): string => `id: ${n}\ndata: event ${n}\n\n`;
const respond: EndpointBehaviour = (socket, { id }) => void socket.end(responseHead(id, "\r\n") + BODY);
/** Resets the connection after a part of the body: at once, or after the ingress has read that part. */
const resetBody =
  (afterMs: number): EndpointBehaviour =>
  (socket, { id }) => {
    socket.write(responseHead(id, "\r\n") + BODY.slice(0, 9));
    if (afterMs === 0) socket.resetAndDestroy();
    else setTimeout(() => socket.resetAndDestroy(), afterMs);
  };
/** Sends events after the one that the request names, up to `last`, and ends the connection in order or by a reset. */
const streamEvents =
  (last: number, end: "closed" | "reset", afterMs: number): EndpointBehaviour =>
  (socket, { id, lastEventId }) => {
    socket.write(responseHead(id, "Content-Type: text/event-stream\r\n\r\n"));
    for (let n = lastEventId + 1; n <= last; n += 1) socket.write(eventText(n));
    if (end === "closed") return void socket.end();
    if (afterMs === 0) socket.resetAndDestroy();
    else setTimeout(() => socket.resetAndDestroy(), afterMs);
  };
const allEvents = Array.from({ length: EVENTS }, (_each, index) => eventText(index + 1)).join("");
/** The text of a chunked body, and whether its last chunk came. */
function dechunk(response: string): { text: string; isEnded: boolean } {
  let rest = response.slice(response.indexOf("\r\n\r\n") + 4);
  let text = "";
  for (let size = parseInt(rest, 16); size > 0; size = parseInt(rest, 16)) {
    const start = rest.indexOf("\r\n") + 2;
    text += rest.slice(start, start + size);
    rest = rest.slice(start + size + 2);
  }
  return { text, isEnded: rest === "0\r\n\r\n" };
}
/** Sends a request; resolves with "end" once the connection is closed in order, or with the code of its error. */
const endOfResponse = (to: number, request: string): Promise<string> =>
  new Promise((done) => {
    const socket = net.connect(to, "127.0.0.1", () => void socket.write(request));
    socket.on("error", (error: NodeJS.ErrnoException) => done(error.code ?? error.message));
    socket.on("end", () => done("end"));
    socket.resume();
  });

let ingress: SocketIngress;
beforeEach(() => {
  ingress = new SocketIngress();
});
afterEach(() => {
  ingress.world.close();
  expect(ingress.world.errors).toEqual([]);
});

describe.each([
  ["together with its last bytes", 0],
  ["after its last bytes were read", 40],
])("a response without a length that is reset %s", (_when, afterMs) => {
  test("a request that is not idempotent is answered with 502 and not repeated", async () => {
    await ingress.start({ rounds: 3 }, [resetBody(afterMs), resetBody(afterMs)]);
    expect(statusOf(await ingress.sendOnce("q1"))).toBe(502);
    expect(ingress.receivedRequests).toHaveLength(1);
  });
  test("an idempotent request is answered by another endpoint, and runs no more often than its route allows", async () => {
    await ingress.start({ safe: true, rounds: 2 }, [resetBody(afterMs), respond]);
    for (const id of ["q1", "q2", "q3", "q4", "q5", "q6"]) {
      const text = await ingress.sendOnce(id);
      expect([statusOf(text), text.endsWith(`\r\n\r\n${BODY}`)]).toEqual([200, true]);
    }
    await ingress.start({ safe: true, rounds: 2 }, [resetBody(afterMs), resetBody(afterMs), resetBody(afterMs)]);
    ingress.receivedRequests.length = 0;
    expect(statusOf(await ingress.sendOnce("q7"))).toBe(502);
    expect(ingress.receivedRequests).toHaveLength(2);
  });
  test("a stream that may be resumed goes on at another endpoint after its last event", async () => {
    const cutAtFirst: EndpointBehaviour = (socket, request, requestCount) =>
      streamEvents(requestCount === 1 ? 3 : EVENTS, requestCount === 1 ? "reset" : "closed", afterMs)(
        socket,
        request,
        requestCount,
      );
    await ingress.start({ kind: "stream", safe: true, continues: "exact", rounds: 2 }, [cutAtFirst, cutAtFirst]);
    expect(dechunk(await ingress.sendOnce("q1"))).toEqual({ text: allEvents, isEnded: true });
    expect(ingress.receivedRequests.map(({ lastEventId }) => lastEventId)).toEqual([0, 3]);
  });
  test("a stream that may not be resumed reaches the caller without its end", async () => {
    const cut = streamEvents(3, "reset", afterMs);
    await ingress.start({ kind: "stream", rounds: 2 }, [cut, cut]);
    const { text, isEnded } = dechunk(await ingress.sendOnce("q1"));
    expect([allEvents.startsWith(text), isEnded]).toEqual([true, false]);
    expect(ingress.receivedRequests).toHaveLength(1);
  });
  test("the endpoint's capacity is released", async () => {
    const resetFirst: EndpointBehaviour = (socket, request, requestCount) =>
      (requestCount === 1 ? resetBody(afterMs) : respond)(socket, request, requestCount);
    await ingress.start({}, [resetFirst], 1);
    expect(statusOf(await ingress.sendOnce("q1"))).toBe(502);
    expect(statusOf(await ingress.sendOnce("q2"))).toBe(200);
  });
});
test("an endpoint that resets its responses is ejected as an outlier, and the others serve without it", async () => {
  await ingress.start({ safe: true }, [resetBody(0), respond]);
  let cutCount = 0;
  let servedCount = 0;
  for (let n = 1; n <= 12; n += 1) {
    ingress.receivedRequests.length = 0;
    servedCount += statusOf(await ingress.sendOnce(`q${n}`)) === 200 ? 1 : 0;
    cutCount += ingress.receivedRequests.filter(({ instance }) => instance === "i0").length;
  }
  expect(servedCount).toBe(12);
  expect(cutCount).toBeGreaterThan(0);
  expect(cutCount).toBeLessThanOrEqual(Constants.ejectFailures);
});
test("a caller that speaks HTTP/1.0, in which the end of the connection ends a stream, sees a reset", async () => {
  const cut = streamEvents(3, "reset", 40);
  await ingress.start({ kind: "stream" }, [cut]);
  const request = requestText("q1").replace("HTTP/1.1", "HTTP/1.0");
  expect(await endOfResponse(ingress.port, request)).toBe("ECONNRESET");
});
test("an endpoint that closes the connection in order after its last event has sent the whole stream", async () => {
  await ingress.start({ kind: "stream" }, [streamEvents(EVENTS, "closed", 0)]);
  expect(dechunk(await ingress.sendOnce("q1"))).toEqual({ text: allEvents, isEnded: true });
});
