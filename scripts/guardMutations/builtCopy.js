const fs = require("fs");
const os = require("os");
const path = require("path");

const ROOT = path.join(__dirname, "../..");
const BUILT_SOURCES = "dist/src";

function builtText(edit, root) {
  return fs.readFileSync(path.join(root, BUILT_SOURCES, edit.file), "utf8");
}

/** Counts the occurrences of the edit's `find` text in the built file. */
function occurrences(edit, root = ROOT) {
  if (!fs.existsSync(path.join(root, BUILT_SOURCES, edit.file))) return 0;
  return builtText(edit, root).split(edit.find).length - 1;
}

/** Returns the text of the built file with the edit applied. */
function mutatedText(edit, root = ROOT) {
  return builtText(edit, root).replace(edit.find, () => edit.replacement);
}

/** A copy of the built code in a temporary folder, where mutations are applied and run. The original stays unchanged. */
class BuiltCopy {
  constructor() {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-mutation-"));
    fs.cpSync(path.join(ROOT, "dist"), path.join(this.folder, "dist"), { recursive: true });
    fs.symlinkSync(path.join(ROOT, "node_modules"), path.join(this.folder, "node_modules"));
  }

  /**
   * Applies the edits in order. Returns false as soon as the `find` text of one doesn't occur exactly once.
   * @param {import("./mutations").Edit[]} edits
   */
  apply(edits) {
    for (const edit of edits) {
      if (occurrences(edit, this.folder) !== 1) return false;
      fs.writeFileSync(path.join(this.folder, BUILT_SOURCES, edit.file), mutatedText(edit, this.folder));
    }
    return true;
  }

  remove() {
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

module.exports = { BuiltCopy, ROOT, mutatedText, occurrences };
