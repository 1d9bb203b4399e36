/** Output functions and exit codes that all commands share. */

/** Exit code for invalid arguments and input files. */
export const USAGE_EXIT_CODE = 2;
/** Exit code after SIGINT: 128 plus the signal's number, as in shells. */
export const INTERRUPTED_EXIT_CODE = 130;

/** Writes a line to standard output. */
export const printLine = (text: string): void => void process.stdout.write(`${text}\n`);
/** Writes a line to standard error. */
export const printError = (text: string): void => void process.stderr.write(`${text}\n`);
/** Prints what is wrong with the arguments or input to standard error and ends the process with exit code 2. */
export function exitWithUsageError(text: string): never {
  printError(text);
  process.exit(USAGE_EXIT_CODE);
}
