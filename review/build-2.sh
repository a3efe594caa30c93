#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain modules for Node.js without dependencies: there is nothing to compile, so this checks
# that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
	node --check "$file"
done
