#!/usr/bin/env bash
# The stand-ins of the cases are Python (3.11, the standard library only): nothing is compiled here.
# The router nodes are those of the build line of deploy/system.toml, in target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text(encoding="utf-8"))
END
