"""A fleet for tests of grants: real keepers over one faulty store in memory."""

import dataclasses

from heatherhatch_core.coordination.standing import (
    Confirmed,
    PeerAnswered,
    PeerEvidence,
    Standing,
    advance,
)
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import Pool, Team, WorkClass, WorkKind
from heatherhatch_core.state.grants import GRANTS_PREFIX
from heatherhatch_core.state.nodes import NodeEntry
from heatherhatch_daemon.tasks.grants import GrantKeeper
from heatherhatch_daemon.tasks.log_store import LogStore
from heatherhatch_daemon.tasks.registrar import Registrar
from heatherhatch_daemon.transport.memory_store import MemoryStore

TEAM = "red"
POOL = "tills"
STANDING_S = 2.0
LEASE_S = 6.0
TARGET_S = 2.0


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class FaultyStore:
    """The store as one node reaches it."""

    def __init__(self, store):
        self.store = store
        self.down = False
        self.lose_next = False
        self.hold_next = 0
        self.held = []
        self.silent_calls = 0
        self.silent_calls_after_loss = 0

    def __getattr__(self, name):
        call = getattr(self.store, name)

        def guarded(*args):
            if self.down:
                raise StoreError("down")
            if self.silent_calls:
                self.silent_calls -= 1
                raise StoreError("no answer")
            return call(*args)

        return guarded

    def transact(self, transaction):
        if self.down:
            raise StoreError("down")
        keys = [put.key for put in transaction.puts]
        if not any(key.startswith(GRANTS_PREFIX) for key in keys):
            return self.store.transact(transaction)
        if self.hold_next:
            self.hold_next -= 1
            self.held.append(transaction)
            self.silent_calls = self.silent_calls_after_loss
            raise StoreError("late", maybe_applied=True)
        outcome = self.store.transact(transaction)
        if self.lose_next:
            self.lose_next = False
            self.silent_calls = self.silent_calls_after_loss
            raise StoreError("lost", maybe_applied=True)
        return outcome

    def deliver(self):
        while self.held:
            self.store.transact(self.held.pop(0))


class FakeFollower:
    """The part of the follower that registrars and keepers use.

    Standing is the real one; the log is replaced by a whole configuration.
    """

    def __init__(self, store, clock, config):
        self.log_store = LogStore(store)
        self.clock = clock
        self.config = config
        self.on_read = lambda _tail, _sent_s: None
        self.standing = Standing(STANDING_S)
        self.registration = None
        self.admitted_s = float("inf")
        self.rank = 0

    @property
    def admitted(self):
        return self.admitted_s <= self.clock()

    def refresh(self):
        """Read the membership that comes with the log; the log is not used."""
        asked = self.clock()
        self.on_read(self.log_store.read_after(0), asked)

    def advance(self, event):
        self.standing = advance(event, self.standing, self.clock())

    def has_standing(self):
        return self.standing.may_act(self.clock(), self.config.seq)

    def may_accept(self):
        return (
            self.registration is not None
            and self.admitted
            and self.standing.may_accept_changes(self.clock())
        )


class Node:
    """One node incarnation with the work that it runs."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        self.store = FaultyStore(fleet.store)
        entry = NodeEntry(name, incarnation, "127.0.0.1:1", "dc-1")
        self.follower = FakeFollower(self.store, fleet.clock, fleet.config)
        self.registrar = Registrar(
            self.store, entry, LEASE_S, self.follower, lambda: None, fleet.clock
        )
        self.registrar.stopping.set()
        self.waiting = 0
        self.ends = []
        self.keeper = GrantKeeper(
            self.store,
            self.follower,
            self.registrar,
            fleet.reports,
            fleet.clock,
        )

    def work(self):
        """Do one round of every task; an error of the store ends it."""
        asked = self.fleet.clock()
        try:
            self.registrar.step()
            self.follower.refresh()
            self.follower.config = self.fleet.config
            self.follower.advance(Confirmed(asked))
        except StoreError:
            pass
        self.hear(asked)
        try:
            self.keeper.step()
        except StoreError:
            return

    def hear(self, asked):
        """Ask every other node that lives; each answers at once."""
        for other in self.fleet.nodes.values():
            if other is self:
                continue
            entry = other.registrar.entry
            lost = other.follower.standing.lost(asked)
            evidence = PeerEvidence(
                entry.incarnation, asked, lost, other.follower.config.seq
            )
            self.follower.advance(PeerAnswered(entry.name, evidence))
            accepts = other.follower.may_accept()
            membership = self.registrar.membership
            self.registrar.update(membership.acknowledge(entry, accepts, asked))

    def can_start(self):
        return len(self.ends) < self.keeper.allowance(TEAM)

    def start(self, span_s=TARGET_S):
        self.ends.append(self.fleet.clock() + span_s)

    def report(self):
        room = max(0, self.keeper.allowance(TEAM) - len(self.ends))
        missing = max(0, self.waiting - room)
        return (Demand(TEAM, POOL, len(self.ends), self.waiting, missing),)


class Fleet:
    """Some nodes that share one team's limit."""

    def __init__(self, limit, nodes):
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.config = Configuration(
            seq=1,
            pools={POOL: Pool(POOL, 0)},
            teams={TEAM: Team(TEAM, 1.0, limit)},
            classes={"stock": WorkClass("stock", POOL, WorkKind.REQUEST, TARGET_S)},
        )
        self.limits = [(self.clock(), limit)]
        self.is_down = False
        self.incarnations = 0
        self.nodes = {}
        self.gone = []
        for name in nodes:
            self.add(name)

    @property
    def limit(self):
        return self.config.teams[TEAM].limit

    @property
    def running(self):
        return sum(len(n.ends) for n in (*self.nodes.values(), *self.gone))

    def add(self, name):
        self.incarnations += 1
        self.nodes[name] = Node(self, name, str(self.incarnations))

    def kill(self, name):
        self.gone.append(self.nodes.pop(name))

    def reports(self):
        return {name: node.report() for name, node in self.nodes.items()}

    def set_limit(self, limit):
        team = dataclasses.replace(self.config.teams[TEAM], limit=limit)
        self.config = dataclasses.replace(
            self.config, seq=self.config.seq + 1, teams={TEAM: team}
        )
        self.limits.append((self.clock(), limit))

    def set_down(self, down):
        self.is_down = down
        for node in self.nodes.values():
            node.store.down = down

    def highest_limit(self):
        """Return the highest limit that a node with standing may know."""
        since = self.clock() - STANDING_S
        old = [limit for at_s, limit in self.limits if at_s <= since]
        return max([*old[-1:], *(lim for at_s, lim in self.limits if at_s > since)])

    def advance(self, seconds):
        self.clock.now_s += seconds
        for node in (*self.nodes.values(), *self.gone):
            node.ends = [end for end in node.ends if end > self.clock()]

    def rounds(self, count, period_s=0.25):
        for _ in range(count):
            for node in self.nodes.values():
                node.work()
            self.advance(period_s)
