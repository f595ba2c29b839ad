"""Quarantine of workers on which the jobs of several teams fail."""

from collections import deque
from dataclasses import dataclass, field

QUARANTINE_TEAMS = 2
QUARANTINE_FAILURES = 3
QUARANTINE_S = 300.0
QUARANTINE_S_MAX = 7200.0


@dataclass(slots=True)
class Health:
    """What is known of one worker.

    Attributes:
        failures: Team and job of each failure since the last success.
        until_s: End of the quarantine, monotonic seconds; 0 if there is none.
        rounds: Quarantines in a row without a success.
        trial: Job that runs as a trial, empty if none.
    """

    failures: deque = field(default_factory=lambda: deque(maxlen=16))
    until_s: float = 0.0
    rounds: int = 0
    trial: str = ""


class Quarantine:
    """Tells bad workers from bad jobs.

    A worker is bad if different jobs of several teams fail on it with no
    success between. After a time it gets one job as a trial: a success ends
    the quarantine, a failure doubles its time.
    """

    def __init__(self):
        self.workers: dict[str, Health] = {}

    def failed(self, worker_id: str, team: str, job_id: str, now_s: float) -> bool:
        """Note a failure; return True if it begins a quarantine."""
        health = self.workers.setdefault(worker_id, Health())
        health.failures.append((team, job_id))
        if health.trial == job_id:
            self._begin(health, now_s)
            return True
        teams = {item[0] for item in health.failures}
        jobs = {item[1] for item in health.failures}
        bad = len(teams) >= QUARANTINE_TEAMS and len(jobs) >= QUARANTINE_FAILURES
        if bad and not health.until_s:
            self._begin(health, now_s)
            return True
        return False

    def succeeded(self, worker_id: str) -> bool:
        """Note a success; return True if it ends a quarantine."""
        health = self.workers.pop(worker_id, None)
        return health is not None and bool(health.until_s)

    def left(self, worker_id: str, job_id: str) -> None:
        """Note that a job left a worker without a verdict on either."""
        health = self.workers.get(worker_id)
        if health is not None and health.trial == job_id:
            health.trial = ""

    def began(self, worker_id: str, job_id: str) -> None:
        """Note that a job starts; on a quarantined worker it is the trial."""
        health = self.workers.get(worker_id)
        if health is not None and health.until_s:
            health.trial = job_id

    def admits(self, worker_id: str, now_s: float) -> bool:
        """Tell whether a job may start on a worker."""
        health = self.workers.get(worker_id)
        if health is None or not health.until_s:
            return True
        return now_s >= health.until_s and not health.trial

    def quarantined(self) -> tuple[str, ...]:
        """Return the names of the workers in quarantine, in order."""
        return tuple(sorted(k for k, v in self.workers.items() if v.until_s))

    def _begin(self, health: Health, now_s: float) -> None:
        length = min(QUARANTINE_S_MAX, QUARANTINE_S * 2**health.rounds)
        health.until_s = now_s + length
        health.rounds += 1
        health.trial = ""
