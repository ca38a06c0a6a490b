"""Tests of the build of the executable file."""

import os
import pathlib
import subprocess
import sys

from wasabipaddle import __version__
from wasabipaddle.build_binary import build, runtime_packages

PROJECT = pathlib.Path(__file__).parents[2] / "pyproject.toml"


def test_binary_starts_and_excludes_tests(tmp_path):
    """Guards against an executable that does not start, or that contains the tests.

    The site-packages of the interpreter are still importable behind those of the
    executable, so that a distribution missing from it is not noticed here.
    """
    target = tmp_path / "dist" / "wasabipaddle"
    build(target, project=PROJECT)
    environment = {"PATH": os.environ["PATH"], "SHIV_ROOT": str(tmp_path / "unpacked")}
    command = [sys.executable, "-I", str(target), "version"]
    done = subprocess.run(
        command, env=environment, cwd=tmp_path, capture_output=True, text=True
    )
    assert (done.returncode, done.stdout.strip()) == (0, __version__), done.stderr
    unpacked = tmp_path / "unpacked"
    assert list(unpacked.glob("*/site-packages/wasabipaddle/__main__.py"))
    assert not list(unpacked.glob("*/site-packages/wasabipaddle/*/tests"))


def test_development_tools_are_excluded():
    """Guards against an executable that contains development tools."""
    found = set(runtime_packages(PROJECT))
    assert {"aiohttp", "yarl", "pyyaml", "fire"} <= found
    assert not {"pytest", "hypothesis", "ruff", "shiv", "matplotlib"} & found
