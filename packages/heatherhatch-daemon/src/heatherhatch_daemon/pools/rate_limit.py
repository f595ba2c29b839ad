"""Limits the rate of calls by a token bucket."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RateLimit:
    """A token bucket, which is full at first.

    Attributes:
        per_s: Tokens that are added in a second.
        burst: Most tokens that the bucket holds.
        tokens: Tokens in the bucket.
        at_s: When tokens were last added, monotonic seconds.
    """

    per_s: float
    burst: float
    tokens: float = field(init=False)
    at_s: float = float("-inf")

    def __post_init__(self):
        self.tokens = self.burst

    def take(self, now_s: float) -> bool:
        """Take one token; return False if there is none.

        Args:
            now_s: Monotonic time, seconds.
        """
        if now_s > self.at_s:
            added = self.per_s * (now_s - self.at_s)
            self.tokens = min(self.burst, self.tokens + added)
            self.at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
