"use strict";
/** A stand-in replica of the platform's protocol: it announces itself and answers as its `answer` function says. */
const http = require("node:http");
const { call, sleep } = require("./fleet.js");

class Replica {
  /**
   * @param answer (request, response, body, replica) => void
   * @param controls () => addresses of the control plane, in the order in which they are called
   */
  constructor({ host, port, id, service, zone, capacity = 24, answer, controls, beatMs = 1200, warmupLeftMs = 0 }) {
    Object.assign(this, { host, port, id, service, zone, capacity, answer, controls, beatMs, warmupLeftMs });
    this.state = "ready";
    this.sequence = 0;
    this.stopped = false;
    this.acks = [];
    this.server = http.createServer({ keepAliveTimeout: 20000 }, (request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("error", () => undefined);
      response.on("error", () => undefined);
      request.on("end", () => this.serve(request, response, Buffer.concat(chunks)));
    });
    this.server.on("clientError", (_error, socket) => socket.destroy());
  }

  serve(request, response, body) {
    const target = request.headers["x-petrelbeam-target-instance"];
    if (request.url === "/healthcheck") {
      response.writeHead(this.state === "ready" ? 200 : 503, { "x-petrelbeam-instance-id": this.id });
      return response.end();
    }
    const attempt = request.headers["x-petrelbeam-attempt-id"] || "";
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, {
        "x-petrelbeam-attempt-id": attempt,
        "x-petrelbeam-not-executed": "1",
        "content-length": "0",
      });
      return response.end();
    }
    return this.answer(request, response, body, this);
  }

  async start() {
    await new Promise((done, failed) => {
      this.server.once("error", failed);
      this.server.listen(this.port, this.host, done);
    });
    void this.beatLoop();
    return this;
  }

  /** One announcement: at one control node after the other, until one acknowledges it. */
  async beat(method = "PUT") {
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      revision: "v1",
      capacity: this.capacity,
      state: this.state,
      warmup_left_ms: this.warmupLeftMs,
      call_sequence: this.sequence,
    });
    for (const address of this.controls()) {
      const answer = await call(address, {
        method,
        path: `/v1/instances/${this.id}`,
        headers: method === "PUT" ? { "content-type": "application/json" } : {},
        body: method === "PUT" ? body : undefined,
        timeoutMs: 1000,
      });
      if (answer.status >= 200 && answer.status < 300) {
        this.acks.push({ at: Date.now(), state: this.state, method, address });
        return address;
      }
    }
    return undefined;
  }

  async beatLoop() {
    while (!this.stopped) {
      await this.beat();
      await sleep(this.beatMs);
    }
  }

  stop() {
    this.stopped = true;
    this.server.closeAllConnections();
    this.server.close();
  }
}

module.exports = { Replica };
