"""Detects gray targets: outliers among the targets of a service.

Two cumulative sums (CUSUM) run over the target's own requests. One adds up how far the
logarithms of its service times exceed those of the service's other targets, the other
its failed or very slow requests. A sum grows only while requests point to an outlier
(Page, "Continuous inspection schemes", Biometrika 41, 1954). Targets are compared with
each other and not with a fixed bound, so a service whose targets all become slow
together has no outlier.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from statistics import fmean, median
from typing import NamedTuple

__all__ = ["OutlierDetector", "PeerSample", "SuspicionLimits", "suspicion_limits"]

N_RECENT_TIMES = 8
N_SPREAD_TIMES = 64
N_RECENT_RESULTS = 16
N_RATIO_RESULTS = 64
MIN_SERVICE_MS = 0.1
MIN_SPREAD = 0.25
MAX_DEVIATION = 4.0
MAX_OPEN_DEVIATION = 8.5
CUSUM_SLACK = 1.0
MIN_LOG_DIFFERENCE = math.log(2.0)
MIN_STANDARD_ERRORS = 4.0  # of a mean; smaller differences may be noise
MIN_DIFFERENCE_MS = 5.0
VERY_SLOW_LOG_RATIO = math.log(8.0)
VERY_SLOW_SPREADS = 4.0
MIN_BAD_RATIO = 0.02
MAX_BAD_RATIO = 0.9
MIN_OUTLIER_BAD_RATIO = 0.3
MIN_CONFIRMED_BAD_RATIO = 0.15
MIN_PEER_REQUESTS = 8


class SuspicionLimits(NamedTuple):
    """Limits of the cumulative sums; a target that exceeds one is suspected.

    :param slow: Limit of the sum over service times.
    :param bad: Limit of the sum over failed or very slow requests.
    """

    slow: float
    bad: float


LIMITS_BY_CLASS = {
    "steady": SuspicionLimits(slow=14.0, bad=11.0),
    "swift": SuspicionLimits(slow=12.0, bad=8.0),
}


def suspicion_limits(service_class: str) -> SuspicionLimits:
    """Return the limits of the cumulative sums for a service class.

    :param service_class: ``steady`` or ``swift``.
    """
    return LIMITS_BY_CLASS[service_class]


class PeerSample(NamedTuple):
    """Reported statistics of another target of the service.

    :param target: Target id.
    :param log_ms_mean: Mean logarithm of its recent service times in milliseconds.
    :param log_ms_spread: Standard deviation of these logarithms.
    :param bad_ratio: Share of failed or very slow requests among its recent ones.
    :param n_total: Number of requests that it finished.
    """

    target: str
    log_ms_mean: float
    log_ms_spread: float
    bad_ratio: float
    n_total: int


class Reference(NamedTuple):
    """Typical statistics of the other targets of the service.

    :param mean: Median of their mean logarithms.
    :param spread: Median of their spreads.
    :param bad_ratio: Median of their bad ratios.
    """

    mean: float
    spread: float
    bad_ratio: float

    @property
    def very_slow_log_ms(self) -> float:
        """Logarithm of the service time from which a request counts as very slow."""
        return self.mean + max(VERY_SLOW_LOG_RATIO, VERY_SLOW_SPREADS * self.spread)

    def cusum_increment(self, value: float, limit: float = MAX_DEVIATION) -> float:
        """Return the amount that one service time adds to the cumulative sum.

        :param value: Logarithm of the service time in milliseconds.
        :param limit: Largest deviation that is added, in spreads.
        """
        deviation = (value - self.mean) / max(self.spread, MIN_SPREAD)
        return min(deviation, limit) - CUSUM_SLACK


class OutlierDetector:
    """Detector for one target.

    A cumulative sum above its limit has to be confirmed: the other targets must finish
    some more requests, and the target must still differ from them. Without this, a
    change of the whole service would look like an outlier, because the other targets'
    older statistics do not show it yet.

    :param service_class: Class of the service, ``steady`` or ``swift``.
    """

    def __init__(self, service_class: str) -> None:
        self._limits = suspicion_limits(service_class)
        self._log_times: deque[float] = deque(maxlen=N_SPREAD_TIMES)
        self._bad_flags: deque[bool] = deque(maxlen=N_RATIO_RESULTS)
        self._slow_cusum = 0.0
        self._bad_cusum = 0.0
        self.n_total = 0
        self._peers_by_target: dict[str, PeerSample] = {}
        self._baseline_counts_by_target: dict[str, int] = {}

    def set_class(self, service_class: str) -> None:
        """Use the limits of another service class, and keep the cumulative sums.

        :param service_class: ``steady`` or ``swift``.
        """
        self._limits = suspicion_limits(service_class)

    @property
    def own_sample(self) -> tuple[float, float, float]:
        """Mean and spread of the logarithms of service times, and bad ratio."""
        bad_ratio = fmean(self._bad_flags) if self._bad_flags else 0.0
        if not self._log_times:
            return 0.0, 0.0, bad_ratio
        return (
            fmean(self._recent_log_times),
            _standard_deviation(self._log_times),
            bad_ratio,
        )

    @property
    def _recent_log_times(self) -> list[float]:
        return list(self._log_times)[-N_RECENT_TIMES:]

    def update_peers(self, samples: Iterable[PeerSample]) -> None:
        """Replace the statistics of the service's other targets in use.

        :param samples: One sample per target.
        """
        self._peers_by_target = {sample.target: sample for sample in samples}

    def observe(self, service_ms: float) -> None:
        """Record an answered request of a target that is not evaluated yet.

        :param service_ms: Time from sending the request to the response head, in
            milliseconds.
        """
        self.n_total += 1
        self._log_times.append(_to_log_ms(service_ms))

    def note(self, service_ms: float, failed: bool) -> None:
        """Record a finished request, and update the cumulative sums.

        :param service_ms: Time from sending the request to the response head or the
            failure, in milliseconds.
        :param failed: Whether the response was incomplete, missing or an error.
        """
        self.n_total += 1
        value = _to_log_ms(service_ms)
        reference = self._reference()
        is_very_slow = reference is not None and value > reference.very_slow_log_ms
        self._bad_flags.append(failed or is_very_slow)
        if not failed:
            self._log_times.append(value)
        if reference is None:
            return
        if not failed:
            self._slow_cusum = max(
                0.0, self._slow_cusum + reference.cusum_increment(value)
            )
        elif value > reference.mean + MIN_LOG_DIFFERENCE:
            self._slow_cusum += reference.cusum_increment(value, MAX_OPEN_DEVIATION)
        self._bad_cusum = max(0.0, self._bad_cusum + self._bad_increment(reference))

    def _bad_increment(self, reference: Reference) -> float:
        """Return the logarithm of the likelihood ratio of the newest request."""
        peer_ratio = min(max(reference.bad_ratio, MIN_BAD_RATIO), MAX_BAD_RATIO)
        outlier_ratio = max(MIN_OUTLIER_BAD_RATIO, min(MAX_BAD_RATIO, 3 * peer_ratio))
        if self._bad_flags[-1]:
            return math.log(outlier_ratio / peer_ratio)
        return math.log((1 - outlier_ratio) / (1 - peer_ratio))

    def is_outlier(self, open_ages_ms: tuple[float, ...] = ()) -> bool:
        """Return whether a cumulative sum exceeds its limit and is confirmed.

        If the confirmation shows no difference from the other targets, the sums are
        reset.

        :param open_ages_ms: Time since each open request was sent, in milliseconds.
        """
        reference = self._reference()
        if reference is None or not self._exceeds_limit(open_ages_ms, reference):
            self._baseline_counts_by_target = {}
            return False
        if not self._baseline_counts_by_target:
            peers = self._peers_by_target.values()
            self._baseline_counts_by_target = {s.target: s.n_total for s in peers}
        if not self._have_peers_progressed():
            return False
        if self._differs_from_peers(open_ages_ms, reference):
            return True
        self._reset_sums()
        return False

    def _exceeds_limit(
        self, open_ages_ms: tuple[float, ...], reference: Reference
    ) -> bool:
        """Return whether one of the cumulative sums exceeds its limit.

        Open requests that are already late count with their age so far.
        """
        slow_cusum = self._slow_cusum
        for value in self._late_log_times(open_ages_ms, reference):
            cusum_increment = reference.cusum_increment(value, MAX_OPEN_DEVIATION)
            slow_cusum += max(0.0, cusum_increment)
        return slow_cusum > self._limits.slow or self._bad_cusum > self._limits.bad

    def _late_log_times(
        self, open_ages_ms: tuple[float, ...], reference: Reference
    ) -> list[float]:
        values = map(_to_log_ms, open_ages_ms)
        return [
            value for value in values if value > reference.mean + MIN_LOG_DIFFERENCE
        ]

    def _differs_from_peers(
        self, open_ages_ms: tuple[float, ...], reference: Reference
    ) -> bool:
        """Return whether the target differs from the others by a relevant amount."""
        late_log_times = self._late_log_times(open_ages_ms, reference)
        recent = [*self._recent_log_times, *late_log_times][-N_RECENT_TIMES:]
        mean = fmean(recent) if recent else 0.0
        difference_ms = math.exp(mean) - math.exp(reference.mean)
        noise = MIN_STANDARD_ERRORS * reference.spread / math.sqrt(N_RECENT_TIMES)
        min_difference = max(MIN_LOG_DIFFERENCE, noise)
        if mean > reference.mean + min_difference and difference_ms > MIN_DIFFERENCE_MS:
            return True
        bad_ratio = (
            fmean(list(self._bad_flags)[-N_RECENT_RESULTS:]) if self._bad_flags else 0.0
        )
        peer_ratio = max(reference.bad_ratio, MIN_BAD_RATIO)
        return bad_ratio > 3 * peer_ratio and bad_ratio >= MIN_CONFIRMED_BAD_RATIO

    def _have_peers_progressed(self) -> bool:
        """Return whether at least half of the other targets have progressed.

        That is, they have finished some requests since a cumulative sum exceeded its
        limit.
        """
        peers = self._peers_by_target.values()
        baseline_counts = self._baseline_counts_by_target
        progressed = [
            s
            for s in peers
            if s.n_total - baseline_counts.get(s.target, s.n_total) >= MIN_PEER_REQUESTS
        ]
        return len(progressed) > 0 and 2 * len(progressed) >= len(peers)

    def _reference(self) -> Reference | None:
        peers = self._peers_by_target.values()
        samples = [s for s in peers if s.n_total >= MIN_PEER_REQUESTS]
        if not samples:
            return None
        return Reference(
            median(s.log_ms_mean for s in samples),
            median(s.log_ms_spread for s in samples),
            median(s.bad_ratio for s in samples),
        )

    def is_typical(self, service_ms: float) -> bool:
        """Return whether a service time is typical of the other targets.

        :param service_ms: Service time, in milliseconds.
        """
        reference = self._reference()
        if reference is None:
            return True
        typical_ms = math.exp(
            reference.mean + MIN_LOG_DIFFERENCE + 2 * reference.spread
        )
        return service_ms <= max(
            typical_ms, math.exp(reference.mean) + MIN_DIFFERENCE_MS
        )

    def _reset_sums(self) -> None:
        self._slow_cusum = 0.0
        self._bad_cusum = 0.0
        self._baseline_counts_by_target = {}

    def reset(self) -> None:
        """Discard all records, after the target was put back into use or restarted."""
        self._log_times.clear()
        self._bad_flags.clear()
        self._reset_sums()


def _standard_deviation(values: Collection[float]) -> float:
    """Return the standard deviation, in floats; ``pstdev`` uses fractions."""
    mean = fmean(values)
    return math.sqrt(fmean((value - mean) ** 2 for value in values))


def _to_log_ms(service_ms: float) -> float:
    return math.log(max(service_ms, MIN_SERVICE_MS))
