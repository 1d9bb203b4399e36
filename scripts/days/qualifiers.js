// The field `how` of an entry: qualifiers separated by spaces.

/** What a machine meets when it comes back after a kill. */
const RETURN_QUALIFIERS = ["", "meet", "race", "hard", "drain", "race drain", "race drain hard", "race hard"];

/** The non-empty words, separated by spaces. */
function joinWords(...words) {
  return words.filter((word) => word !== "").join(" ");
}

module.exports = { RETURN_QUALIFIERS, joinWords };
