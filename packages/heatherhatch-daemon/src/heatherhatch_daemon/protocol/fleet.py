"""The operators' view of the fleet: the plan, and what they may record."""

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
    """Check that an operator's edit records nothing that only nodes can know.

    That a worker is drained is known to the holder of the plan alone, who has
    seen the drain in force everywhere; a failed worker is released the same way.

    Raises:
        HeatherhatchError: ``FORBIDDEN``.
    """
    for item in edit.assignments:
        drained = item.state is WorkerState.DRAINED
        released = item.state is WorkerState.MAINTENANCE
        known = item.worker_id in config.workers
        if released and known:
            drained |= config.state_of(item.worker_id) in INVOLUNTARY_STATES
        if drained:
            detail = f"worker {item.worker_id!r}: only the planner records this"
            raise HeatherhatchError(ErrorKind.FORBIDDEN, detail)
