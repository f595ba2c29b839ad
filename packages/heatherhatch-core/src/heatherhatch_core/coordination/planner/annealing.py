"""Annealing: exchanges of tails that may cost something for a while."""

import math
import random
from bisect import bisect_right

from .demand import Need, Timeline, first_bit
from .lending import Lender

# The steps bound the time it takes, whatever the clock says. The seed is fixed, so
# that the same lending is improved in the same way on any node.
MAX_STEPS = 40_000
STEPS_PER_NEED = 60
SEED = 1
# Moves that a step may cost, about, at the start and at the end.
FIRST_HEAT = 0.2
LAST_HEAT = 0.03


class Annealing:
    """Exchanges the tails of two lenders at a time, worse ones ever more rarely.

    It starts from any lending, and keeps the best that it has passed.

    Args:
        lenders: Lenders with their needs; changed in place.
        timeline: Planned time.
        move_worth_s: Seconds that a lent worker may wait to save one move.
    """

    def __init__(self, lenders: list[Lender], timeline: Timeline, move_worth_s: float):
        self.lenders = lenders
        self.cuts = timeline.cuts
        self.worth_s = move_worth_s
        self.source = random.Random(SEED)
        self.ends = [[need.last for need in item.needs] for item in lenders]
        self.holders: dict[int, int] = {}
        self.needs: list[Need] = []
        self.by_pool: dict[str, list[Need]] = {}
        for number, item in enumerate(lenders):
            for need in item.needs:
                self.holders[id(need)] = number
                self.needs.append(need)
                self.by_pool.setdefault(need.pool, []).append(need)

    def run(self) -> None:
        """Take all steps, and leave the best lending behind."""
        if not self.needs:
            return
        cost = best_cost = 0.0
        best = [item.needs for item in self.lenders]
        steps = min(MAX_STEPS, STEPS_PER_NEED * len(self.needs))
        cooling = math.log(LAST_HEAT / FIRST_HEAT) / steps
        for step in range(steps):
            heat = FIRST_HEAT * math.exp(cooling * step)
            limit = -heat * math.log(1.0 - self.source.random())
            cost += self._try_step(limit)
            if cost < best_cost - 1e-6:
                best_cost = cost
                best = [item.needs for item in self.lenders]
        for item, needs in zip(self.lenders, best, strict=True):
            item.needs = needs

    def _try_step(self, limit: float) -> float:
        # Returns what the step has cost, in moves; 0 if it was not taken.
        need = self.needs[int(self.source.random() * len(self.needs))]
        a = self.holders[id(need)]
        i = bisect_right(self.ends[a], need.first)
        if self.source.random() < 0.5:
            peers = self.by_pool[need.pool]
            peer = peers[int(self.source.random() * len(peers))]
            if peer.last > need.first:
                return 0.0
            b = self.holders[id(peer)]
        else:
            b = int(self.source.random() * len(self.lenders))
        if a == b:
            return 0.0
        j = bisect_right(self.ends[b], need.first)
        first, second = self.lenders[a], self.lenders[b]
        old = self._link_cost(first, i, first, i) + self._link_cost(
            second, j, second, j
        )
        new = self._link_cost(first, i, second, j)
        if new - old > limit:
            return 0.0
        cost = new + self._link_cost(second, j, first, i) - old
        if cost > limit or not (
            self._may_follow(first, i, second, j)
            and self._may_follow(second, j, first, i)
        ):
            return 0.0
        self._exchange(a, i, b, j)
        return cost

    def _link_cost(self, head: Lender, i: int, tail: Lender, j: int) -> float:
        # Moves and waiting between the needs before i and those from j on.
        home = head.worker.home_pool
        pool = head.needs[i - 1].pool if i else head.pool
        if j == len(tail.needs):
            return float(pool != home)
        need = tail.needs[j]
        cost = float(pool != need.pool)
        if pool != home:
            ended = head.needs[i - 1].last if i else 0
            cost += (self.cuts[need.first] - self.cuts[ended]) / self.worth_s
        return cost

    def _may_follow(self, head: Lender, i: int, tail: Lender, j: int) -> bool:
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
        first, second = self.lenders[a], self.lenders[b]
        mine = first.needs[:i] + second.needs[j:]
        its = second.needs[:j] + first.needs[i:]
        first.needs, second.needs = mine, its
        for number, item in ((a, first), (b, second)):
            self.ends[number] = [need.last for need in item.needs]
            for need in item.needs:
                self.holders[id(need)] = number
