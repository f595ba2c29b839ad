"""Tells the rest of the fleet how a pool does."""

from collections.abc import Callable

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.coordination.scheduler.demand import wanted_cpu_m
from heatherhatch_core.exceptions import StoreError

from ..events import Event, log
from ..transport.store import Expect, PolledStore, Put, Transaction
from .board import Board, MachineLoad, PoolReport
from .clock import now_s, wall_s
from .keys import report_key

LEAST_S = 0.4  # least time between two reports, unless a machine became empty
MOST_S = 1.0  # a report is never older than this while the pool is held


class PoolReports:
    """Writes a pool's reports.

    Args:
        store: The platform's store.
        board: Knows the revision of the last report.
        scheduler: The pool's scheduler.
        claim: Returns the condition of the pool's claim.
    """

    def __init__(
        self,
        store: PolledStore,
        board: Board,
        scheduler: Scheduler,
        claim: Callable[[], Expect],
    ):
        self.store = store
        self.board = board
        self.scheduler = scheduler
        self.claim = claim
        self.written_s = float("-inf")
        self.cleared: tuple[str, ...] = ()
        self.last: PoolReport | None = None

    def step(self) -> None:
        """Write a report if one is due."""
        cleared = tuple(sorted(self.scheduler.cleared()))
        age_s = now_s() - self.written_s
        if age_s < (0.0 if cleared != self.cleared else LEAST_S):
            return
        report = self._report(cleared)
        if age_s < MOST_S and not self._differs(report):
            return
        put = Put(report_key(report.pool), encode_json(report))
        try:
            outcome = self.store.transact(Transaction((self.claim(),), (put,)))
        except StoreError as error:
            log(Event.WRITE_FAILED, what="report", pool=report.pool, error=str(error))
            return
        if outcome.succeeded:
            self.written_s = now_s()
            self.cleared = cleared
            self.last = report

    def _differs(self, report: PoolReport) -> bool:
        last = self.last
        return (
            last is None
            or last.waiting != report.waiting
            or last.cleared != report.cleared
            or last.wanted_cpu_m != report.wanted_cpu_m
        )

    def _report(self, cleared: tuple[str, ...]) -> PoolReport:
        state = self.scheduler.state
        usable = [worker for worker in state.workers.values() if worker.usable(now_s())]
        loads = []
        for worker in state.workers.values():
            lasting = sum(
                1
                for run in worker.runs.values()
                if run.task is not None and run.task.step.lasting
            )
            loads.append(MachineLoad(worker.info.machine, worker.used.cpu_m, lasting))
        return PoolReport(
            pool=state.pool,
            at_s=wall_s(),
            waiting=self.scheduler.waiting(),
            wanted_cpu_m=wanted_cpu_m(state),
            used_cpu_m=sum(load.used_cpu_m for load in loads),
            capacity_cpu_m=sum(worker.info.capacity.cpu_m for worker in usable),
            loads=tuple(loads),
            cleared=cleared,
        )
