#!/usr/bin/env bash
# Builds the scripts of cases 6 to 10 with their stand-ins, each into one file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/{6,7,8,9,10}/case.ts; do
  if [ -f "$source" ]; then
    npx --no-install esbuild "$source" --bundle --platform=node --target=node20 --format=esm \
      --log-level=warning --outfile="$(dirname "$source")/dist/case.mjs"
  fi
done
