"""Keeps the lease of one worker and carries orders to it."""

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
from heatherhatch_core.exceptions import FencedError, WrongLifeError

from ..events import Event, log
from ..transport.http import ExchangeError
from .clock import now_s
from .ports import DirectoryEntry, Renewal

if TYPE_CHECKING:
    from .pool_holder import PoolHolder

WAIT_S = 1.0  # how long a renewal's answer waits for an end
WATCH_WAIT_S = 0.4  # the same where response tails have to be watched
RETRY_S = 0.1  # pause after a renewal without an answer
IDLE_S = 0.2  # pause while the claim does not hold
STORE_ENDS_S = 0.3  # the next renewal waits this long for ends to be stored


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
        self.control = holder.outside.worker_control(entry)
        self.silent_since_s = float("inf")
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop renewing."""
        self.greenlet.kill(block=False)
        self.control.close()

    def send(self, order: StartOrder | StopOrder | PaceOrder) -> None:
        """Send an order, if the claim still holds."""
        if not self.holder.may_order():
            if isinstance(order, StartOrder):
                # Nothing was sent, so the run may be placed again.
                self._tell_start(order, StartResult.REFUSED)
            return
        try:
            self._carry_out(order)
        except FencedError as error:
            self.holder.fenced(str(error))
        except WrongLifeError:
            self._tell_start(order, StartResult.REFUSED)
        except ExchangeError as error:
            log(
                Event.CALL_UNKNOWN,
                worker=self.worker_id,
                order=type(order).__name__,
                task=order.task,
                run=order.number,
                error=str(error),
            )
        self.holder.wake()

    @singledispatchmethod
    def _carry_out(self, order) -> None:
        raise NotImplementedError(type(order).__name__)

    @_carry_out.register
    def _start(self, order: StartOrder) -> None:
        worker = self.holder.scheduler.state.workers[self.worker_id]
        deadline_ms = worker.next_deadline_ms(now_s())
        worker.note_deadline(deadline_ms)
        result = self.control.start(order, deadline_ms, self.holder.token)
        self._tell_start(order, result)

    @_carry_out.register
    def _stop(self, order: StopOrder) -> None:
        self.control.stop(order, self.holder.token)
        self.holder.scheduler.take_stop(order, True, now_s())

    @_carry_out.register
    def _pace(self, order: PaceOrder) -> None:
        self.control.pace(order, self.holder.token)

    def _tell_start(self, order, result: StartResult) -> None:
        if isinstance(order, StartOrder):
            self.holder.scheduler.take_start(order, result, now_s())

    def _run(self) -> None:
        while True:
            worker = self.holder.scheduler.state.workers.get(self.worker_id)
            if worker is None:
                self.holder.unlink(self.worker_id)
                return
            if not self.holder.may_renew():
                gevent.sleep(IDLE_S)
                continue
            sent_s = now_s()
            deadline_ms = self._deadline_ms(worker, sent_s)
            wait_s = self._wait_s(worker) if worker.fenced else 0.0
            try:
                report = self.control.renew(
                    Renewal(deadline_ms, worker.acked, wait_s), self.holder.token
                )
            except FencedError as error:
                self.holder.fenced(str(error))
                return
            except (ExchangeError, WrongLifeError) as error:
                self._note_silence(str(error))
                gevent.sleep(RETRY_S)
                continue
            self._take(report, sent_s)

    def _take(self, report: Report, sent_s: float) -> None:
        if self.silent_since_s != float("inf"):
            silent_s = round(now_s() - self.silent_since_s, 2)
            log(Event.WORKER_BACK, worker=self.worker_id, after_s=silent_s)
            self.silent_since_s = float("inf")
        self.holder.scheduler.take_report(self.worker_id, report, sent_s, now_s())
        self.holder.wake()
        worker = self.holder.scheduler.state.workers.get(self.worker_id)
        give_up_s = now_s() + STORE_ENDS_S
        while worker is not None and worker.pending and now_s() < give_up_s:
            # An answer would come at once as long as ends are not acknowledged.
            gevent.sleep(0.01)

    def _deadline_ms(self, worker, sent_s: float) -> int:
        """Return the end of the lease to ask for; 0 to ask for none."""
        if not worker.fenced or self.silent_since_s != float("inf"):
            # Each renewal without an answer may have been taken: if they went on,
            # the lease of a worker that is gone would never be over.
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
            run.task is not None and run.task.step.lasting and not run.at_work
            for run in worker.runs.values()
        )
        return WATCH_WAIT_S if serving or starting else WAIT_S

    def _note_silence(self, error: str) -> None:
        if self.silent_since_s == float("inf"):
            self.silent_since_s = now_s()
            log(Event.WORKER_SILENT, worker=self.worker_id, error=error)
        self.holder.scheduler.take_silence(self.worker_id, now_s())
        self.holder.wake()
