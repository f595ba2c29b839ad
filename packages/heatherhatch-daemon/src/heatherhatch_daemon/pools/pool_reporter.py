"""Publishes the state of a pool to the rest of the fleet."""

from collections.abc import Callable

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.competition.rejection import (
    UNKNOWN_CORES,
    PoolBacklog,
)
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.coordination.scheduler.backlog import pool_backlog
from heatherhatch_core.exceptions import StoreError

from ..events import Event, log
from ..transport.store import Expect, PolledStore
from .clock import now_s, wall_s
from .fleet_records import FleetPlan, MachineLoad, PoolReport
from .keys import report_key
from .record_watchers import PlanWatcher
from .replaced_record import ReplacedRecord

MIN_INTERVAL_S = 0.1  # minimum time between two reports, unless a machine became empty
MIN_DEMAND_CHANGE = 0.2  # a smaller relative change triggers no report
MAX_AGE_S = 1.0  # maximum age of the last report while the pool is held


class PoolReporter:
    """Writes the reports of a pool to the store.

    Args:
        store: The platform's store.
        scheduler: The pool's scheduler.
        claim: Returns the transaction condition that the pool's claim is held.
        token: Fencing token of the pool's claim.
        plan_watcher: The coordinator's plan; None without a coordinator.
    """

    def __init__(
        self,
        store: PolledStore,
        scheduler: Scheduler,
        claim: Callable[[], Expect],
        token: int,
        plan_watcher: PlanWatcher | None = None,
    ):
        self.record = ReplacedRecord(store, report_key(scheduler.state.pool))
        self.scheduler = scheduler
        self.claim = claim
        self.token = token
        self.plan_watcher = plan_watcher
        self.written_s = float("-inf")
        self.cleared: dict[str, int] = {}
        self.last_report: PoolReport | None = None

    def step(self) -> None:
        """Write a report if one is due."""
        cleared = self.scheduler.cleared()
        age_s = now_s() - self.written_s
        if age_s < (0.0 if cleared != self.cleared else MIN_INTERVAL_S):
            return
        report = self._build_report(cleared)
        if age_s < MAX_AGE_S and not self._has_changed(report):
            return
        try:
            stored = self.record.write(self.claim(), encode_json(report))
        except StoreError as error:
            log(Event.WRITE_FAILED, what="report", pool=report.pool, error=str(error))
            return
        if stored:
            self.written_s = now_s()
            self.cleared = cleared
            self.last_report = report

    def _has_changed(self, report: PoolReport) -> bool:
        last = self.last_report
        if last is None or last.waiting_at != report.waiting_at:
            return True
        if last.cleared != report.cleared:
            return True
        change = abs(last.needed_cpu_m - report.needed_cpu_m)
        return change > MIN_DEMAND_CHANGE * max(last.needed_cpu_m, report.needed_cpu_m)

    def _build_report(self, cleared: dict[str, int]) -> PoolReport:
        state = self.scheduler.state
        loads = []
        for worker in state.workers.values():
            lasting = sum(
                1
                for run in worker.runs.values()
                if run.task is not None and run.task.step.lasting
            )
            runs = len(worker.runs) + len(worker.unknown_runs)
            if not (worker.present or runs):
                continue  # its machine may have another worker, and must not seem idle
            loads.append(MachineLoad(worker.info.machine, runs, lasting))
        demand = self.scheduler.demand(now_s(), wall_s())
        return PoolReport(
            pool=state.pool,
            token=self.token,
            at_s=wall_s(),
            waiting=self.scheduler.waiting(),
            needed_cpu_m=demand.cpu_m,
            loads=tuple(loads),
            cleared=cleared,
            on_time_cpu_m=demand.on_time_cpu_m,
            urgent_share=round(self.scheduler.urgent_share(now_s()), 3),
            staying=state.evacuated.staying,
            backlog=self._backlog(),
            disabled_gates=state.rules.gates.disabled(),
            waiting_at=self.scheduler.waiting_at(),
        )

    def _backlog(self) -> PoolBacklog:
        plan = self.plan_watcher.plan if self.plan_watcher else FleetPlan()
        spare_cpu_m = plan.spare_cpu_m
        spare_cores = spare_cpu_m / 1000.0 if spare_cpu_m >= 0 else UNKNOWN_CORES
        return pool_backlog(self.scheduler.state, spare_cores)
