#!/bin/sh
# The stand-ins are plain JavaScript without dependencies: nothing to compile, only checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/*.mjs review/[0-9]/*.mjs; do target/node --check "$file" || exit 1; done
