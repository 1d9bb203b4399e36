import { ChildProcess, spawn } from "child_process";
import * as fs from "fs";
import * as path from "path";
import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { DeploymentPlan, ProcessPlan } from "../deployment";
import { StandInEndpoint } from "../standInEndpoint";
import { FleetOperator } from "./fleetOperator";
import { LinkProxies } from "./linkProxies";

const MAIN_FILE = path.join(__dirname, "../../main.js");
const EXIT_POLL_MS = 20;

const hasExited = (child: ChildProcess): boolean => child.exitCode !== null || child.signalCode !== null;

/**
 * Runs all processes of a deployment on this machine; the stand-in endpoints run in the calling process. This is a
 * developer tool, and the only code that starts processes.
 *
 * @example
 * const fleet = new Fleet(env, plan, "run");
 * fleet.startAll();
 * yield* fleet.startEndpoints();
 * yield* fleet.operator.waitUntilReady(30_000);
 */
export class Fleet {
  /** Child processes by their name in the plan. */
  readonly children = new Map<string, ChildProcess>();
  readonly endpoints: StandInEndpoint[] = [];
  readonly operator: FleetOperator;
  private proxies: LinkProxies | undefined;

  /** @param folder folder for the settings, output and data of the processes */
  constructor(
    readonly env: Environment,
    readonly plan: DeploymentPlan,
    private readonly folder: string,
  ) {
    this.operator = new FleetOperator(env, plan);
  }

  /** The proxies between the processes; throws if they have not been started. */
  get linkProxies(): LinkProxies {
    if (!this.proxies) throw new Error("the link proxies have not been started, or the plan has none");
    return this.proxies;
  }
  /** Starts one process; its output is appended to a file in the folder. */
  start({ name, settings }: ProcessPlan): void {
    const settingsFile = path.join(this.folder, `${name}.json`);
    fs.writeFileSync(settingsFile, JSON.stringify(settings, null, 2));
    const output = fs.openSync(path.join(this.folder, `${name}.out`), "a");
    const child = spawn(process.execPath, [MAIN_FILE, settings.program, "--settings", settingsFile], {
      stdio: ["ignore", output, output],
      env: { ...process.env, UV_USE_IO_URING: "0" },
    });
    fs.closeSync(output);
    this.children.set(name, child);
  }
  /** Starts all processes of the plan. */
  startAll(): void {
    fs.mkdirSync(this.folder, { recursive: true });
    for (const process of this.plan.processes) this.start(process);
  }
  /** Opens the proxies at the announced addresses, if the plan has any. */
  *startProxies(): Task<void> {
    if (this.plan.proxied.length === 0) return;
    const proxies = new LinkProxies(this.plan.proxied);
    this.proxies = proxies;
    const opened = Csp.chan<true>(1);
    proxies.open().then(
      () => opened.close(),
      (error: Error) => {
        process.stderr.write(`cannot open the link proxies: ${error.message}\n`);
        opened.close();
      },
    );
    yield* Csp.take(opened);
  }
  /** Starts the stand-in endpoints in this process, which gives the checker access to their runs. */
  *startEndpoints(): Task<void> {
    for (const settings of this.plan.endpoints) {
      const endpoint = new StandInEndpoint(this.env, settings);
      yield* endpoint.start();
      this.endpoints.push(endpoint);
    }
  }
  /** Sends a signal to a process; does nothing for an unknown name. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }
  /** Waits for the exit of a process; returns false if it still runs after `withinMs`. */
  *waitForExit(name: string, withinMs: number): Task<boolean> {
    const child = this.children.get(name);
    if (!child) return true;
    const deadline = this.env.monotonicMs() + withinMs;
    while (!hasExited(child) && this.env.monotonicMs() < deadline)
      yield* EnvironmentTools.sleep(this.env, EXIT_POLL_MS);
    return hasExited(child);
  }
  /** Kills all processes and closes the proxies. */
  stopAll(): void {
    this.proxies?.close();
    for (const child of this.children.values()) if (child.exitCode === null) child.kill("SIGKILL");
  }
}
