"""Nodes in one process with a virtual clock and faults of the links between them."""

import contextlib
import random
from dataclasses import dataclass, field

from heatherhatch_core.codec import decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.standing import Standing
from heatherhatch_core.exceptions import (
    ErrorKind,
    HeatherhatchError,
    StoreError,
)
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import Team
from heatherhatch_core.state.log import pack_log
from heatherhatch_core.state.nodes import NodeEntry
from heatherhatch_daemon.protocol.messages import Heartbeat, HeartbeatAnswer
from heatherhatch_daemon.tasks.follower import Follower
from heatherhatch_daemon.tasks.heartbeats import LOG_PATH, Heartbeats
from heatherhatch_daemon.tasks.registrar import Registrar
from heatherhatch_daemon.transport.http import HttpAnswer
from heatherhatch_daemon.transport.memory_store import MemoryStore

TICK_S = 0.125
PERIOD_S = 2.0
HEARTBEAT_S = 1.0
LEASE_S = 6.0


class Clock:
    """Virtual monotonic clock, in seconds."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class FaultyStore:
    """Connection of one node to the store; it may be cut or lose answers."""

    def __init__(self, store, seed):
        self.store = store
        self.random = random.Random(seed)
        self.cut = False
        self.lost_share = 0.0

    def __getattr__(self, name):
        method = getattr(self.store, name)
        writes = name not in ("get", "range")

        def call(*arguments, **keywords):
            if self.cut:
                raise StoreError("cut")
            answer = method(*arguments, **keywords)
            if self.random.random() < self.lost_share:
                raise StoreError("answer lost", writes)
            return answer

        return call


class VirtualHeartbeats(Heartbeats):
    """Heartbeats by function calls; their answers can be held back."""

    def __init__(self, node, *arguments):
        super().__init__(*arguments)
        self.node = node

    def _start_request(self, peer):
        sent_s = self.clock()
        self.sent_s[peer.name] = sent_s
        self.unresponsive.add(peer.name)
        message = encode_msgpack(self._build_heartbeat(peer))
        try:
            target = self.node.cluster.reach(self.node, peer)
            answer = target.heartbeats.answer(decode_msgpack(message, Heartbeat))
            data = encode_msgpack(answer)
        except HeatherhatchError:
            self.introduced_to.pop(peer.name, None)
            return
        self.unresponsive.discard(peer.name)
        self.node.inbox.append((peer, data, sent_s))

    def apply_received(self, peer, data, sent_s):
        """Process a received answer, which may have been delayed."""
        # The peer may have stopped by the time its log is requested.
        with contextlib.suppress(HeatherhatchError):
            self._apply_answer(peer, decode_msgpack(data, HeartbeatAnswer), sent_s)

    def _call(self, peer, path, body):
        target = self.node.cluster.reach(self.node, peer)
        assert path == LOG_PATH
        return HttpAnswer(200, (), pack_log(target.follower.log))


@dataclass
class VirtualNode:
    """One node of the cluster.

    Attributes:
        paused: True if the node runs no steps and cannot be reached.
        hold_answers: True if answers stay in ``inbox`` instead of being processed.
        inbox: Peers, encoded answers and the times at which the requests were sent.
    """

    cluster: "VirtualCluster"
    name: str
    incarnation: str
    paused: bool = False
    hold_answers: bool = False
    inbox: list = field(default_factory=list)

    def __post_init__(self):
        clock = self.cluster.clock
        self.store = FaultyStore(self.cluster.store, self.incarnation)
        entry = NodeEntry(self.name, self.incarnation, "127.0.0.1:1", "dc-1")
        self.follower = Follower(self.store, Standing(PERIOD_S), clock, clock)
        # The real method waits, and the virtual clock does not advance meanwhile.
        self.follower.await_acceptance = self.refuse_unless_accepting
        self.registrar = Registrar(
            self.store, entry, LEASE_S, self.follower, lambda: None, clock
        )
        self.heartbeats = VirtualHeartbeats(
            self, self.registrar, self.follower, tuple, None, HEARTBEAT_S, clock
        )
        self.due = {self.registrar: 0.0, self.follower: 0.0, self.heartbeats: 0.0}

    def refuse_unless_accepting(self):
        """Raise an error immediately where a real node would wait."""
        if not self.follower.may_accept():
            raise HeatherhatchError(ErrorKind.STORE_UNAVAILABLE)

    def leave(self):
        """Shut down gracefully, as far as the peers can observe it."""
        self.follower.leaving = True
        self.heartbeats.request_all_now()

    def tick(self):
        """Process received answers and run the steps of the tasks that are due."""
        if self.paused:
            return
        if not self.hold_answers:
            waiting, self.inbox = self.inbox, []
            for item in waiting:
                self.heartbeats.apply_received(*item)
        now = self.cluster.clock()
        for task, due in self.due.items():
            if due <= now:
                with contextlib.suppress(StoreError):
                    task.step()
                self.due[task] = now + task.period_s


class VirtualCluster:
    """Some nodes, their store and the cut links between them.

    Attributes:
        cuts: Pairs of names; calls from the first node to the second one fail.
        first_seen: When each log position was first in force on a node, virtual
            seconds.
        configs: Configuration at each log position.
        accepted: Log position of each accepted change, by its id.
    """

    def __init__(self, names):
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.nodes = {}
        self.cuts = set()
        self.starts = 0
        self.first_seen = {0: self.clock()}
        self.configs = {}
        self.accepted = {}
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a node; it replaces the one with the same name."""
        self.starts += 1
        self.nodes[name] = VirtualNode(self, name, f"{name}{self.starts}")

    def reach(self, asker, entry):
        """Return the node that a call reaches."""
        target = self.nodes.get(entry.name)
        if target is None or target.paused or (asker.name, entry.name) in self.cuts:
            raise HeatherhatchError(ErrorKind.INTERNAL, "cut")
        return target

    def run(self, seconds):
        """Advance the clock and check the invariants after the steps of each node."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.now += TICK_S
            for node in list(self.nodes.values()):
                node.tick()
                self.check()

    def append(self, name, change_id, team):
        """Append a change at a node; return its position, 0 if it was refused."""
        node = self.nodes[name]
        if node.paused or not node.follower.may_accept():
            return 0
        edit = Edit(teams=(Team(team, 1.0, 1),))
        try:
            seq = node.follower.append(change_id, "test", "", edit)
        except HeatherhatchError:
            return 0
        assert self.accepted.setdefault(change_id, seq) == seq
        self.check()
        return seq

    def check(self):
        """Check the standing of all nodes and the positions they report in force."""
        now = self.clock()
        for node in self.nodes.values():
            self.first_seen.setdefault(node.follower.log.seq, now)
            config = self.configs.setdefault(
                node.follower.log.seq, node.follower.config
            )
            assert config == node.follower.config
        head_seq = max(self.first_seen)
        acting = [node for node in self.nodes.values() if node.follower.has_standing()]
        for node in acting:
            later = [at for seq, at in self.first_seen.items() if seq > self.seq(node)]
            age = now - min(later, default=now)
            assert age <= PERIOD_S * 1.02, f"{node.name} acts on {age} s old data"
        for node in self.nodes.values():
            if node.follower.in_force(head_seq).everywhere and head_seq:
                late = [item.name for item in acting if self.seq(item) < head_seq]
                assert not late, f"{node.name} reports in force, not on {late}"

    def check_log(self):
        """Check that the audit trail has each accepted change exactly once."""
        reader = self.nodes[min(self.nodes)].follower.log_store
        reader.store = self.store
        changes = reader.audit()
        assert [item.seq for item in changes] == list(range(1, len(changes) + 1))
        ids = [item.change_id for item in changes]
        assert len(set(ids)) == len(ids)
        by_id = {item.change_id: item.seq for item in changes}
        assert all(by_id[key] == seq for key, seq in self.accepted.items())

    def seq(self, node):
        """Return the position in force at a node."""
        return node.follower.log.seq
