"""Added time and throughput of the request path of one node."""

import random
import time
import uuid
from collections.abc import Callable

import gevent
import psutil

from heatherhatch_core.api import TicketPage
from heatherhatch_core.codec import decode_json
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError, HttpClient, HttpRequest
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.processes import Trial

RATE = 200.0
PACED_S = 8.0
FULL_S = 5.0
FULL_CALLERS = 16
CONNECTIONS = 64
TIMEOUT_S = 5.0
BODY = b"x" * 200
P50_TARGET_MS = 1.5
P99_TARGET_MS = 6.0
THROUGHPUT_TARGET = 1_000.0
TICKETS = 1_000

EDIT = Edit(
    pools=(Pool("tills", 1),),
    teams=(Team("red", 1.0, 1_000),),
    classes=(
        WorkClass("stock", "tills", WorkKind.REQUEST, 2.0, idempotent=True),
        WorkClass("settle", "tills", WorkKind.REQUEST, 2.0),
    ),
    workers=(
        Worker("w1", "fd-1", "r1", "127.0.0.1:1", "tills"),
        Worker("w2", "fd-2", "r2", "127.0.0.1:1", "tills"),
        Worker("w3", "fd-3", "r3", "127.0.0.1:1", "tills"),
    ),
)


def run() -> None:
    """Print the figures of the request path."""
    with Trial() as trial:
        deployment = Deployment(trial, "bench", EDIT, nodes=1, work_s=0.0)
        deployment.start()
        key = deployment.grant_key("red")
        deployment.wait_for_seq(key.seq)
        through = _sender(deployment.callers(deployment.node_names[0]), key.token)
        direct = _sender(deployment.backends["w1"], "")
        _show_added_time(through, direct)
        _show_throughput(deployment, "keyed", through, THROUGHPUT_TARGET)
        for name, keys in (("ticket", _tickets), ("own_key", _own_keys)):
            send = _once_sender(deployment, key.token, keys)
            _show_throughput(deployment, name, send, 0.0)


def _sender(address: str, token: str) -> Callable[[], bool]:
    client = HttpClient(Address.parse(address), CONNECTIONS, TIMEOUT_S)
    headers = (("Authorization", f"Bearer {token}"),) if token else ()
    request = HttpRequest("POST", "/run/stock/x", BODY, headers)

    def send() -> bool:
        try:
            answer = client.exchange(request, TIMEOUT_S)
        except ExchangeError:
            return False
        return answer.status == 200 and answer.body == BODY

    return send


def _show_added_time(through, direct):
    times: dict[str, list[float]] = {"direct": [], "through": []}
    failed = []

    def one(name, send):
        begun = time.perf_counter()
        if not send():
            failed.append(name)
        times[name].append((time.perf_counter() - begun) * 1e3)

    # Both ways share each moment of the run, so that they see the same machine.
    pace = random.Random(1)
    running = []
    end = time.monotonic() + PACED_S
    while time.monotonic() < end:
        running.append(gevent.spawn(one, "through", through))
        running.append(gevent.spawn(one, "direct", direct))
        gevent.sleep(pace.expovariate(RATE))
    gevent.joinall(running)
    low, high = (_percentiles(times[name]) for name in ("direct", "through"))
    for share, target in ((50, P50_TARGET_MS), (99, P99_TARGET_MS)):
        _show(f"requests.direct_p{share}", low[share], "ms")
        _show(f"requests.through_p{share}", high[share], "ms")
        added = high[share] - low[share]
        _show(f"requests.added_p{share}", added, "ms", added <= target, target)
    _show("requests.paced_failed", len(failed), "requests", not failed, 0)


def _once_sender(deployment, token, keys) -> Callable[[], bool]:
    """Return a sender of work that must not run twice, each with its own key."""
    address = Address.parse(deployment.callers(deployment.node_names[0]))
    client = HttpClient(address, CONNECTIONS, TIMEOUT_S)
    bearer = ("Authorization", f"Bearer {token}")
    fresh = keys(client, bearer)

    def send() -> bool:
        headers = (bearer, ("Idempotency-Key", fresh()))
        request = HttpRequest("POST", "/run/settle/x", BODY, headers)
        try:
            return client.exchange(request, TIMEOUT_S).status == 200
        except ExchangeError:
            return False

    return send


def _tickets(client, bearer) -> Callable[[], str]:
    request = HttpRequest("POST", f"/tickets?count={TICKETS}", headers=(bearer,))
    waiting: list[str] = []

    def fresh() -> str:
        if not waiting:
            answer = client.exchange(request, TIMEOUT_S)
            waiting.extend(decode_json(answer.body, TicketPage).tickets)
        return waiting.pop()

    return fresh


def _own_keys(_client, _bearer) -> Callable[[], str]:
    source = random.Random(time.time())
    return lambda: own_key(time.time(), source)


def own_key(time_s: float, source: random.Random) -> str:
    """Return a UUIDv7 (RFC 9562) with a time."""
    number = round(time_s * 1e3) << 80 | source.getrandbits(80)
    number = number & ~(0xF << 76) | 7 << 76
    return str(uuid.UUID(int=number & ~(0x3 << 62) | 0x2 << 62))


def _show_throughput(deployment, name, send, target):
    process = deployment.trial.processes[deployment.node_names[0]]
    counts = [0] * FULL_CALLERS
    end = time.monotonic() + FULL_S

    def caller(i):
        while time.monotonic() < end:
            counts[i] += send()

    spent = _cpu_s(process.pid)
    callers = [gevent.spawn(caller, i) for i in range(FULL_CALLERS)]
    gevent.joinall(callers, raise_error=True)
    spent = _cpu_s(process.pid) - spent
    rate = sum(counts) / FULL_S
    _show(f"requests.{name}_rate", rate, "requests/s", rate >= target, target)
    _show(f"requests.{name}_cpu", spent / max(1, sum(counts)) * 1e3, "ms/request")


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return times.user + times.system


def _percentiles(values: list[float]) -> dict[int, float]:
    ordered = sorted(values)
    return {share: ordered[len(ordered) * share // 100] for share in (50, 99)}


def _show(name, value, unit, met=True, target=None):
    note = "" if met else f" MISSED {target}"
    print(f"{name} {value:.3f} {unit}{note}", flush=True)
