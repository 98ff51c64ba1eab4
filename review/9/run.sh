#!/bin/sh
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/sassafrasspurd target/review-lab2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing; run the build of the deploy file and review/build-2.sh" >&2
    exit 2
  fi
done
exec target/review-lab2 poison review/9
