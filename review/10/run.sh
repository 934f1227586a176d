#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pumiceyardd ] && [ -x target/standin-3 ] || { echo "run the build of the deploy file and review/build-3.sh first"; exit 2; }
timeout -k 5 112 target/standin-3 -case latecancel -dir review/10
code=$?
[ $code -le 1 ] || code=2
exit $code
