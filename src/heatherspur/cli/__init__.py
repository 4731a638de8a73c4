"""Command-line interface of the ``heatherspur`` program."""

from heatherspur.cli.main import Heatherspur, run

__all__ = ["Heatherspur", "run"]
