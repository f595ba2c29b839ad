"""Gives the provider orders for machines."""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod

import gevent

from heatherhatch_core.exceptions import FencedError
from heatherhatch_core.state.maintenance import Machine, MachineState

from ..events import Event, log
from ..metrics import METER, Metric
from ..transport.http import ExchangeError
from .clock import now_s
from .ports import MachineControl

SEEN_S = 3.0  # by then the provider's list shows a move that was accepted
UNKNOWN_S = 15.0  # an order without an answer may be carried out 12 s later
MARGIN_S = 0.25  # a machine may come up a little after its time
PAUSE_S = 0.5  # a machine that refused an order is asked again after this time


@dataclass(frozen=True, slots=True)
class Maintain:
    """Begin the maintenance of a machine.

    Attributes:
        machine: The machine.
        wave: Number of the wave.
    """

    machine: str
    wave: int


@dataclass(frozen=True, slots=True)
class Move:
    """Move a machine to another pool.

    Attributes:
        machine: The machine.
        pool: The pool that gets it.
    """

    machine: str
    pool: str


class MachineOrders:
    """Orders for machines, and what came of them.

    Args:
        control: The provider's interface.
        holder: Name of the node, as the provider is told.
        token: Fencing token of the coordinator's claim.
        may_act: Tells whether orders may be given at this moment.
        maintenance_s: How long a machine is down for its maintenance, seconds.
    """

    def __init__(
        self,
        control: MachineControl,
        holder: str,
        token: int,
        may_act: Callable[[], bool],
        maintenance_s: float,
    ):
        self.maintenance_s = maintenance_s
        self.control = control
        self.holder = holder
        self.token = token
        self.may_act = may_act
        self.maintained: dict[int, set[str]] = {}
        self.down_until_s: dict[str, float] = {}
        self.moved: dict[str, tuple[str, float]] = {}
        self.paused_s: dict[str, float] = {}

    def give(self, orders: list[Maintain | Move]) -> int:
        """Give orders side by side; return how many were carried out.

        Raises:
            FencedError: If a newer coordinator has given orders.
        """
        due = [
            order
            for order in orders
            if now_s() >= self.paused_s.get(order.machine, float("-inf"))
        ]
        jobs = [gevent.spawn(self._give, order) for order in due]
        gevent.joinall(jobs)
        for job in jobs:
            if isinstance(job.value, FencedError):
                raise job.value
        return sum(1 for job in jobs if job.value is True)

    def moving(self, machines: dict[str, Machine]) -> set[str]:
        """Return the machines whose move the provider's list doesn't show yet."""
        for name, (pool, at_s) in list(self.moved.items()):
            machine = machines.get(name)
            if now_s() - at_s > SEEN_S or (machine and machine.pool == pool):
                del self.moved[name]
        return set(self.moved)

    def seen(self, machines: dict[str, Machine]) -> dict[str, Machine]:
        """Return the machines with the moves that were accepted."""
        found = dict(machines)
        for name in self.moving(machines):
            if name in found:
                found[name] = dataclasses.replace(
                    found[name], pool=self.moved[name][0], state=MachineState.MOVING
                )
        return found

    def may_be_down(self, name: str, list_s: float) -> bool:
        """Tell whether a machine may be down for its maintenance.

        Args:
            name: The machine.
            list_s: When the provider was asked for its list of machines.
        """
        return list_s < self.down_until_s.get(name, float("-inf"))

    def _give(self, order: Maintain | Move) -> bool | FencedError:
        if not self.may_act():
            return False
        try:
            done = self._send(order)
        except FencedError as error:
            return error
        except ExchangeError as error:
            log(Event.CALL_UNKNOWN, order=repr(order), error=str(error))
            self.paused_s[order.machine] = now_s() + PAUSE_S
            return False
        kind = type(order).__name__.lower()
        answer = "done" if done else "refused"
        METER.sink.count(Metric.MACHINE_ORDERS, label=f"{kind}_{answer}")
        log(
            Event.MACHINE_ORDERED if done else Event.MACHINE_REFUSED,
            machine=order.machine,
            order=repr(order),
            token=self.token,
        )
        if not done:
            self.paused_s[order.machine] = now_s() + PAUSE_S
        return done

    @singledispatchmethod
    def _send(self, order) -> bool:
        raise NotImplementedError(type(order).__name__)

    @_send.register
    def _maintain(self, order: Maintain) -> bool:
        # Until an answer comes it may begin at any time.
        self.down_until_s[order.machine] = now_s() + UNKNOWN_S
        done = self.control.maintain(order.machine, order.wave, self.holder, self.token)
        # It is down from some moment before the answer on. Only a list that was
        # asked for after it must be up again tells that it is.
        lasts_s = self.maintenance_s + MARGIN_S if done else 0.0
        self.down_until_s[order.machine] = now_s() + lasts_s
        if done:
            self.maintained.setdefault(order.wave, set()).add(order.machine)
        return done

    @_send.register
    def _move(self, order: Move) -> bool:
        done = self.control.move(order.machine, order.pool, self.holder, self.token)
        if done:
            self.moved[order.machine] = (order.pool, now_s())
        return done
