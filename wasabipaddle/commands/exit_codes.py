"""Exit codes of the command line."""

from wasabipaddle.exceptions import ErrorKind, Outcome

__all__ = [
    "EXIT_BROKEN",
    "EXIT_HELP",
    "EXIT_OK",
    "EXIT_REFUSED",
    "EXIT_UNKNOWN",
    "EXIT_UNREACHABLE",
    "EXIT_USAGE",
    "exit_code",
]

EXIT_OK = 0
# A bound, an expected outcome or a check does not hold, an awaited run did not
# complete, or a call was executed and failed.
EXIT_BROKEN = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3  # refused and certainly not run
EXIT_UNKNOWN = 4  # the call may or may not have taken effect
EXIT_UNREACHABLE = 5

EXIT_HELP = """\
Exit codes:
  0  success
  1  an expected outcome, a bound or a check does not hold
  2  usage error
  3  refused, not run
  4  outcome unknown
  5  server unreachable
"""

_BY_OUTCOME = {
    Outcome.NOT_RUN: EXIT_REFUSED,
    Outcome.RAN: EXIT_BROKEN,
    Outcome.UNKNOWN: EXIT_UNKNOWN,
}


def exit_code(failure) -> int:
    """Return the exit code of a failure."""
    if failure.kind is ErrorKind.UNREACHABLE:
        return EXIT_UNREACHABLE
    if failure.kind is ErrorKind.INVALID_SETTINGS:
        return EXIT_USAGE
    return _BY_OUTCOME[failure.outcome]
