"""Local search that improves a lending by exchanges between spare workers."""

from dataclasses import dataclass

from .annealing import Annealing
from .demand import Need, Timeline, first_bit
from .lending import SpareWorker

MAX_PASSES = 40
# Cost of a move, as the seconds that a lent worker may wait to save one.
MOVE_COST_S = 13 * 86_400.0


@dataclass(frozen=True, slots=True)
class _Link:
    # The gap between two needs of a spare worker, or between one and its home pool,
    # which is written as an empty pool.
    spare: SpareWorker
    position: int
    pool: str
    next_pool: str
    ended: int
    begins: int
    joins: int
    moves: int
    wait_s: float


def improve(spares: list[SpareWorker], timeline: Timeline) -> None:
    """Exchange needs between spare workers while that lowers the cost.

    Two spare workers still meet the same needs after they exchange everything after
    some point of each, or after one takes a block of the other's needs. Either
    exchange is made if it lowers the weighted sum of the moves and of the time in
    which lent workers wait. Once no exchange lowers it, simulated annealing
    continues from there, followed by another round of exchanges.

    Args:
        spares: Spare workers with their needs; changed in place.
        timeline: Planned period.
    """
    search = _Search(timeline)
    search.exchange_until_converged(spares)
    Annealing(spares, timeline, MOVE_COST_S).run()
    search.exchange_until_converged(spares)


class _Search:
    def __init__(self, timeline: Timeline):
        self.timeline = timeline

    def exchange_until_converged(self, spares: list[SpareWorker]) -> None:
        """Exchange until the cost stops falling, at most ``MAX_PASSES`` times."""
        for _ in range(MAX_PASSES):
            changed = self.exchange_tails(spares)
            changed |= self.move_blocks(spares)
            if not changed:
                return

    def exchange_tails(self, spares: list[SpareWorker]) -> bool:
        links = [link for item in spares for link in self.links_of(item)]
        touched: set[SpareWorker] = set()
        for link in links:
            if link.spare not in touched and (link.moves or link.wait_s):
                other = self.best_partner(link, links, touched)
                if other is not None:
                    _exchange(link, other)
                    touched |= {link.spare, other.spare}
        return bool(touched)

    def move_blocks(self, spares: list[SpareWorker]) -> bool:
        """Move blocks of needs in one pool to other spare workers."""
        links = [link for item in spares for link in self.links_of(item)]
        touched: set[SpareWorker] = set()
        for spare in spares:
            for first, last in _blocks(spare.needs):
                if spare in touched:
                    break
                link = self.best_gap_for(spare, first, last, links, touched)
                if link is not None:
                    block = spare.needs[first:last]
                    at = link.position
                    link.spare.needs = (
                        link.spare.needs[:at] + block + link.spare.needs[at:]
                    )
                    spare.needs = spare.needs[:first] + spare.needs[last:]
                    touched |= {spare, link.spare}
        return bool(touched)

    def best_gap_for(self, spare, first, last, links, touched) -> _Link | None:
        cuts = self.timeline.cuts
        before, after = self.link(spare, first), self.link(spare, last)
        block = spare.needs[first:last]
        pool = block[0].pool
        begins, joins = block[0].first, first_bit(block[0].reserved)
        ended = block[-1].last
        removed_moves = (before.pool != after.next_pool) - before.moves - after.moves
        removal_cost_s = removed_moves * MOVE_COST_S - before.wait_s - after.wait_s
        if before.pool and after.next_pool:
            removal_cost_s += cuts[after.begins] - cuts[before.ended]
        best, gain = None, -1.0
        for link in links:
            same_pool = link.pool == pool
            if link.ended > (begins if same_pool else joins) or ended > link.begins:
                continue
            if link.next_pool != pool and ended > link.joins:
                continue
            moves = (not same_pool) + (pool != link.next_pool) - link.moves
            cost_s = removal_cost_s + moves * MOVE_COST_S - link.wait_s
            if cost_s >= gain or link.spare in touched or link.spare is spare:
                continue
            if link.pool:
                cost_s += cuts[begins] - cuts[link.ended]
            if link.next_pool:
                cost_s += cuts[link.begins] - cuts[ended]
            if cost_s < gain and _can_take(link.spare, block, same_pool):
                best, gain = link, cost_s
        return best

    def links_of(self, spare: SpareWorker) -> list[_Link]:
        size = len(spare.needs)
        return [self.link(spare, position) for position in range(size + 1)]

    def link(self, spare: SpareWorker, position: int) -> _Link:
        before = spare.needs[position - 1] if position else None
        after = spare.needs[position] if position < len(spare.needs) else None
        home = spare.worker.home_pool
        pool = before.pool if before else spare.pool
        next_pool = after.pool if after else ""
        ended = before.last if before else 0
        begins = after.first if after else self.timeline.size
        joins = first_bit(after.reserved) if after else self.timeline.size
        if pool == home:
            pool = ""
        return _Link(
            spare,
            position,
            pool,
            next_pool,
            ended,
            begins,
            joins,
            int(pool != next_pool),
            self.wait_s(pool, next_pool, ended, begins),
        )

    def wait_s(self, pool: str, next_pool: str, ended: int, begins: int) -> float:
        if not pool or not next_pool:
            return 0.0
        return self.timeline.cuts[begins] - self.timeline.cuts[ended]

    def best_partner(self, link, links, touched) -> _Link | None:
        best, gain = None, -1.0
        cuts = self.timeline.cuts
        for other in links:
            # The checks are inlined for speed; most pairs fail the first ones.
            if other.ended > link.begins or link.ended > other.begins:
                continue
            moves = (link.pool != other.next_pool) + (other.pool != link.next_pool)
            moves -= link.moves + other.moves
            cost_s = moves * MOVE_COST_S - link.wait_s - other.wait_s
            if cost_s >= gain:
                continue
            if link.pool and other.next_pool:
                cost_s += cuts[other.begins] - cuts[link.ended]
            if other.pool and link.next_pool:
                cost_s += cuts[link.begins] - cuts[other.ended]
            if cost_s >= gain or other.spare in touched:
                continue
            if _can_exchange(link, other):
                best, gain = other, cost_s
        return best


