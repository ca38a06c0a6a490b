"""SIGHUP while a process is starting."""

import os
import signal
import subprocess
import sys

import pytest

from wasabipaddle.sighup import consume_sighup, defer_sighup

# Runs the program, which sends itself SIGHUP as soon as it imports its commands.
PROGRAM = """
import os, signal, sys

# The disposition is inherited, and a parent such as nohup ignores the signal.
signal.signal(signal.SIGHUP, signal.SIG_DFL)

class HangUp:
    def find_spec(self, name, path, target=None):
        if name == "wasabipaddle.commands":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
sys.argv = ["wasabipaddle", *sys.argv[1:]]
from wasabipaddle.__main__ import main
main()
"""


@pytest.mark.parametrize(("command", "survives"), [("cell", True), ("demo", False)])
def test_cell_process_survives_sighup_during_its_imports(command, survives, tmp_path):
    """Guards against a SIGHUP that terminates a cell process during its imports.

    The soak test with seed 41 found this fault. Commands that have no settings to
    reload are terminated as usual.
    """
    arguments = [command, str(tmp_path / "missing.yaml")]
    child = subprocess.run(
        [sys.executable, "-c", PROGRAM, *arguments], capture_output=True, text=True
    )
    ended_by_signal = child.returncode == -signal.SIGHUP
    assert ended_by_signal is not survives, child.stderr
    assert "missing.yaml" in child.stderr or not survives


def test_deferred_sighup_is_recorded_until_it_is_consumed():
    """Guards against a SIGHUP that is lost during the imports, or handled twice."""
    before = signal.getsignal(signal.SIGHUP)
    try:
        defer_sighup()
        os.kill(os.getpid(), signal.SIGHUP)
        assert [consume_sighup(), consume_sighup()] == [True, False]
    finally:
        signal.signal(signal.SIGHUP, before)
