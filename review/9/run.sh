#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x bin/ravenhitch ] && [ -x bin/review2 ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
CASE_DIR="$here" exec bin/review2 blind
