"""Root of the command line."""

import fire

from wasabipaddle import __version__

__all__ = ["Cli", "main"]


class Cli:
    """Run and operate wasabipaddle."""

    def version(self):
        """Print the version."""
        return __version__


def main():
    """Run the command line."""
    fire.Fire(Cli, name="wasabipaddle")
