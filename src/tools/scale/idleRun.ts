import { ChildProcess, spawn } from "child_process";
import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { Settings } from "../../common/settings";
import { ProcessUse, Use } from "./processUse";

export type IdlePlan = {
  controls: number;
  stores: number;
  ingresses: number;
  endpoints: number;
  seconds: number;
  port: number;
};
type Started = { program: Settings["program"]; http: string; child: ChildProcess };
const settleMs = 12_000;
const announceEveryMs = 900;

/**
 * What real processes of each program use while nobody calls: processor, wake-ups, memory, descriptors.
 *
 * @example
 * await new IdleRun({ controls: 3, stores: 3, ingresses: 4, replicas: 17, seconds: 20, port: 21_000 }, say).run();
 */
export class IdleRun {
  private readonly started: Started[] = [];
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-idle-"));
  private announcing: NodeJS.Timeout[] = [];
  constructor(
    private readonly plan: IdlePlan,
    private readonly say: (text: string) => void,
  ) {}
  private settings(): Settings[] {
    let { port } = this.plan;
    const next = (): string => `127.0.0.1:${(port += 1)}`;
    const make = (program: Settings["program"], count: number): Settings[] =>
      Array.from({ length: count }, (_none, at) => ({
        program,
        cluster: "idle",
        district: `z${at % 3}`,
        address: next(),
        http: next(),
        log: "error",
      }));
    const controls = make("control", this.plan.controls);
    const founders = controls.map((each) => each.address);
    const all = [...controls, ...make("store", this.plan.stores), ...make("ingress", this.plan.ingresses)];
    for (const [at, each] of all.entries()) {
      each.seeds = founders.slice(0, 3);
      if (each.program === "control") each.founders = founders;
      if (each.program !== "ingress") each.data = path.join(this.folder, `data-${at}`);
    }
    return all;
  }
  private start(settings: Settings): void {
    const file = path.join(this.folder, `settings-${this.started.length}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const main = path.join(__dirname, "../../main.js");
    const child = spawn(process.execPath, [main, settings.program, "--settings", file], {
      stdio: ["ignore", "ignore", "inherit"],
      env: { ...process.env, UV_USE_IO_URING: "0" },
    });
    this.started.push({ program: settings.program, http: settings.http, child });
  }
  private announce(endpoint: number): void {
    const ingresses = this.started.filter((each) => each.program === "ingress");
    let turn = endpoint;
    const once = async (): Promise<void> => {
      const { http } = ingresses[(turn += 1) % ingresses.length];
      const body = JSON.stringify({
        address: `10.0.0.1:${9000 + endpoint}`,
        pool: "desk",
        district: "z0",
        version: "v1",
        capacity: 16,
        active: turn % 16,
        waiting: 0,
        instance: "1",
      });
      // a node that is still starting refuses: the next time will do
      await fetch(`http://${http}/v1/replicas/replica-${endpoint}`, { method: "PUT", body }).catch(() => undefined);
    };
    this.announcing.push(setInterval(() => void once(), announceEveryMs));
  }
  /** @example await run.run() */
  async run(): Promise<void> {
    const { seconds, endpoints: endpoints } = this.plan;
    const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
    try {
      for (const settings of this.settings()) this.start(settings);
      for (let endpoint = 0; endpoint < endpoints; endpoint += 1) this.announce(endpoint);
      await sleep(settleMs);
      const before = this.started.map((each) => ProcessUse.read(each.child.pid!));
      await sleep(seconds * 1000);
      const after = this.started.map((each) => ProcessUse.read(each.child.pid!));
      this.report(before, after);
    } finally {
      this.end();
    }
  }
  private report(before: (Use | undefined)[], after: (Use | undefined)[]): void {
    const { seconds, endpoints: endpoints } = this.plan;
    this.say(
      `${this.started.length} processes, ${endpoints} replicas that announce themselves, nobody calls, ${seconds} s`,
    );
    for (const program of ["control", "store", "ingress"] as const) {
      const uses = this.started.flatMap((each, at) =>
        each.program === program && before[at] && after[at] ? [{ from: before[at], to: after[at] }] : [],
      );
      const wanted = this.started.filter((each) => each.program === program).length;
      if (uses.length < wanted) this.say(`${program}: ${wanted - uses.length} of ${wanted} ended by themselves`);
      if (uses.length === 0) continue;
      const spread = (pick: (use: { from: Use; to: Use }) => number, digits: number): string => {
        const sorted = uses.map(pick).sort((left, right) => left - right);
        return `${sorted[0].toFixed(digits)} / ${sorted[sorted.length >> 1].toFixed(digits)} / ${sorted[sorted.length - 1].toFixed(digits)}`;
      };
      const cores = spread(({ from, to }) => (to.cpuMs - from.cpuMs) / 1000 / seconds, 4);
      const wakeUps = spread(({ from, to }) => (to.wakeUps - from.wakeUps) / seconds, 0);
      this.say(
        `${program}: cores ${cores}, wake-ups a second ${wakeUps}, MB ${spread(({ to }) => to.rss / 1e6, 0)}, descriptors ${spread(({ to }) => to.descriptors, 0)}`,
      );
    }
  }
  /** Ends every process that this run started, and takes its folder away. @example run.end(); */
  end(): void {
    for (const timer of this.announcing) clearInterval(timer);
    for (const { child } of this.started) if (child.exitCode === null) child.kill("SIGKILL");
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}
