"""Builds a single executable file from the installed packages, without downloads."""

import importlib.metadata
import pathlib
import re
import shutil
import sys
import sysconfig
import tempfile
import tomllib

from shiv.cli import main as shiv

import wasabipaddle

__all__ = ["build", "runtime_packages"]

PACKAGE = "wasabipaddle"
ENTRY_POINT = "wasabipaddle.__main__:main"
REQUIREMENT = re.compile(r"[A-Za-z0-9._-]+")
INTERPRETER = "/usr/bin/env python3"


def runtime_packages(project) -> list[str]:
    """Return the names of the distributions that the program needs at run time.

    Parameters
    ----------
    project : pathlib.Path
        The `pyproject.toml` whose direct and transitive dependencies are returned.
    """
    declared = tomllib.loads(project.read_text())["project"]["dependencies"]
    pending = [_distribution_name(text) for text in declared]
    found = {}
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found[name] = importlib.metadata.distribution(name)
        for text in found[name].requires or ():
            marker = text.partition(";")[2]
            if "extra" not in marker and _is_installed(_distribution_name(text)):
                pending.append(_distribution_name(text))
    return sorted(found)


def build(target, *, project):
    """Write the executable to `target`.

    On its first start the executable unpacks itself below the directory named by the
    environment variable `SHIV_ROOT`, by default below the home directory.

    Parameters
    ----------
    target : pathlib.Path
        File to write.
    project : pathlib.Path
        The `pyproject.toml` of the source tree.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site = pathlib.Path(directory) / "site"
        site.mkdir()
        for name in runtime_packages(project):
            _copy_distribution(name, site)
        source = pathlib.Path(wasabipaddle.__file__).parent
        ignored = shutil.ignore_patterns("__pycache__", "tests", "conftest.py")
        shutil.copytree(source, site / PACKAGE, ignore=ignored)
        arguments = ["--site-packages", str(site), "--entry-point", ENTRY_POINT]
        arguments += ["--output-file", str(target), "--python", INTERPRETER]
        shiv(arguments, standalone_mode=False)


def _copy_distribution(name, site):
    """Copy the installed files of a distribution, without scripts and byte code."""
    purelib = pathlib.Path(sysconfig.get_path("purelib")).resolve()
    for file in importlib.metadata.distribution(name).files or ():
        path = pathlib.Path(file.locate()).resolve()
        if not path.is_relative_to(purelib) or path.suffix == ".pyc":
            continue
        target = site / path.relative_to(purelib)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(path, target)


def _distribution_name(requirement):
    return REQUIREMENT.match(requirement).group().lower().replace("_", "-")


def _is_installed(name):
    try:
        importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError:
        return False
    return True


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]), project=pathlib.Path("pyproject.toml"))
