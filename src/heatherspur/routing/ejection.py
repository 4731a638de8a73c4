"""Takes a gray target out and lets it back, as its state chart says.

The exit beside a target decides for it, since it alone sees every request that the
target gets. The target is out only while a permit is in force.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from heatherspur.core import load_chart
from heatherspur.routing.conf import RoutingSettings
from heatherspur.routing.detector import OutlierDetector, PeerSample

__all__ = ["AskPermit", "StateChanged", "TargetEjector"]

N_GOOD_PROBES = 5
MAX_BACKOFF_FACTOR = 16
ASK_INTERVAL_S = 0.3
PERMIT_RENEWALS = 3


class AskPermit(NamedTuple):
    """Ask the permit holder.

    :param service: Service id.
    :param target: Target id.
    :param round: Number of the question.
    """

    service: str
    target: str
    round: int


class StateChanged(NamedTuple):
    """The target entered another state.

    :param target: Target id.
    :param old: State before.
    :param new: State now.
    :param reason: One short phrase.
    """

    target: str
    old: str
    new: str
    reason: str


class TargetEjector:
    """The state of one target.

    :param service: Service id.
    :param target: Target id.
    :param service_class: Class of the service.
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
        self._asked_at_s = -1.0
        self._permit_until_s = 0.0
        self._probe_at_s = 0.0
        self._backoff_factor = 1
        self._n_good_probes = 0

    def set_class(self, service_class: str) -> None:
        """Take the class that the catalogue gives the service now.

        :param service_class: ``steady`` or ``swift``.
        """
        self.detector.set_class(service_class)

    def update_peers(self, samples: Iterable[PeerSample]) -> None:
        """Take the newest figures of the service's other targets in use.

        :param samples: One sample a target.
        """
        self.detector.update_peers(samples)

    def note(self, service_ms: float, failed: bool, now: float) -> list[NamedTuple]:
        """Take one finished request.

        :param service_ms: Service time, in milliseconds.
        :param failed: Whether no whole answer came.
        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        if self.state == "probing":
            return self._note_probe(service_ms, failed, now)
        if self.state in ("active", "suspected"):
            self.detector.note(service_ms, failed)
        elif self.state == "starting" and not failed:
            self.detector.observe(service_ms)
        return []

    def _note_probe(
        self, service_ms: float, failed: bool, now: float
    ) -> list[NamedTuple]:
        if failed or not self.detector.is_usual(service_ms):
            self._backoff_factor = min(MAX_BACKOFF_FACTOR, 2 * self._backoff_factor)
            self._probe_at_s = now + self._probe_delay_s
            return [self._move("probe_failed", "probe was bad")]
        self._n_good_probes += 1
        if self._n_good_probes < N_GOOD_PROBES:
            return []
        self.detector.reset()
        self._started_at_s = now
        return [self._move("recover", "probes were good")]

    def answer(self, number: int, granted: bool, now: float) -> list[NamedTuple]:
        """Take the permit holder's answer.

        :param number: Number of the question.
        :param granted: Whether the target may be out.
        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        asked_at_s = self._sent_at_by_round.pop(number, None)
        if asked_at_s is None:
            return []
        if not granted:
            if self.state in ("ejected", "probing"):
                self.detector.reset()
                return [self._move("lose_permit", "permit was refused")]
            return []
        until_s = asked_at_s + self._settings.permit_lapse_s
        self._permit_until_s = max(self._permit_until_s, until_s)
        if self.state != "suspected" or now >= self._permit_until_s:
            return []
        self._probe_at_s = now + self._probe_delay_s
        return [self._move("permit", "outlier among the service's targets")]

    @property
    def _probe_delay_s(self) -> float:
        return self._settings.probe_delay_s * self._backoff_factor

    def drain_target(self) -> list[NamedTuple]:
        """Stop giving the target new work.

        :returns: Messages.
        """
        if self.state == "draining":
            return []
        return [self._move("drain", "target departs")]

    def restart_target(self, now: float) -> list[NamedTuple]:
        """Take a target that came back after it had drained.

        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        if self.state != "draining":
            return []
        self.detector.reset()
        self._started_at_s = now
        return [self._move("restart", "target came back")]

    def tick(self, ages_ms: tuple[float, ...], now: float) -> Iterator[NamedTuple]:
        """Let time pass.

        :param ages_ms: Time since hand-over of each request that still runs.
        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        if self.state == "starting":
            if now - self._started_at_s >= self._settings.warm_up_s:
                yield self._move("warmed", "warm-up is over")
        elif self.state == "active":
            if self.detector.is_outlier(ages_ms):
                yield self._move("suspect", "evidence suffices")
                yield from self._ask(now)
        elif self.state == "suspected":
            if not self.detector.is_outlier(ages_ms):
                yield self._move("clear", "evidence is gone")
            else:
                yield from self._ask(now)
        elif self.state in ("ejected", "probing"):
            yield from self._keep_out(now)

    def _keep_out(self, now: float) -> Iterator[NamedTuple]:
        if now >= self._permit_until_s:
            self.detector.reset()
            yield self._move("lose_permit", "permit lapsed")
            return
        renew_s = self._settings.permit_lapse_s / PERMIT_RENEWALS
        if now - self._asked_at_s >= renew_s:
            yield from self._ask(now)
        if self.state == "ejected" and now >= self._probe_at_s:
            self._n_good_probes = 0
            yield self._move("probe", "time to probe")

    def _ask(self, now: float) -> Iterator[NamedTuple]:
        if now - self._asked_at_s < ASK_INTERVAL_S:
            return
        self._asked_at_s = now
        self._round += 1
        self._sent_at_by_round[self._round] = now
        self._sent_at_by_round.pop(self._round - MAX_BACKOFF_FACTOR, None)
        yield AskPermit(self._service, self._target, self._round)

    def _move(self, trigger: str, reason: str) -> StateChanged:
        old = self.state
        self.trigger(trigger)
        return StateChanged(self._target, old, self.state, reason)
