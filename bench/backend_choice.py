"""Choice of backend servers in virtual time, against a random choice."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

from heatherhatch_core.coordination.backend_choice import BackendChoice

SERVERS = ("s1", "s2", "s3", "s4", "s5", "s6")
SLOTS = 8
WORK_S = 0.01
LOAD = 0.6
RUN_S = 30.0
SLOW = ("s1", 10.0, 20.0, 5.0)
DEAD = ("s2", 20.0, 30.0)
REFUSAL_S = 0.001
NOBODY = frozenset()


class Server:
    """A server with slots and a queue."""

    def __init__(self, name: str):
        self.name = name
        self.busy = 0
        self.queue: deque[int] = deque()

    def work_s(self, now_s: float, source: random.Random) -> float:
        """Return the time of one request that starts now."""
        name, begin_s, end_s, factor = SLOW
        slowed = self.name == name and begin_s <= now_s < end_s
        return source.expovariate(1 / WORK_S) * (factor if slowed else 1.0)

    def refuses(self, now_s: float) -> bool:
        """Tell whether it takes no connection now."""
        name, begin_s, end_s = DEAD
        return self.name == name and begin_s <= now_s < end_s


class Simulation:
    """Requests of one run.

    Args:
        choose: Returns a server's name, None if none has room.
        choice: What learns from the answers, None for the baseline.
    """

    def __init__(self, choose: Callable[[float], str | None], choice: BackendChoice):
        self.choose = choose
        self.choice = choice
        self.source = random.Random(7)
        self.servers = {name: Server(name) for name in SERVERS}
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.begun: dict[int, float] = {}
        self.sent: dict[int, tuple] = {}
        self.waiting: deque[int] = deque()
        self.times: list[float] = []
        self.refused = 0

    def run(self) -> None:
        """Run all events in the order of time."""
        rate = LOAD * len(SERVERS) * SLOTS / WORK_S
        now_s = 0.0
        for i in itertools.count():
            now_s += self.source.expovariate(rate)
            if now_s > RUN_S:
                break
            self.begun[i] = now_s
            self._at(now_s, self._arrive, i)
        while self.events:
            now_s, _, act, item = heapq.heappop(self.events)
            act(now_s, item)

    def _at(self, now_s, act, item):
        heapq.heappush(self.events, (now_s, next(self.order), act, item))

    def _arrive(self, now_s, i):
        name = self.choose(now_s)
        if name is None:
            self.waiting.append(i)
            return
        server = self.servers[name]
        self.sent[i] = (server, self.choice.start(name), now_s)
        if server.refuses(now_s):
            self.refused += 1
            self._at(now_s + REFUSAL_S, self._refuse, i)
        elif server.busy < SLOTS:
            self._serve(now_s, server, i)
        else:
            server.queue.append(i)

    def _serve(self, now_s, server, i):
        server.busy += 1
        self._at(now_s + server.work_s(now_s, self.source), self._finish, i)

    def _finish(self, now_s, i):
        server, state, sent_s = self.sent.pop(i)
        server.busy -= 1
        self.choice.succeed(state, now_s - sent_s)
        self.times.append(now_s - self.begun[i])
        if server.queue:
            self._serve(now_s, server, server.queue.popleft())
        self._wake(now_s)

    def _refuse(self, now_s, i):
        _, state, _ = self.sent.pop(i)
        self.choice.fail(state, now_s, True)
        self._at(now_s, self._arrive, i)
        self._wake(now_s)

    def _wake(self, now_s):
        if self.waiting:
            self._at(now_s, self._arrive, self.waiting.popleft())


def run() -> None:
    """Print latency and refusals of both ways."""
    for name in ("random", "chosen"):
        source = random.Random(3)
        choice = BackendChoice()
        choice.set_members(SERVERS, 0.0)

        def choose(now_s, name=name, choice=choice, source=source):
            if name == "random":
                return source.choice(SERVERS)
            draws = (source.random(), source.random())
            return choice.choose(now_s, draws, NOBODY)

        simulation = Simulation(choose, choice)
        simulation.run()
        times = sorted(simulation.times)
        for share in (0.5, 0.99, 0.999):
            value = times[int(share * len(times))] * 1e3
            print(f"backend_choice.{name}_p{share * 100:g} {value:.2f} ms")
        print(f"backend_choice.{name}_refused {simulation.refused} attempts")


if __name__ == "__main__":
    run()
