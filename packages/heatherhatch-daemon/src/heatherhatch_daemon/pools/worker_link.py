"""Renews the lease of one worker and sends orders to it."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

import gevent

from heatherhatch_core.coordination.scheduler import (
    PaceOrder,
    Report,
    StartOrder,
    StartResult,
    StopOrder,
)
from heatherhatch_core.coordination.scheduler.crashes import is_settled
from heatherhatch_core.exceptions import FencedError, WrongIncarnationError

from ..events import Event, log
from ..transport.http import ExchangeError
from .clock import now_s
from .ports import Deadline, DirectoryEntry, Permission, Renewal
from .supervision import spawn_supervised

if TYPE_CHECKING:
    from .pool_holder import PoolHolder

LONG_POLL_S = 1.0  # how long the response to a renewal may wait for the end of a run
WATCH_LONG_POLL_S = 0.4  # the same while response tails or starting runs are watched
SHORT_POLL_S = 0.1  # the same while the permission to renew leases runs out
LAST_RENEWAL_S = 0.25  # a renewal should be sent in this last part of the permission
RETRY_S = 0.1  # pause after a renewal without a response
UNCLAIMED_PAUSE_S = 0.1  # pause while the leases of workers must not be renewed
STORE_TIMEOUT_S = 0.3  # how long the next renewal waits until ended runs are stored


class WorkerLink:
    """The connection of a pool's holder to one worker.

    Args:
        holder: The pool's holder.
        entry: The worker's entry in the directory.
    """

    def __init__(self, holder: PoolHolder, entry: DirectoryEntry):
        self.holder = holder
        self.entry = entry
        self.worker_id = entry.info.worker_id
        self.control = holder.external_ports.open_worker(entry)
        self.ordering = Permission(holder.token, holder.may_order)
        self.renewing = Permission(holder.token, holder.may_renew)
        self.silent_since_s = float("inf")
        self.greenlet = spawn_supervised(f"link to worker {self.worker_id}", self._run)

    def stop(self) -> None:
        """Stop the renewals and close the connection."""
        self.greenlet.kill(block=False)
        self.control.close()

    def send(self, order: StartOrder | StopOrder | PaceOrder) -> None:
        """Send an order, if this node still holds the claim."""
        if not self.holder.may_order():
            if isinstance(order, StartOrder):
                # Nothing was sent, so the run may be placed again.
                self._report_start(order, StartResult.REFUSED)
            return
        try:
            self._carry_out(order)
        except FencedError as error:
            self.holder.on_fenced(str(error))
        except WrongIncarnationError as error:
            log(
                Event.DECIDED,
                what="order withheld from another incarnation",
                worker=self.worker_id,
                order=type(order).__name__,
                task=order.task,
                run=order.number,
                error=str(error),
            )
            self._report_start(order, StartResult.REFUSED)
        except ExchangeError as error:
            log(
                Event.CALL_UNKNOWN,
                worker=self.worker_id,
                order=type(order).__name__,
                task=order.task,
                run=order.number,
                error=str(error),
            )
        except Exception as error:
            # The order may have been sent. A start must not count as ordered for ever.
            log(
                Event.TASK_FAILED,
                task=f"{type(order).__name__} for worker {self.worker_id}",
                error=repr(error),
            )
            self._report_start(order, StartResult.UNKNOWN)
        self.holder.wake()

    @singledispatchmethod
    def _carry_out(self, order) -> None:
        raise NotImplementedError(type(order).__name__)

    @_carry_out.register
    def _start(self, order: StartOrder) -> None:
        worker = self.holder.scheduler.state.workers[self.worker_id]
        if not worker.fenced:
            # The clock of its present incarnation is not known yet.
            self._report_start(order, StartResult.REFUSED)
            return
        deadline_ms = self.holder.starts.deadline_ms(worker)
        worker.note_deadline(deadline_ms)
        deadline = Deadline(deadline_ms, worker.reported_born_ms)
        permission = Permission(self.ordering.token, lambda: self._may_start(order))
        result = self.control.start(order, deadline, permission)
        self._report_start(order, result)

    @_carry_out.register
    def _stop(self, order: StopOrder) -> None:
        self.control.stop(order, self.ordering)
        self.holder.scheduler.handle_stop_result(order, True, now_s())

    @_carry_out.register
    def _pace(self, order: PaceOrder) -> None:
        self.control.pace(order, self.ordering)

    def _may_start(self, order: StartOrder) -> bool:
        return self.holder.starts.allows(order) and self.holder.may_order()

    def _report_start(self, order, result: StartResult) -> None:
        if isinstance(order, StartOrder):
            self.holder.scheduler.handle_start_result(order, result, now_s())

    def _run(self) -> None:
        while True:
            worker = self.holder.scheduler.state.workers.get(self.worker_id)
            if worker is None:
                self.holder.unlink(self.worker_id)
                return
            if not self.holder.may_renew():
                gevent.sleep(UNCLAIMED_PAUSE_S)
                continue
            sent_s = now_s()
            deadline_ms = self._deadline_ms(worker, sent_s)
            wait_s = self._wait_s(worker) if worker.fenced else 0.0
            try:
                report = self.control.renew(
                    Renewal(deadline_ms, worker.acked, wait_s), self.renewing
                )
            except FencedError as error:
                self.holder.on_fenced(str(error))
                return
            except (ExchangeError, WrongIncarnationError) as error:
                self._handle_no_response(str(error))
                gevent.sleep(RETRY_S)
                continue
            self._handle_report(report, sent_s)

    def _handle_report(self, report: Report, sent_s: float) -> None:
        if self.silent_since_s != float("inf"):
            silent_s = round(now_s() - self.silent_since_s, 2)
            log(Event.WORKER_BACK, worker=self.worker_id, after_s=silent_s)
            self.silent_since_s = float("inf")
        self.holder.scheduler.handle_report(self.worker_id, report, sent_s, now_s())
        self.holder.wake()
        worker = self.holder.scheduler.state.workers.get(self.worker_id)
        deadline_s = now_s() + STORE_TIMEOUT_S
        while worker is not None and worker.unacked_ends and now_s() < deadline_s:
            # While ended runs are not acknowledged, a renewal is answered immediately.
            gevent.sleep(0.01)

    def _deadline_ms(self, worker, sent_s: float) -> int:
        """Return the end of the lease to request, or 0 to request none."""
        if not worker.fenced or self.silent_since_s != float("inf"):
            # A renewal without a response may have been applied. Further renewals
            # would keep extending the assumed lease of a worker that is gone.
            return 0
        deadline_ms = worker.next_deadline_ms(sent_s)
        worker.note_deadline(deadline_ms)
        return deadline_ms

    def _wait_s(self, worker) -> float:
        serving = any(
            run.task is not None and run.task.step.tail_target_ms
            for run in worker.runs.values()
        )
        starting = any(
            run.task is not None
            and (run.task.step.lasting or run.task.is_suspect)
            and not (run.at_work and is_settled(run, worker))
            for run in worker.runs.values()
        )
        usual_s = WATCH_LONG_POLL_S if serving or starting else LONG_POLL_S
        # Otherwise the permission may run out while a response is awaited, and the
        # lease ends that much earlier in an outage of the store.
        left_s = self.holder.renewal_left_s() - LAST_RENEWAL_S
        return max(SHORT_POLL_S, min(usual_s, left_s))

    def _handle_no_response(self, error: str) -> None:
        if self.silent_since_s == float("inf"):
            self.silent_since_s = now_s()
            log(Event.WORKER_SILENT, worker=self.worker_id, error=error)
        self.holder.scheduler.handle_no_response(self.worker_id, now_s())
        self.holder.wake()
