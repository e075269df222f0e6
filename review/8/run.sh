#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. KEEP=1 keeps the daemons' logs. Needs the build of the deploy file and
# review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-2/spoiled_length ] && [ -x target/balsamport-edge ] || exit 2
timeout -s KILL 118 target/review-2/spoiled_length "$here/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
