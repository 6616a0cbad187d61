#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/release/primrose-platform ] && [ -x target/review-2/stand-ins ] || exit 2
exec target/review-2/stand-ins case restart-with-a-broken-entry "$folder"
