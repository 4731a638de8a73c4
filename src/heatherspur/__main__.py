"""Entry point of the ``heatherspur`` program."""

from heatherspur.cli import run

__all__ = ["main"]


def main() -> None:
    """Run the command-line interface."""
    run()


if __name__ == "__main__":
    main()
