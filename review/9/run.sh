#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/release/siskin-platform ] || exit 2
target/review-2/review-2 relay-stop review/9
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
