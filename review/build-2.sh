#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, the project's own, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/standIns.mjs --bundle --platform=node --target=node20 --format=esm \
  --packages=external --log-level=warning --outfile=target/review-2/standIns.mjs
