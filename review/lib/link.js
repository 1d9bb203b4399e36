"use strict";
/**
 * A link to one address, as a proxy of TCP connections. While it is cut, the bytes of its connections are held up, and new
 * connections hang, as behind a cut of the network. What an open connection holds then arrives once the link is whole again.
 */
const net = require("node:net");

class Link {
  constructor(target) {
    this.target = target;
    this.cut = false;
    this.pairs = new Set();
    this.server = net.createServer({ allowHalfOpen: true }, (near) => this.onConnection(near));
  }

  async open(host) {
    await new Promise((done, failed) => {
      this.server.once("error", failed);
      this.server.listen(0, host, done);
    });
    this.address = `${host}:${this.server.address().port}`;
    return this;
  }

  onConnection(near) {
    near.on("error", () => undefined);
    if (this.cut) return void near.pause(); // its opening packet is lost: it never comes about
    const [host, port] = this.target.split(":");
    const far = net.connect({ host, port: Number(port), allowHalfOpen: true });
    const pair = { near, far, held: [] };
    this.pairs.add(pair);
    const pass = (step) => (this.cut ? pair.held.push(step) : step());
    near.on("data", (chunk) => pass(() => far.writable && far.write(chunk)));
    near.on("end", () => pass(() => far.end()));
    far.on("data", (chunk) => pass(() => near.writable && near.write(chunk)));
    far.on("end", () => pass(() => near.end()));
    far.on("error", () => near.destroy());
    far.on("close", () => this.pairs.delete(pair));
  }

  /** What open connections held up arrives after a further `lateMs`, as the sender's next repetition of it. */
  mend(lateMs) {
    this.cut = false;
    for (const pair of this.pairs) {
      const held = pair.held.splice(0);
      setTimeout(() => held.forEach((step) => step()), lateMs);
    }
  }

  close() {
    this.server.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }
}

module.exports = { Link };
