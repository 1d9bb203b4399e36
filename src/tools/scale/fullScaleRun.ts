import { ChildProcess, fork } from "child_process";
import * as path from "path";
import { WorkerOrder, WorkerReport } from "./fullScaleWorker";

export type FullScalePlan = {
  members: number;
  endpoints: number;
  processes: number;
  seconds: number;
  memoryLimitBytes: number;
};
const zones = 25;
const regions = 7;
const REPORT_INTERVAL_MS = 1000;
const START_INTERVAL_MS = 40; // a member in each process: all at once would only show how long they need to warm up
const HEAP_FRACTION = 0.8; // of a process's part of the memory, which its heap may take

/**
 * All members and endpoints at once: lightweight members over real sockets, in a few processes that end with this one.
 *
 * @example
 * await new FullScaleRun({ members: 780, replicas: 10_000, processes: 3, seconds: 60, memoryLimit: 12e9 }, say).run();
 */
export class FullScaleRun {
  private readonly children: ChildProcess[] = [];
  private readonly reports: (WorkerReport | undefined)[] = [];
  private ended: string | undefined;
  isInterrupted = false;
  constructor(
    private readonly plan: FullScalePlan,
    private readonly say: (text: string) => void,
  ) {}
  private start(): void {
    const { members, endpoints: endpoints, processes, memoryLimitBytes: memoryLimit } = this.plan;
    const heapMB = Math.floor((memoryLimit / processes / 2 ** 20) * HEAP_FRACTION);
    for (let part = 0; part < processes; part += 1) {
      const child = fork(path.join(__dirname, "fullScaleWorker.js"), [], {
        execArgv: [`--max-old-space-size=${heapMB}`],
      });
      this.children.push(child);
      child.on("message", (said) => (this.reports[part] = said as WorkerReport));
      child.on("exit", (code, signal) => (this.ended ??= `process ${part + 1} ended with ${signal ?? code}`));
      const share = (at: number): number => Math.floor((members * at) / processes);
      const order: WorkerOrder = {
        from: share(part),
        to: share(part + 1),
        members,
        replicas: endpoints,
        zones,
        regions,
        startEveryMs: START_INTERVAL_MS,
      };
      child.send({ tag: "start", order });
    }
  }
  private async collectReports(): Promise<WorkerReport[]> {
    for (const child of this.children) if (child.connected) child.send({ tag: "say" });
    await new Promise((resolve) => setTimeout(resolve, REPORT_INTERVAL_MS));
    return this.reports.filter((said): said is WorkerReport => said !== undefined);
  }
  /** @example await run.run() */
  async run(): Promise<void> {
    const { members, endpoints: endpoints, seconds, memoryLimitBytes: memoryLimit } = this.plan;
    const from = performance.now();
    const passed = (): number => (performance.now() - from) / 1000;
    let [allKnown, allEndpoints, offeredAt, inForce, before] = [
      NaN,
      NaN,
      NaN,
      NaN,
      undefined as WorkerReport[] | undefined,
    ];
    let [beforeAt, rss] = [0, 0];
    this.start();
    let said: WorkerReport[] = [];
    while (passed() < seconds && !this.isInterrupted && !this.ended) {
      said = await this.collectReports();
      const sum = (pick: (each: WorkerReport) => number): number => said.reduce((total, each) => total + pick(each), 0);
      const least = (pick: (each: WorkerReport) => number): number => Math.min(...said.map(pick));
      const up = sum((each) => each.members);
      rss = Math.max(
        rss,
        sum((each) => each.rss),
      );
      if (rss > memoryLimit) this.ended = `memory reached its limit of ${(memoryLimit / 2 ** 30).toFixed(1)} GiB`;
      if (said.length < this.children.length) continue;
      if (Number.isNaN(allKnown) && up === members && least((each) => each.othersLeast) >= members - 1)
        allKnown = passed();
      if (Number.isNaN(allEndpoints) && up === members && least((each) => each.replicasLeast) >= endpoints)
        allEndpoints = passed();
      if (Number.isNaN(offeredAt) && passed() > seconds / 2) {
        offeredAt = passed();
        [before, beforeAt] = [said.map((each) => ({ ...each, counts: { ...each.counts } })), passed()];
        this.children[0].send({ tag: "offer", bindings: 10, index: 1 });
      }
      if (Number.isNaN(inForce) && sum((each) => each.inForce) === members) inForce = passed() - offeredAt;
      const stall = Math.max(...said.map((each) => each.stallMs));
      this.say(
        `${passed().toFixed(0)} s: ${up} up, least ${least((each) => each.othersLeast)} others and ${least((each) => each.replicasLeast)} replicas known, suspicions ${sum((each) => each.suspicions)}, deaths ${sum((each) => each.deaths)}, ${(sum((each) => each.rss) / 2 ** 30).toFixed(1)} GiB, longest stall ${stall.toFixed(0)} ms`,
      );
    }
    this.report({
      said,
      before,
      secondsBetween: passed() - beforeAt,
      allKnown,
      allReplicas: allEndpoints,
      inForce,
      rss,
      passed: passed(),
    });
    this.end();
  }
  private report(found: {
    said: WorkerReport[];
    before: WorkerReport[] | undefined;
    secondsBetween: number;
    allKnown: number;
    allReplicas: number;
    inForce: number;
    rss: number;
    passed: number;
  }): void {
    const { members, endpoints: endpoints, processes } = this.plan;
    const time = (seconds: number): string => (Number.isNaN(seconds) ? "not in this run" : `${seconds.toFixed(0)} s`);
    const sum = (all: WorkerReport[], pick: (each: WorkerReport) => number): number =>
      all.reduce((total, each) => total + pick(each), 0);
    if (this.ended) this.say(`ended early: ${this.ended}`);
    if (this.isInterrupted) this.say(`cut short after ${found.passed.toFixed(0)} s of ${this.plan.seconds}`);
    this.say(`${members} members and ${endpoints} replicas in ${processes} processes, ${found.passed.toFixed(0)} s`);
    this.say(
      `every member known to every one after ${time(found.allKnown)}; every replica after ${time(found.allReplicas)}; a configuration in force everywhere ${time(found.inForce)} after it was offered`,
    );
    this.say(
      `suspicions ${sum(found.said, (each) => each.suspicions)}, removed as dead ${sum(found.said, (each) => each.deaths)}, though none was lost; memory ${(found.rss / members / 1e6).toFixed(1)} MB a member`,
    );
    const { before } = found;
    if (!before) return this.say("no rates: the run did not reach its second half");
    const rate = (pick: (each: WorkerReport) => number): number =>
      (sum(found.said, pick) - sum(before, pick)) / members / found.secondsBetween;
    const bytes = rate((each) => each.counts.bytes);
    this.say(
      `a member a second in the last ${found.secondsBetween.toFixed(0)} s: ${(bytes / 1000).toFixed(1)} KB put out, ${rate((each) => each.counts.frames).toFixed(1)} frames, ${rate((each) => each.counts.datagrams).toFixed(1)} datagrams, ${rate((each) => each.cpuMs).toFixed(2)} ms of processor`,
    );
  }
  /** Ends every process that this run started. @example run.end(); */
  end(): void {
    for (const child of this.children) if (child.exitCode === null) child.kill("SIGKILL");
  }
}
