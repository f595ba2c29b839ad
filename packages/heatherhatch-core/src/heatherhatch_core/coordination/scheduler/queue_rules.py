"""What the newest configuration says of the queues of open jobs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.fleet_configuration import FleetConfiguration, PermitRules
    from ...state.work import Job


@dataclass(frozen=True, slots=True)
class QueueRules:
    """The queues of a configuration, by the address that identifies them.

    Attributes:
        addresses: Address of each queue, by its name.
        permits: Rules of the policy service, by address; None for queues without any.
    """

    addresses: Mapping[str, str] = field(default_factory=dict)
    permits: Mapping[str, PermitRules | None] = field(default_factory=dict)

    def address_of(self, job: Job) -> str:
        """Return the address of a job's queue; empty if it is not known.

        Jobs that an earlier version stored have no address of their own.
        """
        return job.address or self.addresses.get(job.queue, "")

    def permit_rules(self, job: Job) -> PermitRules | None:
        """Return the rules of the policy service; None if any worker may be used.

        The service answers for the open jobs of a queue that was removed, too.
        """
        address = self.address_of(job)
        if address in self.permits:
            return self.permits[address]
        return job.terms.permit_rules


def queue_rules(config: FleetConfiguration) -> QueueRules:
    """Return the rules of the queues of a configuration."""
    return QueueRules(
        {queue.name: queue.address for queue in config.queues},
        {queue.address: queue.permit_rules for queue in config.queues},
    )
