#!/usr/bin/env bash
# Prints the table of docs/measurements/policy.md: median (minimum-maximum) over the seeds.
set -eu
cd "$(dirname "$0")/.."
awk -F, '
	NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i; next }
	{
		for (k in at) v[k] = $at[k]
		group = v["out"] "," v["factor"] "," v["policy"]
		if (!(group in rows)) order[++groups] = group
		r = ++rows[group]
		put(group, r, 1, v["drivers_pct"])
		put(group, r, 2, v["members_pct"])
		put(group, r, 3, v["reports_pct"])
		put(group, r, 4, v["goodput"])
		put(group, r, 5, v["admitted"] ? v["stage_runs"] / (4 * v["admitted"]) : 0)
		put(group, r, 6, v["answers"] ? v["paid_bytes"] / v["answers"] / 1000 : 0)
		put(group, r, 7, v["answers"] ? (v["stage_cents"] + v["paid_cents"]) / v["answers"] : 0)
		put(group, r, 8, v["p50_ms"])
		put(group, r, 9, v["p99_ms"])
		put(group, r, 10, v["first_p95_ms"])
		put(group, r, 11, v["sent"] ? 100 * v["unknown"] / v["sent"] : 0)
		put(group, r, 12, v["doubled"] + v["false_not_run"] + v["false_complete"] + v["wrong_answers"] + v["sent_to_out"])
		put(group, r, 13, v["cold_overruns"])
	}
	function put(g, r, c, value) { cell[g, r, c] = value }
	function summary(g, c, n, i, j, t, a, form) {
		n = rows[g]
		for (i = 1; i <= n; i++) a[i] = cell[g, i, c]
		for (i = 2; i <= n; i++)
			for (j = i; j > 1 && a[j] + 0 < a[j - 1] + 0; j--) { t = a[j]; a[j] = a[j - 1]; a[j - 1] = t }
		form = c >= 8 && c != 11 ? "%.0f" : c == 7 ? "%.3f" : c == 5 ? "%.2f" : "%.1f"
		t = n % 2 ? a[(n + 1) / 2] : (a[n / 2] + a[n / 2 + 1]) / 2
		return sprintf(form " (" form "-" form ")", t, a[1], a[n])
	}
	END {
		print "| out | load | policy | seeds | drivers in time % | members % | reports % | goodput /s | runs per stage | paid kB per answer | cents per answer | p50 ms | p99 ms | first token p95 ms | unknown % | false, doubled | cold overruns |"
		print "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
		for (i = 1; i <= groups; i++) {
			g = order[i]
			split(g, part, ",")
			line = "| " part[1] " | " part[2] " | " part[3] " | " rows[g]
			for (c = 1; c <= 13; c++) line = line " | " summary(g, c)
			print line " |"
		}
	}' "${1:-docs/measurements/policy.csv}"
