"""Lending: which spare worker stands in where and when."""

import dataclasses
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from ...state.configuration import Configuration
from ...state.entities import Worker
from ...state.transitions import INVOLUNTARY_STATES
from .demand import (
    Absence,
    Need,
    Timeline,
    bits,
    first_bit,
    is_lendable,
    present_pool,
)
from .messages import Cover

# What it costs, in moves, to take a worker from where it was planned before.
DISPLACED = 3


@dataclass(slots=True, eq=False)
class Lender:
    """A spare worker and what it is planned for.

    Attributes:
        worker: The worker.
        pool: Where it is now, or on its way to.
        away: Segments in which it can't serve, as bits.
        reserved: Segments in which it joins or stands in, as bits.
        held: The same with the time between, as bits.
        needs: What it stands in for.
    """

    worker: Worker
    pool: str
    away: int = 0
    reserved: int = 0
    held: int = 0
    needs: list[Need] = field(default_factory=list)

    def take(self, needs: list[Need]) -> None:
        """Stand in for some needs of one pool."""
        for need in needs:
            self.reserved |= need.reserved
        self.held |= bits(first_bit(needs[0].reserved), needs[-1].last)
        self.needs = sorted([*self.needs, *needs], key=lambda need: need.first)

    def place_before(self, need: Need) -> tuple[str, int]:
        """Return the pool right before a need, and the segment it is free from."""
        pool, ended = self.pool, 0
        for item in self.needs:
            if item.last <= need.first:
                pool, ended = item.pool, item.last
        return pool, ended


@dataclass(frozen=True, slots=True)
class Lending:
    """The result of the lending.

    Attributes:
        lenders: All spare workers.
        unmet: Needs that none of them can meet.
    """

    lenders: tuple[Lender, ...]
    unmet: tuple[Need, ...]


class Lenders:
    """Chooses a spare worker for each need.

    Needs of one pool and level form a chain: whoever stands in for the first
    one stays in the pool for the next, because leaving and coming back are two
    moves. Whoever has ended a chain goes on to another pool directly, which is
    one move less than going home first. A chain is cut where its worker is away
    itself, or shares a failure domain with those that it replaces. A need that
    nobody can take that way is met alone, also by a worker between two needs.

    Args:
        config: Configuration that the plan is made from.
        timeline: Planned time.
        absences: All absences.
    """

    def __init__(
        self,
        config: Configuration,
        timeline: Timeline,
        absences: tuple[Absence, ...],
    ):
        self.config = config
        self.timeline = timeline
        self.domains = _domain_counts(config)
        self.lenders = _find_lenders(config, timeline, absences)
        self.by_name = {item.worker.worker_id: item for item in self.lenders}
        self.previous: dict[str, list[Cover]] = defaultdict(list)
        self.planned: set[str] = set()
        self.unmet: list[Need] = []

    def lend(self, needs: list[Need], previous: tuple[Cover, ...]) -> Lending:
        """Return who stands in for which need.

        Args:
            needs: What the pools lack.
            previous: Covers of the plan before, kept as far as they still hold.
        """
        for cover in previous:
            self.previous[cover.pool].append(cover)
            self.planned.add(cover.worker_id)
        queue = [(_chain_start(chain), chain) for chain in _chains(needs)]
        heapify(queue)
        while queue:
            _, chain = heappop(queue)
            rest = chain[self._take_some(chain) :]
            if rest:
                heappush(queue, (_chain_start(rest), rest))
        return Lending(tuple(self.lenders), tuple(self.unmet))

    def _take_some(self, chain: list[Need]) -> int:
        # Settles the first needs of a chain and returns how many.
        lender, count = self._keep(chain)
        if count:
            lender.take(chain[:count])
            return count
        for candidates, careful in (
            (self._previous_lenders(chain[0]), True),
            (self.lenders, True),
            (self.lenders, False),
        ):
            lender, count = self._choose(candidates, chain, careful)
            if count:
                lender.take(chain[:count])
                return count
        self._meet_alone(chain[0])
        return 1

    def _keep(self, chain: list[Need]) -> tuple[Lender | None, int]:
        # Whoever was planned here stays as long as it was planned to, and no longer.
        best, best_count = None, 0
        for lender in self._previous_lenders(chain[0]):
            kept = 0
            while kept < len(chain) and lender in self._previous_lenders(chain[kept]):
                kept += 1
            count = _count_keepable(lender, chain[:kept])
            if count > best_count:
                best, best_count = lender, count
        return best, best_count

    def _previous_lenders(self, need: Need) -> list[Lender]:
        start_s = self.timeline.cuts[need.first]
        names = (
            cover.worker_id
            for cover in self.previous[need.pool]
            if cover.start_s <= start_s < cover.end_s
        )
        return [self.by_name[name] for name in names if name in self.by_name]

    def _choose(self, candidates, chain, careful) -> tuple[Lender | None, int]:
        wanted = bits(first_bit(chain[0].reserved), chain[-1].last)
        risky = frozenset().union(*(need.domains for need in chain))
        first = bits(first_bit(wanted), chain[0].last)
        best, best_count, best_cost = None, 0, ()
        for lender in candidates:
            # Most are busy at the first need, and are passed over at once.
            if lender.held & first:
                continue
            safe = not careful or lender.worker.failure_domain not in risky
            if safe and not (lender.held | lender.away) & wanted:
                count = len(chain)
            else:
                count = _count_takeable(lender, chain, careful)
            if count:
                cost = self._cost(lender, chain, count)
                if best is None or cost < best_cost:
                    best, best_count, best_cost = lender, count, cost
        return best, best_count

    def _cost(self, lender: Lender, chain: list[Need], count: int) -> tuple:
        need = chain[0]
        before, ended = lender.place_before(need)
        home = lender.worker.home_pool
        moves = 0 if before == need.pool else 1 if before != home else 2
        # Whoever was planned for another pool is left there.
        displaced = DISPLACED if lender.worker.worker_id in self.planned else 0
        return (
            moves + (count < len(chain)) + displaced,
            -count,
            -ended,
            self.domains[need.pool, lender.worker.failure_domain],
            lender.worker.worker_id,
        )

    def _meet_alone(self, need: Need) -> None:
        # Whoever reaches furthest stands in, then the next one takes over.
        at = need.first
        while at < need.last:
            rest = self._part(need, at, need.last)
            lender, reach = self._reach_furthest(rest)
            part = self._part(need, at, reach)
            if lender is None:
                self.unmet.append(part)
            else:
                lender.take([part])
            at = reach

    def _reach_furthest(self, need: Need) -> tuple[Lender | None, int]:
        best, best_rank = None, ()
        joining = need.reserved & ~need.mask
        for lender in self.lenders:
            blocked = lender.reserved | lender.away
            if blocked >> need.first & 1:
                continue
            if blocked & joining and lender.place_before(need)[0] != need.pool:
                continue
            ahead = blocked & need.mask
            reach = first_bit(ahead) if ahead else need.last
            risky = lender.worker.failure_domain in need.domains
            rank = (-reach, risky, *self._cost(lender, [need], 1))
            if best is None or rank < best_rank:
                best, best_rank = lender, rank
        if best is None:
            return None, need.first + 1
        return best, -best_rank[0]

    def _part(self, need: Need, first: int, last: int) -> Need:
        start_s = self.timeline.cuts[first]
        joining = self.timeline.mask(start_s - self.timeline.lead_s, start_s)
        mask = bits(first, last)
        return dataclasses.replace(
            need, first=first, last=last, mask=mask, reserved=mask | joining
        )


