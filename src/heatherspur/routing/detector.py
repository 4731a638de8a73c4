"""Tells whether a target is an outlier among the targets of its service.

Two cumulative sums run over a target's own requests: one of the logarithm of the
service time against the service's other targets, one of failed or very slow
requests. A sum rises only while the evidence is against the target (Page,
"Continuous inspection schemes", Biometrika 41, 1954). Nothing is compared with a
fixed bound, so a service whose targets all slow together has no outlier.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from statistics import fmean, median
from typing import NamedTuple

__all__ = ["OutlierDetector", "PeerSample", "SuspicionLimits", "suspicion_limits"]

N_RECENT = 8
N_SPREAD = 64
N_RECENT_BAD = 16
N_USUAL_BAD = 64
MIN_SERVICE_MS = 0.1
MIN_SPREAD = 0.25
MAX_DEVIATION = 4.0
MAX_OPEN_DEVIATION = 8.5
SLACK = 1.0
MIN_EFFECT = math.log(2.0)
CHANCE_ERRORS = 4.0  # standard errors of a mean
MIN_DIFFERENCE_MS = 5.0
VERY_SLOW = math.log(8.0)
VERY_SLOW_SPREADS = 4.0
MIN_BAD_RATIO = 0.02
MAX_BAD_RATIO = 0.9
OUTLIER_BAD_RATIO = 0.3
LEAST_BAD_RATIO = 0.15
MIN_REFERENCE_REQUESTS = 8


class SuspicionLimits(NamedTuple):
    """Sums from which a target is suspected.

    :param slow: Limit of the sum over service times.
    :param bad: Limit of the sum over bad requests.
    """

    slow: float
    bad: float


LIMITS_BY_CLASS = {
    "steady": SuspicionLimits(slow=14.0, bad=11.0),
    "swift": SuspicionLimits(slow=12.0, bad=8.0),
}


def suspicion_limits(service_class: str) -> SuspicionLimits:
    """Return the limits of a service class.

    :param service_class: ``steady`` or ``swift``.
    """
    return LIMITS_BY_CLASS[service_class]


class PeerSample(NamedTuple):
    """What another target of the service shows.

    :param target: Target id.
    :param log_ms_mean: Mean logarithm of its recent service times.
    :param log_ms_spread: Their standard deviation.
    :param bad_ratio: Recent share of bad requests.
    :param n_total: Requests that it finished.
    """

    target: str
    log_ms_mean: float
    log_ms_spread: float
    bad_ratio: float
    n_total: int


class Reference(NamedTuple):
    """What is usual in the service.

    :param mean: Median of the others' mean logarithms.
    :param spread: Median of their spreads.
    :param bad_ratio: Median of their bad ratios.
    """

    mean: float
    spread: float
    bad_ratio: float

    @property
    def very_slow(self) -> float:
        """Logarithm of the time from which a request counts as bad."""
        return self.mean + max(VERY_SLOW, VERY_SLOW_SPREADS * self.spread)

    def surprise(self, value: float, limit: float = MAX_DEVIATION) -> float:
        """Return by how much one service time moves the sum.

        :param value: Logarithm of the service time in milliseconds.
        :param limit: Greatest deviation that counts, in spreads.
        """
        deviation = (value - self.mean) / max(self.spread, MIN_SPREAD)
        return min(deviation, limit) - SLACK


class OutlierDetector:
    """Evidence about one target.

    Evidence that passes its limit is confirmed before it counts: the other targets
    must finish some requests more, and the target must still stand apart from them.
    Their older figures would not show that the whole service has changed.

    :param service_class: Class of the service.
    """

    def __init__(self, service_class: str) -> None:
        self._limits = suspicion_limits(service_class)
        self._logs: deque[float] = deque(maxlen=N_SPREAD)
        self._bads: deque[bool] = deque(maxlen=N_USUAL_BAD)
        self._slow_sum = 0.0
        self._bad_sum = 0.0
        self.n_total = 0
        self._peers_by_target: dict[str, PeerSample] = {}
        self._marks_by_target: dict[str, int] = {}

    def set_class(self, service_class: str) -> None:
        """Use the limits of another class; the evidence stays.

        :param service_class: ``steady`` or ``swift``.
        """
        self._limits = suspicion_limits(service_class)

    @property
    def own_sample(self) -> tuple[float, float, float]:
        """Mean and spread of the logarithm of service times, and bad ratio."""
        bad_ratio = fmean(self._bads) if self._bads else 0.0
        if not self._logs:
            return 0.0, 0.0, bad_ratio
        return fmean(self._recent), _deviation(self._logs), bad_ratio

    @property
    def _recent(self) -> list[float]:
        return list(self._logs)[-N_RECENT:]

    def update_peers(self, samples: Iterable[PeerSample]) -> None:
        """Take the newest figures of the service's other targets in use.

        :param samples: One sample a target.
        """
        self._peers_by_target = {sample.target: sample for sample in samples}

    def observe(self, service_ms: float) -> None:
        """Take one answered request of a target that is not judged yet.

        :param service_ms: Time from hand-over to the answer's head.
        """
        self.n_total += 1
        self._logs.append(_log_ms(service_ms))

    def note(self, service_ms: float, failed: bool) -> None:
        """Take one finished request.

        :param service_ms: Time from hand-over to the answer's head or the failure,
            in milliseconds.
        :param failed: Whether no whole answer came, or one that tells of an error.
        """
        self.n_total += 1
        value = _log_ms(service_ms)
        reference = self._reference()
        is_very_slow = reference is not None and value > reference.very_slow
        self._bads.append(failed or is_very_slow)
        if not failed:
            self._logs.append(value)
        if reference is None:
            return
        if not failed:
            self._slow_sum = max(0.0, self._slow_sum + reference.surprise(value))
        elif value > reference.mean + MIN_EFFECT:
            self._slow_sum += reference.surprise(value, MAX_OPEN_DEVIATION)
        self._bad_sum = max(0.0, self._bad_sum + self._bad_step(reference))

    def _bad_step(self, reference: Reference) -> float:
        """Return the logarithm of the likelihood ratio of the newest request."""
        usual = min(max(reference.bad_ratio, MIN_BAD_RATIO), MAX_BAD_RATIO)
        outlier = max(OUTLIER_BAD_RATIO, min(MAX_BAD_RATIO, 3 * usual))
        if self._bads[-1]:
            return math.log(outlier / usual)
        return math.log((1 - outlier) / (1 - usual))

    def is_outlier(self, ages_ms: tuple[float, ...] = ()) -> bool:
        """Tell whether the evidence suffices and is confirmed.

        :param ages_ms: Time since hand-over of each request that still runs.
        """
        reference = self._reference()
        if reference is None or not self._suffices(ages_ms, reference):
            self._marks_by_target = {}
            return False
        if not self._marks_by_target:
            peers = self._peers_by_target.values()
            self._marks_by_target = {s.target: s.n_total for s in peers}
        if not self._others_went_on():
            return False
        if self._is_apart(ages_ms, reference):
            return True
        self._forget_evidence()
        return False

    def _suffices(self, ages_ms: tuple[float, ...], reference: Reference) -> bool:
        """Tell whether one of the sums passes its limit.

        Requests that still run count as they stand, if they are late already.
        """
        slow_sum = self._slow_sum
        for value in self._late_logs(ages_ms, reference):
            surprise = reference.surprise(value, MAX_OPEN_DEVIATION)
            slow_sum += max(0.0, surprise)
        return slow_sum > self._limits.slow or self._bad_sum > self._limits.bad

    def _late_logs(
        self, ages_ms: tuple[float, ...], reference: Reference
    ) -> list[float]:
        values = map(_log_ms, ages_ms)
        return [value for value in values if value > reference.mean + MIN_EFFECT]

    def _is_apart(self, ages_ms: tuple[float, ...], reference: Reference) -> bool:
        """Tell whether the target differs from the others by enough to matter."""
        late = self._late_logs(ages_ms, reference)
        recent = [*self._recent, *late][-N_RECENT:]
        mean = fmean(recent) if recent else 0.0
        difference_ms = math.exp(mean) - math.exp(reference.mean)
        chance = CHANCE_ERRORS * reference.spread / math.sqrt(N_RECENT)
        effect = max(MIN_EFFECT, chance)
        if mean > reference.mean + effect and difference_ms > MIN_DIFFERENCE_MS:
            return True
        bad_ratio = fmean(list(self._bads)[-N_RECENT_BAD:]) if self._bads else 0.0
        usual = max(reference.bad_ratio, MIN_BAD_RATIO)
        return bad_ratio > 3 * usual and bad_ratio >= LEAST_BAD_RATIO

    def _others_went_on(self) -> bool:
        """Tell whether most others finished requests since the evidence sufficed."""
        peers = self._peers_by_target.values()
        marks = self._marks_by_target
        fresh = [
            s
            for s in peers
            if s.n_total - marks.get(s.target, s.n_total) >= MIN_REFERENCE_REQUESTS
        ]
        return len(fresh) > 0 and 2 * len(fresh) >= len(peers)

    def _reference(self) -> Reference | None:
        peers = self._peers_by_target.values()
        samples = [s for s in peers if s.n_total >= MIN_REFERENCE_REQUESTS]
        if not samples:
            return None
        return Reference(
            median(s.log_ms_mean for s in samples),
            median(s.log_ms_spread for s in samples),
            median(s.bad_ratio for s in samples),
        )

    def is_usual(self, service_ms: float) -> bool:
        """Tell whether one request took about as long as at the other targets.

        :param service_ms: Its service time, in milliseconds.
        """
        reference = self._reference()
        if reference is None:
            return True
        usual_ms = math.exp(reference.mean + MIN_EFFECT + 2 * reference.spread)
        return service_ms <= max(usual_ms, math.exp(reference.mean) + MIN_DIFFERENCE_MS)

    def _forget_evidence(self) -> None:
        self._slow_sum = 0.0
        self._bad_sum = 0.0
        self._marks_by_target = {}

    def reset(self) -> None:
        """Forget all, after a return or a restart of the target."""
        self._logs.clear()
        self._bads.clear()
        self._forget_evidence()


def _deviation(values: Collection[float]) -> float:
    """Return the standard deviation, in floats; ``pstdev`` works with fractions."""
    mean = fmean(values)
    return math.sqrt(fmean((value - mean) ** 2 for value in values))


def _log_ms(service_ms: float) -> float:
    return math.log(max(service_ms, MIN_SERVICE_MS))
