#!/bin/bash
# Checks that the stand-ins compile; they are Python and use the packages in target/deps.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../target/deps python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
import aiohttp  # noqa: F401
print("stand-ins compile")
PY
