"""Tells whether a target is an outlier among the targets of its service.

Two cumulative sums run over a target's own requests: one of the logarithm of the
service time against the service's other targets, one of failed or very slow
requests. A sum rises only while the evidence is against the target (Page,
"Continuous inspection schemes", Biometrika 41, 1954). Nothing is compared with a
fixed bound, so a service whose targets all slow together has no outlier.
"""

import math
from collections import deque
from collections.abc import Iterable
from statistics import fmean, median
from typing import NamedTuple

__all__ = ["OutlierDetector", "PeerSample", "SuspicionLimits", "suspicion_limits"]

N_RECENT = 16
MIN_SPREAD = 0.25
MAX_DEVIATION = 4.0
SLACK = 1.0
MIN_EFFECT = math.log(2.0)
MIN_DIFFERENCE_MS = 5.0
VERY_SLOW_FACTOR = 8.0
MIN_BAD_RATIO = 0.02
OUTLIER_BAD_RATIO = 0.3
MIN_REFERENCE_REQUESTS = 5
MAX_SPREAD_WEIGHT = 0.1
BAD_RATIO_WEIGHT = 1 / 64


class SuspicionLimits(NamedTuple):
    """Sums from which a target is suspected.

    :param slow: Limit of the sum over service times.
    :param bad: Limit of the sum over bad requests.
    """

    slow: float
    bad: float


LIMITS_BY_CLASS = {
    "steady": SuspicionLimits(slow=12.0, bad=11.0),
    "swift": SuspicionLimits(slow=8.0, bad=8.0),
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


class OutlierDetector:
    """Evidence about one target.

    :param service_class: Class of the service.
    """

    def __init__(self, service_class: str) -> None:
        self._limits = suspicion_limits(service_class)
        self._logs: deque[float] = deque(maxlen=N_RECENT)
        self._bad_ratio = 0.0
        self._slow_sum = 0.0
        self._bad_sum = 0.0
        self._n_since_rise = 0
        self.n_total = 0
        self._peers_by_target: dict[str, PeerSample] = {}
        self._marks_by_target: dict[str, int] = {}
        self._suspected = False

    @property
    def own_sample(self) -> tuple[float, float, float]:
        """Mean and spread of the logarithm of service times, and bad ratio."""
        if not self._logs:
            return 0.0, 0.0, self._bad_ratio
        mean = fmean(self._logs)
        variance = fmean((value - mean) ** 2 for value in self._logs)
        return mean, math.sqrt(variance), self._bad_ratio

    def update_peers(self, samples: Iterable[PeerSample]) -> None:
        """Take the newest figures of the service's other targets in use.

        :param samples: One sample a target.
        """
        self._peers_by_target = {sample.target: sample for sample in samples}

    def note(self, service_ms: float, failed: bool) -> None:
        """Take one finished request.

        :param service_ms: Time from hand-over to the answer's head or the failure,
            in milliseconds.
        :param failed: Whether no whole answer came.
        """
        self.n_total += 1
        value = math.log(max(service_ms, 0.1))
        reference = self._reference()
        if not failed:
            self._logs.append(value)
        slow_from = (reference.mean if reference else value) + math.log(
            VERY_SLOW_FACTOR
        )
        bad = failed or value > slow_from
        self._bad_ratio += BAD_RATIO_WEIGHT * (bad - self._bad_ratio)
        if reference is not None:
            self._accumulate(value, bad, failed, reference)

    def observe(self, service_ms: float) -> None:
        """Take one answered request of a target that is not judged yet.

        :param service_ms: Time from hand-over to the answer's head.
        """
        self.n_total += 1
        self._logs.append(math.log(max(service_ms, 0.1)))

    def _accumulate(
        self, value: float, bad: bool, failed: bool, reference: Reference
    ) -> None:
        was_zero = self._slow_sum == 0 and self._bad_sum == 0
        if not failed:
            spread = max(reference.spread, MIN_SPREAD)
            deviation = min((value - reference.mean) / spread, MAX_DEVIATION)
            self._slow_sum = max(0.0, self._slow_sum + deviation - SLACK)
        usual = max(reference.bad_ratio, MIN_BAD_RATIO)
        outlier = max(OUTLIER_BAD_RATIO, min(0.9, 3 * usual))
        ratio = outlier / usual if bad else (1 - outlier) / (1 - usual)
        self._bad_sum = max(0.0, self._bad_sum + math.log(ratio))
        if was_zero and (self._slow_sum > 0 or self._bad_sum > 0):
            self._mark_peers()

    def _mark_peers(self) -> None:
        """Note how far the others were when the evidence began to mount."""
        samples = self._peers_by_target.values()
        self._marks_by_target = {s.target: s.n_total for s in samples}

    def note_open(self, ages_ms: Iterable[float]) -> float:
        """Return the slow sum with requests that still run counted as they stand.

        :param ages_ms: Time since hand-over of each request, in milliseconds.
        """
        reference = self._reference()
        if reference is None:
            return 0.0
        total = self._slow_sum
        spread = max(reference.spread, MIN_SPREAD)
        for age_ms in ages_ms:
            value = math.log(max(age_ms, 0.1))
            if value > reference.mean + MIN_EFFECT:
                deviation = min((value - reference.mean) / spread, MAX_DEVIATION)
                total += max(0.0, deviation - SLACK)
        if total > 0 and self._slow_sum == 0 and not self._marks_by_target:
            self._mark_peers()
        return total

    def is_outlier(self, ages_ms: tuple[float, ...] = ()) -> bool:
        """Tell whether the evidence suffices and the others were asked since.

        :param ages_ms: Time since hand-over of each request that still runs.
        """
        reference = self._reference()
        if reference is None:
            return False
        slow_sum = self.note_open(ages_ms)
        if slow_sum == 0 and self._bad_sum == 0:
            self._marks_by_target = {}
            return False
        is_slow = slow_sum > self._limits.slow and self._effect(ages_ms, reference)
        is_bad = self._bad_sum > self._limits.bad
        return (is_slow or is_bad) and self._others_went_on()

    def _effect(self, ages_ms: tuple[float, ...], reference: Reference) -> bool:
        """Tell whether the target is slower by enough to matter."""
        open_logs = [math.log(max(age_ms, 0.1)) for age_ms in ages_ms]
        slow_open = [v for v in open_logs if v > reference.mean + MIN_EFFECT]
        recent = [*list(self._logs)[-8:], *slow_open][-8:]
        if not recent:
            return False
        usual_ms = math.exp(reference.mean)
        mean = fmean(recent)
        is_apart = math.exp(mean) - usual_ms > MIN_DIFFERENCE_MS
        return is_apart and mean - reference.mean > MIN_EFFECT

    def _others_went_on(self) -> bool:
        """Tell whether most others finished requests since the evidence began.

        Their older figures would not show that the whole service has slowed.
        """
        peers = self._peers_by_target.values()
        n_needed = MIN_REFERENCE_REQUESTS
        fresh = [
            s
            for s in peers
            if s.n_total - self._marks_by_target.get(s.target, s.n_total) >= n_needed
        ]
        return len(fresh) > 0 and 2 * len(fresh) >= len(peers)

    def _reference(self) -> Reference | None:
        samples = [
            s
            for s in self._peers_by_target.values()
            if s.n_total >= MIN_REFERENCE_REQUESTS
        ]
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

    def reset(self) -> None:
        """Forget the evidence, after a return or a restart of the target."""
        self._logs.clear()
        self._bad_ratio = 0.0
        self._slow_sum = 0.0
        self._bad_sum = 0.0
        self._marks_by_target = {}
