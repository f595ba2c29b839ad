"""The reclaimer of grants whose nodes are gone."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json
from heatherhatch_core.coordination.absence import AbsenceWatch
from heatherhatch_core.state.grants import holder_of, without_node
from heatherhatch_core.state.nodes import NodeEntry

from ..events import Event, log
from ..transport.store import Expect
from .follower import Follower
from .grant_records import GrantRecords
from .registrar import MEMBER_PREFIX, Registrar

TURN_S = 0.5


class Reclaimer:
    """Takes a part back once all work under it has surely ended.

    Args:
        records: The teams' records.
        follower: Tells whether this node may reclaim.
        registrar: Source of the members.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        records: GrantRecords,
        follower: Follower,
        registrar: Registrar,
        clock: Callable[[], float],
    ):
        self.records = records
        self.follower = follower
        self.registrar = registrar
        self.clock = clock
        self.absence = AbsenceWatch(follower.standing.reclaim_margin_s)

    def step(self) -> None:
        """Take back what is over, if absence means anything now.

        After an outage one standing period has to pass before it does.
        """
        members = self.registrar.membership.all_members
        live = sorted(holder_of(item.name, item.incarnation) for item in members)
        if not self.follower.may_accept() or self.records.holder not in live:
            self.interrupt()
            return
        ledgers = list(self.records.ledgers.items())
        holders = {name for _, ledger in ledgers for name in ledger.record.nodes}
        now = self.clock()
        self.absence = self.absence.observe(holders, live, now)
        # The nodes take turns, so that they don't all write the same.
        due = now - TURN_S * live.index(self.records.holder)
        for team, ledger in ledgers:
            for holder, part in ledger.record.nodes.items():
                if self.absence.has_ended(holder, part.ends_by_s, due):
                    self._take_back(team, holder)

    def interrupt(self) -> None:
        """Begin all waiting anew, because the store was away."""
        self.absence = self.absence.interrupted()

    def _take_back(self, team: str, holder: str) -> None:
        name, _, _ = holder.partition("/")
        entry = self.records.store.get(MEMBER_PREFIX + name)
        if entry is not None and _holder_in(entry.value) == holder:
            return
        # If the node registers again at this moment, the condition on its
        # entry fails; if it does so later, it reads its part as gone.
        revision = entry.revision if entry is not None else 0
        expect = Expect(MEMBER_PREFIX + name, revision)
        record = without_node(self.records.ledger(team).record, holder)
        if self.records.write(record, (expect,)):
            log(Event.GRANT_RECLAIMED, team=team, holder=holder)


def _holder_in(value: bytes) -> str:
    entry = decode_json(value, NodeEntry)
    return holder_of(entry.name, entry.incarnation)
