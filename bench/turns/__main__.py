"""Prints the results of the sizing policies: python -m bench.turns [NAME ...]."""

import sys
import time

from heatherhatch_core.coordination.pool_sizes import PoolSizer

from .experiment import EXPERIMENTS
from .world import World


def main() -> None:
    """Run the named experiments, or all, with fixed pools and with the pool sizer."""
    for name in sys.argv[1:] or EXPERIMENTS:
        for policy, sizer in (("fixed", None), ("sizer", PoolSizer())):
            started_s = time.process_time()
            world = World(EXPERIMENTS[name], sizer)
            world.run()
            shares = [
                f"{pool} {item.work_on_time / max(1e-9, item.work):.3f}"
                for pool, item in world.outcomes.items()
            ]
            print(
                f"{name:8} {policy:8} machine-s {world.machine_s:7.0f}  moves "
                f"{world.moves:5}  work on time: {', '.join(shares)}  "
                f"({time.process_time() - started_s:.1f} s)"
            )


if __name__ == "__main__":
    main()
