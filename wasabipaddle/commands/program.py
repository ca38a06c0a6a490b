"""Run of a command line: its parsing, help and errors."""

import contextlib
import io
import os
import re
import sys

import fire

from wasabipaddle.commands.action import Action, UsageError, run_action
from wasabipaddle.commands.cli import Cli
from wasabipaddle.commands.exit_codes import EXIT_HELP, EXIT_USAGE, exit_code
from wasabipaddle.exceptions import WasabipaddleError

__all__ = ["main"]

EXIT_INTERRUPTED = 130
EXIT_OUTPUT_CLOSED = 141
DECORATOR_GROUP = """
GROUPS
    GROUP is one of the following:

     FIRE_METADATA
"""
ANSI_COLOUR = re.compile("\x1b\\[[0-9;]*m")


def main(arguments=None):
    """Run the command line.

    Parameters
    ----------
    arguments : list of str or None
        Arguments after the program name; None uses those of the process.
    """
    try:
        action = _parse_command_line(arguments)
        if action is not None:
            code = run_action(action)
            sys.stdout.flush()
            sys.exit(code)
    except UsageError as error:
        _exit_with_error(str(error), EXIT_USAGE)
    except WasabipaddleError as error:
        code = getattr(error, "exit_code", exit_code(error.failure))
        _exit_with_error(f"{error.failure.kind.value}: {error.failure.detail}", code)
    except KeyboardInterrupt:
        _exit_with_error("interrupted", EXIT_INTERRUPTED)
    except BrokenPipeError:
        # At exit the interpreter flushes standard output again, which would fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_OUTPUT_CLOSED)


def _parse_command_line(arguments):
    """Return the action of a command line; None if help was printed.

    `fire` shows help through a pager, and writes help and multi-line usage errors to
    standard error. Here help goes to standard output without a pager, and a usage
    error is reduced to its first line.
    """
    fire.core.Display = _display_without_pager
    captured = io.StringIO()
    try:
        with contextlib.redirect_stderr(captured):
            result = fire.Fire(
                Cli(), command=arguments, name="wasabipaddle", serialize=_serialize
            )
    except fire.core.FireExit as error:
        if error.code == 0:
            print(_clean_help(captured.getvalue()) + EXIT_HELP)
            return None
        text = _clean_help(captured.getvalue()).strip()
        line = text.partition("\n")[0].removeprefix("ERROR: ")
        raise UsageError(f"{line} (see --help)") from error
    if isinstance(result, Action):
        return result
    if arguments or len(sys.argv) > 1:
        print(EXIT_HELP)
    return None


def _clean_help(text):
    """Remove colours, and the group that `fire` shows for its own decorators."""
    text = ANSI_COLOUR.sub("", text)
    if DECORATOR_GROUP in text:
        text = text.replace(DECORATOR_GROUP, "").replace("GROUP | ", "")
    return text


def _display_without_pager(lines, out):
    out.write("\n".join(lines) + "\n")


def _serialize(result):
    """Return what `fire` prints of a result: nothing for an action."""
    return None if isinstance(result, Action) else result


def _exit_with_error(message, code):
    print(f"wasabipaddle: {' '.join(message.split())}", file=sys.stderr)
    sys.exit(code)