def _chains(needs: list[Need]) -> list[list[Need]]:
    chains = defaultdict(list)
    for need in needs:
        chains[need.pool, need.level].append(need)
    return list(chains.values())


def _count_takeable(lender: Lender, chain: list[Need], careful: bool) -> int:
    # How many needs from the first one on the worker can stand in for.
    begin = first_bit(chain[0].reserved)
    for count, need in enumerate(chain):
        if lender.held & bits(begin, need.last):
            return count
        if careful and lender.worker.failure_domain in need.domains:
            return count
        if not _is_present(lender, need, count > 0):
            return count
    return len(chain)


def _count_keepable(lender: Lender, chain: list[Need]) -> int:
    # A worker that stays in a pool may stand in twice without a time to join.
    stays = lender.place_before(chain[0])[0] == chain[0].pool if chain else False
    for count, need in enumerate(chain):
        begin = chain[0].first if stays else first_bit(chain[0].reserved)
        if lender.held & bits(begin, need.last):
            return count
        if lender.worker.failure_domain in need.domains:
            return count
        if not _is_present(lender, need, count > 0):
            return count
    return len(chain)


def _is_present(lender: Lender, need: Need, there: bool) -> bool:
    # A worker that is there already needs no time to join.
    if not lender.away & need.reserved:
        return True
    there = there or lender.place_before(need)[0] == need.pool
    return there and not lender.away & need.mask


def _find_lenders(config, timeline, absences) -> list[Lender]:
    away = defaultdict(int)
    for absence in absences:
        mask = timeline.mask(absence.start_s, absence.end_s)
        away[absence.worker.worker_id] |= mask
    lenders = [
        Lender(worker, present_pool(config, name), away[name])
        for name, worker in sorted(config.workers.items())
        if is_lendable(config, worker)
        and config.state_of(name) not in INVOLUNTARY_STATES
    ]
    return _without_reserve(config, lenders)


def _without_reserve(config, lenders) -> list[Lender]:
    # A spare pool that has a budget of its own keeps the workers for it, among
    # those that are at home and absent least.
    kept = set()
    for pool in config.pools.values():
        if pool.spare and pool.min_available:
            own = [item for item in lenders if item.worker.home_pool == pool.name]
            own.sort(
                key=lambda item: (
                    item.pool != pool.name,
                    item.away.bit_count(),
                    item.worker.worker_id,
                )
            )
            kept |= {item.worker.worker_id for item in own[: pool.min_available]}
    return [item for item in lenders if item.worker.worker_id not in kept]


def _domain_counts(config) -> Counter:
    return Counter(
        (present_pool(config, worker.worker_id), worker.failure_domain)
        for worker in config.workers.values()
    )


def _chain_start(chain: list[Need]) -> tuple:
    return (first_bit(chain[0].reserved), chain[0].pool, chain[0].level)
