"use strict";
const http = require("http");

const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Sends one request on a connection of its own. `error` is set if no whole answer came. */
function call({ address, method = "GET", path = "/", headers = {}, body, timeoutMs = 1000, agent = false }) {
  const [host, port] = address.split(":");
  return new Promise((done) => {
    const sent = { ...headers };
    if (body !== undefined) sent["content-length"] = Buffer.byteLength(body);
    const request = http.request({ host, port: Number(port), method, path, headers: sent, agent });
    const timer = setTimeout(() => {
      done({ error: "timeout" });
      request.destroy();
    }, timeoutMs);
    const end = (outcome) => {
      clearTimeout(timer);
      done(outcome);
    };
    request.on("error", (error) => end({ error: error.code || error.message }));
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => end({ error: "cut", status: undefined }));
      response.on("close", () => {
        if (!response.complete) end({ error: "cut" });
        else
          end({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString("utf8") });
      });
    });
    // As bytes: Node.js would send the head in UTF-8 together with a text.
    request.end(body === undefined ? undefined : Buffer.from(body));
  });
}

module.exports = { call, sleep };
