"""Quarantine of workers on which the jobs of several teams fail."""

from collections import deque
from dataclasses import dataclass, field

# A quarantine starts once this many different jobs, of this many different teams,
# have failed on a worker.
QUARANTINE_TEAMS = 2
QUARANTINE_FAILURES = 3
QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 7200.0


@dataclass(slots=True)
class FailureHistory:
    """Failure history of one worker.

    Attributes:
        failures: Team and job of each failure since the last success.
        until_s: End of the quarantine, monotonic seconds; 0 if there is none.
        rounds: Consecutive quarantines without a success.
        trial: Job that runs as a trial, empty if there is none.
    """

    failures: deque = field(default_factory=lambda: deque(maxlen=16))
    until_s: float = 0.0
    rounds: int = 0
    trial: str = ""


class Quarantine:
    """Distinguishes faulty workers from faulty jobs.

    A worker is faulty if different jobs of several teams fail on it without a
    success in between. After its quarantine period it receives one job as a
    trial: a success ends the quarantine, a failure doubles the period.
    """

    def __init__(self):
        self.workers: dict[str, FailureHistory] = {}

    def failed(self, worker_id: str, team: str, job_id: str, now_s: float) -> bool:
        """Record a failure; return True if it starts a quarantine."""
        history = self.workers.setdefault(worker_id, FailureHistory())
        history.failures.append((team, job_id))
        if history.trial == job_id:
            self._begin(history, now_s)
            return True
        teams = {item[0] for item in history.failures}
        jobs = {item[1] for item in history.failures}
        is_faulty = len(teams) >= QUARANTINE_TEAMS and len(jobs) >= QUARANTINE_FAILURES
        if is_faulty and not history.until_s:
            self._begin(history, now_s)
            return True
        return False

    def succeeded(self, worker_id: str) -> bool:
        """Record a success; return True if it ends a quarantine."""
        history = self.workers.pop(worker_id, None)
        return history is not None and bool(history.until_s)

    def record_no_result(self, worker_id: str, job_id: str) -> None:
        """Record that a job ended on a worker without a success or a failure."""
        history = self.workers.get(worker_id)
        if history is not None and history.trial == job_id:
            history.trial = ""

    def record_start(self, worker_id: str, job_id: str) -> None:
        """Record the start of a job; on a quarantined worker it is the trial."""
        history = self.workers.get(worker_id)
        if history is not None and history.until_s:
            history.trial = job_id

    def admits(self, worker_id: str, now_s: float) -> bool:
        """Return whether a job may start on a worker."""
        history = self.workers.get(worker_id)
        if history is None or not history.until_s:
            return True
        return now_s >= history.until_s and not history.trial

    def quarantined(self) -> tuple[str, ...]:
        """Return the sorted names of the workers in quarantine."""
        return tuple(sorted(k for k, v in self.workers.items() if v.until_s))

    def _begin(self, history: FailureHistory, now_s: float) -> None:
        period_s = min(MAX_QUARANTINE_S, QUARANTINE_S * 2**history.rounds)
        history.until_s = now_s + period_s
        history.rounds += 1
        history.trial = ""
