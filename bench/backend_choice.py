"""Compares the choice of backend servers with a random choice, in virtual time."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

from heatherhatch_core.coordination.backend_choice import BackendChoice

SERVERS = ("s1", "s2", "s3", "s4", "s5", "s6")
SLOTS_PER_SERVER = 8
MEAN_SERVICE_S = 0.01
UTILISATION = 0.6
RUN_S = 30.0
# Server, start and end in seconds, and the factor on its service times.
SLOWDOWN = ("s1", 10.0, 20.0, 5.0)
# Server, start and end in seconds. During an outage it refuses connections.
OUTAGE = ("s2", 20.0, 30.0)
REFUSAL_S = 0.001
NONE_AVOIDED = frozenset()


class Server:
    """Backend server with a number of slots and a queue of requests."""

    def __init__(self, name: str):
        self.name = name
        self.busy = 0
        self.queue: deque[int] = deque()

    def draw_service_s(self, now_s: float, rng: random.Random) -> float:
        """Return a random service time for a request that starts now, seconds."""
        name, begin_s, end_s, factor = SLOWDOWN
        slowed = self.name == name and begin_s <= now_s < end_s
        return rng.expovariate(1 / MEAN_SERVICE_S) * (factor if slowed else 1.0)

    def refuses(self, now_s: float) -> bool:
        """Return True if the server refuses connections now."""
        name, begin_s, end_s = OUTAGE
        return self.name == name and begin_s <= now_s < end_s


class Simulation:
    """Simulates the requests of one run.

    Args:
        choose: Returns the name of a server, or None if all are at capacity.
        choice: Choice that is updated with the outcome of each request.
    """

    def __init__(self, choose: Callable[[float], str | None], choice: BackendChoice):
        self.choose = choose
        self.choice = choice
        self.rng = random.Random(7)
        self.servers = {name: Server(name) for name in SERVERS}
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.arrived_s: dict[int, float] = {}
        self.in_flight: dict[int, tuple] = {}
        self.waiting: deque[int] = deque()
        self.latencies_s: list[float] = []
        self.refused = 0

    def run(self) -> None:
        """Generate the requests and process all events in time order."""
        rate = UTILISATION * len(SERVERS) * SLOTS_PER_SERVER / MEAN_SERVICE_S
        now_s = 0.0
        for number in itertools.count():
            now_s += self.rng.expovariate(rate)
            if now_s > RUN_S:
                break
            self.arrived_s[number] = now_s
            self._schedule(now_s, self._dispatch, number)
        while self.events:
            now_s, _, action, number = heapq.heappop(self.events)
            action(now_s, number)

    def _schedule(self, now_s, action, number):
        heapq.heappush(self.events, (now_s, next(self.order), action, number))

    def _dispatch(self, now_s, number):
        name = self.choose(now_s)
        if name is None:
            self.waiting.append(number)
            return
        server = self.servers[name]
        self.in_flight[number] = (server, self.choice.start(name), now_s)
        if server.refuses(now_s):
            self.refused += 1
            self._schedule(now_s + REFUSAL_S, self._refuse, number)
        elif server.busy < SLOTS_PER_SERVER:
            self._start_service(now_s, server, number)
        else:
            server.queue.append(number)

    def _start_service(self, now_s, server, number):
        server.busy += 1
        self._schedule(
            now_s + server.draw_service_s(now_s, self.rng), self._finish, number
        )

    def _finish(self, now_s, number):
        server, state, sent_s = self.in_flight.pop(number)
        server.busy -= 1
        self.choice.succeed(state, now_s - sent_s)
        self.latencies_s.append(now_s - self.arrived_s[number])
        if server.queue:
            self._start_service(now_s, server, server.queue.popleft())
        self._dispatch_next_waiting(now_s)

    def _refuse(self, now_s, number):
        _, state, _ = self.in_flight.pop(number)
        self.choice.fail(state, now_s, True)
        self._schedule(now_s, self._dispatch, number)
        self._dispatch_next_waiting(now_s)

    def _dispatch_next_waiting(self, now_s):
        if self.waiting:
            self._schedule(now_s, self._dispatch, self.waiting.popleft())


def run() -> None:
    """Print the latency and the refused attempts of both policies."""
    for name in ("random", "chosen"):
        rng = random.Random(3)
        choice = BackendChoice()
        choice.set_members(SERVERS, 0.0)

        def choose(now_s, name=name, choice=choice, rng=rng):
            if name == "random":
                return rng.choice(SERVERS)
            draws = (rng.random(), rng.random())
            return choice.choose(now_s, draws, NONE_AVOIDED)

        simulation = Simulation(choose, choice)
        simulation.run()
        latencies_s = sorted(simulation.latencies_s)
        for quantile in (0.5, 0.99, 0.999):
            value = latencies_s[int(quantile * len(latencies_s))] * 1e3
            print(f"backend_choice.{name}_p{quantile * 100:g} {value:.2f} ms")
        print(f"backend_choice.{name}_refused {simulation.refused} attempts")


if __name__ == "__main__":
    run()
