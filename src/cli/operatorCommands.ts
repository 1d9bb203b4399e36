import * as fs from "fs";
import * as http from "http";
import type { Sade } from "sade";
import { OperatorSchemas } from "../adapters/operatorSchemas";
import { LogEvents } from "../common/logEvents";

type Said = { status: number; headers: http.IncomingHttpHeaders; body: any };
const usual = "127.0.0.1:8080";
function ask(
  node: string,
  method: string,
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<Said> {
  return new Promise((resolve, reject) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request(
      `http://${node}${path}`,
      {
        method,
        headers: {
          ...(text === undefined
            ? {}
            : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
          ...headers,
        },
        timeout: 15_000,
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () => {
          const said = Buffer.concat(chunks).toString("utf8");
          try {
            resolve({ status: response.statusCode ?? 0, headers: response.headers, body: JSON.parse(said) });
          } catch {
            resolve({ status: response.statusCode ?? 0, headers: response.headers, body: said });
          }
        });
      },
    );
    request.on("timeout", () => request.destroy(new Error("no answer in time")));
    request.on("error", reject);
    request.end(text);
  });
}
const print = (text: string): void => void process.stdout.write(`${text}\n`);
/** 0 well, 1 refused or failed, 2 wrong use, 3 not reached, 4 fate unknown. */
function finish(said: Said): void {
  if (said.status >= 200 && said.status < 300) return;
  const problem = said.body ?? {};
  process.stderr.write(
    `${problem.code ?? said.status}: ${problem.detail ?? said.body}${problem.step ? ` (step ${problem.step}, member ${problem.member})` : ""}\n`,
  );
  for (const path of problem.paths ?? []) process.stderr.write(`  ${path}\n`);
  if (problem.changeId) process.stderr.write(`  change id ${problem.changeId}\n`);
  process.exitCode = said.status === 504 ? 4 : said.status === 400 || said.status === 428 ? 2 : 1;
}
async function reach(work: () => Promise<void>): Promise<void> {
  try {
    await work();
  } catch (error) {
    process.stderr.write(`not reached: ${(error as Error).message}\n`);
    process.exitCode = 3;
  }
}
const file = (name: string): unknown => {
  try {
    return JSON.parse(fs.readFileSync(name, "utf8"));
  } catch (error) {
    process.stderr.write(`${name}: ${(error as Error).message}\n`);
    process.exit(2);
  }
};
const reading = async (options: any, path: string, show: (body: any) => void): Promise<void> =>
  reach(async () => {
    const said = await ask(options.node, "GET", path);
    if (said.status === 200) {
      if (options.json || typeof said.body === "string")
        print(typeof said.body === "string" ? said.body : JSON.stringify(said.body));
      else show(said.body);
    }
    finish(said);
  });
const changing = async (
  options: any,
  method: string,
  path: string,
  body: unknown,
  version: number | undefined,
): Promise<void> =>
  reach(async () => {
    let against = version;
    if (against === undefined) {
      const now = await ask(options.node, "GET", path);
      against = now.status === 404 ? 0 : now.body.version;
    }
    const said = await ask(options.node, method, path, body, {
      "if-match": `"${against}"`,
      ...(options.change ? { "x-change-id": String(options.change) } : {}),
      ...(options.by ? { "x-operator": String(options.by) } : {}),
    });
    if (said.status === 200)
      print(options.json ? JSON.stringify(said.body) : `version ${said.body.version} (change ${said.body.changeId})`);
    finish(said);
  });
const entries = (list: any[]): void => {
  for (const entry of list)
    print(
      `${entry.stamp}  ${entry.subject}: ${entry.decision}${
        Object.keys(entry.cause).length > 0
          ? `  [${Object.entries(entry.cause)
              .map(([key, value]) => `${key} ${String(value)}`)
              .join(", ")}]`
          : ""
      }`,
    );
};

/**
 * Operators' commands; each talks to any node.
 *
 * @example
 * OperatorCommands.add(program);
 */
