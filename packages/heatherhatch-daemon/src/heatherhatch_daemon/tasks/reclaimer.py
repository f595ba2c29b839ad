"""Reclaimer of the grants of nodes that have left."""

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

RANK_DELAY_S = 0.5


class Reclaimer:
    """Reclaims a part once all work under it has certainly ended.

    Args:
        records: Grant records of the teams.
        follower: Decides whether this node may reclaim.
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
        """Reclaim the parts of absent holders whose work has ended.

        After an outage of the store one standing period has to pass before
        absence from the registry is evidence.
        """
        members = self.registrar.membership.all_members
        live = sorted(holder_of(item.name, item.incarnation) for item in members)
        if not self.follower.may_accept() or self.records.holder not in live:
            self.reset()
            return
        ledgers = list(self.records.ledgers.items())
        holders = {name for _, ledger in ledgers for name in ledger.record.nodes}
        now = self.clock()
        self.absence = self.absence.observe(holders, live, now)
        # Nodes wait longer by rank, so that they do not all make the same write.
        delayed_now = now - RANK_DELAY_S * live.index(self.records.holder)
        for team, ledger in ledgers:
            for holder, part in ledger.record.nodes.items():
                if self.absence.has_ended(holder, part.ends_by_s, delayed_now):
                    self._reclaim(team, holder)

    def reset(self) -> None:
        """Restart all waiting periods after an outage of the store."""
        self.absence = self.absence.interrupted()

    def _reclaim(self, team: str, holder: str) -> None:
        name, _, _ = holder.partition("/")
        entry = self.records.store.get(MEMBER_PREFIX + name)
        if entry is not None and _holder_of_entry(entry.value) == holder:
            return
        # If the node registers again meanwhile, the condition on its entry fails.
        # If it registers later, it reads the record without its part.
        revision = entry.revision if entry is not None else 0
        expect = Expect(MEMBER_PREFIX + name, revision)
        record = without_node(self.records.ledger(team).record, holder)
        if self.records.write(record, (expect,)):
            log(Event.GRANT_RECLAIMED, team=team, holder=holder)


def _holder_of_entry(value: bytes) -> str:
    entry = decode_json(value, NodeEntry)
    return holder_of(entry.name, entry.incarnation)
