#!/usr/bin/env bash
# The stand-ins and the cases are plain Node.js modules: this checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
