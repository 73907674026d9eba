#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review, each case with the stand-ins into its own folder
# `dist`. Needs only what `npm ci` installs.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 1 2 3 5; do
  rm -rf "review/$case/dist"
  node node_modules/typescript/bin/tsc -p "review/$case"
done
