"""Quarantine of workers whose runs fail."""

from dataclasses import dataclass, field

MAX_OUTCOMES = 6  # number of last runs that decide on a quarantine
MIN_FAILURE_SHARE = 0.5  # share of failures that leads to a quarantine
MIN_FAILURES = 3  # number of failures below which there is no quarantine
QUARANTINE_INITIAL_S = 4.0  # first pause of a worker whose runs fail
QUARANTINE_MAX_S = 30.0  # longest pause; one trial run follows each pause
LAST_RESORT_INTERVAL_S = 2.0  # between runs that no worker in better standing can take


@dataclass(slots=True, eq=False)
class WorkerQuarantine:
    """Quarantine of a worker whose runs fail.

    Attributes:
        outcomes: Outcomes of the last runs, True for success, each with its job
            if it failed.
        until_s: End of the quarantine, monotonic seconds.
        pause_s: Duration of the last quarantine, seconds; 0 after a success.
        next_last_resort_s: The worker gets no run as a last resort before this time,
            monotonic seconds.
    """

    outcomes: list[tuple[bool, str]] = field(default_factory=list)
    until_s: float = float("-inf")
    pause_s: float = 0.0
    next_last_resort_s: float = float("-inf")

    def record_success(self) -> None:
        """Record a run that succeeded."""
        self.pause_s = 0.0
        self._record(True, "")

    def record_failure(self, job_id: str, now_s: float) -> bool:
        """Record a failed run; return True if the worker is quarantined for it.

        Failures of a single job do not start a quarantine. Failures during one do
        not prolong it, as these runs were placed before it.
        """
        self._record(False, job_id)
        self.next_last_resort_s = now_s + LAST_RESORT_INTERVAL_S
        if now_s < self.until_s:
            return False
        failed = [job for good, job in self.outcomes if not good]
        distinct = len(set(failed))
        if not self.pause_s and (
            len(failed) < MIN_FAILURES
            or distinct < 2
            or len(failed) < MIN_FAILURE_SHARE * len(self.outcomes)
        ):
            return False
        next_pause_s = max(QUARANTINE_INITIAL_S, 2 * self.pause_s)
        self.pause_s = min(QUARANTINE_MAX_S, next_pause_s)
        self.until_s = now_s + self.pause_s
        return True

    @property
    def on_probation(self) -> bool:
        """True if the worker gets one run at a time until one succeeds."""
        return self.pause_s > 0.0

    def _record(self, good: bool, job_id: str) -> None:
        self.outcomes.append((good, job_id))
        del self.outcomes[:-MAX_OUTCOMES]
