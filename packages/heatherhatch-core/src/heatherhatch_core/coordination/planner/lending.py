"""Lending: which spare worker covers which pool and when."""

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

# Cost, in moves, of using a worker that the previous plan uses elsewhere.
DISPLACEMENT_COST_MOVES = 3


@dataclass(slots=True, eq=False)
class SpareWorker:
    """A spare worker and the needs that it is assigned to.

    Attributes:
        worker: The worker.
        pool: Pool that it is in now, or is moving to.
        away: Segments in which it can't serve, as bits.
        reserved: Segments in which it joins a pool or covers a need, as bits.
        occupied: ``reserved`` and the segments between the needs of each call of
            ``take``, as bits.
        needs: The needs that it covers, in order of time.
    """

    worker: Worker
    pool: str
    away: int = 0
    reserved: int = 0
    occupied: int = 0
    needs: list[Need] = field(default_factory=list)

    def take(self, needs: list[Need]) -> None:
        """Assign some needs of one pool to the worker."""
        for need in needs:
            self.reserved |= need.reserved
        self.occupied |= bits(first_bit(needs[0].reserved), needs[-1].last)
        self.needs = sorted([*self.needs, *needs], key=lambda need: need.first)

    def pool_before(self, need: Need) -> tuple[str, int]:
        """Return the pool right before a need and the segment it is free from.

        Args:
            need: Need that the worker may cover.
        """
        pool, ended = self.pool, 0
        for item in self.needs:
            if item.last <= need.first:
                pool, ended = item.pool, item.last
        return pool, ended


@dataclass(frozen=True, slots=True)
class Lending:
    """The assignment of spare workers to needs.

    Attributes:
        spares: All spare workers.
        unmet: Needs, or parts of needs, that no spare worker can cover.
    """

    spares: tuple[SpareWorker, ...]
    unmet: tuple[Need, ...]


