#!/usr/bin/env bash
# clang-format and clang-tidy; exits non-zero on any finding.
# lint.sh BUILD_FOLDER [SOURCE...]: the whole tree, or clang-tidy on the named sources only.
set -euo pipefail
build=${1:-build}
shift || true
jobs=${JOBS:-$(nproc)}
# The largest first, so that none of them is left for the end.
mapfile -t sources < <(find src apps platform tests -name '*.cc' -printf '%s %p\n' | sort -rn | cut -d' ' -f2-)
mapfile -t headers < <(find src apps platform tests -name '*.h' | sort)
clang-format --dry-run -Werror "${sources[@]}" "${headers[@]}"
if [ $# -gt 0 ]; then
  sources=("$@")
fi
# clang-tidy can't read g++'s precompiled headers, so it gets compile commands without them.
cmake -S . -B "$build/tidy" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
printf '%s\n' "${sources[@]}" |
  xargs -P "$jobs" -n 1 clang-tidy-16 -p "$build/tidy" --quiet \
    --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-ignored-optimization-argument \
    --extra-arg=-Wno-unused-command-line-argument 2>&1 | { grep -v ' warnings generated' || true; }
if [ "${PIPESTATUS[1]}" -ne 0 ]; then
  exit 1
fi
echo "lint: ${#sources[@]} sources and ${#headers[@]} headers clean"
