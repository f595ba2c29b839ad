"""Choice of the backend server that takes the next request."""

import math
from dataclasses import dataclass

FIRST_LIMIT = 16.0
LOWEST_LIMIT = 2.0
HIGHEST_LIMIT = 256.0
LATENCY_TOLERANCE = 2.0
SMOOTHING = 0.1
BASE_SMOOTHING = 0.01
BACKOFF = 0.8
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
FAILURES_TO_EJECT = 5
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
MOST_DOUBLINGS = 5
SERVING_FLOOR = 0.5


@dataclass(slots=True)
class BackendState:
    """What a node has seen of one backend server.

    Attributes:
        limit: Requests that it may have from this node at once.
        warm_s: When its slow start ends, monotonic seconds.
        running: Requests that it has from this node now.
        latency_s: Smoothed time of its last answers, 0 if it has not answered.
        base_s: The same over a much longer time.
        failures: Failures since its last good answer.
        ejections: Ejections since its last good answer.
        ejected_until_s: When it may be tried again, monotonic seconds.
    """

    limit: float = FIRST_LIMIT
    warm_s: float = float("-inf")
    running: int = 0
    latency_s: float = 0.0
    base_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")

    def ejected(self, now_s: float) -> bool:
        """Tell whether it gets nothing now."""
        return now_s < self.ejected_until_s

    def room(self, now_s: float) -> float:
        """Return the requests that it may have at once now."""
        cold = max(0.0, self.warm_s - now_s) / SLOW_START_S
        return max(LOWEST_LIMIT, self.limit * max(SLOW_START_FLOOR, 1.0 - cold))

    def load(self, now_s: float) -> float:
        """Return the part of its room that is filled.

        Idle ones are equal whatever their room: one that got nothing because
        its room is small would never show that it is sound again.
        """
        return self.running / self.room(now_s)


class BackendChoice:
    """Picks the less loaded of two backend servers of one pool.

    Only what this node saw itself is used, so that it counts at once.
    """

    def __init__(self):
        self.backends: dict[str, BackendState] = {}

    def set_members(self, names: tuple[str, ...], now_s: float) -> None:
        """Set who serves the pool; newcomers start slowly."""
        # All members of a pool that was empty are warm: there is no other one
        # that could carry the load while they start.
        warm_s = now_s + SLOW_START_S if self.backends else now_s
        self.backends = {
            name: self.backends.get(name) or BackendState(warm_s=warm_s)
            for name in names
        }

    def choose(
        self, now_s: float, draws: tuple[float, float], avoided: frozenset[str]
    ) -> str | None:
        """Return the backend server for a request, None if all are full.

        Args:
            now_s: Monotonic seconds.
            draws: Two random numbers in [0, 1).
            avoided: Those that this request has tried; used if no other is left.
        """
        usable = [
            name
            for name in self.serving(now_s)
            if self.backends[name].running + 1 <= self.backends[name].room(now_s)
        ]
        fresh = [name for name in usable if name not in avoided] or usable
        if not fresh:
            return None
        first = int(draws[0] * len(fresh))
        second = int(draws[1] * (len(fresh) - 1))
        # The second one is drawn from the others.
        second += second >= first
        pair = [fresh[first], fresh[min(second, len(fresh) - 1)]]
        return min(pair, key=lambda name: self.backends[name].load(now_s))

    def serving(self, now_s: float) -> tuple[str, ...]:
        """Return those that may get requests now; never none by mistake.

        If members that leave the pool would take it below its floor, those that
        were ejected are tried again.
        """
        sound = tuple(
            name for name, state in self.backends.items() if not state.ejected(now_s)
        )
        return sound if len(sound) >= self._floor() else tuple(self.backends)

    def start(self, name: str) -> BackendState:
        """Note that a request is about to be sent, and return who gets it."""
        state = self.backends[name]
        state.running += 1
        return state

    def succeed(self, state: BackendState, latency_s: float) -> None:
        """Note a whole answer."""
        filled = state.running >= state.limit / 2
        state.running -= 1
        state.failures = 0
        state.ejections = 0
        state.latency_s = _smooth(state.latency_s, latency_s, SMOOTHING)
        state.base_s = _smooth(state.base_s, latency_s, BASE_SMOOTHING)
        self._adapt(state, filled)

    def abandon(self, state: BackendState) -> None:
        """Note an attempt that was given up too early to say anything."""
        state.running -= 1

    def fail(self, state: BackendState, now_s: float, refused: bool) -> None:
        """Note an attempt without a whole answer.

        Args:
            state: Who had the request.
            now_s: Monotonic seconds.
            refused: True if it took no connection.
        """
        state.running -= 1
        state.failures += 1
        state.limit = max(LOWEST_LIMIT, state.limit * BACKOFF)
        if refused or state.failures >= FAILURES_TO_EJECT:
            self._eject(state, now_s)

    def _floor(self) -> int:
        return math.ceil(SERVING_FLOOR * len(self.backends))

    def _adapt(self, state: BackendState, filled: bool) -> None:
        gradient = min(1.0, LATENCY_TOLERANCE * state.base_s / state.latency_s)
        if gradient == 1.0 and not filled:
            return
        wanted = state.limit * max(0.5, gradient) + math.sqrt(state.limit)
        limit = _smooth(state.limit, wanted, SMOOTHING)
        state.limit = min(HIGHEST_LIMIT, max(LOWEST_LIMIT, limit))

    def _eject(self, state: BackendState, now_s: float) -> None:
        if state.ejected(now_s):
            # Requests that were under way fail for the same cause.
            return
        others = sum(
            not other.ejected(now_s)
            for other in self.backends.values()
            if other is not state
        )
        if others < self._floor():
            return
        doublings = min(state.ejections, MOST_DOUBLINGS)
        span_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**doublings)
        state.ejections += 1
        state.failures = 0
        state.ejected_until_s = now_s + span_s
        state.warm_s = state.ejected_until_s + SLOW_START_S


def _smooth(old: float, new: float, part: float) -> float:
    return new if old == 0.0 else old + part * (new - old)
