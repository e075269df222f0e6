#!/bin/sh
# Exit 1: requests reached a replica later than drain_ms after its removal. 0: none did. 2: the case
# couldn't run. TROUBLE=0 leaves out the kills.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamport-edge ] && [ -x review/4/stale_list ] || exit 2
exec timeout -s KILL 110 review/4/stale_list review/4/record.txt
