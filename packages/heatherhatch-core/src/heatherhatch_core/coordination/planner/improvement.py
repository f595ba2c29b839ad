"""Improvement of a lending: lenders exchange the rest of their work."""

from dataclasses import dataclass

from .annealing import Annealing
from .demand import Need, Timeline, first_bit
from .lending import Lender

PASSES = 40
# Seconds that a lent worker may wait to save one move.
MOVE_WORTH_S = 13 * 86_400.0


@dataclass(frozen=True, slots=True)
class _Link:
    # The place between two needs of a lender, or between one and its home.
    lender: Lender
    position: int
    pool: str
    next_pool: str
    ended: int
    begins: int
    joins: int
    moves: int
    wait_s: float


def improve(lenders: list[Lender], timeline: Timeline) -> None:
    """Exchange tails between lenders while that saves moves, or else waiting.

    Two lenders that exchange everything after some point of each still meet the
    same needs, and so do two of which one takes a block of the other's needs.
    Either is done if it lowers the moves and the time in which lent workers wait,
    weighed against each other. Where no two gain any more, annealing goes on from
    there, and exchanges of two end it.

    Args:
        lenders: Lenders with their needs; changed in place.
        timeline: Planned time.
    """
    search = _Search(timeline)
    search.exchange_until_settled(lenders)
    Annealing(lenders, timeline, MOVE_WORTH_S).run()
    search.exchange_until_settled(lenders)


class _Search:
    def __init__(self, timeline: Timeline):
        self.timeline = timeline

    def exchange_until_settled(self, lenders: list[Lender]) -> None:
        """Exchange until nothing is gained, or all passes are used up."""
        for _ in range(PASSES):
            changed = self.exchange_tails(lenders)
            changed |= self.hand_over_blocks(lenders)
            if not changed:
                return

    def exchange_tails(self, lenders: list[Lender]) -> bool:
        links = [link for item in lenders for link in self.links_of(item)]
        spent: set[Lender] = set()
        for link in links:
            if link.lender not in spent and (link.moves or link.wait_s):
                other = self.best_partner(link, links, spent)
                if other is not None:
                    _exchange(link, other)
                    spent |= {link.lender, other.lender}
        return bool(spent)

    def hand_over_blocks(self, lenders: list[Lender]) -> bool:
        """Let another lender take a block of needs in one pool."""
        links = [link for item in lenders for link in self.links_of(item)]
        spent: set[Lender] = set()
        for lender in lenders:
            for first, last in _blocks(lender.needs):
                if lender in spent:
                    break
                link = self.best_place(lender, first, last, links, spent)
                if link is not None:
                    block = lender.needs[first:last]
                    at = link.position
                    link.lender.needs = (
                        link.lender.needs[:at] + block + link.lender.needs[at:]
                    )
                    lender.needs = lender.needs[:first] + lender.needs[last:]
                    spent |= {lender, link.lender}
        return bool(spent)

    def best_place(self, lender, first, last, links, spent) -> _Link | None:
        cuts = self.timeline.cuts
        before, after = self.link(lender, first), self.link(lender, last)
        block = lender.needs[first:last]
        pool = block[0].pool
        begins, joins = block[0].first, first_bit(block[0].reserved)
        ended = block[-1].last
        closed = (before.pool != after.next_pool) - before.moves - after.moves
        closed_s = closed * MOVE_WORTH_S - before.wait_s - after.wait_s
        if before.pool and after.next_pool:
            closed_s += cuts[after.begins] - cuts[before.ended]
        best, gain = None, -1.0
        for link in links:
            there = link.pool == pool
            if link.ended > (begins if there else joins) or ended > link.begins:
                continue
            if link.next_pool != pool and ended > link.joins:
                continue
            moves = (not there) + (pool != link.next_pool) - link.moves
            cost_s = closed_s + moves * MOVE_WORTH_S - link.wait_s
            if cost_s >= gain or link.lender in spent or link.lender is lender:
                continue
            if link.pool:
                cost_s += cuts[begins] - cuts[link.ended]
            if link.next_pool:
                cost_s += cuts[link.begins] - cuts[ended]
            if cost_s < gain and _may_take(link.lender, block, there):
                best, gain = link, cost_s
        return best

    def links_of(self, lender: Lender) -> list[_Link]:
        size = len(lender.needs)
        return [self.link(lender, position) for position in range(size + 1)]

    def link(self, lender: Lender, position: int) -> _Link:
        before = lender.needs[position - 1] if position else None
        after = lender.needs[position] if position < len(lender.needs) else None
        home = lender.worker.home_pool
        pool = before.pool if before else lender.pool
        next_pool = after.pool if after else ""
        ended = before.last if before else 0
        begins = after.first if after else self.timeline.size
        joins = first_bit(after.reserved) if after else self.timeline.size
        if pool == home:
            pool = ""
        return _Link(
            lender,
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

    def best_partner(self, link, links, spent) -> _Link | None:
        best, gain = None, -1.0
        cuts = self.timeline.cuts
        for other in links:
            # The tests stand here for speed; most pairs fail the first ones.
            if other.ended > link.begins or link.ended > other.begins:
                continue
            moves = (link.pool != other.next_pool) + (other.pool != link.next_pool)
            moves -= link.moves + other.moves
            cost_s = moves * MOVE_WORTH_S - link.wait_s - other.wait_s
            if cost_s >= gain:
                continue
            if link.pool and other.next_pool:
                cost_s += cuts[other.begins] - cuts[link.ended]
            if other.pool and link.next_pool:
                cost_s += cuts[link.begins] - cuts[other.ended]
            if cost_s >= gain or other.lender in spent:
                continue
            if _may_exchange(link, other):
                best, gain = other, cost_s
        return best


def _may_exchange(link: _Link, other: _Link) -> bool:
    if link.lender is other.lender:
        return False
    return _may_follow(link, other) and _may_follow(other, link)


def _may_follow(head: _Link, tail: _Link) -> bool:
    needs = tail.lender.needs[tail.position :]
    if not needs:
        return True
    there = head.pool == tail.next_pool
    if head.ended > (tail.begins if there else tail.joins):
        return False
    return _may_take(head.lender, needs, there)


def _may_take(lender: Lender, needs: list[Need], there: bool) -> bool:
    pool = needs[0].pool if there else ""
    for need in needs:
        if not _may_meet(lender, need, there=pool == need.pool):
            return False
        pool = need.pool
    return True


def _blocks(needs: list[Need]) -> list[tuple[int, int]]:
    ends = [i for i in range(1, len(needs)) if needs[i].pool != needs[i - 1].pool]
    cuts = [0, *ends, len(needs)] if needs else []
    return list(zip(cuts, cuts[1:], strict=False))


def _may_meet(lender: Lender, need: Need, there: bool) -> bool:
    if lender.worker.failure_domain in need.domains:
        return False
    return not lender.away & (need.mask if there else need.reserved)


def _exchange(link: _Link, other: _Link) -> None:
    first, second = link.lender, other.lender
    mine = first.needs[: link.position] + second.needs[other.position :]
    its = second.needs[: other.position] + first.needs[link.position :]
    first.needs, second.needs = mine, its
