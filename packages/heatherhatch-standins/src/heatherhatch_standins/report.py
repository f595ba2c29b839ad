"""What a trial observed: violations of each promise, and measures."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

MOST_DETAILS = 20


class Promise(Enum):
    """What must always hold."""

    BUDGET = "the availability budget of every pool holds"
    ONE_POOL = "every worker belongs to exactly one pool"
    KEYS = "work is accepted only with a valid key; a withdrawn one stops"
    LIMIT = "no team has more running than its limit"
    WHOLE_ANSWER = "everyone gets the whole answer to the own request"
    TRUE_REFUSAL = "a refusal as not run is true"
    AT_MOST_ONCE = "non-idempotent work runs at most once"
    LEAVING = "a leaving backend server gets no new work"
    SHUTDOWN = "a graceful shutdown interrupts no request"
    IN_FORCE = "an accepted configuration is in force everywhere and stays"
    JOBS = "no long job is lost or doubled"


class Report:
    """Collects checks and measures, and prints them."""

    def __init__(self):
        self.checks: Counter[Promise] = Counter()
        self.violations: Counter[Promise] = Counter()
        self.measures: list[str] = []
        self.details: list[str] = []

    @property
    def holds(self) -> bool:
        """True if every promise was checked and none was violated."""
        return not self.violations.total() and all(
            self.checks[item] for item in Promise
        )

    def check(self, promise: Promise, holds: bool, count: int = 1) -> None:
        """Record checks of a promise."""
        self.checks[promise] += count
        if not holds:
            self.violations[promise] += 1

    def check_all(self, promise: Promise, found: list[str], count: int) -> None:
        """Record a number of checks and a sentence for each violation."""
        self.checks[promise] += count
        self.violations[promise] += len(found)
        self.details += found

    def measure(self, name: str, value: float, unit: str) -> None:
        """Record a measure."""
        self.measures.append(f"{name} {value:.3f} {unit}")

    def show(self, write: Callable[[str], None]) -> None:
        """Print the report."""
        for promise in Promise:
            if not self.checks[promise]:
                write(f"not checked              {promise.value}")
                continue
            count = f"{self.violations[promise]}/{self.checks[promise]}"
            write(f"{count:>12} violations  {promise.value}")
        for detail in self.details[:MOST_DETAILS]:
            write(f"violation: {detail}")
        for measure in self.measures:
            write(measure)
