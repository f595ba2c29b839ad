"""A holder of a pool with a real scheduler, which calls the workers of a model.

It sends calls by the same rules as the links to real workers. Time is virtual.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhatch_core.coordination.scheduler import (
    Rules,
    Scheduler,
    StartOrder,
    StartResult,
)
from heatherhatch_daemon.transport.greeting import Greeting
from pool_model import CONFIG, POOL

if TYPE_CHECKING:
    from incarnation_model import World
    from incarnation_worker import Incarnation

RULES = Rules()
TICK_S = 0.05
ROUND_S = 0.1
CALL_TIMEOUT_S = 1.0
LONG_POLL_S = 1.0
RETRY_S = 0.1
RENEWAL_GAP_S = 0.03


@dataclass
class Link:
    """The connections of a holder to a worker.

    Attributes:
        renewals: Where the connection for renewals leads; None if it is closed.
        reported: Where the last report came from.
        orders: Where an open connection for orders leads; None if there is none.
        call: Number of the renewal that is sent, or next if it was broken off.
        deadline_ms: Deadline of the last renewal that was carried out.
    """

    renewals: Incarnation | None = None
    reported: Incarnation | None = None
    orders: Incarnation | None = None
    is_silent: bool = False
    call: int = 0
    deadline_ms: float = 0.0


class Holder:
    """A holder of the pool, with the rules by which it sends calls to workers."""

    def __init__(self, world: World, token: int):
        self.world = world
        self.token = token
        self.is_up = True
        self.orders_until_s = self.renews_until_s = float("inf")
        self.scheduler = Scheduler(POOL, RULES, world.now_s)
        self.scheduler.configure(CONFIG)
        for job in world.jobs.values():
            self.scheduler.add_job(job, world.progress.get(job.job_id), world.now_s)
        self.links: dict[str, Link] = {}
        world.after(0.0, self.round)

    @property
    def may_order(self) -> bool:
        return self.is_up and self.world.now_s < self.orders_until_s

    def round(self) -> None:
        if not self.may_order:
            return
        for name in self.scheduler.state.workers.keys() - self.world.entries.keys():
            self.scheduler.remove_worker(name)
        for name, info in self.world.entries.items():
            self.scheduler.update_worker(info, self.world.now_s)
            if name not in self.links:
                self.links[name] = Link()
                self.renew(name)
        self.scheduler.decide(self.world.now_s, self.world.now_s)
        self.flush()
        self.world.after(ROUND_S, self.round)

    def flush(self) -> None:
        for write in self.scheduler.take_writes(self.world.now_s):
            self.world.after(self.world.conditions.write_s, self.store, write)
        for order in self.scheduler.take_orders():
            send = self.start if isinstance(order, StartOrder) else self.stop
            self.world.after(0.0, send, order)

    def store(self, write) -> None:
        if not self.is_up or self.orders_until_s < float("inf"):
            return
        self.world.progress[write.job_id] = write.progress
        if write.status is not None and write.status.phase.final:
            self.world.jobs.pop(write.job_id, None)
        self.scheduler.stored(write.job_id, write.version, self.world.now_s)
        self.flush()

    def renew(self, name: str) -> None:
        worker = self.scheduler.state.workers.get(name)
        if worker is None:
            del self.links[name]
        if not self.is_up or self.world.now_s >= self.renews_until_s or worker is None:
            return
        link, sent_s = self.links[name], self.world.now_s
        link.call = next(self.world.order)
        deadline_ms = 0.0
        if worker.fenced and not link.is_silent:
            deadline_ms = worker.next_deadline_ms(sent_s)
            worker.note_deadline(deadline_ms)
        if link.renewals is None or link.renewals.is_closed:
            link.renewals = self.world.connect(name)
        there = link.renewals
        is_known = there is link.reported
        if there is None:
            self.world.after(0.0, self.renewal_lost, name, link.call)
            return
        timeout_s = CALL_TIMEOUT_S + (LONG_POLL_S if is_known else 0.0)
        self.world.after(timeout_s, self.renewal_lost, name, link.call)
        if not there.is_reached:
            return
        if not there.take_token(self.token):
            self.is_up = False
            return
        if is_known:
            there.extend(deadline_ms)
            there.acknowledge(worker.acked)
            link.deadline_ms = deadline_ms
        answer_s = sent_s + (LONG_POLL_S if is_known else 0.0)
        self.answer_renewal(name, link.call, there, sent_s, answer_s)

    def renew_late(self, name: str, deadline_ms: float) -> None:
        """Carry out a renewal that an earlier incarnation has not answered."""
        there = self.world.present[name]
        if there.take_token(self.token):
            there.extend(deadline_ms)

    def answer_renewal(self, name, call, there, sent_s, answer_s) -> None:
        link = self.links.get(name)
        if not self.is_up or link is None or call != link.call:
            return
        late_s = self.world.conditions.renewal_late_s
        if late_s is not None and link.deadline_ms and not there.is_up:
            self.world.after(late_s, self.renew_late, name, link.deadline_ms)
            link.deadline_ms = 0.0
        if there.is_closed:
            self.renewal_lost(name, call)
        if not there.is_reached:
            return
        if not there.ends and self.world.now_s < answer_s:
            args = (name, call, there, sent_s, answer_s)
            self.world.after(TICK_S, self.answer_renewal, *args)
            return
        link.reported, link.is_silent = there, False
        report = there.report()
        self.scheduler.handle_report(name, report, sent_s, self.world.now_s)
        self.flush()
        self.world.after(RENEWAL_GAP_S, self.renew, name)

    def renewal_lost(self, name: str, call: int) -> None:
        link = self.links.get(name)
        if not self.is_up or link is None or call != link.call:
            return
        link.call = next(self.world.order)
        link.renewals, link.is_silent = None, True
        self.scheduler.handle_no_response(name, self.world.now_s)
        self.world.after(RETRY_S, self.renew, name)

    def start(self, order: StartOrder) -> None:
        result, after_s = self.send_start(order), 0.0
        if result is StartResult.UNKNOWN:
            after_s = CALL_TIMEOUT_S
        self.world.after(after_s, self.start_answered, order, result)

    def start_answered(self, order: StartOrder, result: StartResult) -> None:
        if self.is_up:
            self.scheduler.handle_start_result(order, result, self.world.now_s)
            self.flush()

    def send_start(self, order: StartOrder) -> StartResult:
        worker = self.scheduler.state.workers.get(order.worker_id)
        if worker is None or not self.may_order:
            return StartResult.REFUSED
        if not worker.fenced and "entry clock" not in self.world.conditions.faults:
            return StartResult.REFUSED
        if not self.scheduler.state.has_room_for(order):
            return StartResult.REFUSED
        deadline_ms = worker.next_deadline_ms(self.world.now_s)
        worker.note_deadline(deadline_ms)
        link = self.links[order.worker_id]
        there = self.connect(link, worker)
        if isinstance(there, StartResult):
            return there
        fate_s = next(self.world.fates_s)
        if fate_s is not None:  # without an answer
            link.orders = None
            late = (there, order, deadline_ms, self.token)
            self.world.after(fate_s, self.world.start_late, *late)
            return StartResult.UNKNOWN
        if not there.is_reached:
            link.orders = None
            return StartResult.UNKNOWN
        return there.start(order, deadline_ms, self.token)

    def connect(self, link: Link, worker) -> Incarnation | StartResult:
        """Return where a start may be sent, or why it was not sent."""
        conditions = self.world.conditions
        expected = worker.reported_born_ms
        if "entry clock" in conditions.faults:
            expected = worker.info.born_ms
        greeting = Greeting(None, None, expected)
        is_greeted = "no greeting" not in conditions.faults
        there = link.orders if conditions.keeps_connections else None
        is_open = there is not None and not there.is_closed
        if is_open and (not is_greeted or greeting.admits(there.born_ms)):
            return there
        there = link.orders = self.world.connect(worker.worker_id)
        if there is None:
            return StartResult.UNWELL
        if is_greeted and not there.take_token(self.token):
            self.is_up = False
            return StartResult.REFUSED
        if is_greeted and not greeting.admits(there.born_ms):
            self.renewal_lost(worker.worker_id, link.call)
            return StartResult.REFUSED
        return there

    def stop(self, order) -> None:
        there = self.world.connect(order.worker_id)
        if self.may_order and there is not None:
            there.stop(order, self.token)
            self.scheduler.handle_stop_result(order, True, self.world.now_s)
