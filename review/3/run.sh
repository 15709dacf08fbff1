#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-case
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
if [ "${TROUBLE:-1}" = 0 ]; then
    exec "$program" start_after_restart "$PWD" "review/3/record.txt" without-disruption
fi
exec "$program" start_after_restart "$PWD" "review/3/record.txt" with-disruption
