#!/usr/bin/env bash
# Runs the case of a folder: run.sh NUMBER. Ends all processes that the case
# started, and removes its temporary folder.
cd "$(dirname "$0")/../.." || exit 2
number=$1
program=$PWD/target/bin/ebonykeeld
case_program=$PWD/target/review-2/case-$number
[ -x "$program" ] && [ -x "$case_program" ] || exit 2
scratch=$(mktemp -d) || exit 2
TMPDIR=$scratch "$case_program" "$program" "$PWD/review/$number/record.txt"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp -r "$scratch" "$KEEP_LOGS"
rm -rf "$scratch"
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
