"use strict";
// Requests that may not be repeated, on a route with max_attempts 3, to two replicas that are full at times. A replica
// that is full refuses with 503 and X-Petrelbeam-Not-Executed. While the trouble lasts, 3 in 100 of the replicas'
// answers come a second time, late, in the place where the next answer on that connection should be.
const fs = require("fs");
const path = require("path");
const { Fleet, ZONES } = require("../lib-2/fleet");
const { Replica, answer } = require("../lib-2/replica");
const { call, sleep } = require("../lib-2/http");
const { HOST, service, route, configuration } = require("../lib-2/configuration");

const TROUBLE = process.env.TROUBLE !== "0";
const TROUBLE_MS = 5000;
const TROUBLE_TIMES = 9;
const BETWEEN_MS = 2000;
const EXTRA_SHARE = 0.03;
const CAPACITY = 2;
const WORK_MS = 10;
const CLIENTS = 8;
const PAUSE_MS = 5;

const record = [];
const startedAt = Date.now();
const note = (text) => record.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);

async function main() {
  const fleet = await Fleet.create({ control: 3, store: 3, ingress: 2 });
  const replicas = [];
  let exitCode = 2;
  try {
    fleet.start();
    const services = [service("desk")];
    const routes = [route("book", "non_idempotent", "desk")];
    const taken = await fleet.configure(configuration(1, routes, services), 0, 20000);
    if (taken?.status !== 200) throw new Error(`the first configuration was not taken: ${JSON.stringify(taken)}`);

    const runs = new Map(); // id -> number of runs
    const refusals = new Map(); // id -> number of refusals by replicas
    let isTrouble = false;
    let answers = 0;
    let answersInTrouble = 0;
    let extras = 0;
    const respond = (connection, bytes, id, what, replica) => {
      connection.write(bytes);
      answers += 1;
      // One of the two replicas is in trouble (share .5).
      if (!isTrouble || !replica.isGarbling) return;
      answersInTrouble += 1;
      // The dose: at most EXTRA_SHARE of the answers in the trouble come twice, before the next answer on the connection.
      if (extras + 1 <= answersInTrouble * EXTRA_SHARE) {
        extras += 1;
        connection.extra = { bytes, id, what };
      }
    };
    const serve = (request, connection) => {
      const { id, replica } = request;
      if (request.headers["x-petrelbeam-target-instance"] !== undefined && request.headers["x-petrelbeam-target-instance"] !== replica.id)
        return respond(connection, answer(421, { "X-Petrelbeam-Attempt-Id": id, "X-Petrelbeam-Not-Executed": "1" }), id, "421", replica);
      if (connection.extra) {
        const { bytes, id: extraId, what } = connection.extra;
        connection.extra = undefined;
        note(`${replica.id}: the late extra answer "${what}" of ${extraId} goes out, in the place of the answer to ${id}`);
        connection.write(bytes);
      }
      if (replica.running >= CAPACITY) {
        refusals.set(id, (refusals.get(id) ?? 0) + 1);
        note(`${replica.id}: ${id} refused, full`);
        return respond(connection, answer(503, { "X-Petrelbeam-Attempt-Id": id, "X-Petrelbeam-Not-Executed": "1" }), id, "503, not executed", replica);
      }
      replica.running += 1;
      runs.set(id, (runs.get(id) ?? 0) + 1);
      note(`${replica.id}: ${id} RUNS (run ${runs.get(id)})`);
      setTimeout(() => {
        replica.running -= 1;
        respond(connection, answer(200, { "X-Petrelbeam-Attempt-Id": id, "X-Petrelbeam-Server-Signature": `sig-${id}` }, `done ${id}`), id, "200", replica);
      }, WORK_MS);
    };
    for (let n = 1; n <= 2; n += 1) {
      const replica = new Replica(fleet, { id: `i-desk-${n}`, service: "desk", host: fleet.host(n), zone: ZONES[n - 1], capacity: CAPACITY, serve });
      replica.running = 0;
      replica.isGarbling = n === 1;
      await replica.start();
      replicas.push(replica);
    }
    if (!(await fleet.ready(20000))) throw new Error("the ingresses did not become ready");
    await sleep(9000); // new replicas are given their full share slowly

    const broken = [];
    const counts = {};
    let sequence = 0;
    let isOver = false;
    const ingresses = fleet.of("ingress");
    const client = async (n) => {
      while (!isOver) {
        sequence += 1;
        const id = `try${String(sequence).padStart(6, "0")}`;
        const to = ingresses[n % ingresses.length];
        const outcome = await call({
          address: to.frontend, method: "POST", path: `/book/${id}`, body: "{}", timeoutMs: 4000,
          headers: { host: HOST, "x-petrelbeam-attempt-id": id, "x-petrelbeam-remaining-ms": "3000", "content-type": "application/json" },
        });
        const what = outcome.status ?? outcome.error;
        counts[what] = (counts[what] ?? 0) + 1;
        if (what !== 200) note(`client: ${id} by ${to.name} -> ${what}`);
        outcomes.push({ id, what });
        await sleep(PAUSE_MS);
      }
    };
    const outcomes = [];
    note("traffic begins");
    const clients = Array.from({ length: CLIENTS }, (_, n) => client(n));
    for (let n = 0; n < TROUBLE_TIMES; n += 1) {
      await sleep(BETWEEN_MS);
      isTrouble = TROUBLE;
      note(TROUBLE ? "trouble begins: 3 in 100 answers of i-desk-1 come twice" : "no trouble");
      await sleep(TROUBLE_MS);
      isTrouble = false;
      note("trouble ends");
    }
    await sleep(2000);
    isOver = true;
    await Promise.all(clients);
    await sleep(1000);
    for (const { id, what } of outcomes) {
      const count = runs.get(id) ?? 0;
      if ((what === 503 || what === 429 || what === 408 || what === 421) && count > 0) broken.push(`REFUSED: ${id} was answered ${what}, and ran ${count} time(s)`);
      if (count > 1) broken.push(`TWICE: ${id} may not be repeated, and ran ${count} times (the client was answered ${what})`);
    }
    note(`answers of replicas ${answers}, ${answersInTrouble} in the trouble, of them sent twice ${extras}; client outcomes ${JSON.stringify(counts)}`);
    for (const line of broken) note(line);
    console.log(`${outcomes.length} requests, outcomes ${JSON.stringify(counts)}, ${extras} of ${answersInTrouble} answers in the trouble came twice, ${broken.length} breaks`);
    for (const line of broken) console.log(line);
    exitCode = broken.length > 0 ? 1 : 0;
  } catch (error) {
    note(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  } finally {
    for (const replica of replicas) replica.stop();
    await fleet.stop();
    fs.writeFileSync(path.join(__dirname, "record.txt"), record.join("\n") + "\n");
    process.exit(exitCode);
  }
}

void main();
