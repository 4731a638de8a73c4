"""Records of the members: keeps the fleet view, and those of the target up to date."""

import logging
from collections.abc import Iterator, Mapping

from circuits import BaseComponent, handler

from heatherspur.dispatch import FleetSettings, TargetReport
from heatherspur.dispatch.departures import Departure
from heatherspur.dispatch.fleet import FleetView, Member
from heatherspur.net import is_refused
from heatherspur.platform import KeyedRecord, put_records
from heatherspur.sidecar.events import departure_recorded, fleet_changed, members_read
from heatherspur.sidecar.records import (
    MEMBERS_TOPIC,
    decode_departure,
    decode_member,
    departure_key,
    encode_departure,
    encode_member,
    is_departure_key,
)

__all__ = ["SidecarMembers"]

# The target is on the same host, which accepts or refuses connections at once.
TARGET_CHECK_TIMEOUT_S = 0.05

logger = logging.getLogger("heatherspur.node")


class SidecarMembers(BaseComponent):
    """Task that applies the records of all members and writes those of the target.

    :param settings: Settings of the node.
    :param fleet: View of the members; written here.
    :ivar is_known: Whether the records of all members were received once.
    """

    channel = "member-records"

    def __init__(self, settings: FleetSettings, fleet: FleetView) -> None:
        super().__init__()
        self._settings = settings
        self._fleet = fleet
        self.is_known = False
        self._target_report: TargetReport | None = None
        self._departure: Departure | None = None
        self._departure_key = departure_key(settings.node)

    @handler("keys_changed", channel="*")
    def _on_keys_changed(self, topic, values_by_key):
        if topic == MEMBERS_TOPIC:
            self._apply_members(values_by_key)

    def _apply_members(self, values_by_host: dict[str, bytes]) -> None:
        for host, value in values_by_host.items():
            if is_departure_key(host):
                continue
            member = decode_member(host, value)
            if member is None:
                self._fleet.remove(host)
            else:
                self._fleet.put(host, member)
        if not self.is_known:
            known = self._fleet.members_by_host.get(self._settings.node)
            is_same = known is not None and known.node == self._fleet.node_id
            self._fleet.was_member = is_same
        self.is_known = True
        self._restore_departure(values_by_host)
        self.fire(fleet_changed(), "*")
        self._publish_target()

    @handler("records_read", channel="*")
    def _on_records_read(self, topic, records, next_offset, is_whole):
        """Restore a departure from the store before any report takes effect."""
        if topic != MEMBERS_TOPIC or not is_whole:
            return
        self._restore_departure({record.key: record.value for record in records})
        self.fire(members_read(), "control")

    def _restore_departure(self, values_by_key: Mapping[str, bytes]) -> None:
        """Take over a departure that a former process of this node recorded.

        It is obsolete if another start of the target has registered since.
        """
        key, host = self._departure_key, self._settings.node
        departure = decode_departure(key, values_by_key.get(key, b""))
        own = self._departure
        if departure is None or (own is not None and own.covers(departure)):
            return
        self._departure = departure
        member = decode_member(host, values_by_key.get(host, b""))
        member = member or self._fleet.members_by_host.get(host)
        if member is not None and member.started_at_ms > departure.started_at_ms:
            return
        extra = {"target": departure.target, "gone": departure.gone}
        logger.info("node: departure of the target restored", extra=extra)
        self.fire(departure_recorded(departure), "control")

    @handler("records_written", channel="*")
    def _on_records_written(self, topic, records):
        for record in records:
            if record.key == self._departure_key and record.value:
                departure = decode_departure(record.key, record.value)
                self.fire(departure_recorded(departure), "control")

    @handler("target_heard", channel="*")
    def _on_target_heard(self, report, departure):
        self._target_report = report
        self._publish_target(departure)

    def _publish_target(self, departure: Departure | None = None) -> None:
        """Write the records of this node's target that changed, in one call.

        :param departure: Departure to record, if there is a new one.
        """
        records = list(self._changed_member())
        if departure is not None and departure != self._departure:
            self._departure = departure
            value = encode_departure(departure)
            records.append(KeyedRecord(self._departure_key, value))
        if records:
            self.fire(put_records(MEMBERS_TOPIC, tuple(records)), "store")

    def _changed_member(self) -> Iterator[KeyedRecord]:
        """Yield the record of the target as a member, if it differs from the known."""
        report, settings = self._target_report, self._settings
        if report is None or not self.is_known:
            return
        # A departure that was read from the store doesn't state the slots.
        if not report.gone and not report.slots:
            return
        known = self._fleet.members_by_host.get(settings.node)
        member = None
        if not report.gone:
            member = Member(
                node=str(settings.links),
                zone=settings.zone,
                service=settings.service,
                target=report.target,
                started_at_ms=report.started_at_ms,
                slots=report.slots,
                ready=report.ready,
            )
        if member == known:
            return
        if member is None:
            self._fleet.remove(settings.node)
            yield KeyedRecord(settings.node, b"")
            return
        self._fleet.put(settings.node, member)
        yield KeyedRecord(settings.node, encode_member(member))

    @handler("stop_node", channel="*")
    def _on_stop_node(self):
        """Delete the record of a departure, unless the target still runs.

        Until it has ended, this node may be started again and needs the record.
        """
        if self._departure is None:
            return
        if is_refused(self._settings.target, TARGET_CHECK_TIMEOUT_S):
            record = KeyedRecord(self._departure_key, b"")
            self.fire(put_records(MEMBERS_TOPIC, (record,)), "store")
