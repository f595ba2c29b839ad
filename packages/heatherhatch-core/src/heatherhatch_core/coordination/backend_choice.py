"""Load balancing: selection of the backend server for the next request."""

import math
from dataclasses import dataclass

INITIAL_LIMIT = 16.0
MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
LATENCY_TOLERANCE_FACTOR = 2.0
# Weights of a new sample in the exponential moving averages.
SMOOTHING = 0.1
BASELINE_SMOOTHING = 0.01
LIMIT_BACKOFF_FACTOR = 0.8
SLOW_START_S = 10.0
SLOW_START_MIN_FRACTION = 0.1
FAILURES_TO_EJECT = 5
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTION_DOUBLINGS = 5
MIN_SERVING_FRACTION = 0.5


@dataclass(slots=True)
class BackendState:
    """State of one backend server as observed by this node.

    Attributes:
        limit: Maximum number of concurrent requests from this node.
        slow_start_ends_s: When the slow start ends, monotonic seconds.
        running: Requests that run on the backend server from this node.
        latency_s: Exponential moving average of the latency in seconds, 0 before
            the first response.
        baseline_s: Average of the latency over a much longer time, in seconds.
        failures: Failures since the last complete response or ejection.
        ejections: Ejections since the last complete response.
        ejected_until_s: When the ejection ends, monotonic seconds.
    """

    limit: float = INITIAL_LIMIT
    slow_start_ends_s: float = float("-inf")
    running: int = 0
    latency_s: float = 0.0
    baseline_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")

    def ejected(self, now_s: float) -> bool:
        """Return whether the backend server is ejected and receives no requests."""
        return now_s < self.ejected_until_s

    def current_limit(self, now_s: float) -> float:
        """Return the current concurrency limit, which is reduced in a slow start."""
        remaining = max(0.0, self.slow_start_ends_s - now_s) / SLOW_START_S
        return max(
            MIN_LIMIT, self.limit * max(SLOW_START_MIN_FRACTION, 1.0 - remaining)
        )

    def load(self, now_s: float) -> float:
        """Return the running requests as a fraction of the concurrency limit.

        Idle backend servers have equal load whatever their limit. Otherwise a
        server that receives no requests because its limit is low could never
        show that it has recovered.
        """
        return self.running / self.current_limit(now_s)


class BackendChoice:
    """Selects the less loaded of two random backend servers of one pool.

    Only observations of this node are used, so that they take effect immediately.
    """

    def __init__(self):
        self.backends: dict[str, BackendState] = {}

    def set_members(self, names: tuple[str, ...], now_s: float) -> None:
        """Set the backend servers of the pool; new ones get a slow start."""
        # The first members of an empty pool skip the slow start, because no other
        # server could carry the load in the meantime.
        slow_start_ends_s = now_s + SLOW_START_S if self.backends else now_s
        self.backends = {
            name: self.backends.get(name)
            or BackendState(slow_start_ends_s=slow_start_ends_s)
            for name in names
        }

    def choose(
        self, now_s: float, draws: tuple[float, float], avoided: frozenset[str]
    ) -> str | None:
        """Return the backend server for a request, None if all are at capacity.

        Args:
            now_s: Current monotonic time in seconds.
            draws: Two random numbers in [0, 1).
            avoided: Backend servers that this request has already tried; they are
                used only if no other is available.
        """
        usable = [
            name
            for name in self.serving(now_s)
            if self.backends[name].running + 1
            <= self.backends[name].current_limit(now_s)
        ]
        candidates = [name for name in usable if name not in avoided] or usable
        if not candidates:
            return None
        first = int(draws[0] * len(candidates))
        second = int(draws[1] * (len(candidates) - 1))
        # The index of the second server is drawn from the remaining ones.
        second += second >= first
        pair = [candidates[first], candidates[min(second, len(candidates) - 1)]]
        return min(pair, key=lambda name: self.backends[name].load(now_s))

    def serving(self, now_s: float) -> tuple[str, ...]:
        """Return the backend servers that may receive requests now.

        If too few are left after members were removed from the pool, ejected
        servers are used again, so that wrong ejections cannot empty the pool.
        """
        healthy = tuple(
            name for name, state in self.backends.items() if not state.ejected(now_s)
        )
        return healthy if len(healthy) >= self._min_serving() else tuple(self.backends)

    def start(self, name: str) -> BackendState:
        """Count a request that is about to be sent; return the server's state."""
        state = self.backends[name]
        state.running += 1
        return state

    def succeed(self, state: BackendState, latency_s: float) -> None:
        """Record a complete response and its latency in seconds."""
        is_used = state.running >= state.limit / 2
        state.running -= 1
        state.failures = 0
        state.ejections = 0
        state.latency_s = _smooth(state.latency_s, latency_s, SMOOTHING)
        state.baseline_s = _smooth(state.baseline_s, latency_s, BASELINE_SMOOTHING)
        self._adapt(state, is_used)

    def abandon(self, state: BackendState) -> None:
        """Record an attempt that was cancelled too early to count as a result."""
        state.running -= 1

    def fail(self, state: BackendState, now_s: float, refused: bool) -> None:
        """Record an attempt that got no complete response.

        Args:
            state: State of the backend server that had the request.
            now_s: Current monotonic time in seconds.
            refused: True if the backend server accepted no connection.
        """
        state.running -= 1
        state.failures += 1
        state.limit = max(MIN_LIMIT, state.limit * LIMIT_BACKOFF_FACTOR)
        if refused or state.failures >= FAILURES_TO_EJECT:
            self._eject(state, now_s)

    def _min_serving(self) -> int:
        return math.ceil(MIN_SERVING_FRACTION * len(self.backends))

    def _adapt(self, state: BackendState, is_used: bool) -> None:
        gradient = min(
            1.0, LATENCY_TOLERANCE_FACTOR * state.baseline_s / state.latency_s
        )
        if gradient == 1.0 and not is_used:
            return
        wanted = state.limit * max(0.5, gradient) + math.sqrt(state.limit)
        limit = _smooth(state.limit, wanted, SMOOTHING)
        state.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))

    def _eject(self, state: BackendState, now_s: float) -> None:
        if state.ejected(now_s):
            # Requests that were in flight at the ejection fail for the same reason and
            # do not extend it.
            return
        others = sum(
            not other.ejected(now_s)
            for other in self.backends.values()
            if other is not state
        )
        if others < self._min_serving():
            return
        doublings = min(state.ejections, MAX_EJECTION_DOUBLINGS)
        ejection_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**doublings)
        state.ejections += 1
        state.failures = 0
        state.ejected_until_s = now_s + ejection_s
        state.slow_start_ends_s = state.ejected_until_s + SLOW_START_S


def _smooth(old: float, new: float, weight: float) -> float:
    return new if old == 0.0 else old + weight * (new - old)
