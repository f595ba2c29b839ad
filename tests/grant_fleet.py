"""Harness for tests of grants: nodes with real grant tasks and one shared store.

The store is in memory, time is virtual, and each node has its own faults of the store.
"""

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
from heatherhatch_daemon.tasks.grants import TeamGrants
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
    """Connection of one node to the store, with injected faults.

    Attributes:
        store: Store that all nodes share.
        down: True if every call fails before it reaches the store.
        lose_next: True if the next write of grants is applied and its answer lost.
        hold_next: Number of further writes of grants to hold back until ``deliver``.
        held: Writes that are held back.
        failing_calls: Number of further calls, other than transactions, that fail.
        failing_calls_after_loss: Value that ``failing_calls`` gets when a write is held
            back or its answer is lost.
    """

    def __init__(self, store):
        self.store = store
        self.down = False
        self.lose_next = False
        self.hold_next = 0
        self.held = []
        self.failing_calls = 0
        self.failing_calls_after_loss = 0

    def __getattr__(self, name):
        method = getattr(self.store, name)

        def call(*args):
            if self.down:
                raise StoreError("down")
            if self.failing_calls:
                self.failing_calls -= 1
                raise StoreError("no answer")
            return method(*args)

        return call

    def transact(self, transaction):
        if self.down:
            raise StoreError("down")
        keys = [put.key for put in transaction.puts]
        if not any(key.startswith(GRANTS_PREFIX) for key in keys):
            return self.store.transact(transaction)
        if self.hold_next:
            self.hold_next -= 1
            self.held.append(transaction)
            self.failing_calls = self.failing_calls_after_loss
            raise StoreError("late", maybe_applied=True)
        outcome = self.store.transact(transaction)
        if self.lose_next:
            self.lose_next = False
            self.failing_calls = self.failing_calls_after_loss
            raise StoreError("lost", maybe_applied=True)
        return outcome

    def deliver(self):
        """Apply the writes that were held back."""
        while self.held:
            self.store.transact(self.held.pop(0))


class FakeFollower:
    """Stand-in for the parts of ``Follower`` that registrars and grant tasks use.

    Standing is real. The test sets the whole configuration instead of changes of a log.
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
        """Read the membership, which is stored with the log; the log is ignored."""
        sent_s = self.clock()
        self.on_read(self.log_store.read_after(0), sent_s)

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
    """One incarnation of a node with the requests that it runs.

    Attributes:
        waiting: Number of requests that wait for a unit of the team's limit.
        end_times_s: When each running request ends, in seconds of the virtual clock.
    """

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
        self.end_times_s = []
        self.team_grants = TeamGrants(
            self.store,
            self.follower,
            self.registrar,
            fleet.demands,
            fleet.clock,
        )

    def step(self):
        """Run one step of every task; an error of the store ends that task's step."""
        sent_s = self.fleet.clock()
        try:
            self.registrar.step()
            self.follower.refresh()
            self.follower.config = self.fleet.config
            self.follower.advance(Confirmed(sent_s))
        except StoreError:
            pass
        self.exchange_heartbeats(sent_s)
        try:
            self.team_grants.step()
        except StoreError:
            return

    def exchange_heartbeats(self, sent_s):
        """Send a heartbeat to every other live node and process its answer at once."""
        for other in self.fleet.nodes.values():
            if other is self:
                continue
            entry = other.registrar.entry
            lost = other.follower.standing.lost(sent_s)
            evidence = PeerEvidence(
                entry.incarnation, sent_s, lost, other.follower.config.seq
            )
            self.follower.advance(PeerAnswered(entry.name, evidence))
            accepts = other.follower.may_accept()
            membership = self.registrar.membership
            self.registrar.update(membership.acknowledge(entry, accepts, sent_s))

    def can_start(self):
        return len(self.end_times_s) < self.team_grants.allowance(TEAM)

    def start(self, duration_s=TARGET_S):
        self.end_times_s.append(self.fleet.clock() + duration_s)

    def demand(self):
        free = max(0, self.team_grants.allowance(TEAM) - len(self.end_times_s))
        missing = max(0, self.waiting - free)
        return (Demand(TEAM, POOL, len(self.end_times_s), self.waiting, missing),)


class Fleet:
    """Nodes that share one team's limit.

    Attributes:
        limits: Time of each change of the limit, in virtual seconds, and the new limit.
        nodes: Live nodes by name.
        removed_nodes: Killed incarnations, whose requests still run to their end.
    """

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
        self.is_store_down = False
        self.incarnations = 0
        self.nodes = {}
        self.removed_nodes = []
        for name in nodes:
            self.add(name)

    @property
    def limit(self):
        return self.config.teams[TEAM].limit

    @property
    def running(self):
        return sum(
            len(n.end_times_s) for n in (*self.nodes.values(), *self.removed_nodes)
        )

    def add(self, name):
        self.incarnations += 1
        self.nodes[name] = Node(self, name, str(self.incarnations))

    def kill(self, name):
        self.removed_nodes.append(self.nodes.pop(name))

    def demands(self):
        return {name: node.demand() for name, node in self.nodes.items()}

    def set_limit(self, limit):
        team = dataclasses.replace(self.config.teams[TEAM], limit=limit)
        self.config = dataclasses.replace(
            self.config, seq=self.config.seq + 1, teams={TEAM: team}
        )
        self.limits.append((self.clock(), limit))

    def set_store_down(self, down):
        self.is_store_down = down
        for node in self.nodes.values():
            node.store.down = down

    def highest_limit(self):
        """Return the highest limit that a node with standing may still act on."""
        since = self.clock() - STANDING_S
        earlier = [limit for at_s, limit in self.limits if at_s <= since]
        return max([*earlier[-1:], *(lim for at_s, lim in self.limits if at_s > since)])

    def advance(self, seconds):
        self.clock.now_s += seconds
        for node in (*self.nodes.values(), *self.removed_nodes):
            node.end_times_s = [end for end in node.end_times_s if end > self.clock()]

    def run_rounds(self, count, period_s=0.25):
        for _ in range(count):
            for node in self.nodes.values():
                node.step()
            self.advance(period_s)
