"""Ejects a gray target and puts it back into use, following its state chart.

The exit on the target's host decides, since it is the only node that sees every request
to the target. The target stays ejected only while a permit is in force.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from heatherspur.core import load_chart
from heatherspur.routing.conf import RoutingSettings
from heatherspur.routing.detector import OutlierDetector, PeerSample

__all__ = ["AskPermit", "StateChanged", "TargetEjector"]

N_GOOD_PROBES_TO_RECOVER = 5
MAX_BACKOFF_FACTOR = 16
PERMIT_REQUEST_INTERVAL_S = 0.3
RENEWALS_PER_LAPSE = 3


class AskPermit(NamedTuple):
    """Action: ask the permit holder of the service to grant or renew a permit.

    :param service: Service id.
    :param target: Target id.
    :param round: Number of the permit request.
    """

    service: str
    target: str
    round: int


class StateChanged(NamedTuple):
    """Event: the target entered another state.

    :param target: Target id.
    :param old: Previous state.
    :param new: New state.
    :param reason: Short phrase for the log.
    """

    target: str
    old: str
    new: str
    reason: str


class TargetEjector:
    """State machine of one target, owned by the target's exit.

    :param service: Service id.
    :param target: Target id.
    :param service_class: Class of the service, ``steady`` or ``swift``.
    :param settings: Routing settings.
    :param now: Clock reading in seconds.
    """

    def __init__(
        self,
        service: str,
        target: str,
        service_class: str,
        settings: RoutingSettings,
        now: float,
    ) -> None:
        self.state = ""
        self._chart = load_chart(__package__, "target.toml", self)
        self.detector = OutlierDetector(service_class)
        self._service = service
        self._target = target
        self._settings = settings
        self._started_at_s = now
        self._round = 0
        self._sent_at_by_round: dict[int, float] = {}
        self._requested_at_s = -1.0
        self._permit_expires_at_s = 0.0
        self._probe_at_s = 0.0
        self._backoff_factor = 1
        self._n_good_probes = 0

    def set_class(self, service_class: str) -> None:
        """Apply the class that the catalogue gives the service now.

        :param service_class: ``steady`` or ``swift``.
        """
        self.detector.set_class(service_class)

    def update_peers(self, samples: Iterable[PeerSample]) -> None:
        """Pass the newest statistics of the service's other targets to the detector.

        :param samples: One sample per target in use.
        """
        self.detector.update_peers(samples)

    def note(self, service_ms: float, failed: bool, now: float) -> list[NamedTuple]:
        """Record a finished request, as a probe if the target is being probed.

        :param service_ms: Service time, in milliseconds.
        :param failed: Whether the response was incomplete, missing or an error.
        :param now: Clock reading in seconds.
        :returns: Events and actions.
        """
        if self.state == "probing":
            return self._record_probe(service_ms, failed, now)
        if self.state in ("active", "suspected"):
            self.detector.note(service_ms, failed)
        elif self.state == "starting" and not failed:
            self.detector.observe(service_ms)
        return []

    def _record_probe(
        self, service_ms: float, failed: bool, now: float
    ) -> list[NamedTuple]:
        if failed or not self.detector.is_typical(service_ms):
            self._backoff_factor = min(MAX_BACKOFF_FACTOR, 2 * self._backoff_factor)
            self._probe_at_s = now + self._probe_delay_s
            return [self._transition("probe_failed", "probe was bad")]
        self._n_good_probes += 1
        if self._n_good_probes < N_GOOD_PROBES_TO_RECOVER:
            return []
        self.detector.reset()
        self._started_at_s = now
        return [self._transition("recover", "probes were good")]

    def answer(self, number: int, granted: bool, now: float) -> list[NamedTuple]:
        """Process the permit holder's answer.

        A permit counts from when it was requested, because the answer may be delayed.

        :param number: Number of the permit request.
        :param granted: Whether the target may be ejected.
        :param now: Clock reading in seconds.
        :returns: Events and actions.
        """
        requested_at_s = self._sent_at_by_round.pop(number, None)
        if requested_at_s is None:
            return []
        if not granted:
            if self.state in ("ejected", "probing"):
                self.detector.reset()
                return [self._transition("lose_permit", "permit was refused")]
            return []
        expires_at_s = requested_at_s + self._settings.permit_lapse_s
        self._permit_expires_at_s = max(self._permit_expires_at_s, expires_at_s)
        if self.state != "suspected" or now >= self._permit_expires_at_s:
            return []
        self._probe_at_s = now + self._probe_delay_s
        return [self._transition("permit", "outlier among the service's targets")]

    @property
    def _probe_delay_s(self) -> float:
        return self._settings.probe_delay_s * self._backoff_factor

    def drain_target(self) -> list[NamedTuple]:
        """Stop sending new requests to the target.

        :returns: Events and actions.
        """
        if self.state == "draining":
            return []
        return [self._transition("drain", "target departs")]

    def restart_target(self, now: float) -> list[NamedTuple]:
        """Put a target that came back after draining into use again.

        :param now: Clock reading in seconds.
        :returns: Events and actions.
        """
        if self.state != "draining":
            return []
        self.detector.reset()
        self._started_at_s = now
        return [self._transition("restart", "target came back")]

    def tick(self, open_ages_ms: tuple[float, ...], now: float) -> Iterator[NamedTuple]:
        """Evaluate the target, and make the transitions that are due.

        :param open_ages_ms: Time since each open request was sent, in milliseconds.
        :param now: Clock reading in seconds.
        :returns: Events and actions.
        """
        if self.state == "starting":
            if now - self._started_at_s >= self._settings.warm_up_s:
                yield self._transition("warmed", "warm-up is over")
        elif self.state == "active":
            if self.detector.is_outlier(open_ages_ms):
                yield self._transition("suspect", "evidence suffices")
                yield from self._request_permit(now)
        elif self.state == "suspected":
            if not self.detector.is_outlier(open_ages_ms):
                yield self._transition("clear", "evidence is gone")
            else:
                yield from self._request_permit(now)
        elif self.state in ("ejected", "probing"):
            yield from self._maintain_ejection(now)

    def _maintain_ejection(self, now: float) -> Iterator[NamedTuple]:
        if now >= self._permit_expires_at_s:
            self.detector.reset()
            yield self._transition("lose_permit", "permit lapsed")
            return
        renewal_interval_s = self._settings.permit_lapse_s / RENEWALS_PER_LAPSE
        if now - self._requested_at_s >= renewal_interval_s:
            yield from self._request_permit(now)
        if self.state == "ejected" and now >= self._probe_at_s:
            self._n_good_probes = 0
            yield self._transition("probe", "time to probe")

    def _request_permit(self, now: float) -> Iterator[NamedTuple]:
        if now - self._requested_at_s < PERMIT_REQUEST_INTERVAL_S:
            return
        self._requested_at_s = now
        self._round += 1
        self._sent_at_by_round[self._round] = now
        self._sent_at_by_round.pop(self._round - MAX_BACKOFF_FACTOR, None)
        yield AskPermit(self._service, self._target, self._round)

    def _transition(self, trigger: str, reason: str) -> StateChanged:
        old = self.state
        self.trigger(trigger)
        return StateChanged(self._target, old, self.state, reason)
