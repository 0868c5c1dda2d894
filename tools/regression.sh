#!/usr/bin/env bash
# Plays the standard days of the users' deployments and prints those whose worth
# fell below the figures in tools/regression_figures.txt.
# Usage: KIT=FOLDER BENCH=PROGRAM tools/regression.sh [JOBS]
# KIT is the folder that holds the deployments' site files.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${1:-3}
figures=tools/regression_figures.txt
# Runs of one commit differ by less than this.
tolerance=0.03

if [ -z "${KIT:-}" ] || [ -z "${BENCH:-}" ] || [ ! -x "$BENCH" ]; then
  echo "regression: the users' kit is absent, nothing was played (set KIT and BENCH)" >&2
  exit 2
fi

fell=0
for site in $(awk '!/^#/ {print $1}' "$figures" | uniq); do
  report=$(mktemp)
  "$BENCH" score "$KIT/$site.toml" --jobs "$jobs" --why "regression run" | tee "$report"
  grep -q '^GATE passed' "$report" || { echo "regression: $site: gate not passed"; fell=1; }
  # The report's columns: day, machines, score, worth.
  awk -v site="$site" -v tolerance="$tolerance" '
    NR == FNR { if ($1 == site) known[$2] = $3; next }
    $1 in known {
      if ($4 < known[$1] - tolerance) {
        printf "regression: %s %s: worth %s, was %s\n", site, $1, $4, known[$1]
        fell = 1
      }
      delete known[$1]
    }
    END {
      for (day in known) { printf "regression: %s %s: not played\n", site, day; fell = 1 }
      exit fell
    }' "$figures" "$report" || fell=1
  rm -f "$report"
done
[ "$fell" = 0 ] && echo "regression: no day fell"
exit "$fell"
