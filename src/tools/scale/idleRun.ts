import { ChildProcess, spawn } from "child_process";
import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { Settings } from "../../common/settings";
import { ProcessUsage, ResourceUsage } from "./processUsage";

export type IdlePlan = {
  controls: number;
  stores: number;
  ingresses: number;
  endpoints: number;
  seconds: number;
  port: number;
};
type StartedProcess = { program: Settings["program"]; http: string; child: ChildProcess };
const SETTLE_MS = 12_000;
const ANNOUNCE_INTERVAL_MS = 900;

/**
 * Measures the processor time, wake-ups, memory and file descriptors of real processes of each program without traffic.
 *
 * @example
 * await new IdleRun({ controls: 3, stores: 3, ingresses: 4, endpoints: 17, seconds: 20, port: 21_000 }, console.log).run();
 */
export class IdleRun {
  private readonly processes: StartedProcess[] = [];
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-idle-"));
  private announceTimers: NodeJS.Timeout[] = [];
  constructor(
    private readonly plan: IdlePlan,
    private readonly print: (text: string) => void,
  ) {}
  private settings(): Settings[] {
    let { port } = this.plan;
    const nextAddress = (): string => `127.0.0.1:${(port += 1)}`;
    const settingsOf = (program: Settings["program"], count: number): Settings[] =>
      Array.from({ length: count }, (_none, index) => ({
        program,
        cluster: "idle",
        district: `z${index % 3}`,
        address: nextAddress(),
        http: nextAddress(),
        log: "error",
      }));
    const controls = settingsOf("control", this.plan.controls);
    const bootstrapAddresses = controls.map((each) => each.address);
    const all = [...controls, ...settingsOf("store", this.plan.stores), ...settingsOf("ingress", this.plan.ingresses)];
    for (const [index, each] of all.entries()) {
      each.seeds = bootstrapAddresses.slice(0, 3);
      if (each.program === "control") each.founders = bootstrapAddresses;
      if (each.program !== "ingress") each.data = path.join(this.folder, `data-${index}`);
    }
    return all;
  }
  private start(settings: Settings): void {
    const file = path.join(this.folder, `settings-${this.processes.length}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const main = path.join(__dirname, "../../main.js");
    const child = spawn(process.execPath, [main, settings.program, "--settings", file], {
      stdio: ["ignore", "ignore", "inherit"],
      env: { ...process.env, UV_USE_IO_URING: "0" },
    });
    this.processes.push({ program: settings.program, http: settings.http, child });
  }
  private announce(endpoint: number): void {
    const ingresses = this.processes.filter((each) => each.program === "ingress");
    let round = endpoint;
    const announceOnce = async (): Promise<void> => {
      const { http } = ingresses[(round += 1) % ingresses.length];
      const body = JSON.stringify({
        address: `10.0.0.1:${9000 + endpoint}`,
        pool: "desk",
        district: "z0",
        version: "v1",
        capacity: 16,
        active: round % 16,
        waiting: 0,
        instance: "1",
      });
      // A node that is still starting rejects the announcement; a later one is accepted.
      await fetch(`http://${http}/v1/replicas/replica-${endpoint}`, { method: "PUT", body }).catch(() => undefined);
    };
    this.announceTimers.push(setInterval(() => void announceOnce(), ANNOUNCE_INTERVAL_MS));
  }
  /** Starts the processes, measures them for the time of the plan, prints the result and ends them. */
  async run(): Promise<void> {
    const { seconds, endpoints } = this.plan;
    const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
    try {
      for (const settings of this.settings()) this.start(settings);
      for (let endpoint = 0; endpoint < endpoints; endpoint += 1) this.announce(endpoint);
      await sleep(SETTLE_MS);
      const before = this.processes.map((each) => ProcessUsage.read(each.child.pid!));
      await sleep(seconds * 1000);
      const after = this.processes.map((each) => ProcessUsage.read(each.child.pid!));
      this.report(before, after);
    } finally {
      this.end();
    }
  }
  private report(before: (ResourceUsage | undefined)[], after: (ResourceUsage | undefined)[]): void {
    const { seconds, endpoints } = this.plan;
    this.print(
      `${this.processes.length} processes, ${endpoints} endpoints that announce themselves, no traffic, ${seconds} s`,
    );
    for (const program of ["control", "store", "ingress"] as const) {
      const usages = this.processes.flatMap((each, index) =>
        each.program === program && before[index] && after[index] ? [{ from: before[index], to: after[index] }] : [],
      );
      const startedCount = this.processes.filter((each) => each.program === program).length;
      if (usages.length < startedCount)
        this.print(`${program}: ${startedCount - usages.length} of ${startedCount} ended by themselves`);
      if (usages.length === 0) continue;
      const spread = (pick: (usage: { from: ResourceUsage; to: ResourceUsage }) => number, digits: number): string => {
        const sorted = usages.map(pick).sort((left, right) => left - right);
        return `${sorted[0].toFixed(digits)} / ${sorted[sorted.length >> 1].toFixed(digits)} / ${sorted[sorted.length - 1].toFixed(digits)}`;
      };
      const cores = spread(({ from, to }) => (to.cpuMs - from.cpuMs) / 1000 / seconds, 4);
      const wakeUps = spread(({ from, to }) => (to.wakeUps - from.wakeUps) / seconds, 0);
      this.print(
        `${program}: cores ${cores}, wake-ups per second ${wakeUps}, MB ${spread(({ to }) => to.rss / 1e6, 0)}, descriptors ${spread(({ to }) => to.descriptors, 0)}`,
      );
    }
  }
  /** Kills every process that this run started and deletes its folder. */
  end(): void {
    for (const timer of this.announceTimers) clearInterval(timer);
    for (const { child } of this.processes) if (child.exitCode === null) child.kill("SIGKILL");
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}
