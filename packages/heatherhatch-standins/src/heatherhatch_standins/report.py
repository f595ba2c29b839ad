"""Report of a trial: violations of each guarantee, and measures."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

MAX_PRINTED_VIOLATIONS = 20


class Guarantee(Enum):
    """Guarantees that a trial checks; the values are printed in the report."""

    BUDGET = "the availability budget of every pool holds"
    ONE_POOL = "every worker belongs to exactly one pool"
    KEYS = "work is accepted only with a valid key, until the key is withdrawn"
    LIMIT = "no team has more requests running than its limit"
    WHOLE_ANSWER = "each caller gets the whole answer to its own request"
    TRUE_REFUSAL = "a request that is refused as not run did not run"
    AT_MOST_ONCE = "non-idempotent work runs at most once"
    LEAVING = "a leaving backend server gets no new work"
    SHUTDOWN = "a graceful shutdown interrupts no request"
    IN_FORCE = "an accepted configuration is in force on every node and stays in force"
    JOBS = "no long job is lost or started twice"


class Report:
    """Collects checks and measures, and prints them."""

    def __init__(self):
        self.checks: Counter[Guarantee] = Counter()
        self.violations: Counter[Guarantee] = Counter()
        self.measures: list[str] = []
        self.details: list[str] = []

    @property
    def holds(self) -> bool:
        """True if every guarantee was checked and none was violated."""
        return not self.violations.total() and all(
            self.checks[item] for item in Guarantee
        )

    def check(self, guarantee: Guarantee, holds: bool, count: int = 1) -> None:
        """Record checks of a guarantee and at most one violation."""
        self.checks[guarantee] += count
        if not holds:
            self.violations[guarantee] += 1

    def check_all(self, guarantee: Guarantee, messages: list[str], count: int) -> None:
        """Record a number of checks and a message for each violation."""
        self.checks[guarantee] += count
        self.violations[guarantee] += len(messages)
        self.details += messages

    def measure(self, name: str, value: float, unit: str) -> None:
        """Record a measured value."""
        self.measures.append(f"{name} {value:.3f} {unit}")

    def show(self, write: Callable[[str], None]) -> None:
        """Print the report."""
        for guarantee in Guarantee:
            if not self.checks[guarantee]:
                write(f"not checked              {guarantee.value}")
                continue
            count = f"{self.violations[guarantee]}/{self.checks[guarantee]}"
            write(f"{count:>12} violations  {guarantee.value}")
        for detail in self.details[:MAX_PRINTED_VIOLATIONS]:
            write(f"violation: {detail}")
        for measure in self.measures:
            write(measure)
