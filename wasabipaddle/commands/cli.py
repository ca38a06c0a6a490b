"""Root of the command line."""

import sys

import fire

from wasabipaddle import __version__
from wasabipaddle.exceptions import WasabipaddleError

__all__ = ["Cli", "main"]

EXIT_OK = 0
EXIT_BROKEN = 1  # a bound, outcome or check does not hold
EXIT_USAGE = 2


class Cli:
    """Run and operate wasabipaddle."""

    def version(self):
        """Print the version."""
        return __version__

    def serve(self, settings, process=None):
        """Run an entry process with the roles of the settings file SETTINGS."""
        from wasabipaddle.commands.serve import serve

        serve(settings, process=process)

    def demo(self, examples="examples", seed=1, keep=None):
        """Run both example deployments with faults and print the verdicts."""
        from wasabipaddle.demo import run_demo

        if not run_demo(examples, seed=seed, keep=keep):
            sys.exit(EXIT_BROKEN)

    def measure(self, name, seed=1, quick=False, json=False):
        """Run one measure, or `all`, against its baseline and bounds."""
        from wasabipaddle.commands.measure import measure

        if not measure(name, seed=seed, quick=quick, json_output=json):
            sys.exit(EXIT_BROKEN)

    def standin(self, file):
        """Run the stand-ins of a YAML file until SIGINT or SIGTERM."""
        from wasabipaddle.commands.standin import standin

        try:
            standin(file)
        except WasabipaddleError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_USAGE)


def main():
    """Run the command line."""
    fire.Fire(Cli, name="wasabipaddle")
