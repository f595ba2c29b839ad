"""The platform's list of live and leaving instances, which lags."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import HeatherhatchError

from ..settings import Address
from .http import HttpClient, HttpRequest

LIST_PATH = "/members"
LIST_CONNECTIONS = 1
LIST_TIMEOUT_S = 0.5
LIST_PERIOD_S = 15.0


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance of the list.

    Attributes:
        name: Unique name.
        state: ``live`` or ``leaving``.
    """

    name: str
    state: str = "live"


class MemberList(Protocol):
    """What the system needs of the platform's list."""

    def listed(self) -> frozenset[str] | None:
        """Return the names of the instances, None if they are not known."""


class NoMemberList:
    """Stands for a platform without a list."""

    def listed(self) -> frozenset[str] | None:
        """Return None."""
        return None


class HttpMemberList:
    """A list that is read by HTTP and JSON, at most once in a period.

    Args:
        address: Where the platform shows the list.
        clock: Returns monotonic seconds.
    """

    def __init__(self, address: Address, clock: Callable[[], float]):
        self.client = HttpClient(address, LIST_CONNECTIONS, LIST_TIMEOUT_S)
        self.clock = clock
        self.names: frozenset[str] | None = None
        self.due_s = float("-inf")

    def listed(self) -> frozenset[str] | None:
        """Return the names of the instances, None if they are not known."""
        if self.clock() >= self.due_s:
            self.due_s = self.clock() + LIST_PERIOD_S
            self._read()
        return self.names

    def _read(self):
        try:
            answer = self.client.exchange(HttpRequest("GET", LIST_PATH), LIST_TIMEOUT_S)
            shown = decode_json(answer.body, tuple[ListedInstance, ...])
        except HeatherhatchError:
            # The list can only delay the forgetting of a member; the last one
            # that was read goes on doing so.
            return
        self.names = frozenset(item.name for item in shown)


def open_member_list(address: Address | None) -> MemberList:
    """Return the list at an address, or none."""
    if address is None:
        return NoMemberList()
    return HttpMemberList(address, time.monotonic)
