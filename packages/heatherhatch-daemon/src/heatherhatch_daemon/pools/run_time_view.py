"""Reads the learned run times for operators."""

from dataclasses import dataclass

from heatherhatch_core.coordination.run_times import (
    RunTimes,
    decode_record,
    summarize,
)
from heatherhatch_core.exceptions import HeatherhatchError

from ..transport.store import Entry, PolledStore
from .keys import LEARNED_PREFIX


@dataclass(frozen=True, slots=True)
class RunTimeRow:
    """Learned run times of one step number of a queue, for its average estimate.

    Attributes:
        pool: Name of the pool.
        queue: Name of the queue.
        step: Number of the step.
        runs: Number of runs seen.
        estimate_s: Average estimate, seconds.
        median_s: Median run time, seconds.
        ninety_s: Time within which nine of ten runs end, seconds.
        trust: Weight of the estimate, 0 to 1.
        teams: Number of teams with runs of their own.
        problem: Why the record of the pool cannot be read; empty if it can.
    """

    pool: str
    queue: str = ""
    step: int = 0
    runs: int = 0
    estimate_s: float = 0.0
    median_s: float = 0.0
    ninety_s: float = 0.0
    trust: float = 0.0
    teams: int = 0
    problem: str = ""


def list_run_times(store: PolledStore) -> tuple[RunTimeRow, ...]:
    """Return the learned run times of all pools.

    Raises:
        StoreError: If the store does not answer.
    """
    entries = store.range(LEARNED_PREFIX).entries
    return tuple(row for entry in entries for row in _rows(entry))


def _rows(entry: Entry) -> tuple[RunTimeRow, ...]:
    pool = entry.key.removeprefix(LEARNED_PREFIX)
    run_times = RunTimes()
    try:
        run_times.restore(decode_record(entry.value))
    except HeatherhatchError as error:
        return (RunTimeRow(pool, problem=error.detail),)
    return tuple(
        RunTimeRow(
            pool,
            item.queue,
            item.step,
            item.runs,
            item.estimate_s,
            item.median_s,
            item.ninety_s,
            item.trust,
            item.teams,
        )
        for item in summarize(run_times)
    )
