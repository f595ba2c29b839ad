"""A worker as the scheduler holds it in memory."""

from dataclasses import dataclass, field

from ...state.resources import NOTHING, Resources
from .live import Run
from .messages import TaskName, WorkerInfo
from .rules import CLOCK_DRIFT, Rules

UNWELL_FIRST_S = 0.5  # first pause after a worker says that it is not well
UNWELL_MOST_S = 8.0  # longest pause; a sick worker is asked about as often
OUTCOMES_KEPT = 6  # outcomes of runs by which a worker is judged
FAILED_SHARE = 0.5  # a worker that fails this share of them gets no more
FAILED_LEAST = 3  # failures below which a worker is not judged
DISTRUST_FIRST_S = 4.0  # first pause of a worker that fails what it starts
DISTRUST_MOST_S = 30.0  # longest such pause, then one run is tried


@dataclass(slots=True, eq=False)
class Trust:
    """Whether a worker does well what it is given.

    Attributes:
        outcomes: The last outcomes, True for good, with the job of each.
        until_s: It gets nothing before this time.
        pause_s: Length of the last pause; 0 while it is trusted.
    """

    outcomes: list[tuple[bool, str]] = field(default_factory=list)
    until_s: float = float("-inf")
    pause_s: float = 0.0

    def good(self) -> None:
        """Note a run that ended well."""
        self.pause_s = 0.0
        self._keep(True, "")

    def bad(self, job_id: str, now_s: float) -> bool:
        """Note a run that failed; return True if that costs the trust.

        Failures of one job alone say nothing of the worker.
        """
        self._keep(False, job_id)
        failed = [job for good, job in self.outcomes if not good]
        distinct = len(set(failed))
        if not self.pause_s and (
            len(failed) < FAILED_LEAST
            or distinct < 2
            or len(failed) < FAILED_SHARE * len(self.outcomes)
        ):
            return False
        longer = max(DISTRUST_FIRST_S, 2 * self.pause_s)
        self.pause_s = min(DISTRUST_MOST_S, longer)
        self.until_s = now_s + self.pause_s
        return True

    @property
    def on_trial(self) -> bool:
        """True if it shall get one run at a time until one ends well."""
        return self.pause_s > 0.0

    def _keep(self, good: bool, job_id: str) -> None:
        self.outcomes.append((good, job_id))
        del self.outcomes[:-OUTCOMES_KEPT]


@dataclass(slots=True, eq=False)
class Worker:
    """One worker of the pool.

    Attributes:
        info: What it says of itself.
        rules: Bounds.
        claimed_s: When this holder took the pool over, or this life was seen.
        present: True while the directory lists it.
        fenced: True once it answered this holder.
        silent_since_s: Since when it does not answer; inf while it does.
        clock_ms: Its clock at the last answer.
        clock_at_s: When that answer came.
        deadline_ms: Latest end of its lease that was sent, by its clock.
        runs: Runs that may be alive there.
        strays: Alive runs of which nothing else is known.
        used: What all runs occupy.
        heard_end: Highest number of an end that was taken in.
        acked: Highest number such that it and all before are stored.
        pending: Ends that are not stored yet: job and version that holds each.
        unwell_until_s: It gets nothing before this time.
        unwell_pause_s: Length of the last such pause.
        trust: Whether it does well what it is given.
    """

    info: WorkerInfo
    rules: Rules
    claimed_s: float
    present: bool = True
    fenced: bool = False
    silent_since_s: float = float("inf")
    clock_ms: float = 0.0
    clock_at_s: float = float("-inf")
    deadline_ms: float = 0.0
    runs: dict[tuple[TaskName, int], Run] = field(default_factory=dict)
    strays: set[tuple[str, int]] = field(default_factory=set)
    used: Resources = NOTHING
    heard_end: int = 0
    acked: int = 0
    pending: dict[int, tuple[str, int]] = field(default_factory=dict)
    unwell_until_s: float = float("-inf")
    unwell_pause_s: float = 0.0
    trust: Trust = field(default_factory=Trust)

    @property
    def worker_id(self) -> str:
        """Its identifier."""
        return self.info.worker_id

    @property
    def room(self) -> Resources:
        """What is free."""
        return self.info.capacity - self.used

    def note_clock(self, clock_ms: float, at_s: float) -> None:
        """Take in a reading of its clock."""
        self.clock_ms = clock_ms
        self.clock_at_s = at_s

    def next_deadline_ms(self, now_s: float) -> int:
        """Return the end of a lease that begins now, by the worker's clock."""
        clock_ms = self.clock_ms + (now_s - self.clock_at_s) * 1000.0
        return int(clock_ms + self.rules.lease_s * 1000.0)

    def note_deadline(self, deadline_ms: float) -> None:
        """Note an end of its lease that is about to be sent."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def lease_over_s(self) -> float:
        """Return when all that runs there has surely ended, if it is silent."""
        if not self.fenced:
            return self.claimed_s + self.rules.unfenced_s
        left_s = max(0.0, self.deadline_ms - self.clock_ms) / 1000.0
        return self.clock_at_s + left_s / (1 - CLOCK_DRIFT) + self.rules.lease_margin_s

    def unwell(self, now_s: float) -> None:
        """Give it nothing for a while, longer each time."""
        longer = max(UNWELL_FIRST_S, 2 * self.unwell_pause_s)
        self.unwell_pause_s = min(UNWELL_MOST_S, longer)
        self.unwell_until_s = now_s + self.unwell_pause_s

    def usable(self, now_s: float) -> bool:
        """Tell whether it may get new runs."""
        return (
            self.present
            and self.fenced
            and not self.info.draining
            and not self.strays
            and self.silent_since_s == float("inf")
            and now_s >= self.unwell_until_s
            and now_s >= self.trust.until_s
            and not (self.trust.on_trial and self.runs)
        )

    def note_stored(self, job_id: str, version: int) -> bool:
        """Note that ends of a job are stored, and acknowledge what can be.

        Returns:
            True if no end of the job waits to be stored any more.
        """
        left = 0
        for sequence, (owner, at) in list(self.pending.items()):
            if owner != job_id:
                continue
            if at <= version:
                del self.pending[sequence]
            else:
                left += 1
        self.advance()
        return not left

    def advance(self) -> None:
        """Move the acknowledgement to just below the first end not stored."""
        self.acked = min(self.pending, default=self.heard_end + 1) - 1