def _can_exchange(link: _Link, other: _Link) -> bool:
    if link.spare is other.spare:
        return False
    return _can_follow(link, other) and _can_follow(other, link)


def _can_follow(head: _Link, tail: _Link) -> bool:
    needs = tail.spare.needs[tail.position :]
    if not needs:
        return True
    same_pool = head.pool == tail.next_pool
    if head.ended > (tail.begins if same_pool else tail.joins):
        return False
    return _can_take(head.spare, needs, same_pool)


def _can_take(spare: SpareWorker, needs: list[Need], same_pool: bool) -> bool:
    pool = needs[0].pool if same_pool else ""
    for need in needs:
        if not _can_meet(spare, need, same_pool=pool == need.pool):
            return False
        pool = need.pool
    return True


def _blocks(needs: list[Need]) -> list[tuple[int, int]]:
    ends = [i for i in range(1, len(needs)) if needs[i].pool != needs[i - 1].pool]
    cuts = [0, *ends, len(needs)] if needs else []
    return list(zip(cuts, cuts[1:], strict=False))


def _can_meet(spare: SpareWorker, need: Need, same_pool: bool) -> bool:
    if spare.worker.failure_domain in need.domains:
        return False
    return not spare.away & (need.mask if same_pool else need.reserved)


def _exchange(link: _Link, other: _Link) -> None:
    first, second = link.spare, other.spare
    first_needs = first.needs[: link.position] + second.needs[other.position :]
    second_needs = second.needs[: other.position] + first.needs[link.position :]
    first.needs, second.needs = first_needs, second_needs
