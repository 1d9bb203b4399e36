const fs = require("fs");

/** An argument or an input file was refused. The command prints the message without a stack and exits with 2. */
class InputError extends Error {}

/** Reads a text file that the command line named; `argument` is the option that named it. */
function readInputFile(file, argument) {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    throw new InputError(`${argument}: ${error.message}`);
  }
}

module.exports = { InputError, readInputFile };
