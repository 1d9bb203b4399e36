import { ChildProcess, fork } from "child_process";
import * as path from "path";
import { WorkerSetup, WorkerReport } from "./fullScaleWorker";

export type FullScalePlan = {
  members: number;
  endpoints: number;
  processes: number;
  seconds: number;
  memoryLimitBytes: number;
};
const ZONES = 25;
const REGIONS = 7;
const REPORT_INTERVAL_MS = 1000;
/** Each process starts one member per interval: starting all at once would measure only the warm-up of the processes. */
const START_INTERVAL_MS = 40;
/** The fraction of a process's share of the memory that its heap may take. */
const HEAP_FRACTION = 0.8;

/**
 * Runs all members and endpoints of a full-size fleet at once: lightweight members over real sockets, in a few child
 * processes that exit with this one.
 *
 * @example
 * await new FullScaleRun({ members: 780, endpoints: 10_000, processes: 3, seconds: 60, memoryLimitBytes: 12e9 }, print).run();
 */
export class FullScaleRun {
  private readonly children: ChildProcess[] = [];
  private readonly reports: (WorkerReport | undefined)[] = [];
  private endReason: string | undefined;
  isInterrupted = false;
  constructor(
    private readonly plan: FullScalePlan,
    private readonly print: (text: string) => void,
  ) {}
  private start(): void {
    const { members, endpoints, processes, memoryLimitBytes } = this.plan;
    const heapMB = Math.floor((memoryLimitBytes / processes / 2 ** 20) * HEAP_FRACTION);
    for (let worker = 0; worker < processes; worker += 1) {
      const child = fork(path.join(__dirname, "fullScaleWorker.js"), [], {
        execArgv: [`--max-old-space-size=${heapMB}`],
      });
      this.children.push(child);
      child.on("message", (message) => (this.reports[worker] = message as WorkerReport));
      child.on("exit", (code, signal) => (this.endReason ??= `process ${worker + 1} exited with ${signal ?? code}`));
      const firstMember = (index: number): number => Math.floor((members * index) / processes);
      const setup: WorkerSetup = {
        from: firstMember(worker),
        to: firstMember(worker + 1),
        members,
        replicas: endpoints,
        zones: ZONES,
        regions: REGIONS,
        startEveryMs: START_INTERVAL_MS,
      };
      child.send({ tag: "start", order: setup });
    }
  }
  private async collectReports(): Promise<WorkerReport[]> {
    for (const child of this.children) if (child.connected) child.send({ tag: "say" });
    await new Promise((resolve) => setTimeout(resolve, REPORT_INTERVAL_MS));
    return this.reports.filter((report): report is WorkerReport => report !== undefined);
  }
  /**
   * Runs until the time of the plan is over, an interruption, the exit of a child or the memory limit. Offers a configuration
   * after half of the time and measures rates from then on.
   */
  async run(): Promise<void> {
    const { members, endpoints, seconds, memoryLimitBytes } = this.plan;
    const startedAt = performance.now();
    const elapsedSeconds = (): number => (performance.now() - startedAt) / 1000;
    let [allMembersKnownAt, allEndpointsKnownAt, offeredAt, inForceAfter, before] = [
      NaN,
      NaN,
      NaN,
      NaN,
      undefined as WorkerReport[] | undefined,
    ];
    let [beforeAt, maxRss] = [0, 0];
    this.start();
    let reports: WorkerReport[] = [];
    while (elapsedSeconds() < seconds && !this.isInterrupted && !this.endReason) {
      reports = await this.collectReports();
      const sum = (pick: (each: WorkerReport) => number): number =>
        reports.reduce((total, each) => total + pick(each), 0);
      const smallest = (pick: (each: WorkerReport) => number): number => Math.min(...reports.map(pick));
      const started = sum((each) => each.members);
      maxRss = Math.max(
        maxRss,
        sum((each) => each.rss),
      );
      if (maxRss > memoryLimitBytes)
        this.endReason = `memory reached its limit of ${(memoryLimitBytes / 2 ** 30).toFixed(1)} GiB`;
      if (reports.length < this.children.length) continue;
      if (Number.isNaN(allMembersKnownAt) && started === members && smallest((each) => each.othersLeast) >= members - 1)
        allMembersKnownAt = elapsedSeconds();
      if (
        Number.isNaN(allEndpointsKnownAt) &&
        started === members &&
        smallest((each) => each.replicasLeast) >= endpoints
      )
        allEndpointsKnownAt = elapsedSeconds();
      if (Number.isNaN(offeredAt) && elapsedSeconds() > seconds / 2) {
        offeredAt = elapsedSeconds();
        [before, beforeAt] = [reports.map((each) => ({ ...each, counts: { ...each.counts } })), elapsedSeconds()];
        this.children[0].send({ tag: "offer", bindings: 10, index: 1 });
      }
      if (Number.isNaN(inForceAfter) && sum((each) => each.inForce) === members)
        inForceAfter = elapsedSeconds() - offeredAt;
      const stallMs = Math.max(...reports.map((each) => each.stallMs));
      this.print(
        `${elapsedSeconds().toFixed(0)} s: ${started} started, at least ${smallest((each) => each.othersLeast)} other members and ${smallest((each) => each.replicasLeast)} endpoints known, suspicions ${sum((each) => each.suspicions)}, deaths ${sum((each) => each.deaths)}, ${(sum((each) => each.rss) / 2 ** 30).toFixed(1)} GiB, longest stall ${stallMs.toFixed(0)} ms`,
      );
    }
    this.report({
      reports,
      before,
      secondsBetween: elapsedSeconds() - beforeAt,
      allMembersKnownAt,
      allEndpointsKnownAt,
      inForceAfter,
      maxRss,
      elapsedSeconds: elapsedSeconds(),
    });
    this.end();
  }
  private report(result: {
    reports: WorkerReport[];
    before: WorkerReport[] | undefined;
    secondsBetween: number;
    allMembersKnownAt: number;
    allEndpointsKnownAt: number;
    inForceAfter: number;
    maxRss: number;
    elapsedSeconds: number;
  }): void {
    const { members, endpoints, processes } = this.plan;
    const format = (seconds: number): string => (Number.isNaN(seconds) ? "not in this run" : `${seconds.toFixed(0)} s`);
    const sum = (all: WorkerReport[], pick: (each: WorkerReport) => number): number =>
      all.reduce((total, each) => total + pick(each), 0);
    if (this.endReason) this.print(`ended early: ${this.endReason}`);
    if (this.isInterrupted)
      this.print(`interrupted after ${result.elapsedSeconds.toFixed(0)} s of ${this.plan.seconds}`);
    this.print(
      `${members} members and ${endpoints} endpoints in ${processes} processes, ${result.elapsedSeconds.toFixed(0)} s`,
    );
    this.print(
      `every member known to every other after ${format(result.allMembersKnownAt)}; every endpoint known to every member after ${format(result.allEndpointsKnownAt)}; a configuration in force on every member ${format(result.inForceAfter)} after it was offered`,
    );
    this.print(
      `suspicions ${sum(result.reports, (each) => each.suspicions)}, removed as dead ${sum(result.reports, (each) => each.deaths)}, although no member was lost; memory ${(result.maxRss / members / 1e6).toFixed(1)} MB per member`,
    );
    const { before } = result;
    if (!before) return this.print("no rates: the run did not reach its second half");
    const rate = (pick: (each: WorkerReport) => number): number =>
      (sum(result.reports, pick) - sum(before, pick)) / members / result.secondsBetween;
    const bytes = rate((each) => each.counts.bytes);
    this.print(
      `per member and second in the last ${result.secondsBetween.toFixed(0)} s: ${(bytes / 1000).toFixed(1)} KB sent, ${rate((each) => each.counts.frames).toFixed(1)} frames, ${rate((each) => each.counts.datagrams).toFixed(1)} datagrams, ${rate((each) => each.cpuMs).toFixed(2)} ms of processor time`,
    );
  }
  /** Kills every process that this run started. */
  end(): void {
    for (const child of this.children) if (child.exitCode === null) child.kill("SIGKILL");
  }
}
