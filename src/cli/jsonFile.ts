import * as fs from "fs";
import { exitWithUsageError } from "./output";

/** Parses a JSON file named on the command line. Ends the process with exit code 2 if it can't be read or parsed. */
export function readJsonFile(name: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(name, "utf8"));
  } catch (error) {
    exitWithUsageError(`${name}: ${(error as Error).message}`);
  }
}