export const OperatorCommands = {
  ask,
  add(program: Sade): void {
    const command = (usage: string, help: string): Sade =>
      program
        .command(usage)
        .describe(help)
        .option("-n, --node", "IP:port of any node's HTTP", usual)
        .option("-j, --json", "JSON as it came");
    const change = (usage: string, help: string): Sade =>
      command(usage, help)
        .option("--if-version", "Version the change was made against (default: the current one)")
        .option("--change", "Change id, to ask after or repeat it")
        .option("--by", "Who asks");
    const version = (options: any): number | undefined =>
      options["if-version"] === undefined ? undefined : Number(options["if-version"]);
    for (const what of ["manifest", "policies"]) {
      command(`${what} get`, `Shows the ${what} and its version.`).action((options: any) =>
        reading(options, `/v1/${what}`, (body) => print(JSON.stringify(body, null, 2))),
      );
      change(`${what} put <file>`, `Changes the ${what}.`).action((name: string, options: any) =>
        changing(options, "PUT", `/v1/${what}`, file(name), version(options)),
      );
      command(`${what} check <file>`, `Checks a ${what} file without sending it.`).action((name: string) => {
        const checked =
          what === "manifest" ? OperatorSchemas.configuration(file(name)) : OperatorSchemas.policies(file(name));
        if (checked.ok) return print(`${name} is well`);
        for (const path of checked.fault.tag === "invalid" ? (checked.fault.paths ?? []) : [])
          process.stderr.write(`${path}\n`);
        process.exitCode = 2;
      });
    }
    change("manifest patch <file>", "Changes a manifest item by item: { version?, upsert, remove }.").action(
      (name: string, options: any) => changing(options, "PATCH", "/v1/manifest", file(name), version(options)),
    );
    command("calendar list", "Lists the moves.").action((options: any) =>
      reading(options, "/v1/calendar", (body) =>
        body.entries.forEach((entry: any) =>
          print(
            `${entry.id}  due ${new Date(entry.due).toISOString()}  ${entry.move.kind}  ${entry.fate}${entry.detail ? `: ${entry.detail}` : ""}`,
          ),
        ),
      ),
    );
    change("calendar put <id> <file>", "Pencils a move: { due, move }.").action(
      (id: string, name: string, options: any) =>
        changing(options, "PUT", `/v1/calendar/${id}`, file(name), version(options)),
    );
    change("calendar remove <id>", "Takes a move out that has not started.").action((id: string, options: any) =>
      changing(options, "DELETE", `/v1/calendar/${id}`, undefined, version(options)),
    );
    const order = (usage: string, help: string, method: string, path: (what: string) => string): Sade =>
      change(usage, help).action((what: string, options: any) =>
        changing(options, method, path(encodeURIComponent(what)), undefined, 0),
      );
    order(
      "drain <district>",
      "Drains a district: in force once it is acknowledged.",
      "POST",
      (zone) => `/v1/districts/${zone}/drain`,
    );
    order(
      "undrain <district>",
      "Lets work land in a district again.",
      "DELETE",
      (zone) => `/v1/districts/${zone}/drain`,
    );
    order(
      "retire <store>",
      "Moves a store's copies off it, so that it can go; by its id or its machine's name.",
      "POST",
      (store) => `/v1/stores/${store}/retirement`,
    );
    command("retirement <store>", "How far a store's retirement has come.").action((store: string, options: any) =>
      reading(options, `/v1/stores/${encodeURIComponent(store)}/retirement`, (body) =>
        print(`${body.id}  ${body.fate}${body.detail ? `: ${body.detail}` : ""}`),
      ),
    );
    change("release <pool> <version>", "Gives new work to a version of a pool.")
      .option("--over", "Milliseconds over which its share grows", 0)
      .action((pool: string, released: string, options: any) =>
        changing(
          options,
          "PUT",
          `/v1/calendar/release-${pool}-${Date.now()}`,
          { due: "now", move: { kind: "release", pool, version: String(released), overMs: Number(options.over) } },
          0,
        ),
      );
    command(
      "recover <group> <voter>",
      "Goes on from the one control voter that is left, after the others lost their disks.",
    )
      .option("--accept-loss", "Changes that only the lost voters had acknowledged are given up")
      .option("--by", "Who asks")
      .action((group: string, voter: string, options: any) => {
        if (!options["accept-loss"]) {
          process.stderr.write(
            `What only the lost voters of ${group} had acknowledged would be gone, and they may not come back as voters.\nRefused while a majority of voters lives. Say --accept-loss to go on from ${voter}.\n`,
          );
          process.exitCode = 2;
          return;
        }
        return reach(async () => {
          const said = await ask(
            options.node,
            "POST",
            "/v1/control/recover",
            { group, voter, acceptLoss: true },
            options.by ? { "x-operator": String(options.by) } : {},
          );
          if (said.status === 200)
            print(
              options.json
                ? JSON.stringify(said.body)
                : `group ${said.body.group} goes on after index ${said.body.upTo}`,
            );
          finish(said);
        });
      });
    change("rollback <pool>", "Takes the last release of a pool back: new work goes where it went before.").action(
      (pool: string, options: any) =>
        changing(
          options,
          "PUT",
          `/v1/calendar/rollback-${pool}-${Date.now()}`,
          { due: "now", move: { kind: "rollback", pool } },
          0,
        ),
    );
    command("change <id>", "What became of a change.").action((id: string, options: any) =>
      reading(options, `/v1/changes/${id}`, (body) => print(JSON.stringify(body))),
    );
    command("ledger", "Reads the ledger in its one order.")
      .option("--after", "Stamp to go on from", "")
      .option("--limit", "Entries", 100)
      .action((options: any) =>
        reading(options, `/v1/ledger?after=${encodeURIComponent(options.after)}&limit=${options.limit}`, (body) =>
          entries(body.entries),
        ),
      );
    command("why <id>", "Everything that bears on a request, lot, item, move, change, shard.").action(
      (id: string, options: any) =>
        reading(options, `/v1/why/${encodeURIComponent(id)}`, (body) => {
          entries(body.entries);
          if (body.because.length > 0) print("because of:");
          entries(body.because);
        }),
    );
    command("members", "Who is there.").action((options: any) =>
      reading(options, "/v1/members", (body) => {
        for (const member of body.members)
          print(`${member.program}  ${member.id}  ${member.district}  ${member.address}  ${member.state}`);
        for (const endpoint of body.replicas)
          print(
            `replica  ${endpoint.id}  ${endpoint.pool}  ${endpoint.district}  ${endpoint.address}  ${endpoint.active}/${endpoint.capacity}  ${endpoint.version}`,
          );
        print(
          `group ${body.group}, frame ${body.frame}, manifest ${body.manifest}, drained: ${body.drained.join(" ") || "none"}, retiring: ${body.retiring.join(" ") || "none"}`,
        );
      }),
    );
    command("shards", "Views and copies of every shard.").action((options: any) =>
      reading(options, "/v1/shards", (body) =>
        body.stores.forEach((store: any) =>
          store.shards.forEach((copy: any) =>
            print(
              `${store.store}  shard ${copy.shard}  epoch ${copy.epoch}  ${copy.role}  seq ${copy.seq}  lots ${copy.lots}`,
            ),
          ),
        ),
      ),
    );
    command("lot <id>", "State of a lot (ask an ingress).").action((id: string, options: any) =>
      reading(options, `/v1/lots/${id}`, (body) => print(JSON.stringify(body, null, 2))),
    );
    command("metrics", "Metrics of the node.").action((options: any) => reading(options, "/metrics", () => undefined));
    program
      .command("events")
      .describe("The catalogue of log events, as Markdown.")
      .action(() => {
        print(
          "# Log events\n\nWritten by `petrelbeam events`.\n\n| number | level | event | what to do |\n|---|---|---|---|",
        );
        for (const [number, event] of Object.entries(LogEvents))
          print(`| PB${number} | ${event.level} | ${event.text} | ${event.act} |`);
      });
  },
};
