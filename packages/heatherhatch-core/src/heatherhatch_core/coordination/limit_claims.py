"""Claims of pools on a team's limit, served in the order in which they were stored.

The parts of a limit follow the demand of the pools, and demand can be divided. A task
or a gang cannot: several pools may each hold less than their next work needs while the
rest of the limit stays unused. A claim names all that such work needs. The pools behind
it in the order leave that much of the limit, and give back what they do not use.
"""

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
) -> Resources:
    """Return the largest part that a pool may have beside the others.

    Args:
        pool: Name of the pool.
        limit: Limit of the team; 0 means no limit.
        parts: Part of each pool.
        claims: Claims in force, the first in line first.
    """
    kept = {name: part for name, part in parts.items() if name != pool}
    for claim in claims:
        if claim.pool == pool:
            break
        part = kept.get(claim.pool, NO_RESOURCES)
        kept[claim.pool] = part.elementwise_max(claim.wanted)
    room = limit - sum(kept.values(), NO_RESOURCES)
    return limited_part(room, limit).elementwise_max(NO_RESOURCES)
