"""Entry point of the command line."""

import sys

from wasabipaddle.sighup import defer_sighup

__all__ = ["main"]

# Commands whose process reloads its settings on SIGHUP.
RELOADING_COMMANDS = ("cell",)


def main():
    """Run the command line."""
    if sys.argv[1:2] and sys.argv[1] in RELOADING_COMMANDS:
        # The imports below take about a second, in which a SIGHUP would terminate the
        # process.
        defer_sighup()
    from wasabipaddle.commands import main as run

    run()


if __name__ == "__main__":
    main()
