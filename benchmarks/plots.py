"""Plots the results of emulated runs over time."""

from collections.abc import Iterator, Mapping, Sequence

import matplotlib as mpl
import numpy as np

from benchmarks.emulator import Outcome, SiteFile

__all__ = ["plot_runs"]

# At the load of the sites, one second holds about fifty requests; shorter intervals
# make the lines noisy.
INTERVAL_S = 1.0
FIGURE_SIZE_IN = (9, 8)


def plot_runs(
    outcomes_by_policy: Mapping[str, Sequence[Outcome]], site: SiteFile, path: str
) -> None:
    """Plot requests in time, latency and refusals over time, with one line per policy.

    :param outcomes_by_policy: Outcomes of the requests of all runs, by policy.
    :param site: Description of the site.
    :param path: Path of the image file to write.
    """
    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415 - imported after the backend is set

    figure, axes = pyplot.subplots(3, 1, figsize=FIGURE_SIZE_IN, sharex=True)
    labels = ("in time, part", "95th percentile, s", "not run, part")
    for axis, label in zip(axes, labels, strict=True):
        axis.set_ylabel(label)
        axis.grid(alpha=0.3)
        for trouble in site.troubles:
            axis.axvspan(trouble.at_s, trouble.at_s + trouble.for_s, alpha=0.08)
    for name, outcomes in outcomes_by_policy.items():
        points = np.array(list(_compute_points(outcomes, site.seconds)))
        for axis, values in zip(axes, points[:, 1:].T, strict=True):
            axis.plot(points[:, 0], values, label=name, linewidth=1)
    axes[0].legend(fontsize="small", ncols=3)
    axes[0].set_title(f"{site.name}: troubles are shaded")
    axes[-1].set_xlabel("time, s")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _compute_points(outcomes: Sequence[Outcome], seconds: float) -> Iterator[tuple]:
    for start_s in np.arange(0.0, seconds, INTERVAL_S):
        group = [o for o in outcomes if start_s <= o.at_s < start_s + INTERVAL_S]
        if not group:
            continue
        latencies_s = [o.latency_s for o in group if o.status < 300] or [np.nan]
        yield (
            start_s,
            np.mean([o.in_time for o in group]),
            np.percentile(latencies_s, 95),
            np.mean([o.status in (429, 503) for o in group]),
        )
