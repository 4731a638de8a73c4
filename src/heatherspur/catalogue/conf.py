"""Errors of the catalogue subpackage; it has no settings of its own."""

from heatherspur.core import HeatherspurError

__all__ = ["CatalogueError", "EntryError"]


class CatalogueError(HeatherspurError):
    """A change of the catalogue was refused or its outcome is not known."""


class EntryError(HeatherspurError):
    """A catalogue entry is broken.

    :param entry: Id of the entry, or its place in the file.
    :param reason: Field and what is expected.
    """

    def __init__(self, entry: str, reason: str) -> None:
        super().__init__("check entry", entry, reason)
