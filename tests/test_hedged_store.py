"""A call that is sent more than once takes effect once, and only small calls are.

Load: the answers of 40 of 100 writes are lost, and the writes take effect seconds
later, here milliseconds.
"""

import contextlib
import random
import time
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest

from heatherhatch_core.coordination import hedging
from heatherhatch_core.coordination.scheduler import JobWrite
from heatherhatch_core.coordination.scheduler.limit_waits import LimitWaits
from heatherhatch_core.exceptions import LeaseExpiredError, StoreError
from heatherhatch_core.state.fleet_configuration import Team
from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import JobStatus, Phase, Progress, Schedule, Step
from heatherhatch_daemon.pools.claim_release import delete_claims
from heatherhatch_daemon.pools.committer import Committer
from heatherhatch_daemon.pools.coordinator import Coordinator
from heatherhatch_daemon.pools.fleet_records import FleetPlan
from heatherhatch_daemon.pools.hedged_store import HedgedStore, HedgeRates
from heatherhatch_daemon.pools.intake import Intake
from heatherhatch_daemon.pools.keys import claim_key, job_key, run_key, status_key
from heatherhatch_daemon.pools.operators import Operators
from heatherhatch_daemon.pools.pool_grants import PoolGrants
from heatherhatch_daemon.pools.record_watchers import PlanWatcher
from heatherhatch_daemon.pools.repeatable_writes import takes_effect_once
from heatherhatch_daemon.pools.replaced_record import ReplacedRecord
from heatherhatch_daemon.pools.sweeper import Sweeper
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect, Put, Transaction
from heatherhatch_platform.kv_store import CONNECTIONS, KvStore
from heatherhatch_platform_standin.proxy import Proxy
from heatherhatch_platform_standin.store import StandinStore, StoreMode
from pool_model import CONFIG, POOL
from pool_node import RECORDS

HANG_S = 30  # limits a test that hangs
SEEDS = range(12)
TIMEOUT_S = 0.2  # of a call
LATE_EFFECT_S = (0.01, 0.3)
TEAM_CONFIG = replace(CONFIG, teams=(Team("t", ("k",), limit=Resources(80_000)),))
CLAIM_KEY = claim_key("pool/till")
CREATE = Transaction((Expect("grants/t", 0),), (Put("grants/t", b"1"),))


class LossyStore(MemoryStore):
    """A store that loses, delays and refuses transactions as a seed says.

    Attributes:
        effects: How often each transaction took effect.
    """

    def __init__(self, seed):
        super().__init__(time.monotonic)
        self.random = random.Random(seed)
        self.effects = Counter()
        self.late = []
        self.token = self.put(CLAIM_KEY, b"me")
        self.config_revision = self.put("op/config", b"1")

    def claim(self):
        return Expect(CLAIM_KEY, self.token)

    def put(self, key, value):
        return self.apply(Transaction((), (Put(key, value),))).revision

    def transact(self, transaction):
        fault = self.random.random()
        if fault < 0.4:
            delay_s = self.random.uniform(*LATE_EFFECT_S)
            self.late.append(gevent.spawn_later(delay_s, self.apply, transaction))
        if fault < 0.5:
            gevent.sleep(TIMEOUT_S)
            raise StoreError("no answer", True)
        if fault < 0.55:
            raise StoreError("refused", False, rate_limited=fault < 0.52)
        gevent.sleep(0.02 * (fault < 0.7))
        outcome = self.apply(transaction)
        gevent.sleep(0.02 * (fault < 0.8))
        return outcome

    def apply(self, transaction):
        outcome = super().transact(transaction)
        self.effects[transaction] += outcome.succeeded
        return outcome


def write_progress(store, memory):
    """Write the first progress of two jobs, then later ones until they end."""
    conflicts = []
    committer = Committer(
        store, POOL, memory.claim, lambda: True, lambda _writes: None, conflicts.append
    )
    for job_id in ("j1", "j2"):
        revision = memory.put(job_key(POOL, job_id), b"{}")
        committer.job_revisions[job_id] = revision
    phases = (Phase.RUNNING, Phase.RUNNING, Phase.COMPLETED)
    for version, phase in enumerate(phases):
        status = JobStatus(phase, POOL, "q")
        committer.submit(
            [JobWrite(job, version, Progress(()), status) for job in ("j1", "j2")]
        )
        committer.greenlets.join()
    assert conflicts == []


