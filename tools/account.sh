#!/usr/bin/env bash
# Where a day's worth went: tools/account.sh [-w CLASS=WORTH]... REPORT... prints, for each report that
# `fleetbench run --report FILE` wrote, the loss by cause: parts of the day by class and by window,
# and prices. Amounts are in the report's unit, the day's worth; they add up to what 1 lacks, and what
# doesn't is a row of its own. The loss of the whole day is shared among classes by requests not
# earned, weighed by the worth of a request of the class (default 1).
set -eu
worths='{}'
while getopts 'w:' option; do
	case $option in
	w) worths=$(jq -c --arg name "${OPTARG%=*}" --arg worth "${OPTARG#*=}" \
		'.[$name] = ($worth | tonumber)' <<<"$worths") ;;
	*) exit 2 ;;
	esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || {
	echo "usage: $0 [-w CLASS=WORTH]... REPORT..." >&2
	exit 2
}
for report in "$@"; do
	echo "$report"
	jq -r --argjson worths "$worths" '
		def lost($part): .parts[] | select(.[0] == $part) | .[1] * (1 - .[2]);
		def round4: . * 10000 | round / 10000;
		. as $r
		| [.classes[] | {name, late, refused, failed,
			amount: ((.n - .not_owed) * (1 - .worth) * ($worths[.name] // 1))}] as $classes
		| ([$classes[].amount] | add) as $all
		| (lost("whole day")) as $day
		| ([.windows[] | {name, worth, late, refused, failed}] | sort_by(.worth) | .[0:2]) as $windows
		| [
			($classes[] | ["whole day: \(.name) (late \(.late), refused \(.refused), failed \(.failed))",
				(if $all > 0 then $day * .amount / $all else 0 end)]),
			(.parts[] | select(.[0] != "whole day") | [
				.[0] + (if .[0] == "worst windows" then ": " + ([$windows[] |
					"from \(.name) s (worth \(.worth), late \(.late), refused \(.refused), failed \(.failed))"]
					| join(", ")) else "" end),
				.[1] * (1 - .[2])]),
			(.prices[] | select(.[2] > 0) | ["price: \(.[0])", .[2]])
		  ] as $rows
		| ([$rows[][1]] | add) as $sum
		| ($rows | sort_by(-.[1])[] | "\(.[1] | round4)\t\(.[0])"),
			"\((1 - $r.G - $sum) | round4)\tunexplained",
			"\((1 - $r.G) | round4)\tall, of worth \($r.G)"
	' "$report"
done
