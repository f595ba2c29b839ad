"""Decides whether the start of a run may be sent at this moment."""

from heatherhatch_core.coordination.scheduler import Scheduler, StartOrder
from heatherhatch_core.coordination.scheduler.rules import CLOCK_DRIFT
from heatherhatch_core.coordination.scheduler.worker import Worker

from ..events import Event, log
from ..metrics import METER, Metric
from .clock import now_s
from .directory import Directory
from .operators import Operators

# Part of the bound on evacuations that is left for the start order itself; a worker
# that answers does so within this time (CALL_TIMEOUT_S of the platform's workers).
ORDER_MARGIN_S = 1.0
# What the estimate of a worker's clock may be behind since the worker's last answer.
CLOCK_ERROR_S = 0.1


class StartGate:
    """Holds starts back while an evacuation, or an unread one, may forbid them.

    Args:
        operators: The operators' records.
        directory: The registered workers.
        scheduler: The pool's scheduler.
    """

    def __init__(
        self, operators: Operators, directory: Directory, scheduler: Scheduler
    ):
        self.operators = operators
        self.directory = directory
        self.scheduler = scheduler
        self.held = False

    def left_s(self) -> float:
        """Return for how long starts may reach workers, seconds.

        An evacuation that was written after the last confirmed read of the operators'
        records must be obeyed `Rules.evacuation_s` after that read at the latest.
        """
        read_s = self.operators.feed.last_response_s
        bound_s = self.scheduler.state.rules.evacuation_s
        if read_s == float("-inf"):
            return 0.0
        if not bound_s:
            return float("inf")
        return read_s + bound_s * (1 - CLOCK_DRIFT) - now_s()

    def is_open(self) -> bool:
        """Return whether runs may be started; refresh the evacuated data centres."""
        requests = self.operators.evacuations
        self.scheduler.set_evacuated(requests.since_s, now_s())
        fresh = self.left_s() > ORDER_MARGIN_S
        if fresh == self.held:
            self.held = not fresh
            age_s = round(now_s() - self.operators.feed.last_response_s, 2)
            what = "starts allowed" if fresh else "starts held for old records"
            log(
                Event.DECIDED,
                what=what,
                pool=self.scheduler.state.pool,
                records_age_s=age_s,
            )
        return fresh and self.directory.is_recent()

    def allows(self, order: StartOrder) -> bool:
        """Return whether a start order may be sent now, right before it goes."""
        if not self.is_open():
            METER.sink.count(Metric.STARTS_HELD, label="old-records")
            return False
        state = self.scheduler.state
        worker = state.workers.get(order.worker_id)
        if worker is not None and state.evacuated.covers(worker):
            METER.sink.count(Metric.STARTS_HELD, label="evacuated")
            return False
        # The worker's capacity may shrink while the connection is being opened.
        return state.has_room_for(order)

    def deadline_ms(self, worker: Worker) -> int:
        """Return the end of the lease that a start gives, by the worker's clock.

        The worker refuses a start that arrives after it. So an order that is delayed
        on the network does not start a run after the bound on evacuations.
        """
        return worker.next_deadline_ms(now_s(), self.left_s() - CLOCK_ERROR_S)
