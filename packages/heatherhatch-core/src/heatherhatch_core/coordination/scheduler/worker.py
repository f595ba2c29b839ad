"""In-memory state of a worker."""

import dataclasses
from dataclasses import dataclass, field

from ...state.resources import NO_RESOURCES, Resources
from .messages import TaskName, WorkerInfo
from .rules import CLOCK_DRIFT, Rules
from .run import Run, RunState
from .worker_quarantine import WorkerQuarantine

UNHEALTHY_BACKOFF_INITIAL_S = 0.5  # first pause after a worker reports a problem
UNHEALTHY_BACKOFF_MAX_S = 2.0  # longest pause; a refused start costs only a call
MAX_ORDER_DELAY_S = 12.0  # an order without an answer may be carried out this late
MAX_REFUSALS = 6  # in a row; a worker that sheds half of its starts rarely gets there


@dataclass(slots=True, eq=False)
class Worker:
    """One worker of the pool.

    Attributes:
        info: Directory entry of the worker.
        rules: Time limits of the scheduler.
        claimed_s: When this holder took over the pool, or first saw this worker
            incarnation, monotonic seconds.
        present: True while the directory lists the worker.
        fenced: True once the worker has answered this holder.
        fenced_since_s: When it first answered this holder, monotonic seconds; it
            refuses the orders of earlier holders from then on.
        silent_since_s: When the worker first failed to answer; inf while it
            answers.
        answered_s: When it last answered a renewal or started a run, monotonic
            seconds.
        reported_born_ms: The incarnation that its last answer named; 0 if none.
        clock_ms: Reading of the worker's clock in its last answer.
        clock_at_s: When that answer was received, monotonic seconds.
        deadline_ms: Latest lease expiry sent to the worker, by its clock.
        runs: Runs that may be alive on the worker, by task and run number.
        unknown_runs: Runs that the worker lists as alive but the scheduler does not
            know, by job and run number.
        used: Resources that all runs occupy.
        last_end_sequence: Highest sequence number of a processed end.
        acked: Highest sequence number up to which all ends are stored.
        unacked_ends: Ends that are not stored yet, by sequence number, each with its
            job and the version of the job that includes it.
        backoff_until_s: The worker gets no runs before this time, monotonic
            seconds.
        backoff_s: Duration of the last such pause, seconds.
        refusals: Number of starts that the worker refused since it last took one.
        unanswered_starts: When the last starts without an answer were given up, by task
            and run number, monotonic seconds.
        quarantine: Quarantine because of failed runs.
        leaves_at_s: Earliest time at which the worker leaves, monotonic seconds; inf
            unless it drains.
    """

    info: WorkerInfo
    rules: Rules
    claimed_s: float
    present: bool = True
    fenced: bool = False
    fenced_since_s: float = float("inf")
    silent_since_s: float = float("inf")
    answered_s: float = float("-inf")
    reported_born_ms: int = 0
    clock_ms: float = 0.0
    clock_at_s: float = float("-inf")
    deadline_ms: float = 0.0
    runs: dict[tuple[TaskName, int], Run] = field(default_factory=dict)
    unknown_runs: set[tuple[str, int]] = field(default_factory=set)
    used: Resources = NO_RESOURCES
    last_end_sequence: int = 0
    acked: int = 0
    unacked_ends: dict[int, tuple[str, int]] = field(default_factory=dict)
    backoff_until_s: float = float("-inf")
    backoff_s: float = 0.0
    refusals: int = 0
    unanswered_starts: dict[tuple[TaskName, int], float] = field(default_factory=dict)
    quarantine: WorkerQuarantine = field(default_factory=WorkerQuarantine)
    leaves_at_s: float = float("inf")

    @property
    def worker_id(self) -> str:
        """Identifier of the worker."""
        return self.info.worker_id

    @property
    def free(self) -> Resources:
        """Free capacity."""
        return self.info.capacity - self.used

    @property
    def on_trial(self) -> bool:
        """True while a run shows whether a worker on probation is sound.

        A paused run shows nothing.
        """
        return self.quarantine.on_probation and not all(
            run.succeeded or run.pace == 0 for run in self.runs.values()
        )

    @property
    def is_tried(self) -> bool:
        """True while one start shows whether the worker still refuses all of them."""
        return self.refusals >= MAX_REFUSALS and any(
            run.state in (RunState.RECORDING, RunState.ORDERED)
            for run in self.runs.values()
        )

    def begin_incarnation(self, born_ms: int, now_s: float) -> None:
        """Forget what was known of an earlier incarnation, except its runs."""
        self.info = dataclasses.replace(self.info, born_ms=born_ms)
        self.last_end_sequence = 0
        self.acked = 0
        self.unacked_ends.clear()
        self.deadline_ms = 0.0
        self.unknown_runs.clear()
        self.fenced = False
        self.claimed_s = now_s
        self.refusals = 0
        self.leaves_at_s = float("inf")
        for run in self.runs.values():
            if run.state in (RunState.ORDERED, RunState.DOUBTFUL):
                run.expected_from_s = run.stop_acked_s = float("inf")

    def note_unanswered(self, task: TaskName, number: int, now_s: float) -> None:
        """Record a start without an answer, and forget those of long ago."""
        self.unanswered_starts = {
            key: at_s
            for key, at_s in self.unanswered_starts.items()
            if now_s - at_s <= MAX_ORDER_DELAY_S
        }
        self.unanswered_starts[task, number] = now_s

    def starts_in_doubt(self, now_s: float) -> tuple[tuple[TaskName, int], ...]:
        """Return the starts without an answer that may still take effect."""
        return tuple(
            key
            for key, at_s in self.unanswered_starts.items()
            if now_s - at_s <= MAX_ORDER_DELAY_S
        )

    def note_info(self, info: WorkerInfo, now_s: float) -> None:
        """Replace the directory entry."""
        self.info = info
        if info.draining:
            # An entry that is received late must not postpone the time.
            self.leaves_at_s = min(self.leaves_at_s, now_s + info.leaves_in_s)
        else:
            self.leaves_at_s = float("inf")

    def note_clock(self, clock_ms: float, at_s: float) -> None:
        """Record a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_at_s = at_s

    def next_deadline_ms(self, now_s: float, most_s: float = float("inf")) -> int:
        """Return the expiry of a lease from now, of ``most_s`` seconds at most."""
        clock_ms = self.clock_ms + (now_s - self.clock_at_s) * 1000.0
        return int(clock_ms + min(self.rules.lease_s, most_s) * 1000.0)

    def note_deadline(self, deadline_ms: float) -> None:
        """Record a lease expiry that is about to be sent."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def lease_expiry_s(self) -> float:
        """Return when all runs have certainly ended if the worker stays silent."""
        if not self.fenced:
            return self.claimed_s + self.rules.unfenced_s
        left_s = max(0.0, self.deadline_ms - self.clock_ms) / 1000.0
        return self.clock_at_s + left_s / (1 - CLOCK_DRIFT) + self.rules.lease_margin_s

    def lease_details(self, now_s: float) -> dict[str, object]:
        """Return what the expiry of the lease is computed from, to log it."""
        last_s = self.clock_at_s if self.fenced else self.claimed_s
        return {
            "worker_born_ms": self.info.born_ms,
            "fenced": self.fenced,
            "since_s": round(now_s - last_s, 2),
            "clock_ms": int(self.clock_ms),
            "deadline_ms": int(self.deadline_ms),
        }

    def back_off(self, now_s: float) -> None:
        """Give the worker no runs for a while, with exponential backoff."""
        next_pause_s = max(UNHEALTHY_BACKOFF_INITIAL_S, 2 * self.backoff_s)
        self.backoff_s = min(UNHEALTHY_BACKOFF_MAX_S, next_pause_s)
        self.backoff_until_s = now_s + self.backoff_s
        self.refusals += 1

    def record_success(self) -> None:
        """Record a run that succeeded."""
        self.quarantine.record_success()
        self.backoff_s = 0.0

    def is_usable(self, now_s: float) -> bool:
        """Return True if the worker may get new runs."""
        return (
            self._takes_runs(now_s)
            and now_s >= self.quarantine.until_s
            and not self.on_trial
        )

    def is_last_resort(self, now_s: float) -> bool:
        """Return True if the worker may get a run that no usable worker can take."""
        return (
            self._takes_runs(now_s)
            and not self.is_usable(now_s)
            and now_s >= self.quarantine.next_last_resort_s
        )

    def _takes_runs(self, now_s: float) -> bool:
        return (
            self.present
            and self.fenced
            and not self.info.draining
            and not self.unknown_runs
            and self.silent_since_s == float("inf")
            and now_s >= self.backoff_until_s
        )

    def has_room_for(self, run: Run) -> bool:
        """Return whether a run that is placed on the worker still fits on it."""
        return run.held.fits(self.free + run.held)

    def note_stored(self, job_id: str, version: int) -> bool:
        """Record that ends of a job are stored, and advance the acknowledgement.

        Returns:
            True if all known ends of the job on this worker are stored.
        """
        unstored = 0
        for sequence, (owner, at) in list(self.unacked_ends.items()):
            if owner != job_id:
                continue
            if at <= version:
                del self.unacked_ends[sequence]
            else:
                unstored += 1
        self.advance_ack()
        return not unstored

    def advance_ack(self) -> None:
        """Advance the acknowledgement to just before the first end not stored."""
        self.acked = min(self.unacked_ends, default=self.last_end_sequence + 1) - 1
