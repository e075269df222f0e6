#!/bin/sh
# Exit 1: an engine accepted orders that rule ONE forbids. 0: it didn't. 2: the case couldn't run.
# TROUBLE=0 leaves out the silence.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamport-edge ] && [ -x review/3/silent_links ] || exit 2
exec timeout -s KILL 110 review/3/silent_links review/3/record.txt
