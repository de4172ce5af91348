#!/usr/bin/env bash
# Run after the build of the deploy file. The stand-ins of the cases 6 to 10 are plain modules for Node without
# dependencies (`lib-2/`), so nothing has to be compiled; this checks that they and the program are there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/hemlockd.cjs || { echo 'target/hemlockd.cjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
for file in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
