"use strict";
// Four stores, machine_losses 1. Lots are accepted and partly read while all stores run. Then three stores lose their
// processes at once (their disks stay), and 4 s later the fourth loses its process and its disk: one disk in all.
// All four are started again 3 s later. Whatever was acknowledged must be readable once all are back.
const fs = require("fs");
const path = require("path");
const { Fleet, ZONES } = require("../lib-2/fleet");
const { Replica, answer } = require("../lib-2/replica");
const { call, sleep } = require("../lib-2/http");
const { HOST, service, route, configuration } = require("../lib-2/configuration");

const TROUBLE = process.env.TROUBLE !== "0";
const LOTS = 24;
const ITEMS = 3;
const SURVIVOR_ALONE_MS = 4000;
const DOWN_MS = 3000;
const RECOVERY_MS = 12000;
const READ_FOR_MS = 25000;

const record = [];
const startedAt = Date.now();
const note = (text) => record.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);

async function main() {
  const fleet = await Fleet.create({ control: 3, store: 4, ingress: 2 });
  const replicas = [];
  let exitCode = 2;
  try {
    fleet.start();
    const services = [service("llm")];
    const routes = [route("lots", "bulk", "llm", { completion_target_ms: 10000, retention_s: 100, max_queued_tokens: 1200000, priority: 2, resumable: true })];
    const taken = await fleet.configure(configuration(1, routes, services), 0, 20000);
    if (taken?.status !== 200) throw new Error(`the first configuration was not taken: ${JSON.stringify(taken)}`);
    const serve = ({ id, replica, headers }, connection) => {
      if (headers["x-petrelbeam-target-instance"] !== undefined && headers["x-petrelbeam-target-instance"] !== replica.id)
        return connection.write(answer(421, { "X-Petrelbeam-Attempt-Id": id, "X-Petrelbeam-Not-Executed": "1" }));
      setTimeout(() => {
        const events = `id: 1\ndata: first of ${id}\n\nid: 2\ndata: last of ${id}\n\n`;
        connection.write(answer(200, { "X-Petrelbeam-Attempt-Id": id, "X-Petrelbeam-Server-Signature": `sig-${id}`, "Content-Type": "text/event-stream" }, events));
      }, 30);
    };
    for (let n = 1; n <= 2; n += 1) {
      const replica = new Replica(fleet, { id: `i-llm-${n}`, service: "llm", host: fleet.host(n), zone: ZONES[n - 1], capacity: 24, serve });
      await replica.start();
      replicas.push(replica);
    }
    if (!(await fleet.ready(25000))) throw new Error("the ingresses did not become ready");
    await sleep(3000);

    const ingresses = fleet.of("ingress");
    let turn = 0;
    const ask = (method, target, { id = "", body, headers = {}, timeoutMs = 3000 } = {}) => {
      turn += 1;
      return call({
        address: ingresses[turn % ingresses.length].frontend, method, path: target, body, timeoutMs,
        headers: { host: HOST, "x-petrelbeam-attempt-id": id, ...(body ? { "content-type": "application/json" } : {}), ...headers },
      });
    };
    const lots = Array.from({ length: LOTS }, (_, n) => `lot${String(n).padStart(4, "0")}x${startedAt % 100000}`);
    const bodyOf = (lot) => JSON.stringify({
      requests: Array.from({ length: ITEMS }, (_, n) => ({
        instance_id: `${lot}-i${n}`, path: `/lots/${n}/a`, header_map: { "X-Petrelbeam-Model-Name": "m", "X-Petrelbeam-Token-Usage": "10,10" },
        payload: Buffer.from(`body ${n} of ${lot}`).toString("base64"), token_count: 20,
      })),
    });
    for (const lot of lots) {
      for (let attempt = 0; ; attempt += 1) {
        const answered = await ask("POST", `/lots/${lot}`, { id: lot, body: bodyOf(lot), headers: { "x-petrelbeam-remaining-ms": "4000" }, timeoutMs: 4000 });
        if (answered.status === 202) break;
        if (attempt > 20) throw new Error(`a lot was never accepted: ${JSON.stringify(answered)}`);
        await sleep(300);
      }
      note(`${lot} accepted with 202`);
    }
    await sleep(4000);
    const before = new Map();
    for (const lot of lots) {
      const listed = await ask("GET", `/v1/lots/${lot}?start_after=0`, { headers: { "x-petrelbeam-poll-wait-ms": "1000" } });
      if (listed.status === 200) before.set(lot, JSON.parse(listed.body).outputs);
      note(`${lot} read before: ${listed.status ?? listed.error}, ${before.get(lot)?.length ?? 0} results`);
    }

    const stores = fleet.of("store");
    if (TROUBLE) {
      const [survivor, ...others] = stores;
      await Promise.all(others.map((store) => store.kill()));
      note(`killed ${others.map((store) => store.name).join(", ")}; their disks stay`);
      await sleep(SURVIVOR_ALONE_MS);
      await survivor.kill();
      fs.rmSync(survivor.data, { recursive: true, force: true });
      fs.mkdirSync(survivor.data);
      note(`killed ${survivor.name}, and its disk is lost`);
      await sleep(DOWN_MS);
      for (const store of stores) store.start();
      note("all four stores are started again");
    } else note("no trouble");
    await sleep(RECOVERY_MS);
    note("recovery_s is over");

    const missing = new Map(lots.map((lot) => [lot, "not asked"]));
    const broken = [];
    const until = Date.now() + READ_FOR_MS;
    while (missing.size > 0 && Date.now() < until) {
      for (const lot of [...missing.keys()]) {
        if (Date.now() > until) break;
        const listed = await ask("GET", `/v1/lots/${lot}?start_after=0`, { timeoutMs: 2500 });
        if (listed.status !== 200) {
          missing.set(lot, String(listed.status ?? listed.error));
          continue;
        }
        missing.delete(lot);
        const outputs = JSON.parse(listed.body).outputs;
        const earlier = before.get(lot) ?? [];
        if (JSON.stringify(outputs.slice(0, earlier.length)) !== JSON.stringify(earlier))
          broken.push(`LOST: results of ${lot} that were read before do not come again: ${JSON.stringify(earlier)} -> ${JSON.stringify(outputs)}`);
      }
      await sleep(300);
    }
    for (const [lot, last] of missing)
      broken.push(`LOST: ${lot} was accepted with 202 and had ${before.get(lot)?.length ?? 0} results that were read; it can't be read any more, last answer ${last}`);
    // A new lot shows whether the shards take anything again.
    for (const line of broken) note(line);
    console.log(`${lots.length} lots accepted, ${missing.size} can't be read after all stores are back, ${broken.length} breaks`);
    for (const line of broken.slice(0, 5)) console.log(line);
    exitCode = broken.length > 0 ? 1 : 0;
  } catch (error) {
    note(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  } finally {
    for (const replica of replicas) replica.stop();
    if (process.env.KEEP) for (const m of fleet.machines) note(`${m.name} log: ${m.folder}/log`);
    await fleet.stop();
    fs.writeFileSync(path.join(__dirname, "record.txt"), record.join("\n") + "\n");
    process.exit(exitCode);
  }
}

void main();
