#!/usr/bin/env bash
# Plots the results in docs/measurements as SVG in docs/plots: medians, with minimum and maximum as
# error bars. TERMINAL and SUFFIX set another format: TERMINAL="png size 800,480" SUFFIX=png.
set -eu
cd "$(dirname "$0")/.."
from=${FROM:-docs/measurements}
to=${TO:-docs/plots}
suffix=${SUFFIX:-svg}
terminal=${TERMINAL:-svg size 900,480 background \"white\"}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$to"

# Reads rows "x value" and prints rows "x median minimum maximum".
spread() {
	sort -k1,1g -k2,2g | awk '
		function flush() { if (n) print x, n % 2 ? a[(n + 1) / 2] : (a[n / 2] + a[n / 2 + 1]) / 2, a[1], a[n] }
		$1 != x { flush(); n = 0; x = $1 }
		{ a[++n] = $2 }
		END { flush() }'
}

# Prints the load factor and an awk expression for each row of a policy; v["name"] is a column.
select_rows() { # POLICY EXPRESSION
	awk -F, -v p="$1" 'NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i; next }
		$at["policy"] == p && $at["out"] == "none" {
			for (k in at) v[k] = $at[k]
			print v["factor"], '"$2"' }' "$from/policy.csv" | spread
}

plot_file() { # NAME TITLE X Y CURVES
	gnuplot <<-GNUPLOT
		set terminal $terminal
		set output "$to/$1.$suffix"
		set title "$2"
		set xlabel "$3"
		set ylabel "$4"
		set key top left
		set grid
		set yrange [0:*]
		plot $5
	GNUPLOT
}

# Plots a panel for each policy, since curves near 100 % would overlap in one.
panels() { # NAME TITLE X Y CURVES_OF_ADAPTIVE CURVES_OF_BASELINE
	gnuplot <<-GNUPLOT
		set terminal $terminal
		set output "$to/$1.$suffix"
		set multiplot layout 1,2 title "$2"
		set xlabel "$3"
		set ylabel "$4"
		set key bottom left
		set grid
		set yrange [0:105]
		set title "adaptive"
		plot $5
		set title "baseline"
		plot $6
		unset multiplot
	GNUPLOT
}

curve() { # FILE TITLE COLOUR WIDTH POINT
	printf '"%s" using 1:2:3:4 with yerrorbars notitle lc rgb "%s" pt %s, ' "$1" "$3" "$5"
	printf '"%s" using 1:2 with linespoints title "%s" lc rgb "%s" lw %s pt %s, ' "$1" "$2" "$3" "$4" "$5"
}

declare -A colours=([drivers]='#1b7837' [members]='#2166ac' [reports]='#b35806')
declare -A widths=([drivers]=5 [members]=2 [reports]=2)
declare -A points=([drivers]=7 [members]=4 [reports]=9)
declare -A attainment=() away=()
factor=$(awk -F, 'NR == 2 { print $2 }' "$from/departure.csv")
for policy in adaptive baseline; do
	for class in drivers members reports; do
		file="$dir/$policy-$class"
		select_rows "$policy" "v[\"${class}_pct\"]" >"$file"
		attainment[$policy]+=$(curve "$file" "$class" "${colours[$class]}" "${widths[$class]}" "${points[$class]}")
		# Seeds are summed, since a second has too few requests of a class for a median by seed.
		awk -F, -v p="$policy" -v f="$factor" -v c="$class" '
			$1 == p && $2 == f && $5 == c { n[$4] += $6; hit[$4] += $7 }
			END { for (s in n) print s + 0.5, 100 * hit[s] / n[s] }' "$from/departure.csv" |
			sort -g >"$file-away"
		away[$policy]+="\"$file-away\" with linespoints title \"$class\" lc rgb \"${colours[$class]}\" lw ${widths[$class]} pt ${points[$class]}, "
	done
	select_rows "$policy" 'v["goodput"]' >"$dir/$policy-goodput"
	select_rows "$policy" 'v["answers"] ? v["paid_bytes"] / v["answers"] / 1000 : 0' >"$dir/$policy-paid"
done
panels attainment "Complete within the deadline" "load, times capacity" "% of requests" \
	"${attainment[adaptive]%, }" "${attainment[baseline]%, }"
pair() { # KIND
	curve "$dir/adaptive-$1" adaptive '#1b7837' 2 7
	curve "$dir/baseline-$1" baseline '#b35806' 2 9
}
curves=$(pair goodput)
plot_file goodput "Pipelines complete within the deadline" "load, times capacity" "per second" "${curves%, }"
curves=$(pair paid)
plot_file paid "Bytes over paid links" "load, times capacity" "kB per complete answer" "${curves%, }"
read -r out back < <(awk -F, 'NR > 1 && $4 != "none" { print int($5 / 4), int($5 * 5 / 8); exit }' \
	"$from/policy.csv")
panels departure "A data centre leaves at $out s and returns cold at $back s; load $factor times capacity" \
	"seconds since the start" "% complete within the deadline" "${away[adaptive]%, }" "${away[baseline]%, }"

# Decisions on the users' days: decisions.csv has a row for each played day, loss_* are parts of 1 - worth.
means() { # VERSION COLUMN...: a row for each day, in the order of the file
	awk -F, -v version="$1" -v columns="${*:2}" '
		NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i; m = split(columns, want, " "); next }
		$at["version"] == version && $at["site"] == site {
			day = $at["day"]
			if (!(day in n)) order[++days] = day
			n[day]++
			for (i = 1; i <= m; i++) sum[day, i] += $at[want[i]]
		}
		END { for (d = 1; d <= days; d++) {
			printf "%s", order[d]
			for (i = 1; i <= m; i++) printf " %f", sum[order[d], i] / n[order[d]]
			print "" } }' site=tnblb-spines "$from/decisions.csv"
}
for version in before after; do
	means "$version" worth >"$dir/worth-$version"
	means "$version" loss_day loss_windows loss_class loss_results loss_regions loss_prefixes \
		loss_waste loss_other >"$dir/loss-$version"
done
gnuplot <<-GNUPLOT
	set terminal $terminal
	set output "$to/decisions-worth.$suffix"
	set title "Worth by day, small site of the third user, mean of three seeds"
	set style data histogram
	set style fill solid 0.8 border -1
	set yrange [0:1]
	set ylabel "worth"
	set key top right
	set grid ytics
	plot "$dir/worth-before" using 2:xtic(1) title "before" lc rgb "#b35806", \
	     "$dir/worth-after" using 2 title "after" lc rgb "#1b7837"
GNUPLOT
gnuplot <<-GNUPLOT
	set terminal $terminal
	set output "$to/decisions-loss.$suffix"
	set multiplot layout 1,2 title "What a day lacks of 1, by cause"
	set style data histograms
	set style histogram rowstacked
	set style fill solid 0.8 border -1
	set yrange [0:0.6]
	set xtics rotate by -35
	set key top left font ",9" maxrows 8
	set grid ytics
	do for [version in "before after"] {
		set title version
		file = "$dir/loss-".version
		plot file using 2:xtic(1) title "whole day", file using 3 title "worst windows", \
		     file using 4 title "worst class", file using 5 title "results between data centres", \
		     file using 6 title "bytes between regions", file using 7 title "parts read again", \
		     file using 8 title "work thrown away", file using 9 title "other prices"
		unset key
	}
	unset multiplot
GNUPLOT
