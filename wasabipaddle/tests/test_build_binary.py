"""Tests of the build of the executable file."""

import os
import pathlib
import subprocess
import sys

from wasabipaddle import __version__
from wasabipaddle.build_binary import build, runtime_packages

PROJECT = pathlib.Path(__file__).parents[2] / "pyproject.toml"


def test_binary_runs_without_installed_packages(tmp_path):
    """Guards against a package that the executable lacks or imports from outside."""
    target = tmp_path / "dist" / "wasabipaddle"
    build(target, project=PROJECT)
    environment = {"PATH": os.environ["PATH"], "SHIV_ROOT": str(tmp_path / "unpacked")}
    command = [sys.executable, "-I", str(target), "version"]
    done = subprocess.run(
        command, env=environment, cwd=tmp_path, capture_output=True, text=True
    )
    assert (done.returncode, done.stdout.strip()) == (0, __version__), done.stderr
    imported = tmp_path / "unpacked"
    assert list(imported.glob("*/site-packages/wasabipaddle/__main__.py"))
    assert not list(imported.glob("*/site-packages/wasabipaddle/*/tests"))


def test_development_tools_are_excluded():
    """Guards against an executable that contains development tools."""
    found = set(runtime_packages(PROJECT))
    assert {"aiohttp", "yarl", "pyyaml", "fire"} <= found
    assert not {"pytest", "hypothesis", "ruff", "shiv", "matplotlib"} & found
