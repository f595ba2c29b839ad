"""Reader of the platform's list of live and leaving instances, which lags."""

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
    """One instance in the platform's list.

    Attributes:
        name: Unique name.
        state: ``live`` or ``leaving``.
    """

    name: str
    state: str = "live"


class MemberList(Protocol):
    """Interface of the platform's list of instances."""

    def listed(self) -> frozenset[str] | None:
        """Return the names of the instances, None if they are not known."""


class NoMemberList:
    """Member list of a platform that has none."""

    def listed(self) -> frozenset[str] | None:
        """Return None, since no names are known."""
        return None


class HttpMemberList:
    """Member list that is read by HTTP as JSON, at most once in `LIST_PERIOD_S`.

    Args:
        address: Address of the service that has the list.
        clock: Returns monotonic seconds.

    Attributes:
        names: Names that were read last, None before the first response.
        next_read_s: Earliest time of the next read, monotonic seconds.
    """

    def __init__(self, address: Address, clock: Callable[[], float]):
        self.client = HttpClient(address, LIST_CONNECTIONS, LIST_TIMEOUT_S)
        self.clock = clock
        self.names: frozenset[str] | None = None
        self.next_read_s = float("-inf")

    def listed(self) -> frozenset[str] | None:
        """Return the names of the instances, None if they are not known."""
        if self.clock() >= self.next_read_s:
            self.next_read_s = self.clock() + LIST_PERIOD_S
            self._read()
        return self.names

    def _read(self):
        try:
            answer = self.client.exchange(HttpRequest("GET", LIST_PATH), LIST_TIMEOUT_S)
            instances = decode_json(answer.body, tuple[ListedInstance, ...])
        except HeatherhatchError:
            # The list can only delay the removal of a member from the registry.
            # The names that were read last stay valid for this.
            return
        self.names = frozenset(item.name for item in instances)


def open_member_list(address: Address | None) -> MemberList:
    """Return the member list at an address, `NoMemberList` without an address."""
    if address is None:
        return NoMemberList()
    return HttpMemberList(address, time.monotonic)