def submit_and_cancel(store, memory):
    operators = Operators(memory, RECORDS, lambda _config: None)
    operators.revision = memory.config_revision
    operators.config = TEAM_CONFIG
    operators.confirmed_s = float("inf")
    intake = Intake(store, operators)
    intake.submit("h", "/q/j1", "k", "run", (Step(estimate_s=1.0),), Schedule())
    intake.cancel("h", "/q/j1", "k")


def write_grants(store, memory):
    state = SimpleNamespace(
        team_used={}, allowance_shortfall={}, limit_waits=LimitWaits()
    )
    scheduler = SimpleNamespace(
        state=state,
        set_allowances=lambda _allowances: None,
        set_limit_reservations=lambda _steps: None,
    )
    grants = PoolGrants(store, PlanWatcher(memory), POOL, memory.claim, scheduler)
    for cores in range(1, 4):
        state.allowance_shortfall = {"t": Resources(20_000 * cores)}
        grants.step(TEAM_CONFIG)


def write_plan(store, memory):
    watcher = PlanWatcher(memory)
    own = SimpleNamespace(store=store, plan_watcher=watcher, _claim=memory.claim)
    for requests in (1, 2):
        Coordinator._write(own, FleetPlan(requests=requests))


def replace_report_and_wave_progress(store, memory):
    for key in ("fleet/report/till", "status/wave/1"):
        record = ReplacedRecord(store, key)
        for value in (b"1", b"2", b"3"):
            record.write(memory.claim(), value)


def sweep_statuses(store, memory):
    status = b'{"phase":"completed","pool":"till","queue":"q","ended_s":1.0}'
    for number in range(20):
        memory.put(status_key(f"s{number}"), status)
    Sweeper(store, memory.claim, 1.0).sweep()


def release_claims(store, memory):
    delete_claims(store, [memory.claim()])


@pytest.fixture
def fast_hedges(monkeypatch):
    monkeypatch.setattr(hedging, "MIN_DELAY_S", 0.004)
    monkeypatch.setattr(hedging, "UNKNOWN_DELAY_S", 0.004)
    monkeypatch.setattr(hedging, "RATE_LIMIT_PAUSE_S", 0.02)


def make_hedged(store):
    return HedgedStore(store, HedgeRates(1e6, 1e6), lambda: 1.0)


def play(kind, seed):
    """Write while the store loses answers, and wait for the late effects."""
    memory = LossyStore(seed)
    hedged = make_hedged(memory)
    try:
        kind(hedged, memory)
    except StoreError as error:
        assert error.maybe_applied or "refused" in error.detail
    gevent.joinall(memory.late)
    return memory, hedged.counts["write_sent"]


@pytest.mark.parametrize(
    "kind",
    [
        write_progress,
        submit_and_cancel,
        write_grants,
        write_plan,
        replace_report_and_wave_progress,
        sweep_statuses,
        release_claims,
    ],
)
def test_each_write_takes_effect_once_although_answers_are_lost(kind, fast_hedges):
    """A late effect of an earlier send overwrote or recreated a newer record."""
    with gevent.Timeout(HANG_S):
        played = [gevent.spawn(play, kind, seed) for seed in SEEDS]
        results = [greenlet.get() for greenlet in played]
    for memory, _sent in results:
        assert set(memory.effects.values()) <= {0, 1}
        assert run_key(POOL, "j1") not in memory.entries
    assert any(sent for _memory, sent in results)


@pytest.mark.parametrize(
    "transaction",
    [
        Transaction((Expect(CLAIM_KEY, 0),), (Put(CLAIM_KEY, b"me", 1),)),
        Transaction((Expect(CLAIM_KEY, 3),), (Put("s/1", b""),)),
        Transaction((Expect("runs/till/j", 0),), (Put("runs/till/j", b""),)),
        Transaction((Expect("op/config", 3),)),
    ],
)
def test_a_write_that_two_sends_could_apply_is_not_hedged(transaction):
    """A claim on a free role could be taken again after its release."""
    assert not takes_effect_once(transaction)


class ScriptedStore(MemoryStore):
    """A store whose sends of `CREATE` behave as a test specifies, in order."""

    def __init__(self, *script):
        super().__init__(time.monotonic)
        self.script = list(script)

    def transact(self, transaction):
        return self.script.pop(0)(super().transact, transaction)


