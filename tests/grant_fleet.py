"""A fleet for tests of grants: real keepers over one faulty store in memory."""

import dataclasses

from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import Pool, Team, WorkClass, WorkKind
from heatherhatch_daemon.protocol.messages import NodeEntry
from heatherhatch_daemon.tasks.grants import GrantKeeper
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
    """Standing as the cluster gives it: confirmed, or heard that none can be."""

    def __init__(self, clock, config):
        self.clock = clock
        self.config = config
        self.confirmed_s = float("-inf")
        self.registrar = None

    def has_standing(self):
        fresh = self.clock() - self.confirmed_s < STANDING_S
        return self.registrar.lease != 0 and fresh


class Node:
    """One node incarnation with the work that it runs."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        self.store = FaultyStore(fleet.store)
        entry = NodeEntry(name, incarnation, "127.0.0.1:1", "dc-1")
        self.registrar = Registrar(self.store, entry, LEASE_S, fleet.clock)
        self.follower = FakeFollower(fleet.clock, fleet.config)
        self.follower.registrar = self.registrar
        self.waiting = 0
        self.ends = []
        self.keeper = GrantKeeper(
            self.store,
            self.follower,
            self.registrar,
            fleet.reports,
            STANDING_S,
            fleet.clock,
        )

    def work(self):
        """Do one round of every task; an error of the store ends it."""
        asked = self.fleet.clock()
        latest = self.follower.config.seq == self.fleet.config.seq
        try:
            self.registrar.step()
            self.follower.config = self.fleet.config
            self.follower.confirmed_s = asked
        except StoreError:
            if self.fleet.is_down and latest:
                self.follower.confirmed_s = asked
        try:
            self.keeper.step()
        except StoreError:
            return

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
