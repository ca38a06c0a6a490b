"""Root of the command line."""

import contextlib
import io
import os
import re
import sys

import fire
from fire.decorators import SetParseFn, SetParseFns

from wasabipaddle import __version__
from wasabipaddle.commands.action import Action, UsageError, run_action
from wasabipaddle.commands.cluster import ClusterCommands
from wasabipaddle.commands.exit_codes import (
    EXIT_BROKEN,
    EXIT_HELP,
    EXIT_USAGE,
    exit_code,
)
from wasabipaddle.commands.run import RunCommands
from wasabipaddle.commands.service import ServiceCommands
from wasabipaddle.exceptions import WasabipaddleError

__all__ = ["Cli", "main"]

BOOT_VARIABLE = "WASABIPADDLE_BOOT"
EXIT_INTERRUPTED = 130
EXIT_OUTPUT_CLOSED = 141
DECORATOR_GROUP = """
GROUPS
    GROUP is one of the following:

     FIRE_METADATA
"""
ANSI_COLOUR = re.compile("\x1b\\[[0-9;]*m")


class Cli:
    """Run and operate wasabipaddle."""

    # Every command returns an `Action`, which runs after the command line was read.

    def __init__(self):
        self.service = ServiceCommands()
        self.run = RunCommands()
        self.cluster = ClusterCommands()

    def version(self):
        """Print the version."""
        return Action(run=lambda: print(__version__))

    def serve(self, settings, process=None):
        """Run an entry process with the roles of the settings file SETTINGS."""
        from wasabipaddle.commands.serve import serve

        return Action(run=lambda: serve(settings, process=process))

    def cell(self, settings=""):
        """Run a process of a cell on the users' platform.

        SETTINGS is the settings file; without it, WASABIPADDLE_BOOT holds its path.
        """
        from wasabipaddle.commands.cell import cell

        path = settings or os.environ.get(BOOT_VARIABLE, "")
        if not path:
            raise UsageError(f"give a settings file, or set {BOOT_VARIABLE}")
        return Action(run=lambda: cell(path))

    @SetParseFn(str)
    def explain(self, job, *files):
        """Print what happened to the job JOB by the structured logs FILES."""
        from wasabipaddle.commands.explain import explain

        if not files:
            raise UsageError("give the logs of the processes")
        return Action(run=lambda: explain(job, files))

    @SetParseFns(examples=str, keep=str)
    def demo(self, examples="examples", seed=1, keep=None, port_offset=0):
        """Run both example deployments with faults and print the verdicts.

        --port_offset N shifts every port, so that several run on one machine.
        """
        from wasabipaddle.demo import run_demo

        offset = _whole("--port_offset", port_offset)

        def run():
            clean = run_demo(examples, seed=seed, keep=keep, port_offset=offset)
            return None if clean else EXIT_BROKEN

        return Action(run=run)

    @SetParseFns(example=str, keep=str)
    def playground(self, example, port_offset=0, apply=False, keep=None):
        """Start a deployment with stand-ins and keep it running until Ctrl-C.

        --port_offset N shifts every port, so that several run on one machine;
        --apply applies the documents of the example; --keep DIRECTORY keeps the
        settings and logs of the processes.
        """
        from wasabipaddle.demo import run_playground

        offset = _whole("--port_offset", port_offset)

        def run():
            run_playground(example, port_offset=offset, apply=apply, keep=keep)

        return Action(run=run)

    @SetParseFn(str)
    def fault(self, target, *changes, control=""):
        """Change the faults of the stand-ins of a playground, as KEY=VALUE.

        TARGET is `store`, `vm_list`, `link` or the name of a VM. --control lists the
        control addresses of the stand-ins, separated by commas, and defaults to
        WASABIPADDLE_CONTROL.
        """
        from wasabipaddle.commands.fault import fault_action

        return fault_action(target=target, changes=changes, control=control)

    @SetParseFns(run=str, vm=str, service=str, server=str, token_file=str)
    def timeline(
        self,
        run="",
        vm="",
        service="",
        since="",
        limit=1000,
        json=False,
        html="",
        server="",
        token_file="",
        authority="",
    ):
        """Print the events of all processes in order, or write them as a page.

        Select with --run, --vm, --service and --since (milliseconds since the
        epoch); --html FILE writes a page with one lane for each process.
        """
        from wasabipaddle.commands.timeline import timeline_action

        filters = {
            "run": run,
            "vm": vm,
            "service": service,
            "since": since,
            "limit": limit,
        }
        place = {"server": server, "token_file": token_file, "authority": authority}
        return timeline_action(filters=filters, place=place, json=json, html=html)

    def replay(self, trace, settings, seed=1, json=False):
        """Replay a trace file on the deployment of a settings file."""
        from wasabipaddle.commands.replay import replay

        return Action(run=lambda: replay(trace, settings, seed=seed, json=json))

    @SetParseFns(report=str)
    def measure(self, name, seed=1, quick=False, json=False, report=""):
        """Run one measure, or `all`, against its baseline and bounds.

        --report DIR writes an HTML page with plots, which need matplotlib.
        """
        from wasabipaddle.commands.measure import measure

        def run():
            holds = measure(
                name, seed=seed, quick=quick, json_output=json, report=report
            )
            return None if holds else EXIT_BROKEN

        return Action(run=run)

    def fuzz(self, seconds=60, seed=1):
        """Fuzz a whole cell for a time and print the shortest run that fails."""
        from wasabipaddle.commands.fuzz import fuzz

        def run():
            holds = fuzz(seconds=seconds, seed=seed)
            return None if holds else EXIT_BROKEN

        return Action(run=run)

    @SetParseFns(keep=str)
    def soak(
        self,
        seed=1,
        seeds=1,
        seconds=20,
        processes=4,
        runners=8,
        at_once=1,
        keep=None,
    ):
        """Run real processes under random faults and print the broken promises.

        --seeds N runs the seeds from SEED on, --at_once of them side by side; --keep
        DIRECTORY keeps the settings, logs and a report of each seed.
        """
        from wasabipaddle.commands.soak import soak

        def run():
            holds = soak(
                seed=seed,
                seeds=seeds,
                seconds=seconds,
                processes=processes,
                runners=runners,
                at_once=at_once,
                keep=keep,
            )
            return None if holds else EXIT_BROKEN

        return Action(run=run)

    def standin(self, file):
        """Run the stand-ins of a YAML file until SIGINT or SIGTERM."""
        from wasabipaddle.commands.standin import standin

        return Action(run=lambda: standin(file))


