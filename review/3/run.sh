#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/dillchute ] || [ ! -x target/review-standin ]; then
  bash review/build.sh >&2 || exit 2
fi
exec target/review-standin foreign-failure target/dillchute review/3
