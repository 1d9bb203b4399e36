// The field `how` of an entry consists of qualifiers separated by spaces.

/** Conditions under which a machine returns after a kill. */
const RETURN_QUALIFIERS = ["", "meet", "race", "hard", "drain", "race drain", "race drain hard", "race hard"];

/** Joins the non-empty words with spaces. */
function joinWords(...words) {
  return words.filter((word) => word !== "").join(" ");
}

module.exports = { RETURN_QUALIFIERS, joinWords };
