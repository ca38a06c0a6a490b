"""Entry point of the program."""

import sys

from wasabipaddle.hangup import hold_hangups

__all__ = ["main"]

# Commands whose process reloads its settings at SIGHUP.
RELOADING = ("cell",)


def main():
    """Run the command line."""
    if sys.argv[1:2] and sys.argv[1] in RELOADING:
        # The imports below take a second, in which a SIGHUP would end the process.
        hold_hangups()
    from wasabipaddle.commands import main as run

    run()


if __name__ == "__main__":
    main()
