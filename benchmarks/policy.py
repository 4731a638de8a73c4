"""Compares detection, latency, refusals and failures of the policy and two baselines.

.venv/bin/python -m benchmarks.policy [--hour] [--seeds N]
"""

import argparse
import statistics

from benchmarks.policy_driver import (
    CONTESTS,
    GRAY_FAULTS,
    NON_GRAY_FAULTS,
    PERMITS,
    POLICIES,
    Driver,
    Scenario,
)


def _format_value(value: float | None, form: str) -> str:
    return "never" if value is None else format(value, form)


def row(deployment, scenario: Scenario, policy: str, seeds: range) -> str:
    """Return one row of the table, aggregated over all seeds.

    Latency is the median, ratios are means, false ejections are summed, and detection
    and targets in use are those of the worst run.
    """
    runs = [Driver(deployment, scenario, policy, seed).run() for seed in seeds]
    detections_s = [run.detection_s for run in runs if run.detection_s is not None]
    slowest = max(detections_s) if len(detections_s) == len(runs) else None
    n_false = sum(run.n_false for run in runs)
    median_ms = statistics.median(run.worst_p99_ms for run in runs)
    refused = statistics.mean(run.refused_ratio for run in runs)
    failed = statistics.mean(run.failed_ratio for run in runs)
    least = min(run.least_in_use for run in runs)
    return (
        f"| {deployment.name} | {scenario.fault} | {scenario.rate_per_target:g} "
        f"| {policy} | {_format_value(slowest, '.2f')} | {n_false} | {median_ms:.0f} "
        f"| {refused:.3%} | {failed:.3%} | {least} of {deployment.n_targets} |"
    )


def main() -> None:
    """Run the benchmark and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--hour", action="store_true", help="also an hour without fault"
    )
    options = parser.parse_args()
    seeds = range(options.seeds)
    print("| service | fault | req/s a target | policy | slowest detection s ", end="")
    print(
        "| false ejections | worst customer p99 ms | refused | failed | least in use |"
    )
    print("| --- " * 10 + "|")
    for deployment in (PERMITS, CONTESTS):
        for fault in GRAY_FAULTS + NON_GRAY_FAULTS:
            for policy in POLICIES:
                print(row(deployment, Scenario(fault), policy, seeds), flush=True)
        fast = Scenario("slow", rate_per_target=100, seconds=30, service_ms=12)
        print(row(deployment, fast, "heatherspur", seeds), flush=True)
        if options.hour:
            hour = Scenario(seconds=3600)
            print(row(deployment, hour, "heatherspur", range(1)), flush=True)
    for factor in (1.0, 5.0):
        noisy = Scenario(seconds=40, service_ms=20, noisy_factor=factor)
        for policy in POLICIES[:2]:
            print(f"noisy customer at {factor:g} times its rate, not limited:")
            print(row(PERMITS, noisy, policy, seeds), flush=True)


if __name__ == "__main__":
    main()