def answer(apply, transaction):
    return apply(transaction)


def lose_answer(apply, transaction):
    apply(transaction)
    gevent.sleep(HANG_S)


def replace_and_hang(apply, _transaction):
    apply(Transaction((), (Put("grants/t", b"2"),)))
    gevent.sleep(HANG_S)


def fail(error, after_s=0.0):
    def send(_apply, _transaction):
        gevent.sleep(after_s)
        raise error

    return send


REFUSED = fail(StoreError("refused", False), 0.02)
TIMED_OUT = fail(StoreError("no answer", True), 0.05)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([lose_answer, answer], "succeeded"),
        ([replace_and_hang, answer], "conflict"),
        ([REFUSED, TIMED_OUT, TIMED_OUT, TIMED_OUT], "maybe applied"),
        ([REFUSED] * 4, "not applied"),
        ([lose_answer, fail(LeaseExpiredError("gone"))], "lease gone"),
    ],
)
def test_the_outcome_covers_all_sends(script, expected, fast_hedges):
    """A refused first send must not make a write count as certainly not applied."""
    with gevent.Timeout(HANG_S):
        try:
            outcome = make_hedged(ScriptedStore(*script)).transact(CREATE)
            found = "succeeded" if outcome.succeeded else "conflict"
        except LeaseExpiredError:
            found = "lease gone"
        except StoreError as error:
            found = "maybe applied" if error.maybe_applied else "not applied"
    assert found == expected


def test_a_send_aborted_for_an_arriving_answer_may_take_effect(fast_hedges):
    """The answer was a refusal, and the job counted as rejected but ran later."""
    store = ScriptedStore()
    answering = []

    def refuse_slowly(_apply, _transaction):
        answering.append(gevent.getcurrent())
        gevent.sleep(0.1)
        raise StoreError("refused", False)

    def take_effect_late(apply, transaction):
        gevent.spawn_later(0.15, apply, transaction)
        gevent.sleep(HANG_S)

    store.script = [REFUSED, take_effect_late, refuse_slowly]
    store.is_answering = answering.__contains__
    with gevent.Timeout(HANG_S), pytest.raises(StoreError) as raised:
        make_hedged(store).transact(CREATE)
    assert raised.value.maybe_applied
    gevent.sleep(0.2)
    assert "grants/t" in store.entries


@pytest.fixture
def standin():
    store = StandinStore()
    yield store
    store.stop()


def test_connections_without_an_answer_are_closed_and_not_used_again(standin):
    """A call that gets such a connection waits for its whole timeout."""
    client = KvStore(Address.parse(standin.address))
    store = make_hedged(client)
    record = ReplacedRecord(store, "fleet/report/till")
    standin.mode = StoreMode.LOST
    with gevent.Timeout(HANG_S):
        for number in range(40):
            with contextlib.suppress(StoreError):  # all sends of a call may be lost
                assert record.write(Expect("claims/pool/till", 0), b"%d" % number)
        # A holder that loses its role abandons its writes.
        abandoned = [gevent.spawn(store.transact, CREATE) for _number in range(6)]
        gevent.sleep(0.25)
        gevent.killall(abandoned)
        gevent.sleep(0.01)
        assert client.client.pool._semaphore.counter == CONNECTIONS
        standin.mode = StoreMode.UP
        began_s = time.monotonic()
        for _number in range(40):
            client.keep_lease(1)
    assert time.monotonic() - began_s < 1.0


def test_large_transfers_are_never_doubled(standin):
    """On a link of 5 Mbit/s a second copy of a configuration delays both."""
    proxy = Proxy(standin.address)
    proxy.limit(625_000)
    standin.put("op/config", b"x" * 850_000)
    lease = standin.memory.grant_lease(HANG_S)
    client = KvStore(Address.parse(proxy.address))
    store = make_hedged(client)
    key = status_key("j1")
    stale = (Expect("op/config", 1), Expect(key, 0))
    with gevent.Timeout(HANG_S):
        call = gevent.spawn(store.transact, Transaction(stale, (Put(key, b""),)))
        while not client.is_transferring():
            gevent.sleep(0.01)
        for _number in range(5):
            store.keep_lease(lease)
        assert not call.get().succeeded
        large = Put("grants/t", b"x" * 200_000)
        assert store.transact(replace(CREATE, puts=(large,))).succeeded
    assert not store.counts
    proxy.server.stop()
