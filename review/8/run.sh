#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the trouble.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/croftrill-adapter ] || exit 2
exec timeout -k 5 110 target/review-2/cases part review/8
