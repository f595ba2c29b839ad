"""Simulates histories of a fleet of the target size and counts the violations.

Run ``python -m bench.fleet_history FIRST LAST`` to simulate three weeks for each
seed from FIRST to LAST.
"""

import sys
import time

from heatherhatch_standins.fleet_history import DAY_S, FleetHistory, Rates

from .fleet_cases import PERIOD_S, full_size

DAYS = PERIOD_S / DAY_S
SHORT_DAYS = 2.0
HOUR_S = 3600.0


def run(first: int = 1, last: int = 1, days: float = SHORT_DAYS) -> None:
    """Simulate the history of each seed and print the results."""
    for seed in range(first, last + 1):
        started_s = time.perf_counter()
        tally = FleetHistory(full_size(seed), seed, Rates()).run(days)
        lines = (
            ("budget-violations", tally.violations, "steps", 0),
            ("in-two-pools", tally.mismatched, "workers", 0),
            ("accepted", tally.accepted, "edits", None),
            ("refused", tally.refused.total(), "edits", None),
            ("moves", tally.moves, "moves", None),
            ("released-late", len(tally.late), "workers", None),
            ("below-budget", tally.short_pool_s / HOUR_S, "pool-hours", None),
            ("took", time.perf_counter() - started_s, "s", None),
        )
        for name, value, unit, target in lines:
            missed = target is not None and value > target
            note = f" MISSED target {target}" if missed else ""
            print(f"history-{seed}.{days:g}-days.{name} {value:g} {unit}{note}")


if __name__ == "__main__":
    run(int(sys.argv[1]), int(sys.argv[2]), DAYS)
