"""Retry budget: retries stay a small part of the requests."""

RETRY_RATIO = 0.1
RESERVE = 10.0
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.25


class RetryBudget:
    """Allows retries in proportion to first attempts.

    When many requests fail at once, their retries would add to the load that
    made them fail; past the budget, requests fail at their first attempt.

    Args:
        ratio: Retries allowed for each first attempt.
        reserve: Retries that may be saved up.
    """

    def __init__(self, ratio: float = RETRY_RATIO, reserve: float = RESERVE):
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def deposit(self) -> None:
        """Note a first attempt."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry, if there is one left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def pause_s(retry: int, draw: float) -> float:
    """Return how long to wait before a retry.

    Args:
        retry: 0 for the first retry.
        draw: Random number from 0 to 1, which spreads retries out.
    """
    return draw * min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**retry)
