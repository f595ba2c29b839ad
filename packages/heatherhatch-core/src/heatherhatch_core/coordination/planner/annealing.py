"""Simulated annealing: exchanges of tails that may raise the cost for a while."""

import math
import random
from bisect import bisect_right

from .demand import Need, Timeline, first_bit
from .lending import SpareWorker

# The number of steps bounds the run time without a look at the clock. It and the
# fixed seed make every node improve the same lending in the same way.
MAX_STEPS = 40_000
STEPS_PER_NEED = 60
SEED = 1
# Temperatures in moves: the typical cost that a step may add at the start and at
# the end.
INITIAL_TEMPERATURE = 0.2
FINAL_TEMPERATURE = 0.03


class Annealing:
    """Exchanges the tails of two spare workers' needs, step by step.

    Exchanges that raise the cost are accepted ever more rarely. The search starts
    from any lending and ends with the best one that it came across.

    Args:
        spares: Spare workers with their needs; changed in place.
        timeline: Planned period.
        move_cost_s: Cost of a move, as the seconds that a lent worker may wait to
            save one.
    """

    def __init__(
        self, spares: list[SpareWorker], timeline: Timeline, move_cost_s: float
    ):
        self.spares = spares
        self.cuts = timeline.cuts
        self.move_cost_s = move_cost_s
        self.generator = random.Random(SEED)
        self.ends = [[need.last for need in item.needs] for item in spares]
        self.spare_of_need: dict[int, int] = {}
        self.needs: list[Need] = []
        self.by_pool: dict[str, list[Need]] = {}
        for index, item in enumerate(spares):
            for need in item.needs:
                self.spare_of_need[id(need)] = index
                self.needs.append(need)
                self.by_pool.setdefault(need.pool, []).append(need)

    def run(self) -> None:
        """Take all steps and keep the best lending."""
        if not self.needs:
            return
        cost = best_cost = 0.0
        best = [item.needs for item in self.spares]
        steps = min(MAX_STEPS, STEPS_PER_NEED * len(self.needs))
        cooling = math.log(FINAL_TEMPERATURE / INITIAL_TEMPERATURE) / steps
        for step in range(steps):
            temperature = INITIAL_TEMPERATURE * math.exp(cooling * step)
            limit = -temperature * math.log(1.0 - self.generator.random())
            cost += self._try_exchange(limit)
            if cost < best_cost - 1e-6:
                best_cost = cost
                best = [item.needs for item in self.spares]
        for item, needs in zip(self.spares, best, strict=True):
            item.needs = needs

    def _try_exchange(self, limit: float) -> float:
        # Returns the added cost of the step, in moves; 0 if it was not taken.
        need = self.needs[int(self.generator.random() * len(self.needs))]
        a = self.spare_of_need[id(need)]
        i = bisect_right(self.ends[a], need.first)
        if self.generator.random() < 0.5:
            peers = self.by_pool[need.pool]
            peer = peers[int(self.generator.random() * len(peers))]
            if peer.last > need.first:
                return 0.0
            b = self.spare_of_need[id(peer)]
        else:
            b = int(self.generator.random() * len(self.spares))
        if a == b:
            return 0.0
        j = bisect_right(self.ends[b], need.first)
        first, second = self.spares[a], self.spares[b]
        old = self._link_cost(first, i, first, i) + self._link_cost(
            second, j, second, j
        )
        new = self._link_cost(first, i, second, j)
        if new - old > limit:
            return 0.0
        cost = new + self._link_cost(second, j, first, i) - old
        if cost > limit or not (
            self._can_follow(first, i, second, j)
            and self._can_follow(second, j, first, i)
        ):
            return 0.0
        self._exchange(a, i, b, j)
        return cost

    def _link_cost(self, head: SpareWorker, i: int, tail: SpareWorker, j: int) -> float:
        # Cost of moves and waiting, in moves, where the needs of head before i are
        # followed by the needs of tail from j on.
        home = head.worker.home_pool
        pool = head.needs[i - 1].pool if i else head.pool
        if j == len(tail.needs):
            return float(pool != home)
        need = tail.needs[j]
        cost = float(pool != need.pool)
        if pool != home:
            ended = head.needs[i - 1].last if i else 0
            cost += (self.cuts[need.first] - self.cuts[ended]) / self.move_cost_s
        return cost

    def _can_follow(self, head: SpareWorker, i: int, tail: SpareWorker, j: int) -> bool:
        if j == len(tail.needs):
            return True
        pool = head.needs[i - 1].pool if i else head.pool
        ended = head.needs[i - 1].last if i else 0
        need = tail.needs[j]
        if ended > (need.first if pool == need.pool else first_bit(need.reserved)):
            return False
        for need in tail.needs[j:]:
            if head.worker.failure_domain in need.domains:
                return False
            mask = need.mask if pool == need.pool else need.reserved
            if head.away & mask:
                return False
            pool = need.pool
        return True

    def _exchange(self, a: int, i: int, b: int, j: int) -> None:
        first, second = self.spares[a], self.spares[b]
        first_needs = first.needs[:i] + second.needs[j:]
        second_needs = second.needs[:j] + first.needs[i:]
        first.needs, second.needs = first_needs, second_needs
        for index, item in ((a, first), (b, second)):
            self.ends[index] = [need.last for need in item.needs]
            for need in item.needs:
                self.spare_of_need[id(need)] = index
