"""Entry point of the program."""

__all__ = ["main"]


def main():
    """Run the command line."""
    from wasabipaddle.commands import main as run

    run()


if __name__ == "__main__":
    main()
