"""The plan of the fleet, and checks of the transitions that operators record."""

from collections.abc import Callable

import falcon

from heatherhatch_core.api import PlanAnswer
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Role, WorkerState
from heatherhatch_core.state.transitions import INVOLUNTARY_STATES

from ..tasks.planner import FleetPlanner
from .bodies import write_message

Authorize = Callable[[falcon.Request, Role], str]


class PlanResource:
    """Shows the plan for the announced waves."""

    def __init__(self, planner: FleetPlanner, authorize: Authorize):
        self.planner = planner
        self.authorize = authorize

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the plan."""
        self.authorize(request, Role.VIEWER)
        write_message(response, PlanAnswer(self.planner.current_plan()))


def check_operator_steps(config: Configuration, edit: Edit) -> None:
    """Check that an operator's edit leaves planner-only transitions to the planner.

    Only the holder of the planner role has confirmed that a drain is in force on
    all nodes, so only it may record that a worker is drained. The same applies to
    the release of a failed or lost worker for maintenance.

    Raises:
        HeatherhatchError: ``FORBIDDEN`` if the edit has such a transition.
    """
    for item in edit.assignments:
        planner_only = item.state is WorkerState.DRAINED
        released = item.state is WorkerState.MAINTENANCE
        exists = item.worker_id in config.workers
        if released and exists:
            planner_only |= config.state_of(item.worker_id) in INVOLUNTARY_STATES
        if planner_only:
            detail = f"worker {item.worker_id!r}: only the planner may record this"
            raise HeatherhatchError(ErrorKind.FORBIDDEN, detail)
