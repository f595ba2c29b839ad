"""A status request is answered, or refused while another instance can answer it."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import Team
from heatherhatch_core.state.work import JobStatus, Phase
from heatherhatch_daemon.pools import retries, serving, watched_store
from heatherhatch_daemon.pools.intake import Intake
from heatherhatch_daemon.pools.keys import status_key
from heatherhatch_daemon.pools.operators import Operators
from heatherhatch_daemon.pools.watched_store import WatchedStore
from heatherhatch_daemon.transport.body_memory import BodyMemory
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.request_body import CHARGE_VARIABLE
from heatherhatch_daemon.transport.store import Put, Transaction
from heatherhatch_platform import entry
from heatherhatch_platform.kv_store import CALL_TIMEOUT_S
from pool_model import CONFIG, POOL, QUEUE
from pool_node import RECORDS

DEADLINE_S = 3.0
KEY = "k"
TEAM_CONFIG = replace(CONFIG, teams=(Team("t", (KEY,)),))
JOB = "j1"


class Clock:
    """Virtual time of the modules on the path of a status request."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch) -> Clock:
    clock = Clock()
    for module in (retries, serving, watched_store):
        monkeypatch.setattr(module, "now_s", clock)
    monkeypatch.setattr(retries, "sleep", clock.sleep)
    monkeypatch.setattr(entry, "time", SimpleNamespace(monotonic=clock))
    return clock


class DeafStore(MemoryStore):
    """A store whose reads of one key may get no answer: each ends after its limit.

    Attributes:
        deaf: True if these reads get no answer.
        renews: True if the lease of the instance is renewed meanwhile.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.deaf = False
        self.renews = False
        self.renew = None

    def get(self, key):
        if not self.deaf:
            return super().get(key)
        self.clock.sleep(CALL_TIMEOUT_S)
        if self.renews:
            self.renew()
        raise StoreError("no complete response", True)


@pytest.fixture
def store(clock) -> DeafStore:
    store = DeafStore(clock)
    status = JobStatus(Phase.RUNNING, POOL, QUEUE.name)
    store.transact(Transaction((), (Put(status_key(JOB), encode_json(status)),)))
    return store


@pytest.fixture
def ask(clock, store):
    """Return a function that asks for the job; its answer and when it came."""
    watched = WatchedStore(store)
    operators = Operators(watched, RECORDS, lambda _config: None)
    operators.config = TEAM_CONFIG
    operators.confirmed_s = float("inf")
    claims_feed = SimpleNamespace(failing_since_s=float("inf"))
    claims = SimpleNamespace(feed=claims_feed, confirmed_s=clock.now)
    state = serving.ServingState(watched, operators, claims)
    intake = Intake(watched, operators, state.store_outage_s)
    store.renew = lambda: watched.keep_lease(0)
    app = entry.EntryApp(intake, state.view)

    def ask(method: str = "GET") -> tuple[int, float, float]:
        began_s = clock.now
        answers = []
        environ = {
            "REQUEST_METHOD": method,
            CHARGE_VARIABLE: BodyMemory(0).charge(),
            "PATH_INFO": QUEUE.prefix + JOB,
            "HTTP_HOST": QUEUE.host,
            "HTTP_API_KEY": KEY,
            "HTTP_DEADLINE_MS": str(round(DEADLINE_S * 1000)),
        }
        app(environ, lambda status, headers: answers.append((status, dict(headers))))
        status, headers = answers[0]
        pause_s = float(headers.get("Retry-After", 0))
        return int(status.split()[0]), clock.now - began_s, pause_s

    return ask


def test_a_status_request_is_answered_at_once(ask):
    assert ask() == (200, 0.0, 0.0)


# Guards against LOST: the caller's next attempt came after its deadline.
@pytest.mark.parametrize("renews", [False, True], ids=["cut off", "reads lost"])
def test_a_refused_status_request_leaves_time_for_another_instance(ask, store, renews):
    store.deaf = True
    store.renews = renews
    _status, held_s, pause_s = ask()
    assert held_s + pause_s < DEADLINE_S


# Guards against cancellations that are held, and answered as unknown, before anything
# was written.
@pytest.mark.parametrize("renews", [False, True], ids=["cut off", "reads lost"])
def test_a_cancellation_that_wrote_nothing_leaves_time_too(ask, store, renews):
    store.deaf = True
    store.renews = renews
    status, held_s, pause_s = ask("DELETE")
    assert status == 503
    assert held_s + pause_s < DEADLINE_S
