"""The availability budget of pools: the permit of a voluntary step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import ErrorKind, HeatherhatchError
from .entities import WorkerState
from .transitions import INVOLUNTARY_STATES

if TYPE_CHECKING:
    from .changes import Edit
    from .configuration import Configuration


def room_of(config: Configuration, pool: str) -> int:
    """Return how many workers a pool may still give up; negative if it lacks some."""
    return len(config.serving_workers(pool)) - config.pools[pool].min_available


def check_budgets(before: Configuration, after: Configuration, edit: Edit) -> None:
    """Check that no voluntary step takes a pool below its budget.

    The check runs against the configuration right before the position that the
    edit is written to, and that write is the only way in. The permit is thus
    taken by the write itself. Involuntary steps are recorded whatever they cost.

    Raises:
        HeatherhatchError: ``BUDGET_EXCEEDED``.
    """
    for pool in sorted(_pools_left(before, after, edit)):
        if pool not in after.pools:
            continue
        if room_of(after, pool) < 0:
            raise HeatherhatchError(
                ErrorKind.BUDGET_EXCEEDED,
                f"pool {pool!r} would have {len(after.serving_workers(pool))} of"
                f" {after.pools[pool].min_available} workers",
            )


def _pools_left(before, after, edit) -> set[str]:
    pools = set()
    for name in edit.touched_workers:
        if name not in before.workers:
            continue
        if before.state_of(name) is not WorkerState.SERVING:
            continue
        gone = name not in after.workers
        if not gone and after.state_of(name) in INVOLUNTARY_STATES:
            continue
        if gone or after.state_of(name) is not WorkerState.SERVING:
            pools.add(before.pool_of(name))
    return pools
