#!/bin/sh
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption. Run the build of the deploy file and
# review/build-3.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/lab3 ] && [ -x target/sassafrasspurd ] || exit 2
exec target/review3/lab3 two-callers review/15
