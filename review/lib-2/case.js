"use strict";
// What every script of a case does: it starts a small deployment, plays the case, writes record.txt and ends everything.
const fs = require("fs");
const path = require("path");
const { Fleet, ZONES } = require("./fleet");
const { Replica } = require("./replica");
const { sleep } = require("./http");

const READY_MS = 25_000;
const CONFIGURATION_MS = 20_000;

/** Whether the disruption is to be brought about. */
const TROUBLE = process.env.TROUBLE !== "0";

/** A deployment with its replicas, and the record of what was sent, answered and run. */
class Case {
  constructor(fleet) {
    this.fleet = fleet;
    this.replicas = [];
    this.lines = [];
    this.startedAt = Date.now();
  }
  note(text) {
    this.lines.push(`${String(Date.now() - this.startedAt).padStart(6)} ms  ${text}`);
  }
  /** Starts the deployment and has the operator hand in its first configuration. */
  async begin(configuration) {
    this.fleet.start();
    const taken = await this.fleet.configure(configuration, 0, CONFIGURATION_MS);
    if (taken?.status !== 200) throw new Error(`the first configuration was not taken: ${JSON.stringify(taken)}`);
  }
  /** Starts replicas of a service; `serve` is called with each request. */
  async addReplicas(service, count, capacity, serve) {
    for (let n = 1; n <= count; n += 1) {
      const id = `i-${service}-${n}`;
      const host = this.fleet.host(this.replicas.length + 1);
      const zone = ZONES[(n - 1) % ZONES.length];
      const replica = new Replica(this.fleet, { id, service, host, zone, capacity, serve });
      replica.running = 0;
      await replica.start();
      this.replicas.push(replica);
    }
  }
  async ready() {
    if (!(await this.fleet.ready(READY_MS))) throw new Error("the ingresses did not become ready");
  }
  /** Reports the result: the summary, and one line for each breach of the rule. Returns the exit code. */
  judge(summary, broken) {
    this.note(summary);
    for (const line of broken) this.note(line);
    console.log(`${summary}, ${broken.length} breaks`);
    for (const line of broken.slice(0, 12)) console.log(line);
    return broken.length > 0 ? 1 : 0;
  }
  async end(folder) {
    for (const replica of this.replicas) replica.stop();
    await this.fleet.stop();
    fs.writeFileSync(path.join(folder, "record.txt"), `${this.lines.join("\n")}\n`);
  }
}

/** Ends the processes of a deployment however this process ends: by a signal, a closed pipe or an exception too. */
function endWithProcess(fleet) {
  process.on("exit", () => fleet.killAll());
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.on(signal, () => process.exit(2));
  // Without a reader of the output the case goes on; record.txt has everything.
  process.stdout.on("error", () => undefined);
}

/**
 * Plays a case on a deployment of this size and ends the process: with 1 if the rule was broken, 0 if it held, and 2 if
 * the case could not run.
 */
async function runCase(folder, size, play) {
  const played = new Case(await Fleet.create(size));
  endWithProcess(played.fleet);
  let exitCode = 2;
  try {
    exitCode = await play(played);
  } catch (error) {
    played.note(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  await played.end(folder);
  process.exit(exitCode);
}

module.exports = { runCase, sleep, TROUBLE };
