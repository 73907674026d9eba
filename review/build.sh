#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review. Needs only what `npm ci` installs.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review/tsconfig.json
