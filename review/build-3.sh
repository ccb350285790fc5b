#!/usr/bin/env bash
# The stand-ins of the third review are plain modules without dependencies: nothing is compiled.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for module in standins-3/*.js 11/run.js 12/run.js; do
  node --check "$module"
done
