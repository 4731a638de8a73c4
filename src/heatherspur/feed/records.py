"""Newest record of each key of a topic, merged from the store and from neighbours."""

from collections.abc import Iterable

from heatherspur.platform import KeyedRecord

__all__ = ["TopicRecords"]


class TopicRecords:
    """The newest record of each key of one topic.

    Records may arrive repeatedly and out of order, from the store and from several
    neighbours; the record with the highest offset of a key replaces the others.

    :ivar next_offset: Offset up to which the records are known.
    :ivar is_known: Whether the complete topic has been received.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.is_known = False
        self._records_by_key: dict[str, KeyedRecord] = {}

    def merge(
        self, records: Iterable[KeyedRecord], next_offset: int, is_complete: bool
    ) -> dict[str, bytes]:
        """Merge records into the topic.

        :param records: The records, in any order.
        :param next_offset: Offset up to which these records cover the topic.
        :param is_complete: Whether the records are the newest ones of all keys.
        :returns: New values by key; an empty value if the key was deleted.
        """
        changed = {}
        merged_keys = set()
        for record in records:
            merged_keys.add(record.key)
            known = self._records_by_key.get(record.key)
            if known is None or known.offset < record.offset:
                self._records_by_key[record.key] = record
                changed[record.key] = record.value
        if is_complete and next_offset >= self.next_offset:
            for key in self._records_by_key.keys() - merged_keys:
                if self._records_by_key[key].offset < next_offset:
                    del self._records_by_key[key]
                    changed[key] = b""
        self.next_offset = max(self.next_offset, next_offset)
        self.is_known = self.is_known or is_complete
        return changed

    def since(self, offset: int) -> tuple[KeyedRecord, ...]:
        """Return the newest records at or after an offset.

        :param offset: The offset.
        """
        return tuple(r for r in self._records_by_key.values() if r.offset >= offset)