class SpareAssigner:
    """Assigns a spare worker to each need.

    Needs of one pool and level form a chain: the worker that covers the first need
    stays in the pool for the next, because leaving and returning are two moves. A
    worker that has completed a chain moves directly to another pool, which is one
    move less than going home first. A chain is split where its worker is away
    itself, or shares a failure domain with the workers that it replaces. A need
    that no worker can cover in this way is covered piece by piece, also by workers
    that are free between two needs.

    Args:
        config: Configuration that the plan is made from.
        timeline: Planned period.
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
        self.spares = _find_spares(config, timeline, absences)
        self.by_name = {item.worker.worker_id: item for item in self.spares}
        self.previous: dict[str, list[Cover]] = defaultdict(list)
        self.previously_planned: set[str] = set()
        self.unmet: list[Need] = []

    def assign(self, needs: list[Need], previous: tuple[Cover, ...]) -> Lending:
        """Return which spare workers cover which needs.

        Args:
            needs: What the pools lack.
            previous: Covers of the previous plan, kept as far as they are valid.
        """
        for cover in previous:
            self.previous[cover.pool].append(cover)
            self.previously_planned.add(cover.worker_id)
        queue = [(_chain_start(chain), chain) for chain in _chains(needs)]
        heapify(queue)
        while queue:
            _, chain = heappop(queue)
            rest = chain[self._assign_prefix(chain) :]
            if rest:
                heappush(queue, (_chain_start(rest), rest))
        return Lending(tuple(self.spares), tuple(self.unmet))

    def _assign_prefix(self, chain: list[Need]) -> int:
        # Assigns the first needs of a chain and returns their number.
        spare, count = self._keep_previous(chain)
        if count:
            spare.take(chain[:count])
            return count
        for candidates, avoid_shared_domain in (
            (self._previous_spares(chain[0]), True),
            (self.spares, True),
            (self.spares, False),
        ):
            spare, count = self._choose(candidates, chain, avoid_shared_domain)
            if count:
                spare.take(chain[:count])
                return count
        self._cover_in_parts(chain[0])
        return 1

    def _keep_previous(self, chain: list[Need]) -> tuple[SpareWorker | None, int]:
        # A worker of the previous plan keeps the needs that it was planned for, and
        # gets no further ones here.
        best, best_count = None, 0
        for spare in self._previous_spares(chain[0]):
            kept = 0
            while kept < len(chain) and spare in self._previous_spares(chain[kept]):
                kept += 1
            count = _count_keepable(spare, chain[:kept])
            if count > best_count:
                best, best_count = spare, count
        return best, best_count

    def _previous_spares(self, need: Need) -> list[SpareWorker]:
        start_s = self.timeline.cuts[need.first]
        names = (
            cover.worker_id
            for cover in self.previous[need.pool]
            if cover.start_s <= start_s < cover.end_s
        )
        return [self.by_name[name] for name in names if name in self.by_name]

    def _choose(
        self, candidates, chain, avoid_shared_domain
    ) -> tuple[SpareWorker | None, int]:
        wanted = bits(first_bit(chain[0].reserved), chain[-1].last)
        replaced_domains = frozenset().union(*(need.domains for need in chain))
        first = bits(first_bit(wanted), chain[0].last)
        best, best_count, best_cost = None, 0, ()
        for spare in candidates:
            # Fast path: most workers are occupied at the first need.
            if spare.occupied & first:
                continue
            safe = (
                not avoid_shared_domain
                or spare.worker.failure_domain not in replaced_domains
            )
            if safe and not (spare.occupied | spare.away) & wanted:
                count = len(chain)
            else:
                count = _count_coverable(spare, chain, avoid_shared_domain)
            if count:
                cost = self._cost(spare, chain, count)
                if best is None or cost < best_cost:
                    best, best_count, best_cost = spare, count, cost
        return best, best_count

    def _cost(self, spare: SpareWorker, chain: list[Need], count: int) -> tuple:
        need = chain[0]
        before, ended = spare.pool_before(need)
        home = spare.worker.home_pool
        moves = 0 if before == need.pool else 1 if before != home else 2
        # Discourages the use of a worker that the previous plan uses elsewhere.
        displacement = (
            DISPLACEMENT_COST_MOVES
            if spare.worker.worker_id in self.previously_planned
            else 0
        )
        return (
            moves + (count < len(chain)) + displacement,
            -count,
            -ended,
            self.domains[need.pool, spare.worker.failure_domain],
            spare.worker.worker_id,
        )

    def _cover_in_parts(self, need: Need) -> None:
        # The worker that can cover the longest part comes first, then the one that
        # can cover the longest part of the rest.
        start = need.first
        while start < need.last:
            rest = self._part(need, start, need.last)
            spare, reach = self._reach_furthest(rest)
            part = self._part(need, start, reach)
            if spare is None:
                self.unmet.append(part)
            else:
                spare.take([part])
            start = reach

    def _reach_furthest(self, need: Need) -> tuple[SpareWorker | None, int]:
        best, best_rank = None, ()
        joining = need.reserved & ~need.mask
        for spare in self.spares:
            blocked = spare.reserved | spare.away
            if blocked >> need.first & 1:
                continue
            if blocked & joining and spare.pool_before(need)[0] != need.pool:
                continue
            ahead = blocked & need.mask
            reach = first_bit(ahead) if ahead else need.last
            shares_domain = spare.worker.failure_domain in need.domains
            rank = (-reach, shares_domain, *self._cost(spare, [need], 1))
            if best is None or rank < best_rank:
                best, best_rank = spare, rank
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


def _count_coverable(
    spare: SpareWorker, chain: list[Need], avoid_shared_domain: bool
) -> int:
    # Number of needs, from the first one on, that the worker can cover.
    begin = first_bit(chain[0].reserved)
    for count, need in enumerate(chain):
        if spare.occupied & bits(begin, need.last):
            return count
        if avoid_shared_domain and spare.worker.failure_domain in need.domains:
            return count
        if not _is_present(spare, need, count > 0):
            return count
    return len(chain)


def _count_keepable(spare: SpareWorker, chain: list[Need]) -> int:
    # A worker that stays in the pool covers another need without time to join.
    stays = spare.pool_before(chain[0])[0] == chain[0].pool if chain else False
    for count, need in enumerate(chain):
        begin = chain[0].first if stays else first_bit(chain[0].reserved)
        if spare.occupied & bits(begin, need.last):
            return count
        if spare.worker.failure_domain in need.domains:
            return count
        if not _is_present(spare, need, count > 0):
            return count
    return len(chain)


def _is_present(spare: SpareWorker, need: Need, in_pool: bool) -> bool:
    # A worker that is in the pool already needs no time to join.
    if not spare.away & need.reserved:
        return True
    in_pool = in_pool or spare.pool_before(need)[0] == need.pool
    return in_pool and not spare.away & need.mask


def _find_spares(config, timeline, absences) -> list[SpareWorker]:
    away = defaultdict(int)
    for absence in absences:
        mask = timeline.mask(absence.start_s, absence.end_s)
        away[absence.worker.worker_id] |= mask
    spares = [
        SpareWorker(worker, present_pool(config, name), away[name])
        for name, worker in sorted(config.workers.items())
        if is_lendable(config, worker)
        and config.state_of(name) not in INVOLUNTARY_STATES
    ]
    return _exclude_reserved(config, spares)


def _exclude_reserved(config, spares) -> list[SpareWorker]:
    # A spare pool with a ``min_available`` of its own keeps that many workers,
    # those at home and with the fewest absences first.
    kept = set()
    for pool in config.pools.values():
        if pool.spare and pool.min_available:
            own = [item for item in spares if item.worker.home_pool == pool.name]
            own.sort(
                key=lambda item: (
                    item.pool != pool.name,
                    item.away.bit_count(),
                    item.worker.worker_id,
                )
            )
            kept |= {item.worker.worker_id for item in own[: pool.min_available]}
    return [item for item in spares if item.worker.worker_id not in kept]


def _domain_counts(config) -> Counter:
    return Counter(
        (present_pool(config, worker.worker_id), worker.failure_domain)
        for worker in config.workers.values()
    )


def _chain_start(chain: list[Need]) -> tuple:
    return (first_bit(chain[0].reserved), chain[0].pool, chain[0].level)
