import * as fs from "fs";
import type { Sade } from "sade";
import { Campaign } from "../simulation/campaign";
import { Scenarios } from "../simulation/scenarios/scenarios";
import { Checker } from "../tools/checker";
import { Deployment } from "../tools/deployment";
import { Report } from "../tools/report";

const say = (text: string): void => void process.stdout.write(`${text}\n`);
const wrong = (text: string): never => {
  process.stderr.write(`${text}\n`);
  process.exit(2);
};

/**
 * The simulator's command.
 *
 * @example
 * SimCommand.add(program);
 */
export const SimCommand = {
  add(program: Sade): void {
    program
      .command("sim <deployment>")
      .describe("Runs a deployment in virtual time through scenarios of failure and judges what callers saw.")
      .option("--scenario", "Name or number, or all", "all")
      .option("--seed", "First seed", 1)
      .option("--seeds", "How many seeds", 1)
      .option("--point", "Fault point for kill-at-point; 0 is each in turn", 0)
      .option("--trace", "Write the log of a run to this file")
      .option("--report", "Print rates and latencies of each run")
      .example("sim deploy/kiln-commons.json --scenario freeze-store --seed 1 --seeds 10")
      .action(async (file: string, options: any) => {
        let read: unknown;
        try {
          read = JSON.parse(fs.readFileSync(file, "utf8"));
        } catch (error) {
          return wrong(`${file}: ${(error as Error).message}`);
        }
        const deployment = Deployment.check(read);
        if (!deployment.ok) return wrong(`${file}: ${JSON.stringify(deployment.fault)}`);
        const wanted = String(options.scenario);
        const scenarios =
          wanted === "all"
            ? Scenarios.all
            : wanted
                .split(",")
                .map(
                  (each) =>
                    Scenarios.find(each) ??
                    wrong(
                      `no scenario ${each}; known:\n${Scenarios.all.map((known) => `  ${known.number} ${known.name}: ${known.about}`).join("\n")}`,
                    ),
                );
        const point = Number(options.point);
        if (point !== 0 && !Scenarios.points[point])
          return wrong(
            `no fault point ${options.point}; known:\n${Object.entries(Scenarios.points)
              .map(([number, known]) => `  ${number} ${known.about}`)
              .join("\n")}`,
          );
        let failed = 0;
        let runs = 0;
        for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed += 1)
          for (const scenario of scenarios) {
            const points = !scenario.points
              ? [0]
              : point !== 0
                ? scenario.points.filter((each) => each === point)
                : scenario.points;
            for (const each of points) {
              const lines: string[] = [];
              const report = await Campaign.run(
                deployment.value,
                scenario,
                seed,
                each,
                options.trace ? (line) => lines.push(line) : undefined,
              );
              runs += 1;
              if (report.violations.length > 0) failed += 1;
              say(Campaign.line(report, file));
              if (options.report) say(Report.text(report.fleet.history, report.virtualMs));
              if (options.report) say(JSON.stringify(Checker.judged(report.fleet.history, report.fleet.pastEndpoints)));
              if (options.trace)
                fs.writeFileSync(String(options.trace), [...report.acts, ...report.notes, ...lines].join("\n"));
            }
          }
        say(`${runs - failed} passed, ${failed} failed`);
        process.exit(failed > 0 || runs === 0 ? 1 : 0);
      });
  },
};
