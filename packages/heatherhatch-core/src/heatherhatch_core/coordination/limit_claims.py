"""Claims of pools on a team's limit, served in the order in which they were stored.

The parts of a limit follow the demand of the pools, and demand can be divided. A task
or a gang cannot: several pools may each hold less than their next work needs while the
rest of the limit stays unused. A claim names all that such work needs. The pools behind
it in the order leave that much of the limit, and give back what they do not use.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..state.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class LimitClaim:
    """What one pool needs of a team's limit to start its next work.

    Attributes:
        pool: Name of the pool.
        number: Distinguishes the claims of a pool; a later one has a higher number.
        need: Resources of the work: one task or a whole gang.
        wanted: Part of the limit that the pool needs, with what it uses already.
        hold_s: How long the pool may keep others waiting once it is first, seconds.
    """

    pool: str
    number: int
    need: Resources
    wanted: Resources
    hold_s: float


def limited_part(amount: Resources, limit: Resources) -> Resources:
    """Return an amount without the dimensions in which there is no limit."""
    return Resources(
        amount.cpu_m if limit.cpu_m else 0,
        amount.memory_mb if limit.memory_mb else 0,
        amount.accelerators if limit.accelerators else 0,
    )


def can_be_met(
    claim: LimitClaim, lasting: Iterable[Resources], limit: Resources
) -> bool:
    """Return whether a claim fits into a limit once all work that ends has ended.

    Args:
        claim: The claim.
        lasting: What runs of each pool that do not end by themselves use.
        limit: Limit of the team; 0 means no limit.
    """
    return sum(lasting, claim.need).within(limit)


def room_for(
    pool: str,
    limit: Resources,
    parts: Mapping[str, Resources],
    claims: Sequence[LimitClaim],
    largest_first: bool = False,
) -> Resources:
    """Return the largest part that a pool may have beside the others.

    Args:
        pool: Name of the pool.
        limit: Limit of the team; 0 means no limit.
        parts: Part of each pool.
        claims: Claims in force, the first in line first.
        largest_first: True if the pools with larger parts are expected to give up what
            the claims lack, as far as their parts go. If each pool did, the claims
            would get many times what they need.
    """
    kept = {name: part for name, part in parts.items() if name != pool}
    ahead = []
    for claim in claims:
        if claim.pool == pool:
            break
        ahead.append(claim.pool)
        part = kept.get(claim.pool, NO_RESOURCES)
        kept[claim.pool] = part.elementwise_max(claim.wanted)
    own = parts.get(pool, NO_RESOURCES)
    if largest_first and ahead:
        lacking = sum(kept.values(), own) - limit
        for name in _larger_parts(pool, limit, parts):
            if name not in ahead:
                given = parts[name].elementwise_min(lacking)
                given = given.elementwise_max(NO_RESOURCES)
                kept[name] = kept[name] - given
                lacking = lacking - given
    room = limit - sum(kept.values(), NO_RESOURCES)
    return limited_part(room, limit).elementwise_max(NO_RESOURCES)


def _larger_parts(
    pool: str, limit: Resources, parts: Mapping[str, Resources]
) -> list[str]:
    """Return the pools with larger parts than one pool, the largest first."""

    def key(name: str) -> tuple[float, str]:
        part = parts.get(name, NO_RESOURCES)
        shares = (
            part.cpu_m / (limit.cpu_m or math.inf),
            part.memory_mb / (limit.memory_mb or math.inf),
            part.accelerators / (limit.accelerators or math.inf),
        )
        return (-max(shares), name)

    return sorted((name for name in parts if key(name) < key(pool)), key=key)
