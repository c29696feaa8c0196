#!/usr/bin/env bash
# What each mechanism is worth: plays a site's standard days with all mechanisms, then with each one
# switched off, and prints the mean worth of the days with trouble and of the quiet days.
#   scripts/ablation.sh BENCH WORKDIR RUNS SITE...
# BENCH is the bench's program, WORKDIR an empty folder for a copy of the repository (its journal entries
# stay there, in journal/), RUNS the plays of each line, SITE the path of a site file.
set -euo pipefail
bench=$1 work=$2 runs=$3
shift 3
names="none $(sed -n 's/^    {"\([a-z-]*\)", &Mechanisms.*/\1/p' "$(dirname "$0")/../src/gateway/mechanisms.cc")"
git clone -q "$(cd "$(dirname "$0")/.." && pwd)" "$work"
cd "$work"
cp deploy/settings.json settings.all
printf '| without | site | trouble | lowest to highest | quiet |\n|---|---|---|---|---|\n'
for name in $names; do
  if [ "$name" = none ]; then
    cp settings.all deploy/settings.json
  else
    sed "1s/^{/{\n  \"without\": \"$name\",/" settings.all > deploy/settings.json
  fi
  for site in "$@"; do
    out=$(mktemp)
    for _ in $(seq "$runs"); do
      "$bench" score "$site" --jobs "${JOBS:-4}" --why "Ablation without $name" >> "$out" 2>&1 || true
    done
    python3 - "$name" "$(basename "$site" .toml)" "$out" "$runs" <<'PY'
import re
import statistics
import sys

name, site, path, runs = sys.argv[1:]
trouble, quiet, means = [], [], []
day = re.compile(r'^(\S+)\s+\d+/\d+\s+\S+\s+(-?[\d.]+)\s')
for block in open(path).read().split('score on the standard days')[1:]:
    worths = [(m[1], float(m[2])) for m in map(day.match, block.splitlines()) if m]
    standard = [(n, w) for n, w in worths if not n.startswith('fresh')]
    means.append(statistics.mean(w for n, w in standard if not n.startswith('quiet')))
    quiet += [w for n, w in standard if n.startswith('quiet')]
broken = len(re.findall('BROKEN', open(path).read()))
if means:
    note = f', {broken} broken' if broken else ''
    print(f'| {name} | {site} | {statistics.mean(means):.3f} | {min(means):.3f} to {max(means):.3f}{note} '
          f'| {statistics.mean(quiet):.3f} |', flush=True)
else:
    print(f'| {name} | {site} | no result | | |', flush=True)
PY
  done
done
