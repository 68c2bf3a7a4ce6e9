#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/stepcroft ] || [ ! -x target/review/standin ]; then
	echo "build first: the deploy file's build, then review/build.sh" >&2
	exit 2
fi
exec target/review/standin stray "$here/record.txt"
