import { EndpointBehaviour, responseHead, SocketIngress, statusOf } from "./socketIngress";

// Guards against a connection that stays in use after a response to another request was received on it
// (docs/incidents/late-second-answer.md).

const refusal = (id: string): string =>
  `HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ${id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;
const success = (id: string): string => responseHead(id, `Content-Length: 6\r\n\r\nfor ${id}`);

let ingress: SocketIngress;
beforeEach(() => {
  ingress = new SocketIngress();
});
afterEach(() => {
  ingress.world.close();
  expect(ingress.world.errors).toEqual([]);
});

describe("connections", () => {
  test("one that was sent a response to another request, before or after the response to its own, is not used again", async () => {
    const workMs = 20;
    const sendAnotherResponseFirst: EndpointBehaviour = (socket, { id }, requestCount) => {
      if (requestCount === 1) socket.write(refusal("q0"));
      setTimeout(() => socket.destroyed || socket.write(success(id)), workMs);
    };
    await ingress.start({}, [sendAnotherResponseFirst]);
    expect(statusOf(await ingress.sendOnce("q1"))).toBe(502);
    for (const id of ["q2", "q3"]) expect(await ingress.sendOnce(id)).toContain(`for ${id}`);
    expect(ingress.connections).toBe(2);
  });
});
