#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec node case.mjs
