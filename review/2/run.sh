#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
set -u
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "${BASH_SOURCE[0]}")"
exec node case.js
