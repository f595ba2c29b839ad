"""Measures the latency that one node adds to requests, and its throughput."""

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

REQUESTS_PER_S = 200.0
PACED_LOAD_S = 8.0
THROUGHPUT_S = 5.0
THROUGHPUT_CALLERS = 16
CONNECTIONS = 64
TIMEOUT_S = 5.0
BODY = b"x" * 200
P50_TARGET_MS = 1.5
P99_TARGET_MS = 6.0
THROUGHPUT_TARGET_PER_S = 1_000.0
TICKET_COUNT = 1_000

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
    """Print the measurements of the request path."""
    with Trial() as trial:
        deployment = Deployment(trial, "bench", EDIT, nodes=1, work_s=0.0)
        deployment.start()
        key = deployment.grant_key("red")
        deployment.wait_for_seq(key.seq)
        through = _sender(
            deployment.caller_address(deployment.node_names[0]), key.token
        )
        direct = _sender(deployment.backends["w1"], "")
        _measure_added_time(through, direct)
        _measure_throughput(deployment, "keyed", through, THROUGHPUT_TARGET_PER_S)
        for name, key_source in (("ticket", _tickets), ("own_key", _own_keys)):
            send = _keyed_sender(deployment, key.token, key_source)
            _measure_throughput(deployment, name, send, 0.0)


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


def _measure_added_time(through, direct):
    times_ms: dict[str, list[float]] = {"direct": [], "through": []}
    failed = []

    def send_one(name, send):
        started_s = time.perf_counter()
        if not send():
            failed.append(name)
        times_ms[name].append((time.perf_counter() - started_s) * 1e3)

    # Both paths are measured at the same time, so that they share the state of the
    # machine.
    rng = random.Random(1)
    running = []
    end = time.monotonic() + PACED_LOAD_S
    while time.monotonic() < end:
        running.append(gevent.spawn(send_one, "through", through))
        running.append(gevent.spawn(send_one, "direct", direct))
        gevent.sleep(rng.expovariate(REQUESTS_PER_S))
    gevent.joinall(running)
    direct_ms, through_ms = (
        _percentiles(times_ms[name]) for name in ("direct", "through")
    )
    for percent, target in ((50, P50_TARGET_MS), (99, P99_TARGET_MS)):
        _print_figure(f"requests.direct_p{percent}", direct_ms[percent], "ms")
        _print_figure(f"requests.through_p{percent}", through_ms[percent], "ms")
        added = through_ms[percent] - direct_ms[percent]
        _print_figure(
            f"requests.added_p{percent}", added, "ms", added <= target, target
        )
    _print_figure("requests.paced_failed", len(failed), "requests", not failed, 0)


def _keyed_sender(deployment, token, key_source) -> Callable[[], bool]:
    """Return a sender of non-idempotent requests, each with an idempotency key."""
    address = Address.parse(deployment.caller_address(deployment.node_names[0]))
    client = HttpClient(address, CONNECTIONS, TIMEOUT_S)
    bearer = ("Authorization", f"Bearer {token}")
    next_key = key_source(client, bearer)

    def send() -> bool:
        headers = (bearer, ("Idempotency-Key", next_key()))
        request = HttpRequest("POST", "/run/settle/x", BODY, headers)
        try:
            return client.exchange(request, TIMEOUT_S).status == 200
        except ExchangeError:
            return False

    return send


def _tickets(client, bearer) -> Callable[[], str]:
    request = HttpRequest("POST", f"/tickets?count={TICKET_COUNT}", headers=(bearer,))
    unused: list[str] = []

    def next_key() -> str:
        if not unused:
            answer = client.exchange(request, TIMEOUT_S)
            unused.extend(decode_json(answer.body, TicketPage).tickets)
        return unused.pop()

    return next_key


def _own_keys(_client, _bearer) -> Callable[[], str]:
    rng = random.Random(time.time())
    return lambda: own_key(time.time(), rng)


def own_key(time_s: float, rng: random.Random) -> str:
    """Return a random UUIDv7 (RFC 9562) for a time in seconds since the epoch."""
    number = round(time_s * 1e3) << 80 | rng.getrandbits(80)
    number = number & ~(0xF << 76) | 7 << 76
    return str(uuid.UUID(int=number & ~(0x3 << 62) | 0x2 << 62))


def _measure_throughput(deployment, name, send, target):
    process = deployment.trial.processes[deployment.node_names[0]]
    counts = [0] * THROUGHPUT_CALLERS
    end = time.monotonic() + THROUGHPUT_S

    def caller(i):
        while time.monotonic() < end:
            counts[i] += send()

    cpu_s = _cpu_s(process.pid)
    callers = [gevent.spawn(caller, i) for i in range(THROUGHPUT_CALLERS)]
    gevent.joinall(callers, raise_error=True)
    cpu_s = _cpu_s(process.pid) - cpu_s
    rate = sum(counts) / THROUGHPUT_S
    _print_figure(f"requests.{name}_rate", rate, "requests/s", rate >= target, target)
    _print_figure(
        f"requests.{name}_cpu", cpu_s / max(1, sum(counts)) * 1e3, "ms/request"
    )


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return times.user + times.system


def _percentiles(values: list[float]) -> dict[int, float]:
    ordered = sorted(values)
    return {percent: ordered[len(ordered) * percent // 100] for percent in (50, 99)}


def _print_figure(name, value, unit, is_met=True, target=None):
    note = "" if is_met else f" MISSED {target}"
    print(f"{name} {value:.3f} {unit}{note}", flush=True)
