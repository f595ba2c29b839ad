"""Changes of the record of one team's limit."""

from msgspec.structs import replace

from heatherhatch_core.state.resources import NO_RESOURCES, Resources

from .fleet_records import EMPTY_PART, Grant, as_part


def with_part(grant: Grant, pool: str, part: Resources, short: set[str]) -> Grant:
    """Return a grant with another part of one pool, unless the part is the same."""
    parts = dict(grant.parts)
    row = as_part(part)
    if row != parts.get(pool, EMPTY_PART):
        parts[pool] = row
    return replace(grant, parts=parts, short=tuple(sorted(short)))


def without_parts(grant: Grant, pools: tuple[str, ...]) -> Grant:
    """Return a grant without what some pools have stored in it."""
    return replace(
        grant,
        parts={pool: row for pool, row in grant.parts.items() if pool not in pools},
        lasting={pool: row for pool, row in grant.lasting.items() if pool not in pools},
    )


def with_lasting(grant: Grant, pool: str, use: Resources) -> Grant:
    """Return a grant with what the runs of one pool use that do not end."""
    lasting = {name: row for name, row in grant.lasting.items() if name != pool}
    if use != NO_RESOURCES:
        lasting[pool] = as_part(use)
    return replace(grant, lasting=lasting)
