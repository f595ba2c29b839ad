"""Placement: on which workers a job fits, and what is lacking if on none."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.entities import Worker, WorkerState
from ..state.jobs import JobSpec, Usage

LEAVE_MARGIN_S = 60.0
LeavingAt = Callable[[str], float | None]


@dataclass(slots=True)
class Room:
    """What is free on one worker.

    Attributes:
        worker: The worker and its whole size.
        cpus: Free processors; below zero if more is used than there is.
        memory_mb: Free memory in mebibytes.
        accelerators: Free accelerator devices.
        leaves_s: When it leaves for maintenance, seconds since the epoch;
            infinite if no date is known.
    """

    worker: Worker
    cpus: float
    memory_mb: float
    accelerators: float
    leaves_s: float = float("inf")

    def fits(self, need: Usage) -> bool:
        """Tell whether a job fits here beside what runs."""
        return (
            need.cpus <= self.cpus
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def take(self, need: Usage) -> None:
        """Count a job as running here."""
        self.cpus -= need.cpus
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def shortage(self, need: Usage) -> float:
        """Return how much is missing for a job, as a part of the worker's size."""
        worker = self.worker
        return max(
            (need.cpus - self.cpus) / worker.cpus,
            (need.memory_mb - self.memory_mb) / worker.memory_mb,
            (need.accelerators - self.accelerators) / max(1, worker.accelerators),
        )

    def left_over(self, need: Usage) -> float:
        """Return how much would stay free, as parts of the worker's size."""
        worker = self.worker
        return (
            (self.cpus - need.cpus) / worker.cpus
            + (self.memory_mb - need.memory_mb) / worker.memory_mb
            + (self.accelerators - need.accelerators) / max(1, worker.accelerators)
        )


def room_of(worker: Worker, leaves_s: float | None) -> Room:
    """Return the room on an empty worker."""
    leaves = float("inf") if leaves_s is None else leaves_s
    return Room(worker, worker.cpus, worker.memory_mb, worker.accelerators, leaves)


def rooms_of(
    config: Configuration, leaving_at: LeavingAt
) -> dict[str, dict[str, Room]]:
    """Return the empty room of every serving worker, by pool and worker."""
    rooms: dict[str, dict[str, Room]] = {}
    for worker_id in sorted(config.workers):
        worker = config.workers[worker_id]
        serving = config.state_of(worker_id) is WorkerState.SERVING
        if serving and worker.control:
            pool = rooms.setdefault(config.pool_of(worker_id), {})
            pool[worker_id] = room_of(worker, leaving_at(worker_id))
    return rooms


def clamp(need: Usage, rooms: Iterable[Room]) -> Usage:
    """Return a need that is no more than the largest worker has.

    Declared processors and memory are hints: a job that states more than any
    worker has gets a whole one.
    """
    workers = [room.worker for room in rooms]
    if not workers:
        return need
    return Usage(
        min(need.cpus, max(worker.cpus for worker in workers)),
        min(need.memory_mb, max(worker.memory_mb for worker in workers)),
        need.accelerators,
        need.run_s,
    )


def place(
    need: Usage, spec: JobSpec, rooms: Iterable[Room], now_s: float
) -> tuple[str, ...]:
    """Return the workers for a job's whole gang, or none at all.

    The workers with the least left over come first, so that large jobs find
    room later. A job that can't be checkpointed starts only where it can end
    before the worker leaves.

    Args:
        need: What each member will use.
        spec: What was declared.
        rooms: Workers that may be taken.
        now_s: Seconds since the epoch.
    """
    ends_s = now_s + LEAVE_MARGIN_S
    if not spec.checkpoints:
        ends_s += need.run_s
    able = [room for room in rooms if room.fits(need) and room.leaves_s > ends_s]
    if len(able) < spec.gang:
        return ()
    able.sort(key=lambda room: (room.left_over(need), room.worker.worker_id))
    return tuple(room.worker.worker_id for room in able[: spec.gang])


def lacking(spec: JobSpec, pool: str, config: Configuration) -> str:
    """Return why a job can never run in its pool, or an empty text.

    Workers count whatever their state, because those that are away come back.
    """
    workers = [
        worker
        for worker_id, worker in config.workers.items()
        if worker.control and config.pool_of(worker_id) == pool
    ]
    if not workers:
        return f"pool {pool!r} has no worker that runs jobs"
    able = [item for item in workers if item.accelerators >= spec.accelerators]
    if not able:
        most = max(worker.accelerators for worker in workers)
        return (
            f"{spec.accelerators} accelerators on one worker are asked for;"
            f" pool {pool!r} has at most {most}"
        )
    if len(able) < spec.gang:
        return (
            f"a gang of {spec.gang} workers is asked for;"
            f" pool {pool!r} has {len(able)} that fit"
        )
    return ""
