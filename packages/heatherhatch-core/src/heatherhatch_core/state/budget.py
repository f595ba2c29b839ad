"""The availability budget of pools: checks that bound voluntary disruptions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import ErrorKind, HeatherhatchError
from .entities import WorkerState
from .transitions import INVOLUNTARY_STATES

if TYPE_CHECKING:
    from .changes import Edit
    from .configuration import Configuration


def budget_headroom(config: Configuration, pool: str) -> int:
    """Return how many workers may leave a pool; negative if it is below its minimum."""
    return len(config.serving_workers(pool)) - config.pools[pool].min_available


def check_budgets(before: Configuration, after: Configuration, edit: Edit) -> None:
    """Check that no voluntary transition takes a pool below its budget.

    The check runs against the configuration right before the log position that
    the edit is written to. The write succeeds only at that position, so the write
    itself reserves the budget. Involuntary transitions are always recorded, even
    if they exceed the budget.

    Raises:
        HeatherhatchError: ``BUDGET_EXCEEDED`` if a pool would have fewer serving
            workers than its minimum.
    """
    for pool in sorted(_pools_losing_workers(before, after, edit)):
        if pool not in after.pools:
            continue
        if budget_headroom(after, pool) < 0:
            raise HeatherhatchError(
                ErrorKind.BUDGET_EXCEEDED,
                f"pool {pool!r} would have {len(after.serving_workers(pool))} serving"
                f" workers but needs {after.pools[pool].min_available} workers",
            )


def _pools_losing_workers(before, after, edit) -> set[str]:
    pools = set()
    for name in edit.touched_workers:
        if name not in before.workers:
            continue
        if before.state_of(name) is not WorkerState.SERVING:
            continue
        removed = name not in after.workers
        if not removed and after.state_of(name) in INVOLUNTARY_STATES:
            continue
        if removed or after.state_of(name) is not WorkerState.SERVING:
            pools.add(before.pool_of(name))
    return pools
