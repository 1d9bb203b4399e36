const fs = require("fs");

/** An argument or an input file is invalid. The command prints the message without a stack trace and exits with 2. */
class InputError extends Error {}

/** Reads a text file given on the command line; `argument` is its option, for the error message. */
function readInputFile(file, argument) {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    throw new InputError(`${argument}: ${error.message}`);
  }
}

module.exports = { InputError, readInputFile };
