#!/usr/bin/env bash
# The stand-ins and the scripts of the cases are plain modules for Node 20 without dependencies: nothing has to be compiled.
# This checks that Node can read them. The program itself is built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
