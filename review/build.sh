#!/bin/sh
# Builds the stand-in of the store that the cases start, into dist/, and checks the cases' own files.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npx tsc -p .
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
