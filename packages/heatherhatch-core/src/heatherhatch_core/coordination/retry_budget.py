"""Retry budget: limits retries to a small fraction of the requests."""

RETRY_RATIO = 0.1
RESERVE = 10.0
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25


class RetryBudget:
    """Allows retries in proportion to first attempts.

    When many requests fail at the same time, their retries would add to the load that
    caused the failures. Once the budget is used up, requests fail at their first
    attempt.

    Args:
        ratio: Retries allowed per first attempt.
        reserve: Maximum number of retries that can accumulate.
    """

    def __init__(self, ratio: float = RETRY_RATIO, reserve: float = RESERVE):
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def deposit(self) -> None:
        """Add the retries that a first attempt allows."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff_s(retry: int, draw: float) -> float:
    """Return the backoff before a retry in seconds.

    Args:
        retry: Number of the retry, 0 for the first.
        draw: Random number from 0 to 1, used as jitter.
    """
    return draw * min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**retry)
