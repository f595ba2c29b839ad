"""Sends orders for machines to the provider."""

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
from .ports import MachineControl, Permission

MOVE_LISTED_S = 3.0  # the provider's list shows an accepted move within this time
UNKNOWN_RESULT_S = 15.0  # an order without a response may be carried out 12 s later
STARTUP_MARGIN_S = 0.25  # a machine may come up slightly later than scheduled
RETRY_S = 0.5  # pause before the next order for a machine after a failed one


@dataclass(frozen=True, slots=True)
class Maintain:
    """Begin the maintenance of a machine.

    Attributes:
        machine: Name of the machine.
        wave: Number of the wave.
    """

    machine: str
    wave: int


@dataclass(frozen=True, slots=True)
class Move:
    """Move a machine to another pool.

    Attributes:
        machine: Name of the machine.
        pool: Name of the pool that the machine moves to.
    """

    machine: str
    pool: str


class MachineOrders:
    """Sends orders for machines and keeps their results.

    Args:
        control: The provider's interface.
        holder: Name of the node, sent to the provider with each order.
        token: Fencing token of the coordinator's claim.
        may_act: Returns whether orders may be sent at this moment.
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
        self.permission = Permission(token, may_act)
        self.maintained: dict[int, set[str]] = {}
        self.down_until_s: dict[str, float] = {}
        self.accepted_moves: dict[str, tuple[str, float]] = {}
        self.open_moves: dict[str, tuple[str, float]] = {}
        self.retry_at_s: dict[str, float] = {}

    def send_all(self, orders: list[Maintain | Move]) -> int:
        """Send orders concurrently; return how many were carried out.

        Raises:
            FencedError: If a newer coordinator has sent orders.
        """
        due = [
            order
            for order in orders
            if now_s() >= self.retry_at_s.get(order.machine, float("-inf"))
        ]
        greenlets = [gevent.spawn(self._execute, order) for order in due]
        gevent.joinall(greenlets)
        for greenlet in greenlets:
            if isinstance(greenlet.value, FencedError):
                raise greenlet.value
        return sum(1 for greenlet in greenlets if greenlet.value is True)

    def moving(self, machines: dict[str, Machine]) -> set[str]:
        """Return the machines whose accepted move the provider's list does not show."""
        for name, (pool, accepted_s) in list(self.accepted_moves.items()):
            machine = machines.get(name)
            if now_s() - accepted_s > MOVE_LISTED_S or (
                machine and machine.pool == pool
            ):
                del self.accepted_moves[name]
        return set(self.accepted_moves)

    def leaving(self, machines: dict[str, Machine]) -> set[str]:
        """Return the machines that an order may take from their pool at any moment.

        These are the accepted moves that the provider's list does not show, and those
        without a response, which may be carried out later.
        """
        for name, (pool, sent_s) in list(self.open_moves.items()):
            machine = machines.get(name)
            if now_s() - sent_s > UNKNOWN_RESULT_S or (
                machine and machine.pool == pool
            ):
                del self.open_moves[name]
        return self.moving(machines) | set(self.open_moves)

    def with_accepted_moves(self, machines: dict[str, Machine]) -> dict[str, Machine]:
        """Return the machines as they are after all accepted moves."""
        found = dict(machines)
        for name in self.moving(machines):
            if name in found:
                found[name] = dataclasses.replace(
                    found[name],
                    pool=self.accepted_moves[name][0],
                    state=MachineState.MOVING,
                )
        return found

    def may_be_down(self, name: str, list_requested_s: float) -> bool:
        """Return whether a machine may be down for its maintenance.

        Args:
            name: Name of the machine.
            list_requested_s: When the list of machines was requested from the
                provider, in seconds of `now_s`.
        """
        return list_requested_s < self.down_until_s.get(name, float("-inf"))

    def _execute(self, order: Maintain | Move) -> bool | FencedError:
        if not self.may_act():
            return False
        try:
            done = self._call_provider(order)
        except FencedError as error:
            return error
        except ExchangeError as error:
            log(Event.CALL_UNKNOWN, order=repr(order), error=str(error))
            self.retry_at_s[order.machine] = now_s() + RETRY_S
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
            self.retry_at_s[order.machine] = now_s() + RETRY_S
        return done

    @singledispatchmethod
    def _call_provider(self, order) -> bool:
        raise NotImplementedError(type(order).__name__)

    @_call_provider.register
    def _maintain(self, order: Maintain) -> bool:
        # Until a response arrives, the maintenance may begin at any time.
        self.down_until_s[order.machine] = now_s() + UNKNOWN_RESULT_S
        done = self.control.maintain(
            order.machine, order.wave, self.holder, self.permission
        )
        # The machine went down at some time before the response. Only a list that
        # was requested after it must be up again shows that it is.
        duration_s = self.maintenance_s + STARTUP_MARGIN_S if done else 0.0
        self.down_until_s[order.machine] = now_s() + duration_s
        if done:
            self.maintained.setdefault(order.wave, set()).add(order.machine)
        return done

    @_call_provider.register
    def _move(self, order: Move) -> bool:
        self.open_moves[order.machine] = (order.pool, now_s())
        done = self.control.move(
            order.machine, order.pool, self.holder, self.permission
        )
        del self.open_moves[order.machine]
        if done:
            self.accepted_moves[order.machine] = (order.pool, now_s())
        return done
