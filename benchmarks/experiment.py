"""Compares scheduling and placement policies on an emulated site.

.venv/bin/pip install -e '.[plots]'
.venv/bin/python -m benchmarks.experiment run benchmarks/sites/permits.toml \
    --seeds 3 --plot permits.png
"""

import sys
from collections.abc import Iterator, Sequence

import fire
from tqdm import tqdm

from benchmarks.emulator import (
    POLICIES_BY_NAME,
    Outcome,
    Summary,
    World,
    load_site,
    summarize,
)
from benchmarks.plots import plot_runs

HEADINGS = (
    "policy",
    "requests",
    "value",
    "in time",
    "late",
    "not run",
    "unknown",
    "held s",
    "worst customer",
    "worst route",
)


def run(site: str, seeds: int = 3, plot: str = "", policies: str = "") -> None:
    """Emulate a site under each policy and print a table of the results.

    :param site: Path of the site's TOML file.
    :param seeds: Number of runs per policy, with the seeds 1, 2 and so on.
    :param plot: Path of the plot to write; none if empty.
    :param policies: Policy names separated by commas; all if empty.
    """
    loaded = load_site(site)
    names = [name.strip() for name in policies.split(",") if name.strip()]
    names = names or list(POLICIES_BY_NAME)
    unknown = [name for name in names if name not in POLICIES_BY_NAME]
    if loaded.is_err() or unknown:
        problem = loaded.err() or f"unknown policies: {', '.join(unknown)}"
        print(f"error: {problem}", file=sys.stderr)
        sys.exit(2)
    outcomes_by_policy: dict[str, list[Outcome]] = {name: [] for name in names}
    policy_seeds = [(name, seed) for name in names for seed in range(1, seeds + 1)]
    for name, seed in tqdm(policy_seeds, unit="run", file=sys.stderr):
        world = World(loaded.ok_value, POLICIES_BY_NAME[name], seed)
        outcomes_by_policy[name] += world.play()
    summaries = {name: summarize(o) for name, o in outcomes_by_policy.items()}
    print("\n".join(table(summaries)))
    if plot:
        plot_runs(outcomes_by_policy, loaded.ok_value, plot)


def table(summaries_by_policy: dict[str, Summary]) -> Iterator[str]:
    """Yield the lines of a Markdown table of results.

    :param summaries_by_policy: Summary figures of each policy.
    """
    yield _format_row(HEADINGS)
    yield _format_row(["---"] * len(HEADINGS))
    for name, summary in summaries_by_policy.items():
        parts = [f"{value:.3f}" for value in summary[1:]]
        yield _format_row([name, str(summary.n), *parts])


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Run the command line."""
    fire.Fire({"run": run})


if __name__ == "__main__":
    main()
