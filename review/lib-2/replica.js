"use strict";
// A replica of the users' services: it registers as PROTOCOL.md says, and hands each request to `serve`.
const net = require("net");
const { call, sleep } = require("./http");

const HEAD_END = "\r\n\r\n";

class Replica {
  /**
   * @param serve called with (request, connection) for each request that was read whole; it sends the answer with
   *   `connection.write(bytes)`
   */
  constructor(fleet, { id, service, host, port = 9100, zone, capacity, serve }) {
    Object.assign(this, { fleet, id, service, host, port, zone, capacity, serve });
    this.address = `${host}:${port}`;
    this.state = "ready";
    this.sequence = 0;
    this.beating = false;
    this.beats = [];
  }
  async start() {
    this.server = net.createServer((socket) => this.onConnection(socket));
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(this.port, this.host, done);
    });
    this.beating = true;
    this.loop = this.beatLoop();
  }
  onConnection(socket) {
    const connection = { socket, served: [], write: (bytes) => socket.destroyed || socket.write(bytes) };
    let buffer = Buffer.alloc(0);
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("data", (chunk) => {
      buffer = Buffer.concat([buffer, chunk]);
      for (;;) {
        const headEnd = buffer.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const [first, ...lines] = buffer.subarray(0, headEnd).toString("latin1").split("\r\n");
        const headers = Object.fromEntries(
          lines.map((line) => [
            line.slice(0, line.indexOf(":")).toLowerCase(),
            line.slice(line.indexOf(":") + 1).trim(),
          ]),
        );
        const length = Number(headers["content-length"] ?? 0);
        const start = headEnd + HEAD_END.length;
        if (buffer.length < start + length) return;
        const body = buffer.subarray(start, start + length);
        buffer = buffer.subarray(start + length);
        const [method, path] = first.split(" ");
        this.serve(
          { method, path, headers, body, id: headers["x-petrelbeam-attempt-id"] ?? "", replica: this },
          connection,
        );
      }
    });
  }
  registration() {
    this.sequence += 1;
    return JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      revision: "v1",
      capacity: this.capacity,
      state: this.state,
      warmup_left_ms: 0,
      call_sequence: this.sequence,
    });
  }
  /** Sends one call to a control machine; an acknowledgement is a 2xx within a second. */
  async tell(method, control) {
    const sentAt = Date.now();
    const body = method === "PUT" ? this.registration() : undefined;
    const answer = await call({
      address: control.control,
      method,
      path: `/v1/instances/${this.id}`,
      body,
      timeoutMs: 1000,
      headers: body ? { "content-type": "application/json" } : {},
    });
    this.beats.push({ at: sentAt, method, to: control.name, status: answer.status ?? answer.error });
    return answer.status >= 200 && answer.status < 300;
  }
  async beat() {
    const controls = this.fleet.of("control");
    const first = Math.floor(Math.random() * controls.length);
    for (let attempt = 0; attempt < controls.length; attempt += 1)
      if (await this.tell("PUT", controls[(first + attempt) % controls.length])) return true;
    return false;
  }
  async beatLoop() {
    while (this.beating) {
      await this.beat();
      await sleep(1200);
    }
  }
  stop() {
    this.beating = false;
    this.server.close();
  }
}

/** The bytes of a plain answer. */
function answer(status, headers, body = "") {
  const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) }).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return `HTTP/1.1 ${status} X\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
}

module.exports = { Replica, answer };
