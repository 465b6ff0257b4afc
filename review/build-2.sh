#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, into target/review-2/. To be run after the build of the deploy file,
# which installs the bundler.
set -euo pipefail
cd "$(dirname "$0")/.."
exec node node_modules/rolldown/bin/cli.mjs -c review/lib-2/rolldown.config.mjs