def main(arguments=None):
    """Run the command line.

    Parameters
    ----------
    arguments : list of str or None
        Arguments after the program name; None takes those of the process.
    """
    try:
        action = _read(arguments)
        if action is not None:
            code = run_action(action)
            sys.stdout.flush()
            sys.exit(code)
    except UsageError as error:
        _quit(str(error), EXIT_USAGE)
    except WasabipaddleError as error:
        code = getattr(error, "exit_code", exit_code(error.failure))
        _quit(f"{error.failure.kind.value}: {error.failure.detail}", code)
    except KeyboardInterrupt:
        _quit("interrupted", EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The interpreter flushes standard output again at its exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_OUTPUT_CLOSED)


def _read(arguments):
    """Return the action of a command line; None if help was printed.

    `fire` writes help and usage errors of many lines to standard error, help through
    a pager. Help goes to standard output, and an error is shortened to its line.
    """
    fire.core.Display = _display
    written = io.StringIO()
    try:
        with contextlib.redirect_stderr(written):
            result = fire.Fire(
                Cli(), command=arguments, name="wasabipaddle", serialize=_shown
            )
    except fire.core.FireExit as error:
        if error.code == 0:
            print(_clean(written.getvalue()) + EXIT_HELP)
            return None
        text = _clean(written.getvalue()).strip()
        line = text.partition("\n")[0].removeprefix("ERROR: ")
        raise UsageError(f"{line} (see --help)") from error
    if isinstance(result, Action):
        return result
    if arguments or len(sys.argv) > 1:
        print(EXIT_HELP)
    return None


def _whole(flag, value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise UsageError(f"{flag} is a whole number from 0")
    return value


def _clean(text):
    """Remove colours, and the group that stands for decorators of `fire`."""
    text = ANSI_COLOUR.sub("", text)
    if DECORATOR_GROUP in text:
        text = text.replace(DECORATOR_GROUP, "").replace("GROUP | ", "")
    return text


def _display(lines, out):
    out.write("\n".join(lines) + "\n")


def _shown(result):
    """Return what `fire` prints of a result; an action prints by itself."""
    return None if isinstance(result, Action) else result


def _quit(message, code):
    print(f"wasabipaddle: {' '.join(message.split())}", file=sys.stderr)
    sys.exit(code)
