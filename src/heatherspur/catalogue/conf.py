"""Errors of the catalogue subpackage, which has no settings."""

from heatherspur.core import HeatherspurError

__all__ = ["CatalogueError", "EntryError"]


class CatalogueError(HeatherspurError):
    """A change to the catalogue was rejected or its outcome is unknown."""


class EntryError(HeatherspurError):
    """A catalogue entry is invalid.

    :param entry: Id of the entry, or its kind if it has no id.
    :param reason: The invalid field and the expected values.
    """

    def __init__(self, entry: str, reason: str) -> None:
        super().__init__("check entry", entry, reason)
