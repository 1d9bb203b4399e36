/** Output and exit codes that all commands share. */

/** Exit code for arguments and input files that can't be used. */
export const USAGE_EXIT_CODE = 2;
/** Exit code after SIGINT: 128 and the signal's number, as shells have it. */
export const INTERRUPTED_EXIT_CODE = 130;

/** Writes a line to standard output. @example printLine("version 3"); */
export const printLine = (text: string): void => void process.stdout.write(`${text}\n`);
/** Writes a line to standard error. @example printError("file.json: not found"); */
export const printError = (text: string): void => void process.stderr.write(`${text}\n`);
/** Says what is wrong with the arguments or input and ends the process with exit code 2. @example exitWithUsageError("--voters: 3 or 5"); */
export function exitWithUsageError(text: string): never {
  printError(text);
  process.exit(USAGE_EXIT_CODE);
}
