#!/bin/sh
# Exit 1: a booking ran twice, or was refused though it ran. 0: neither. 2: the case couldn't run.
# TROUBLE=0 leaves out the late copies.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamport-edge ] && [ -x review/bin/late_copy ] || exit 2
exec timeout -s KILL 110 review/bin/late_copy review/1/record.txt
