#!/usr/bin/env bash
# Plays days of deployments on several checkouts of the code, with the same seeds, and
# prints a table of what each way earned. What was played is kept, so that a comparison
# that was cut short goes on where it ended.
#
#	tools/compare.sh BENCH RESULTS JOBS PLAYS WAY=CHECKOUT...
#
# BENCH is the users' program, RESULTS a folder, and PLAYS a file with a line for each play:
# site file, day, seed ("-" for the day's own) and, where wanted, more options.
set -euo pipefail

if [ $# -lt 5 ]; then
	sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
	exit 2
fi
bench=$1 results=$2 jobs=$3 plays=$4
shift 4
mkdir -p "$results"
results=$(cd "$results" && pwd)

play() {
	local bench=$1 results=$2 way=$3 checkout=$4 site=$5 day=$6 seed=$7
	shift 7
	local out="$results/$way,$(basename "$site" .toml),$(basename "$day" .toml),$seed"
	[ -s "$out" ] && return 0
	[ "$seed" = - ] || set -- --seed "$seed" "$@"
	(cd "$checkout" && "$bench" run "$site" "$day" "$@" --why "comparison, way $way") >"$out.part" 2>&1 || true
	mv "$out.part" "$out"
}
export -f play

for way in "$@"; do
	# Only the first play of a checkout builds; the others must not meet it.
	(cd "${way#*=}" && "$bench" build >/dev/null)
done
while read -r site day seed options; do
	for way in "$@"; do
		printf '%s\n' "$bench $results ${way%%=*} ${way#*=} $site $day $seed $options"
	done
done <"$plays" | xargs -P "$jobs" -I LINE bash -c 'play LINE'

printf '%-12s %-26s %-12s %-14s %s\n' way site day seed 'worth, rules broken'
for file in "$results"/*,*; do
	IFS=, read -r way site day seed <<<"$(basename "$file")"
	printf '%-12s %-26s %-12s %-14s %s\n' "$way" "$site" "$day" "$seed" \
		"$(awk '$2 ~ /^[0-9]+\/[0-9]+$/ { print $4; if (match($0, /BROKEN.*/)) print substr($0, RSTART); exit }' "$file" | paste -sd' ')"
done | sort -k2,2 -k3,3 -k4,4 -k1,1
