import * as fs from "fs";
import type { Sade } from "sade";
import { Action, parseActions } from "../model/actions";
import { Failure, ModelCampaign } from "../model/campaign";
import { Walk } from "../model/walk";

type Options = { walks: unknown; seed: unknown; voters: unknown; actions?: unknown; trace?: unknown; all?: unknown };
const progressEvery = 100;
const say = (text: string): void => void process.stdout.write(`${text}\n`);
const wrong = (text: string): never => {
  process.stderr.write(`${text}\n`);
  process.exit(2);
};
function whole(name: string, value: unknown, least: number): number {
  const read = Number(value);
  return Number.isSafeInteger(read) && read >= least ? read : wrong(`--${name}: a whole number from ${least} on`);
}
function readActions(file: string): Action[] {
  try {
    return parseActions(fs.readFileSync(file, "utf8"));
  } catch (error) {
    return wrong(`${file}: ${(error as Error).message}`);
  }
}
function tell({ seed, voters, violation, actions, shrinks }: Failure): void {
  say(`walk of seed ${seed} broke ${violation}`);
  say(`shortened ${shrinks} times; play it again: petrelbeam model --voters ${voters} --seed ${seed} --actions FILE`);
  say(JSON.stringify(actions));
}
/** Plays a list of actions that an earlier run printed. */
async function replay(file: string, seed: number, voters: 3 | 5, traceFile: string | undefined): Promise<number> {
  const lines: string[] = [];
  try {
    const report = await Walk.play({ seed, voters, trace: (line) => lines.push(line) }, readActions(file));
    say(`nothing broken: ${JSON.stringify(report)}`);
    return 0;
  } catch (error) {
    say(`broke ${(error as Error).message}`);
    return 1;
  } finally {
    if (traceFile !== undefined) fs.writeFileSync(traceFile, lines.join("\n"));
  }
}

/**
 * Random walks over the control group, judged by its invariants.
 *
 * @example
 * ModelCommand.add(program);
 */
export const ModelCommand = {
  add(program: Sade): void {
    program
      .command("model")
      .describe("Drives the control group through random walks of faults in virtual time and judges its invariants.")
      .option("--walks", "How many walks", 100)
      .option("--seed", "Seed of the first walk; the next has the next one", 1)
      .option("--voters", "Voters of the group, 3 or 5", 3)
      .option("--all", "Go on after a failing walk")
      .option("--actions", "Play the list of actions in this file, as a failing walk printed it")
      .option("--trace", "With --actions: write the log of the walk to this file")
      .example("model --walks 1000 --seed 1 --voters 5")
      .action(async (options: Options) => {
        const walks = whole("walks", options.walks, 1);
        const seed = whole("seed", options.seed, 0);
        const voters = whole("voters", options.voters, 3);
        if (voters !== 3 && voters !== 5) return wrong("--voters: 3 or 5");
        if (options.actions !== undefined) {
          const trace = options.trace === undefined ? undefined : String(options.trace);
          process.exit(await replay(String(options.actions), seed, voters, trace));
        }
        const startedAt = Date.now();
        const progress = (done: number): void => {
          if (done % progressEvery === 0) say(`${done} walks, ${((Date.now() - startedAt) / 1000).toFixed(0)} s`);
        };
        const report = await ModelCampaign.run({
          firstSeed: seed,
          walks,
          voters,
          onProgress: progress,
          onFailure: tell,
          stopAtFailure: options.all === undefined,
        });
        const seconds = ((Date.now() - startedAt) / 1000).toFixed(0);
        say(
          `${report.walks} walks of seeds ${seed} to ${seed + report.walks - 1}, ${voters} voters: ${report.failures.length} failed, ` +
            `${seconds} s; ${JSON.stringify(report.totals)}`,
        );
        process.exit(report.failures.length > 0 ? 1 : 0);
      });
  },
};
