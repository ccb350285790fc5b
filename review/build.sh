#!/usr/bin/env bash
# Builds what the scripts start beside the program of the deploy file: the stand-ins are plain JavaScript and
# only have to be readable by the installed Node.js.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for file in standins/*.js [1-5]/*.js; do
  node --check "$file"
done
