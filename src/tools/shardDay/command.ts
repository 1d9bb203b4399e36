// The command of scripts/day.js: measures each share of a day in a process of its own, so that memory is its own.
import { fork } from "child_process";
import { measureDay } from "./measureDay";

const DEFAULT_SHARES = [0, 0.1, 1];
const LARGEST_SHARE = 10;
const EXIT_BAD_INPUT = 2;

function measureInChild(share: number): Promise<unknown> {
  return new Promise((resolve) => {
    fork(__filename, [String(share)], { execArgv: ["--expose-gc"] }).on("exit", resolve);
  });
}

async function main(words: string[]): Promise<number> {
  const shares = words.map(Number);
  if (shares.some((share) => !(share >= 0 && share <= LARGEST_SHARE))) {
    console.error(`parts of a day are numbers from 0 to ${LARGEST_SHARE}`);
    return EXIT_BAD_INPUT;
  }
  if (shares.length === 1) console.log(JSON.stringify(await measureDay(shares[0])));
  else for (const share of shares.length > 0 ? shares : DEFAULT_SHARES) await measureInChild(share);
  return 0;
}

void main(process.argv.slice(2)).then((exitCode) => process.exit(exitCode));
