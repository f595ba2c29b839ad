"""Finds the parts of limits that belong to pools which nobody runs any more."""

from collections.abc import Set

from ..transport.store import Expect
from .clock import now_s
from .fleet_records import Grant
from .free_roles import FreeRoles
from .keys import claim_key, pool_role


class LeftParts:
    """Tells which pools can use their part of a limit no more.

    A pool that is no longer configured, or is on standby, gets no new holder. Once its
    last holder's claim has been gone for long enough, the leases of its runs have
    lapsed.

    Args:
        roles: Claims of all roles, as this instance sees them.
        lapse_s: Time after the end of a claim by which the leases from its holder have
            certainly expired, seconds.
    """

    def __init__(self, roles: FreeRoles, lapse_s: float):
        self.roles = roles
        self.lapse_s = lapse_s
        self.unclaimed_since_s: dict[str, float] = {}

    def find(self, grant: Grant, active: Set[str]) -> tuple[str, ...]:
        """Return the pools whose parts may be taken back.

        Args:
            grant: The stored grant of a team.
            active: Pools that are configured and not on standby.
        """
        found = []
        for pool in sorted(grant.parts.keys() - active):
            role = pool_role(pool)
            if role in self.roles.claims:
                self.unclaimed_since_s.pop(pool, None)
                continue
            since_s = max(
                self.unclaimed_since_s.setdefault(pool, now_s()),
                self.roles.since_s.get(role, float("-inf")),
            )
            if now_s() - since_s >= self.lapse_s:
                found.append(pool)
        return tuple(found)


def unclaimed(pools: tuple[str, ...]) -> tuple[Expect, ...]:
    """Return the conditions that nobody has claimed some pools."""
    return tuple(Expect(claim_key(pool_role(pool)), 0) for pool in pools)
