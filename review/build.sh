#!/usr/bin/env bash
# The stand-ins of the review are plain modules for Node.js: nothing is compiled, only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [0-9]*/*.mjs; do
	node --check "$module"
done
