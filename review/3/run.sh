#!/bin/sh
# Plays the case repeat. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. The build of the deploy file and review/build.sh come first.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/ravenhitch ] && [ -x review/bin/standin ] || { echo "build first"; exit 2; }
exec review/bin/standin repeat review/3
