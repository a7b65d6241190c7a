#!/bin/bash
# Compares what two builds make of the same random days in simulated time: jobs, offers, placings, answers, delays, faults.
#
#   bench/compare-simulation.sh OLD_BINARY NEW_BINARY [--from SEED] [--days N] [--view SIZE] [--jobs N]
#
# Plays `hunt --from SEED --days N --pairs` with both, and once more with `--view SIZE` (a third of the days; 0 leaves it
# out). Defaults: seed 1, 3000 days, view 32, and as many days at once as there are processors. A change that is not meant to
# change decisions must come out the same to the last digit; only the seconds that a play took are left out.
#
# Exit status: 0 the same, 1 different (the difference is printed, - old and + new), 2 a build could not be run.
# Not part of .ci/run: it needs a build of the version before. With release builds, 300 days took 18 s, three at once.
set -euo pipefail

usage() { sed -n '2,11s/^# \{0,1\}//p' "$0" >&2; exit 2; }
[ $# -ge 2 ] || usage
old=$1 new=$2 from=1 days=3000 view=32 jobs=()
shift 2
while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case $1 in
    --from) from=$2 ;;
    --days) days=$2 ;;
    --view) view=$2 ;;
    --jobs) jobs=(--jobs "$2") ;;
    *) usage ;;
  esac
  shift 2
done

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# play BUILD FILE ARGUMENTS..: what the build prints, without the time in its first line. Broken days are exit status 1.
play() {
  local build=$1 file=$2 status=0
  shift 2
  "$build" hunt "${jobs[@]}" --pairs "$@" >"$file.raw" 2>"$file.errors" || status=$?
  if [ "$status" -gt 1 ] || ! grep -q '^jobs [0-9]' "$file.raw"; then
    echo "$build hunt $*: exit status $status" >&2
    cat "$file.errors" >&2
    exit 2
  fi
  sed -E '1s/ in [0-9.]+ s,/,/' "$file.raw" >"$file"
}

# compare ARGUMENTS..: plays with both builds.
different=0
compare() {
  play "$old" "$folder/old" "$@"
  play "$new" "$folder/new" "$@"
  if diff -u --label "$old" --label "$new" "$folder/old" "$folder/new"; then
    echo "the same: hunt $* ($(grep -m1 '^jobs ' "$folder/new"))"
  else
    echo "different: hunt $*"
    different=1
  fi
}

compare --from "$from" --days "$days"
if [ "$view" -gt 0 ]; then
  compare --from "$from" --days "$(((days + 2) / 3))" --view "$view"
fi
exit "$different"
