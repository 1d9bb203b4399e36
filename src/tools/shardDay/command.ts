// The command of scripts/day.js: measures each share of a day's load in a separate process, so that its memory use is separate too.
import { fork } from "child_process";
import { measureDay } from "./measureDay";

const DEFAULT_SHARES = [0, 0.1, 1];
const MAX_SHARE = 10;
const EXIT_INVALID_ARGUMENTS = 2;

function measureInChild(share: number): Promise<unknown> {
  return new Promise((resolve) => {
    fork(__filename, [String(share)], { execArgv: ["--expose-gc"] }).on("exit", resolve);
  });
}

async function main(args: string[]): Promise<number> {
  const shares = args.map(Number);
  if (shares.some((share) => !(share >= 0 && share <= MAX_SHARE))) {
    console.error(`each share of a day must be a number from 0 to ${MAX_SHARE}`);
    return EXIT_INVALID_ARGUMENTS;
  }
  if (shares.length === 1) console.log(JSON.stringify(await measureDay(shares[0])));
  else for (const share of shares.length > 0 ? shares : DEFAULT_SHARES) await measureInChild(share);
  return 0;
}

void main(process.argv.slice(2)).then((exitCode) => process.exit(exitCode));
