"""Records that the holders of roles exchange through the store."""

from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import HeatherhatchError

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .feed import Feed
from .keys import GRANT_PREFIX, PLAN_KEY, REPORT_PREFIX

ORDER_RETENTION_S = 30.0  # orders and maintenance take seconds; clocks may differ
POLL_S = 0.05  # changes in quick succession are read together
GRANT_POLL_S = 0.25  # grants change seldom, and many at a time


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
        waiting: Number of jobs of each queue that have not started.
        needed_cpu_m: Thousandths of a core that the pool's work would use.
        loads: Load of each machine.
        cleared: Drained machines that are empty, each with the number of the drain
            request, since only answers to the current request count.
    """

    pool: str
    token: int
    at_s: float
    waiting: dict[str, int]
    needed_cpu_m: int
    loads: tuple[MachineLoad, ...]
    cleared: dict[str, int]


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
    """

    vacating: dict[str, int] = {}
    resting: dict[str, int] = {}
    requests: int = 0
    due: tuple[str, ...] = ()
    maintained: dict[int, tuple[str, ...]] = {}
    announced: dict[int, float] = {}
    completed: tuple[int, ...] = ()
    orders: tuple[MachineOrder, ...] = ()

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


def cleared_machines(plan: FleetPlan, reports: list[PoolReport]) -> frozenset[str]:
    """Return the machines that are empty according to the current request."""
    requested = {**plan.resting, **plan.vacating}
    return frozenset(
        machine
        for report in reports
        for machine, number in report.cleared.items()
        if requested.get(machine) == number
    )


class Grant(msgspec.Struct, frozen=True):
    """The division of one team's limit among the pools.

    Attributes:
        parts: Part of each pool: thousandths of a core, MB, accelerators.
        short: Pools whose demand exceeds what the parts of the others leave them.
    """

    parts: dict[str, tuple[int, int, int]] = {}
    short: tuple[str, ...] = ()


class PlanWatcher:
    """Watches the coordinator's plan and the grants of the teams in the store.

    Attributes:
        plan: The coordinator's plan.
        plan_revision: Revision of the plan in the store.
        grants: Grant of each team.
        grant_revisions: Revision of each team's grant in the store.
    """

    def __init__(self, store: PolledStore):
        self.plan = FleetPlan()
        self.plan_revision = 0
        self.grants: dict[str, Grant] = {}
        self.grant_revisions: dict[str, int] = {}
        self.feeds = [
            Feed(store, PLAN_KEY, self._update_plan, _on_delete, min_interval_s=POLL_S),
            Feed(
                store,
                GRANT_PREFIX,
                self.update_grant,
                _on_delete,
                min_interval_s=GRANT_POLL_S,
            ),
        ]

    def start(self) -> None:
        """Start watching the plan and the grants."""
        for feed in self.feeds:
            if feed.greenlet is None:
                feed.start()

    @property
    def loaded(self) -> bool:
        """True once the plan and the grants were read."""
        return all(feed.loaded for feed in self.feeds)

    def update_grant(self, entry: Entry) -> None:
        """Update a team's grant from an entry, unless the entry is older."""
        team = entry.key.removeprefix(GRANT_PREFIX)
        grant = _decode(entry, Grant)
        if grant is not None and entry.revision > self.grant_revisions.get(team, 0):
            self.grants[team] = grant
            self.grant_revisions[team] = entry.revision

    def update_plan(self, plan: FleetPlan, revision: int) -> None:
        """Update the plan, unless the revision is older."""
        if revision > self.plan_revision:
            self.plan = plan
            self.plan_revision = revision

    def _update_plan(self, entry: Entry) -> None:
        plan = _decode(entry, FleetPlan)
        if plan is not None:
            self.update_plan(plan, entry.revision)


class ReportWatcher:
    """Watches the reports of the pools in the store.

    Args:
        store: The platform's store.
        on_report: Called after each report that was read.

    Attributes:
        reports: The last report of each pool.
    """

    def __init__(self, store: PolledStore, on_report: Callable[[], None]):
        self.on_report = on_report
        self.reports: dict[str, PoolReport] = {}
        self.feed = Feed(
            store, REPORT_PREFIX, self._update, _on_delete, min_interval_s=POLL_S
        )

    def _update(self, entry: Entry) -> None:
        report = _decode(entry, PoolReport)
        if report is not None:
            self.reports[report.pool] = report
            self.on_report()


def _on_delete(key: str) -> None:
    log(Event.RECORD_SKIPPED, key=key, reason="a record of the fleet is gone")


def _decode(entry: Entry, kind: type):
    try:
        return decode_json(entry.value, kind)
    except HeatherhatchError as error:
        log(Event.RECORD_SKIPPED, key=entry.key, error=error.detail)
        return None
