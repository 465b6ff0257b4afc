#!/usr/bin/env bash
# The stand-ins are plain modules that run in the process of each script, so that nothing is compiled. Checks that they can be loaded
# and that the build of the deploy file has written the program that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for file in review/lib/*.mjs review/[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
[ -s target/fighub-node.cjs ] || { echo 'run the build command of deploy/system.toml first' >&2; exit 1; }
echo 'ready' >target/review/built
