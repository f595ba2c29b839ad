"""Placement: on which workers a job fits, and why it fits on none."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.entities import Worker, WorkerState
from ..state.jobs import JobSpec, Usage

LEAVE_MARGIN_S = 60.0
DrainTime = Callable[[str], float | None]


@dataclass(slots=True)
class FreeCapacity:
    """Free capacity of one worker.

    Attributes:
        worker: The worker and its total capacity.
        cpus: Free processors; negative if the worker is overcommitted.
        memory_mb: Free memory in mebibytes.
        accelerators: Free accelerator devices.
        drain_at_s: When the worker must be drained, seconds since the epoch;
            infinite if no date is known.
    """

    worker: Worker
    cpus: float
    memory_mb: float
    accelerators: float
    drain_at_s: float = float("inf")

    def fits(self, need: Usage) -> bool:
        """Return True if a job fits into the free capacity."""
        return (
            need.cpus <= self.cpus
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def take(self, need: Usage) -> None:
        """Deduct what a job uses."""
        self.cpus -= need.cpus
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def shortage(self, need: Usage) -> float:
        """Return what is missing for a job, as a fraction of the worker's size."""
        worker = self.worker
        return max(
            (need.cpus - self.cpus) / worker.cpus,
            (need.memory_mb - self.memory_mb) / worker.memory_mb,
            (need.accelerators - self.accelerators) / max(1, worker.accelerators),
        )

    def left_over(self, need: Usage) -> float:
        """Return what would stay free, as a sum of fractions of the worker's size."""
        worker = self.worker
        return (
            (self.cpus - need.cpus) / worker.cpus
            + (self.memory_mb - need.memory_mb) / worker.memory_mb
            + (self.accelerators - need.accelerators) / max(1, worker.accelerators)
        )


def full_capacity(worker: Worker, drain_at_s: float | None) -> FreeCapacity:
    """Return the capacity of a worker without jobs."""
    at_s = float("inf") if drain_at_s is None else drain_at_s
    return FreeCapacity(
        worker, worker.cpus, worker.memory_mb, worker.accelerators, at_s
    )


def worker_capacities(
    config: Configuration, drain_time: DrainTime
) -> dict[str, dict[str, FreeCapacity]]:
    """Return the capacity of every serving worker, by pool and worker.

    No running jobs are deducted. Workers that run no jobs are left out.
    """
    free: dict[str, dict[str, FreeCapacity]] = {}
    for worker_id in sorted(config.workers):
        worker = config.workers[worker_id]
        serving = config.state_of(worker_id) is WorkerState.SERVING
        if serving and worker.control:
            pool = free.setdefault(config.pool_of(worker_id), {})
            pool[worker_id] = full_capacity(worker, drain_time(worker_id))
    return free


def clamp(need: Usage, free: Iterable[FreeCapacity]) -> Usage:
    """Return a need limited to the size of the largest worker.

    Declared processors and memory are hints: a job that declares more than any
    worker has is placed on a whole worker.
    """
    workers = [capacity.worker for capacity in free]
    if not workers:
        return need
    return Usage(
        min(need.cpus, max(worker.cpus for worker in workers)),
        min(need.memory_mb, max(worker.memory_mb for worker in workers)),
        need.accelerators,
        need.run_s,
    )


def place(
    need: Usage, spec: JobSpec, free: Iterable[FreeCapacity], now_s: float
) -> tuple[str, ...]:
    """Return the workers for a job's whole gang, or an empty tuple.

    Best fit: the workers with the least capacity left over come first, so that
    large jobs still fit later. A job that can't be checkpointed starts only where
    it can end before the worker leaves.

    Args:
        need: Estimated usage of each member.
        spec: What was declared.
        free: Free capacity of the workers that may be used.
        now_s: Seconds since the epoch.
    """
    needed_until_s = now_s + LEAVE_MARGIN_S
    if not spec.checkpoints:
        needed_until_s += need.run_s
    eligible = [
        capacity
        for capacity in free
        if capacity.fits(need) and capacity.drain_at_s > needed_until_s
    ]
    if len(eligible) < spec.gang:
        return ()
    eligible.sort(
        key=lambda capacity: (capacity.left_over(need), capacity.worker.worker_id)
    )
    return tuple(capacity.worker.worker_id for capacity in eligible[: spec.gang])


def unplaceable_reason(spec: JobSpec, pool: str, config: Configuration) -> str:
    """Return why a job can never run in its pool, or an empty string.

    Workers count in any state, because those that are away return.
    """
    workers = [
        worker
        for worker_id, worker in config.workers.items()
        if worker.control and config.pool_of(worker_id) == pool
    ]
    if not workers:
        return f"pool {pool!r} has no worker that runs jobs"
    eligible = [item for item in workers if item.accelerators >= spec.accelerators]
    if not eligible:
        largest = max(worker.accelerators for worker in workers)
        return (
            f"{spec.accelerators} accelerators on one worker are required;"
            f" pool {pool!r} has at most {largest}"
        )
    if len(eligible) < spec.gang:
        return (
            f"a gang of {spec.gang} workers is required;"
            f" pool {pool!r} has {len(eligible)} that fit"
        )
    return ""
