"""Newest records of a topic, merged from the store and from neighbours."""

from collections.abc import Iterable

from heatherspur.platform import KeyedRecord

__all__ = ["TopicRecords"]


class TopicRecords:
    """The newest record of each key of one topic.

    Records may come more than once and out of order, from the store and from several
    neighbours; for each key the highest offset counts.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.is_known = False
        self._records_by_key: dict[str, KeyedRecord] = {}

    def merge(
        self, records: Iterable[KeyedRecord], next_offset: int, is_complete: bool
    ) -> dict[str, bytes]:
        """Take records.

        :param records: The records, in any order.
        :param next_offset: Offset up to which the topic is known with them.
        :param is_complete: Whether they are the newest records of all keys.
        :returns: New values by key; an empty value where the key was dropped.
        """
        changed = {}
        seen = set()
        for record in records:
            seen.add(record.key)
            known = self._records_by_key.get(record.key)
            if known is None or known.offset < record.offset:
                self._records_by_key[record.key] = record
                changed[record.key] = record.value
        if is_complete and next_offset >= self.next_offset:
            for key in self._records_by_key.keys() - seen:
                if self._records_by_key[key].offset < next_offset:
                    del self._records_by_key[key]
                    changed[key] = b""
        self.next_offset = max(self.next_offset, next_offset)
        self.is_known = self.is_known or is_complete
        return changed

    def since(self, offset: int) -> tuple[KeyedRecord, ...]:
        """Return the newest records that stand at or after an offset.

        :param offset: The offset.
        """
        return tuple(r for r in self._records_by_key.values() if r.offset >= offset)
