#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the trouble.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
record=review/8/record.txt
echo "begins, TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
if [ ! -x target/review-2/cases ] || [ ! -x target/release/croftrill-adapter ]; then
    echo "could not run: not built" >> "$record"
    exit 2
fi
exec timeout -k 5 110 target/review-2/cases part "$record"
