"""Prints measurements as lines of name, value and unit."""

import time

from heatherhatch_core.coordination.planner import plan_waves
from heatherhatch_core.state.configuration import Configuration

from . import fleet, jobs, requests


def main() -> None:
    """Run every measurement."""
    begun = time.perf_counter()
    plan_waves(Configuration(), 0.0)
    print(f"plan.empty {(time.perf_counter() - begun) * 1e3:.3f} ms")
    requests.run()
    fleet.run()
    jobs.run()


if __name__ == "__main__":
    main()
