import * as fs from "fs";
import { exitWithUsageError } from "./output";

/** A JSON file named on the command line; ends the process with exit code 2 where it can't be read. @example readJsonFile("policies.json") */
export function readJsonFile(name: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(name, "utf8"));
  } catch (error) {
    exitWithUsageError(`${name}: ${(error as Error).message}`);
  }
}
