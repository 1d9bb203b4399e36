"use strict";
// Requests that may not be repeated, on a route with max_attempts 3, to two replicas that are full at times. A replica
// that is full refuses with 503 and X-Petrelbeam-Not-Executed. While the trouble lasts, 3 in 100 of one replica's answers
// come a second time, late, in the place where the next answer on that connection should be.
const { runCase, sleep, TROUBLE } = require("../lib-2/case");
const { answer } = require("../lib-2/replica");
const { call } = require("../lib-2/http");
const { HOST, service, route, configuration } = require("../lib-2/configuration");

const TROUBLE_MS = 5000;
const TROUBLE_TIMES = 9;
const BETWEEN_MS = 2000;
const EXTRA_SHARE = 0.03;
const REPLICAS = 2;
const SLOTS = 2;
const WORK_MS = 10;
const CLIENTS = 8;
const PAUSE_MS = 5;
const SLOW_START_MS = 9000;
const PROMISES = [408, 421, 429, 503];

const state = { isTrouble: false, isOver: false, answers: 0, answersInTrouble: 0, extras: 0, sequence: 0 };
/** The number of runs by id. */
const runs = new Map();
const outcomes = [];

/** Answers, and remembers every 33rd answer of the replica in trouble, which comes once more on that connection. */
function respond(replica, connection, bytes, id, what) {
  connection.write(bytes);
  state.answers += 1;
  if (!state.isTrouble || replica.id !== "i-desk-1") return; // one of the two replicas is in trouble: share .5
  state.answersInTrouble += 1;
  if (state.extras + 1 > state.answersInTrouble * EXTRA_SHARE) return;
  state.extras += 1;
  connection.extra = { bytes, id, what };
}

function sendExtra(played, replica, connection, id) {
  if (!connection.extra) return;
  const { bytes, id: extraId, what } = connection.extra;
  connection.extra = undefined;
  played.note(
    `${replica.id}: the late second answer "${what}" of ${extraId} goes out, in the place of the answer to ${id}`,
  );
  connection.write(bytes);
}

function serveWith(played) {
  return ({ id, replica, headers }, connection) => {
    const mark = { "X-Petrelbeam-Attempt-Id": id };
    const refusal = { ...mark, "X-Petrelbeam-Not-Executed": "1" };
    sendExtra(played, replica, connection, id);
    if (headers["x-petrelbeam-target-instance"] !== replica.id)
      return respond(replica, connection, answer(421, refusal), id, "421");
    if (replica.running >= SLOTS) {
      played.note(`${replica.id}: ${id} refused, full`);
      return respond(replica, connection, answer(503, refusal), id, "503, not executed");
    }
    replica.running += 1;
    runs.set(id, (runs.get(id) ?? 0) + 1);
    played.note(`${replica.id}: ${id} RUNS (run ${runs.get(id)})`);
    setTimeout(() => {
      replica.running -= 1;
      const head = { ...mark, "X-Petrelbeam-Server-Signature": `sig-${id}` };
      respond(replica, connection, answer(200, head, `done ${id}`), id, "200");
    }, WORK_MS);
  };
}

/** Sends one request after the other; each has an id of its own and is never tried again. */
async function client(played, number) {
  const ingresses = played.fleet.of("ingress");
  const { name, frontend: address } = ingresses[number % ingresses.length];
  while (!state.isOver) {
    state.sequence += 1;
    const id = `try${String(state.sequence).padStart(6, "0")}`;
    const headers = { host: HOST, "x-petrelbeam-attempt-id": id, "x-petrelbeam-remaining-ms": "3000" };
    const sent = { address, method: "POST", path: `/book/${id}`, body: "{}", timeoutMs: 4000, headers };
    const outcome = await call(sent);
    const what = outcome.status ?? outcome.error;
    if (what !== 200) played.note(`client: ${id} by ${name} -> ${what}`);
    outcomes.push({ id, what });
    await sleep(PAUSE_MS);
  }
}

function breaches() {
  const broken = [];
  for (const { id, what } of outcomes) {
    const count = runs.get(id) ?? 0;
    if (PROMISES.includes(what) && count > 0)
      broken.push(`REFUSED: ${id} was answered ${what}, and ran ${count} time(s)`);
    if (count > 1) broken.push(`TWICE: ${id} may not be repeated, and ran ${count} times (its client got ${what})`);
  }
  return broken;
}

function summary() {
  const counts = {};
  for (const { what } of outcomes) counts[what] = (counts[what] ?? 0) + 1;
  const extras = `${state.extras} of ${state.answersInTrouble} answers of the replica in trouble came twice`;
  return `${outcomes.length} requests, outcomes ${JSON.stringify(counts)}, ${extras}`;
}

async function play(played) {
  await played.begin(configuration(1, [route("book", "non_idempotent", "desk")], [service("desk")]));
  await played.addReplicas("desk", REPLICAS, SLOTS, serveWith(played));
  await played.ready();
  await sleep(SLOW_START_MS);
  const clients = Array.from({ length: CLIENTS }, (_, number) => client(played, number));
  for (let time = 0; time < TROUBLE_TIMES; time += 1) {
    await sleep(BETWEEN_MS);
    state.isTrouble = TROUBLE;
    played.note(TROUBLE ? "trouble begins: 3 in 100 answers of i-desk-1 come twice" : "no trouble");
    await sleep(TROUBLE_MS);
    state.isTrouble = false;
    played.note("trouble ends");
  }
  await sleep(BETWEEN_MS);
  state.isOver = true;
  await Promise.all(clients);
  await sleep(1000);
  return played.judge(summary(), breaches());
}

void runCase(__dirname, { control: 3, store: 3, ingress: 2 }, play);
