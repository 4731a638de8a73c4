"""Pictures of emulated runs."""

from collections.abc import Iterator, Mapping, Sequence

import matplotlib as mpl
import numpy as np

from benchmarks.emulator import Outcome, SiteFile

__all__ = ["plot_runs"]

# A second holds some fifty requests on today's sites; fewer make the lines jump.
STEP_S = 1.0
SIZE_IN = (9, 8)


def plot_runs(
    outcomes_by_policy: Mapping[str, Sequence[Outcome]], site: SiteFile, path: str
) -> None:
    """Draw service, latency and refusals over time, a line a policy.

    :param outcomes_by_policy: Requests of each policy, of all its runs.
    :param site: The site.
    :param path: Where to write the picture.
    """
    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415 - after the choice of the backend

    figure, axes = pyplot.subplots(3, 1, figsize=SIZE_IN, sharex=True)
    labels = ("in time, part", "95th percentile, s", "not run, part")
    for axis, label in zip(axes, labels, strict=True):
        axis.set_ylabel(label)
        axis.grid(alpha=0.3)
        for trouble in site.troubles:
            axis.axvspan(trouble.at_s, trouble.at_s + trouble.for_s, alpha=0.08)
    for name, outcomes in outcomes_by_policy.items():
        points = np.array(list(_points(outcomes, site.seconds)))
        for axis, values in zip(axes, points[:, 1:].T, strict=True):
            axis.plot(points[:, 0], values, label=name, linewidth=1)
    axes[0].legend(fontsize="small", ncols=3)
    axes[0].set_title(f"{site.name}: troubles are shaded")
    axes[-1].set_xlabel("time, s")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _points(outcomes: Sequence[Outcome], seconds: float) -> Iterator[tuple]:
    for start_s in np.arange(0.0, seconds, STEP_S):
        group = [o for o in outcomes if start_s <= o.at_s < start_s + STEP_S]
        if not group:
            continue
        took = [o.latency_s for o in group if o.status < 300] or [np.nan]
        yield (
            start_s,
            np.mean([o.in_time for o in group]),
            np.percentile(took, 95),
            np.mean([o.status in (429, 503) for o in group]),
        )
