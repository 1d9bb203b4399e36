import * as os from "os";
import type { Sade } from "sade";
import { ChoiceScale } from "../tools/scale/choiceScale";
import { ControlScale } from "../tools/scale/controlScale";
import { Experiment } from "../tools/scale/experiment";
import { IdleRun } from "../tools/scale/idleRun";
import { LossScale, Loss } from "../tools/scale/lossScale";
import { ManifestScale } from "../tools/scale/manifestScale";
import { MemberScale } from "../tools/scale/memberScale";
import { Bound, Sizes } from "../tools/scale/sizes";
import { StoreScale } from "../tools/scale/storeScale";
import { SlopeRun } from "../tools/scale/slopeRun";
import { WholeRun } from "../tools/scale/wholeRun";

const experiments: Record<string, Experiment> = {
  members: MemberScale.members,
  replicas: MemberScale.replicas,
  bindings: ManifestScale.bindings,
  changes: ControlScale.changes,
  controls: ControlScale.voters,
  stores: StoreScale.idle,
  lots: StoreScale.lots,
  choice: ChoiceScale.candidates,
};
const losses: Loss[] = ["rack", "zone", "regions"];
const say = (text: string): void => void process.stdout.write(`${text}\n`);
const wrong = (text: string): never => {
  process.stderr.write(`${text}\n`);
  process.exit(2);
};
/** One whole number out of a flag. */
function whole(text: unknown, bound: Bound): number {
  const read = Sizes.read(text, bound);
  if (!read.ok) return wrong(read.fault.detail);
  if (read.value.length !== 1) return wrong(`${bound.name}: one number, not ${read.value.length}`);
  return read.value[0];
}
const seedBound: Bound = { name: "seed", least: 1, most: 1_000_000, why: "any other gives another run" };
const memberBound: Bound = { name: "members", least: 3, most: 5000, why: "loopback addresses are made for no more" };
const endpointBound: Bound = { name: "replicas", least: 0, most: 100_000, why: "ten times the size to design for" };

/**
 * Measures how costs grow with sizes; docs/CAPACITY.md is worked out from what it prints.
 *
 * @example
 * ScaleCommand.add(program);
 */
export const ScaleCommand = {
  experiments,
  add(program: Sade): void {
    for (const [name, experiment] of Object.entries(experiments)) ScaleCommand.addSlope(program, name, experiment);
    program
      .command("scale loss")
      .describe("A rack, a zone, or the links between two of seven regions lost, among hollow members in virtual time.")
      .option("--kind", `${losses.join(", ")}`, "zone")
      .option("--members", "Members, over 25 zones and 7 regions", 100)
      .option("--replicas", "Replicas that announce themselves", 17)
      .option("--seconds", "How long it lasts", 60)
      .option("--seed", "Seed", 1)
      .action(async (options: Record<string, unknown>) => {
        const kind =
          losses.find((each) => each === String(options.kind)) ??
          wrong(`no loss ${String(options.kind)}; known: ${losses.join(", ")}`);
        const members = whole(options.members, {
          name: "members",
          least: 50,
          most: 1000,
          why: "virtual time holds all of them in one process",
        });
        const endpoints = whole(options.replicas, {
          name: "replicas",
          least: 0,
          most: 3000,
          why: "each member of the simulated fleet holds all of them",
        });
        const seconds = whole(options.seconds, {
          name: "seconds",
          least: 10,
          most: 3600,
          why: "a longer run tells nothing more",
        });
        say(
          LossScale.text(
            await LossScale.measure(kind, members, endpoints, seconds * 1000, whole(options.seed, seedBound)),
          ),
        );
        process.exit(0);
      });
    program
      .command("scale idle")
      .describe("Real processes of each program while nobody calls: processor, wake-ups, memory, descriptors.")
      .option("--controls", "Control machines", 3)
      .option("--stores", "Store machines", 3)
      .option("--ingresses", "Ingresses, each with its agent inside", 4)
      .option("--replicas", "Replicas that announce themselves", 17)
      .option("--seconds", "How long", 20)
      .option("--port", "First port", 21_000)
      .action(async (options: Record<string, unknown>) => {
        const few = (name: string, least: number): number =>
          whole(options[name], { name, least, most: 40, why: "each is a process of about 80 MB" });
        const run = new IdleRun(
          {
            controls: few("controls", 3),
            stores: few("stores", 1),
            ingresses: few("ingresses", 1),
            replicas: whole(options.replicas, {
              name: "replicas",
              least: 0,
              most: 500,
              why: "one tool announces them all",
            }),
            seconds: whole(options.seconds, { name: "seconds", least: 5, most: 600, why: "others use this machine" }),
            port: whole(options.port, {
              name: "port",
              least: 1024,
              most: 65_000,
              why: "two ports a process follow it",
            }),
          },
          say,
        );
        process.on("SIGINT", () => {
          run.end();
          process.exit(130);
        });
        await run.run();
        process.exit(0);
      });
    program
      .command("scale whole")
      .describe(
        "All members and replicas at once: hollow members over the real wire on loopback addresses, in a few processes.",
      )
      .option("--members", "Members", 780)
      .option("--replicas", "Replicas that announce themselves", 10_000)
      .option("--processes", "Processes that share the members; each takes a core when it is busy", 3)
      .option("--seconds", "How long", 60)
      .action(async (options: Record<string, unknown>) => {
        const members = whole(options.members, memberBound);
        const endpoints = whole(options.replicas, endpointBound);
        const processes = whole(options.processes, {
          name: "processes",
          least: 1,
          most: Math.max(1, os.cpus().length),
          why: "the machine has no more cores",
        });
        const seconds = whole(options.seconds, {
          name: "seconds",
          least: 10,
          most: 600,
          why: "others use this machine",
        });
        const fits = Sizes.fits(members, endpoints);
        if (!fits.ok) return wrong(fits.fault.detail);
        const run = new WholeRun(
          { members, replicas: endpoints, processes, seconds, memoryLimit: Sizes.memoryLimit() },
          say,
        );
        process.on("SIGINT", () => (run.cut = true));
        process.on("SIGTERM", () => (run.cut = true));
        await run.run();
        process.exit(0);
      });
  },
  /** @example ScaleCommand.addSlope(program, "members", MemberScale.members) */
  addSlope(program: Sade, name: string, experiment: Experiment): void {
    program
      .command(`scale ${name}`)
      .describe(`${experiment.about} Prints each cost and its slope.`)
      .option(
        "--sizes",
        `What to measure at, ${experiment.bound.least} to ${experiment.bound.most}`,
        experiment.sizes.join(","),
      )
      .option("--seed", "Seed", 1)
      .option("--seconds", "No further size is begun after so many seconds of real time", 300)
      .action(async (options: Record<string, unknown>) => {
        const sizes = Sizes.read(options.sizes, experiment.bound);
        if (!sizes.ok) return wrong(sizes.fault.detail);
        const seconds = whole(options.seconds, {
          name: "seconds",
          least: 1,
          most: 3600,
          why: "a longer run tells nothing more",
        });
        const run = new SlopeRun(name, experiment, sizes.value, whole(options.seed, seedBound), seconds);
        process.on("SIGINT", () => (run.cut = true));
        const complete = await run.run(say);
        process.exit(complete ? 0 : 3);
      });
  },
};
