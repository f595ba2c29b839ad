"""What holders of roles tell each other through the store."""

from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import HeatherhatchError

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .feed import Feed
from .keys import GRANT_PREFIX, PLAN_KEY, REPORT_PREFIX

ORDER_KEPT_S = 30.0  # turns and maintenance take seconds, and clocks may differ by some
PACE_S = 0.05  # what comes together is read together
GRANT_PACE_S = 0.25  # divisions of limits change seldom, and many at a time


class MachineLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a pool's holder has on one machine.

    Attributes:
        machine: The machine.
        runs: Runs that may be alive there.
        lasting: How many of them stay until their job is cancelled.
    """

    machine: str
    runs: int
    lasting: int


class PoolReport(msgspec.Struct, frozen=True):
    """What a pool's holder tells the rest of the fleet.

    Attributes:
        pool: The pool.
        token: Fencing token of the holder that wrote it.
        at_s: When it was written, seconds since the epoch.
        waiting: Jobs of each queue that have not begun.
        needed_cpu_m: Thousandths of a core that the pool's work would use.
        loads: Load of each machine.
        cleared: Machines to be emptied that are, with the number of the request:
            an answer to an earlier request says nothing of what runs there now.
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
        machine: The machine.
        token: Fencing token of the coordinator that gave it.
        at_s: When it was about to be given, seconds since the epoch.
    """

    machine: str
    token: int
    at_s: float


class FleetPlan(msgspec.Struct, frozen=True):
    """What the coordinator asks of the holders, and keeps for its successor.

    Attributes:
        vacating: Machines to be emptied soon, each with the number of the request.
        resting: Machines that shall get nothing new until they are empty.
        requests: Number of the last request.
        due: Machines that a wave will take down.
        maintained: Machines of each wave that have had their turn.
        announced: When each open wave was first seen, seconds since the epoch.
        completed: Waves that were reported as completed.
        orders: Last order for each machine that was given one.
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


def with_requests(plan: FleetPlan, vacating: set[str], resting: set[str]) -> FleetPlan:
    """Return a plan that asks for these machines to be emptied.

    A request that goes on keeps its number; one that is made anew gets a new one.
    """
    known = {**plan.resting, **plan.vacating}
    last = plan.requests
    numbers = {}
    for machine in sorted(vacating | resting):
        if machine not in known:
            last += 1
        numbers[machine] = known.get(machine, last)
    return replace(
        plan,
        vacating={name: numbers[name] for name in sorted(vacating)},
        resting={name: numbers[name] for name in sorted(resting - vacating)},
        requests=last,
    )


def with_orders(
    plan: FleetPlan, machines: set[str], token: int, at_s: float
) -> FleetPlan:
    """Return a plan that holds orders for machines that are about to be given.

    Orders that no successor would wait for are dropped, so that the plan doesn't
    grow with the fleet.
    """
    kept = [
        order
        for order in plan.orders
        if order.machine not in machines and abs(at_s - order.at_s) < ORDER_KEPT_S
    ]
    given = [MachineOrder(name, token, at_s) for name in sorted(machines)]
    return replace(plan, orders=(*kept, *given))


def cleared_machines(plan: FleetPlan, reports: list[PoolReport]) -> frozenset[str]:
    """Return the machines that were found empty on the request that stands."""
    asked = {**plan.resting, **plan.vacating}
    return frozenset(
        machine
        for report in reports
        for machine, number in report.cleared.items()
        if asked.get(machine) == number
    )


class Grant(msgspec.Struct, frozen=True):
    """The division of one team's limit over the pools.

    Attributes:
        parts: For each pool: thousandths of a core, MB, accelerators.
    """

    parts: dict[str, tuple[int, int, int]] = {}


class PlanBoard:
    """Follows the coordinator's plan and the divisions of limits.

    Attributes:
        plan: The coordinator's plan.
        plan_revision: Its revision in the store.
        grants: Division of each team's limit.
        grant_revisions: Their revisions in the store.
    """

    def __init__(self, store: PolledStore):
        self.plan = FleetPlan()
        self.plan_revision = 0
        self.grants: dict[str, Grant] = {}
        self.grant_revisions: dict[str, int] = {}
        self.feeds = [
            Feed(store, PLAN_KEY, self._see_plan, _note_gone, pace_s=PACE_S),
            Feed(store, GRANT_PREFIX, self.see_grant, _note_gone, pace_s=GRANT_PACE_S),
        ]

    def start(self) -> None:
        """Follow them from here on."""
        for feed in self.feeds:
            if feed.greenlet is None:
                feed.start()

    @property
    def read(self) -> bool:
        """True once everything was read."""
        return all(feed.loaded for feed in self.feeds)

    def see_grant(self, entry: Entry) -> None:
        """Take in the division of a team's limit."""
        team = entry.key.removeprefix(GRANT_PREFIX)
        grant = _decoded(entry, Grant)
        if grant is not None and entry.revision > self.grant_revisions.get(team, 0):
            self.grants[team] = grant
            self.grant_revisions[team] = entry.revision

    def see_plan(self, plan: FleetPlan, revision: int) -> None:
        """Take in the plan."""
        if revision > self.plan_revision:
            self.plan = plan
            self.plan_revision = revision

    def _see_plan(self, entry: Entry) -> None:
        plan = _decoded(entry, FleetPlan)
        if plan is not None:
            self.see_plan(plan, entry.revision)


class ReportBoard:
    """Follows the reports of the pools.

    Args:
        store: The platform's store.
        on_report: Called after a report has come.

    Attributes:
        reports: The last report of each pool.
    """

    def __init__(self, store: PolledStore, on_report: Callable[[], None]):
        self.on_report = on_report
        self.reports: dict[str, PoolReport] = {}
        self.feed = Feed(store, REPORT_PREFIX, self._see, _note_gone, pace_s=PACE_S)

    def _see(self, entry: Entry) -> None:
        report = _decoded(entry, PoolReport)
        if report is not None:
            self.reports[report.pool] = report
            self.on_report()


def _note_gone(key: str) -> None:
    log(Event.RECORD_SKIPPED, key=key, reason="a record of the fleet is gone")


def _decoded(entry: Entry, kind: type):
    try:
        return decode_json(entry.value, kind)
    except HeatherhatchError as error:
        log(Event.RECORD_SKIPPED, key=entry.key, error=error.detail)
        return None
