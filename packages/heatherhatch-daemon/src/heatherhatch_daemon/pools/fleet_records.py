"""Records that the holders of roles exchange through the store."""

from collections.abc import Mapping

import msgspec
from msgspec.structs import replace

from heatherhatch_core.coordination.competition.rejection import PoolBacklog
from heatherhatch_core.coordination.limit_claims import LimitClaim
from heatherhatch_core.state.fleet_configuration import Queue
from heatherhatch_core.state.maintenance import Machine
from heatherhatch_core.state.resources import Resources

EMPTY_PART = (0, 0, 0)
ORDER_RETENTION_S = 30.0  # orders and maintenance take seconds; clocks may differ


class MachineLoad(msgspec.Struct, frozen=True, array_like=True):
    """The runs of a pool on one machine.

    Attributes:
        machine: Name of the machine.
        runs: Number of runs that may still exist on the machine.
        lasting: Number of these runs that continue until their job is cancelled.
    """

    machine: str
    runs: int
    lasting: int


class PoolReport(msgspec.Struct, frozen=True):
    """The state of a pool, as its holder publishes it to the fleet.

    Attributes:
        pool: Name of the pool.
        token: Fencing token of the holder that wrote the report.
        at_s: When the report was written, seconds since the epoch.
        waiting: Number of jobs that have not started, by the name of the queue that
            accepted them.
        needed_cpu_m: Thousandths of a core that the pool's work would use.
        loads: Load of each machine.
        cleared: Drained machines that are empty, each with the number of the drain
            request, since only answers to the current request count.
        staying: Number of runs in each evacuated data centre, by the reason why they
            are still there.
        urgent_share: Share of arriving jobs that could not wait until another
            machine is added; earlier versions do not report it.
        on_time_cpu_m: Part of ``needed_cpu_m`` without jobs that can no longer be on
            time; -1 from earlier versions, which do not report it.
        backlog: What the pool has to do; empty from holders of an earlier version.
        disabled_gates: Optional mechanisms that are disabled on the holder.
        waiting_at: The same number by the address of the queue; None from earlier
            versions.
    """

    pool: str
    token: int
    at_s: float
    waiting: dict[str, int]
    needed_cpu_m: int
    loads: tuple[MachineLoad, ...]
    cleared: dict[str, int]
    staying: dict[str, dict[str, int]] = {}
    urgent_share: float = 1.0
    on_time_cpu_m: int = -1
    backlog: PoolBacklog = PoolBacklog()
    disabled_gates: tuple[str, ...] = ()
    waiting_at: dict[str, int] | None = None

    def waiting_in(self, queue: Queue) -> int:
        """Return the number of jobs of a queue that have not started."""
        if self.waiting_at is None:
            return self.waiting.get(queue.name, 0)
        return self.waiting_at.get(queue.address, 0)


class MachineOrder(msgspec.Struct, frozen=True, array_like=True):
    """The last order for a machine.

    Attributes:
        machine: Name of the machine.
        token: Fencing token of the coordinator that gave the order.
        at_s: When the order was about to be sent, seconds since the epoch.
    """

    machine: str
    token: int
    at_s: float


class FleetPlan(msgspec.Struct, frozen=True):
    """Requests of the coordinator to the holders, and state for its successor.

    Attributes:
        vacating: Machines to drain by moving work away, with the request numbers.
        resting: Machines to drain by letting work finish, with the request numbers.
        requests: Number of the last drain request.
        due: Machines that a wave will take down.
        maintained: Machines of each wave whose maintenance was started.
        announced: When each open wave was first seen, seconds since the epoch.
        completed: Waves that were reported as completed.
        orders: Last order for each machine, unless it is too old to matter.
        spare_cpu_m: Thousandths of a core that may be moved into a pool that is short,
            at most; negative if not known.
    """

    vacating: dict[str, int] = {}
    resting: dict[str, int] = {}
    requests: int = 0
    due: tuple[str, ...] = ()
    maintained: dict[int, tuple[str, ...]] = {}
    announced: dict[int, float] = {}
    completed: tuple[int, ...] = ()
    orders: tuple[MachineOrder, ...] = ()
    spare_cpu_m: int = -1

    def last_order(self, machine: str) -> MachineOrder | None:
        """Return the last order for a machine."""
        return next((item for item in self.orders if item.machine == machine), None)


def with_drain_requests(
    plan: FleetPlan, draining: set[str], finishing: set[str]
) -> FleetPlan:
    """Return a plan that requests that these machines are drained.

    Args:
        plan: Plan to change.
        draining: Machines to drain by moving work away.
        finishing: Machines to drain by letting work finish.
    """
    open_requests = {**plan.resting, **plan.vacating}
    last = plan.requests
    numbers = {}
    # An open request keeps its number; one that is made again gets a new number.
    for machine in sorted(draining | finishing):
        if machine not in open_requests:
            last += 1
        numbers[machine] = open_requests.get(machine, last)
    return replace(
        plan,
        vacating={name: numbers[name] for name in sorted(draining)},
        resting={name: numbers[name] for name in sorted(finishing - draining)},
        requests=last,
    )


def with_orders(
    plan: FleetPlan, machines: set[str], token: int, at_s: float
) -> FleetPlan:
    """Return a plan that records the orders that are about to be sent.

    Orders that no successor would wait for are dropped, so that the plan does not
    grow with the fleet.
    """
    kept = [
        order
        for order in plan.orders
        if order.machine not in machines and abs(at_s - order.at_s) < ORDER_RETENTION_S
    ]
    given = [MachineOrder(name, token, at_s) for name in sorted(machines)]
    return replace(plan, orders=(*kept, *given))


def cleared_machines(
    plan: FleetPlan, reports: list[PoolReport], machines: Mapping[str, Machine]
) -> frozenset[str]:
    """Return the machines that are empty according to the current request.

    Only the pool that a machine is in knows its runs. A former pool may list the
    machine's former worker for some seconds, without runs.
    """
    requested = {**plan.resting, **plan.vacating}
    return frozenset(
        machine
        for report in reports
        for machine, number in report.cleared.items()
        if requested.get(machine) == number
        and machine in machines
        and machines[machine].pool == report.pool
    )


class Grant(msgspec.Struct, frozen=True):
    """The division of one team's limit among the pools.

    Attributes:
        parts: Part of each pool: thousandths of a core, MB, accelerators.
        short: Pools whose demand exceeds what the parts of the others leave them.
        claims: Claims of pools on the limit, the first in line first.
        lasting: What the runs of each pool use that do not end by themselves, as
            each pool stored it last while there was a claim.
    """

    parts: dict[str, tuple[int, int, int]] = {}
    short: tuple[str, ...] = ()
    claims: tuple[LimitClaim, ...] = ()
    lasting: dict[str, tuple[int, int, int]] = {}


def parts_of(grant: Grant) -> dict[str, Resources]:
    """Return the part of each pool."""
    return {pool: Resources(*part) for pool, part in grant.parts.items()}


def as_part(amount: Resources) -> tuple[int, int, int]:
    """Return an amount as it is stored in a grant."""
    return (amount.cpu_m, amount.memory_mb, amount.accelerators)
