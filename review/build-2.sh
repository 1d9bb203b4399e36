#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. All of them are plain JavaScript for Node.js 20
# without dependencies, so there is nothing to compile; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js 6/*.js 7/*.js 8/*.js 9/*.js 10/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done
