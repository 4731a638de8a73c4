"""The command line."""

from heatherspur.cli.main import Heatherspur, run

__all__ = ["Heatherspur", "run"]
