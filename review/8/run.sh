#!/bin/sh
# Plays the case on real processes. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 115 ../../target/review-second -case stamp -binary ../../target/dillchute -folder "$folder" -record record.txt
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] || code=2
exit "$code"
