#!/bin/sh
# The stand-ins in review/lib are plain JavaScript for Node.js and need no build step: this only checks that they parse.
set -e
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done
