import { ChildProcess, spawn } from "child_process";
import * as fs from "fs";
import * as path from "path";
import type { Sade } from "sade";
import { Logger } from "../common/logger";
import { Csp, Scope, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { NodeEnv } from "../runtime/nodeEnv";
import { Callers } from "../tools/callers/callers";
import { Deployment, Plan, ProcessPlan } from "../tools/deployment";
import { Checker } from "../tools/checker";
import { History } from "../tools/history";
import { Report } from "../tools/report";
import { LinkProxies } from "../tools/linkProxies";
import { FleetTroubles } from "./fleetFaults";
import { StandInReplica } from "../tools/standIns";

const say = (text: string): void => void process.stdout.write(`${text}\n`);
function load(file: string): Deployment {
  let read: unknown;
  try {
    read = JSON.parse(fs.readFileSync(file, "utf8"));
  } catch (error) {
    process.stderr.write(`${file}: ${(error as Error).message}\n`);
    process.exit(2);
  }
  const checked = Deployment.check(read);
  if (!checked.ok) {
    process.stderr.write(
      `${file}: ${checked.fault.detail}\n${(checked.fault.tag === "invalid" ? (checked.fault.paths ?? []) : []).map((line) => `  ${line}\n`).join("")}`,
    );
    process.exit(2);
  }
  return checked.value;
}

/**
 * A whole fleet of processes on this machine; a developer's tool, which alone starts processes.
 *
 * @example
 * const fleet = new Fleet(env, plan, "run");
 * fleet.startAll();
 * yield* fleet.ready(30_000);
 */
export class Fleet {
  readonly children = new Map<string, ChildProcess>();
  readonly endpoints: StandInReplica[] = [];
  proxies: LinkProxies | undefined;
  constructor(
    readonly env: Env,
    readonly plan: Plan,
    readonly folder: string,
  ) {}
  /** @example fleet.start(plan.processes[0]); */
  start(process_: ProcessPlan): void {
    const file = path.join(this.folder, `${process_.name}.json`);
    fs.writeFileSync(file, JSON.stringify(process_.settings, null, 2));
    const out = fs.openSync(path.join(this.folder, `${process_.name}.out`), "a");
    const child = spawn(
      process.execPath,
      [path.join(__dirname, "../main.js"), process_.settings.program, "--settings", file],
      { stdio: ["ignore", out, out], env: { ...process.env, UV_USE_IO_URING: "0" } },
    );
    fs.closeSync(out);
    this.children.set(process_.name, child);
  }
  /** @example fleet.startAll(); */
  startAll(): void {
    fs.mkdirSync(this.folder, { recursive: true });
    for (const each of this.plan.processes) this.start(each);
  }
  /** Proxies at the told addresses, if the plan has any. @example yield* fleet.startProxies(); */
  *startProxies(): Task<void> {
    if (this.plan.proxied.length === 0) return;
    const proxies = (this.proxies = new LinkProxies(this.plan.proxied));
    const opened = Csp.chan<true>(1);
    proxies.open().then(
      () => opened.close(),
      (error: Error) => {
        process.stderr.write(`proxies: ${error.message}\n`);
        opened.close();
      },
    );
    yield* Csp.take(opened);
  }
  /** Stand-in replicas run in this process, so that what they ran can be checked. @example yield* fleet.startReplicas(); */
  *startEndpoints(): Task<void> {
    for (const settings of this.plan.replicas) {
      const endpoint = new StandInReplica(this.env, settings);
      yield* endpoint.start();
      this.endpoints.push(endpoint);
    }
  }
  /** @example fleet.signal("store-1", "SIGKILL"); */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }
  /** @example yield* fleet.ended("store-1", 10_000) */
  *ended(name: string, withinMs: number): Task<boolean> {
    const child = this.children.get(name);
    const until = this.env.mono() + withinMs;
    while (child && child.exitCode === null && child.signalCode === null && this.env.mono() < until)
      yield* EnvTools.sleep(this.env, 20);
    return !child || child.exitCode !== null || child.signalCode !== null;
  }
  /** @example yield* fleet.json("127.0.0.1:7002", "GET", "/v1/members") */
  json(address: string, method: string, path_: string): Task<{ status: number; body: any } | undefined> {
    return Fleet.json(this.env, address, method, path_);
  }
  /** @example fleet.stopAll(); */
  stopAll(): void {
    this.proxies?.close();
    for (const child of this.children.values()) if (child.exitCode === null) child.kill("SIGKILL");
  }
  /** @example yield* Fleet.json(env, "127.0.0.1:7002", "GET", "/v1/manifest") */
  static *json(
    env: Env,
    address: string,
    method: string,
    path_: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Task<{ status: number; body: any } | undefined> {
    const response = yield* env.http(address, {
      method,
      path: path_,
      body: body === undefined ? undefined : JSON.stringify(body),
      headers,
      timeoutMs: 8000,
    });
    if (!response.ok) return undefined;
    const text = yield* EnvTools.bodyOf(env, response.value, 16_000_000, 8000);
    if (text === undefined) return undefined;
    try {
      return { status: response.value.status, body: JSON.parse(text) };
    } catch {
      return { status: response.value.status, body: text };
    }
  }
  /** Waits until every ingress is ready and every shard is led; false if not in time. @example yield* Fleet.ready(env, plan, 30_000) */
  static *ready(env: Env, plan: Plan, withinMs: number): Task<boolean> {
    const until = env.mono() + withinMs;
    while (env.mono() < until) {
      let well = true;
      for (const address of plan.ingressHttp) {
        const ready = yield* Fleet.json(env, address, "GET", "/readyz");
        if (ready?.status !== 200) {
          well = false;
          break;
        }
      }
      if (well) {
        const members = yield* Fleet.json(env, plan.ingressHttp[0], "GET", "/v1/members");
        const ledger = yield* Fleet.json(env, plan.ingressHttp[0], "GET", "/v1/ledger?limit=1");
        if (members?.status === 200 && members.body.replicas.length >= plan.replicas.length && ledger?.status === 200)
          return true;
      }
      yield* EnvTools.sleep(env, 150);
    }
    return false;
  }
  /** Sends manifest and policies to a node, made against the version there. @example yield* Fleet.configure(env, plan, deployment) */
  static *configure(env: Env, plan: Plan, deployment: Deployment, withinMs: number): Task<boolean> {
    const until = env.mono() + withinMs;
    for (const [what, doc] of [
      ["manifest", deployment.manifest],
      ["policies", deployment.policies],
    ] as const) {
      for (;;) {
        if (env.mono() > until) return false;
        const node = plan.controlHttp[Math.floor(env.random() * plan.controlHttp.length)];
        const now = yield* Fleet.json(env, node, "GET", `/v1/${what}`);
        if (now?.status === 200) {
          if (now.body.version > 0) break;
          const put = yield* Fleet.json(env, node, "PUT", `/v1/${what}`, doc, { "if-match": '"0"' });
          if (put?.status === 200) break;
        }
        yield* EnvTools.sleep(env, 200);
      }
    }
    return true;
  }
}

const toolEnv = (name: string): Env => {
  const log = Logger.make(name, "warn");
  const scope = new Scope(name, (task, error) => log(1004, { task, error: String((error as Error).stack ?? error) }));
  return NodeEnv.make(name, scope, log);
};
/** Runs a tool's task to its exit code. */
function runTool(env: Env, body: () => Task<number>, atExit: () => void): void {
  process.on("SIGINT", () => {
    atExit();
    process.exit(130);
  });
  Csp.go(env.scope, "tool", function* () {
    let code = 1;
    try {
      code = yield* body();
    } catch (error) {
      process.stderr.write(`${(error as Error).stack}\n`);
    }
    atExit();
    process.exit(code);
  });
}

/**
 * The developers' commands: fleet and loadgen.
 *
 * @example
 * FleetCommand.add(program);
 */
export const FleetCommand = {
  add(program: Sade): void {
    program
      .command("fleet <deployment>")
      .describe(
        "Runs a whole deployment on this machine, with stand-in replicas; with --seconds also its callers, checked.",
      )
      .option("--port", "First port", 17000)
      .option("--folder", "Folder for data, settings and logs", "run")
      .option("--seconds", "Send the deployment's mix for so long, check, report and stop", 0)
      .option("--load", "Multiple of the mix's rate", 1)
      .option(
        "--trouble",
        `Troubles to bring about one by one, with commas, or all: ${Object.keys(FleetTroubles.all).join(", ")}`,
      )
      .example("fleet deploy/kiln-commons.json --seconds 30")
      .example("fleet deploy/kiln-commons.json --trouble kill-store,freeze-control")
      .action((file: string, options: any) => {
        const deployment = load(file);
        const env = toolEnv("fleet");
        const folder = path.resolve(String(options.folder), deployment.cluster);
        const named =
          options.trouble === undefined
            ? []
            : String(options.trouble) === "all"
              ? Object.keys(FleetTroubles.all)
              : String(options.trouble).split(",");
        const strange = named.filter((name) => !FleetTroubles.all[name]);
        if (strange.length > 0) {
          process.stderr.write(
            `no trouble ${strange.join(", ")}; known:\n${Object.entries(FleetTroubles.all)
              .map(([name, trouble]) => `  ${name}: ${trouble.about}`)
              .join("\n")}\n`,
          );
          process.exit(2);
        }
        const fleet = new Fleet(
          env,
          Deployment.plan(
            deployment,
            Number(options.port),
            folder,
            named.some((name) => name.startsWith("cut-")),
          ),
          folder,
        );
        runTool(
          env,
          function* () {
            yield* fleet.startProxies();
            fleet.startAll();
            yield* fleet.startEndpoints();
            const startedAt = env.mono();
            if (!(yield* Fleet.configure(env, fleet.plan, deployment, 30_000))) {
              say("no configuration was taken in 30 s; see the logs in the folder");
              return 1;
            }
            if (!(yield* Fleet.ready(env, fleet.plan, 45_000))) {
              say("fleet was not ready in 45 s; see the logs in the folder");
              return 1;
            }
            say(
              `ready after ${((env.mono() - startedAt) / 1000).toFixed(1)} s: ${fleet.plan.processes.length} processes, ${fleet.endpoints.length} stand-in replicas`,
            );
            say(`ingresses: ${fleet.plan.ingressHttp.join(" ")}`);
            say(`operators: ${fleet.plan.controlHttp.join(" ")}`);
            const seconds = Number(options.seconds);
            if (seconds <= 0 && named.length === 0) for (;;) yield* EnvTools.sleep(env, 1000);
            return yield* FleetCommand.drive(
              env,
              fleet.plan,
              deployment,
              seconds,
              Number(options.load),
              fleet.endpoints,
              { fleet, named },
            );
          },
          () => fleet.stopAll(),
        );
      });
    program
      .command("loadgen <deployment>")
      .describe("Sends a deployment's mix to running ingresses and checks every reply.")
      .option("--port", "First port of the fleet", 17000)
      .option("--ingresses", "IP:port of ingresses, with commas (default: the fleet's)")
      .option("--seconds", "How long", 20)
      .option("--load", "Multiple of the mix's rate", 1)
      .example("loadgen deploy/kiln-commons.json --seconds 20 --load 2")
      .action((file: string, options: any) => {
        const deployment = load(file);
        const env = toolEnv("loadgen");
        const plan = Deployment.plan(deployment, Number(options.port), "run");
        if (options.ingresses) plan.ingressHttp = String(options.ingresses).split(",");
        runTool(
          env,
          () => FleetCommand.drive(env, plan, deployment, Number(options.seconds), Number(options.load), []),
          () => undefined,
        );
      });
  },
  /** Sends the mix, waits for what is under way, rereads the lots everywhere, checks. @example yield* FleetCommand.drive(env, plan, deployment, 20, 1, []) */
  *drive(
    env: Env,
    plan: Plan,
    deployment: Deployment,
    seconds: number,
    load_: number,
    endpoints: StandInReplica[],
    troubles?: { fleet: Fleet; named: string[] },
  ): Task<number> {
    const history = new History();
    const callers = new Callers(env, deployment.mix, plan.ingressHttp, history);
    callers.start(load_);
    const startedAt = env.mono();
    yield* EnvTools.sleep(env, Math.max(seconds, troubles && troubles.named.length > 0 ? 5 : 0) * 1000);
    for (const name of troubles?.named ?? []) {
      yield* FleetTroubles.all[name].run(troubles!.fleet, history);
      yield* EnvTools.sleep(env, 16_000);
    }
    const forMs = env.mono() - startedAt;
    callers.stopNew();
    const until = env.mono() + 100_000;
    while (callers.running > 0 && env.mono() < until) yield* EnvTools.sleep(env, 100);
    for (const ingress of plan.ingressHttp) yield* callers.reread(ingress);
    const violations = Checker.check(history, endpoints, { settledAt: env.wall() });
    say(Report.text(history, forMs));
    for (const fault of history.of("fault")) {
      const back = (["lookup", "stream", "lot"] as const).map(
        (kind) =>
          `${kind} ${FleetTroubles.recovery(history, fault.at, kind, kind === "lot" ? 4000 : 1500).toFixed(0)} ms`,
      );
      const slowest = Math.max(
        0,
        ...history
          .of("lotAccepted")
          .filter((seen) => seen.at > fault.at && seen.at - seen.tookMs < fault.at + 12_000)
          .map((seen) => seen.tookMs),
      );
      say(
        `fault ${fault.fault}: served again without a gap after ${back.join(", ")}; slowest lot taken after ${slowest.toFixed(0)} ms`,
      );
    }
    for (const store of troubles?.fleet.plan.processes.filter((each) => each.settings.program === "store") ?? []) {
      const metrics = yield* Fleet.json(env, store.settings.http, "GET", "/metrics");
      const wanted = String(metrics?.body ?? "")
        .split("\n")
        .filter((line) => /_(put_ms|relay_ms|late_puts|overrun|disk_syncs|puts |skew)/.test(line));
      say(`${store.name} ${wanted.map((line) => line.replace("petrelbeam_", "").replace(" ", "=")).join(" ")}`);
    }
    for (const violation of violations) say(`VIOLATION ${violation.invariant}: ${violation.detail}`);
    say(`violations: ${violations.length}`);
    if (history.of("lookup").length === 0 || history.of("streamEnd").length === 0) {
      say("nothing was served: a run that exercised nothing is a failure");
      return 1;
    }
    return violations.length > 0 ? 1 : 0;
  },
};
