#!/usr/bin/env bash
# The stand-ins of the second review are plain modules without dependencies: nothing is compiled.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for module in standins-2/*.js 6/run.js 7/run.js 8/run.js; do
  node --check "$module"
done
