#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python
# files that use the packages of the deploy file's build (target/deps) and no others.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import ast, pathlib

import aiohttp  # noqa: F401

for path in sorted(pathlib.Path("review").glob("lib-2/*.py")):
    ast.parse(path.read_text(), str(path))
    print("ready:", path)
CHECK
