"""Measures team limits.

The running units of a team must never exceed its limit, and the whole limit must be
usable whichever nodes the callers send to.
"""

import time

import gevent

from heatherhatch_core.codec import decode_json
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError, HttpClient, HttpRequest
from heatherhatch_standins.backend import TEAM_HEADER
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.ledger import LedgerPage
from heatherhatch_standins.processes import Trial

from . import report
from .virtual_fleet import NODES, SAMPLE_S, Load, Tally, VirtualFleet

LIMIT = 70
CAPACITY = 400
SERVICE_S = 0.1
TARGET_S = 2.0
DURATION_S = 12.0
TEAM = "red"
ONE_NODE_SPREAD = (0.0, 0.0, 1.0, 0.0, 0.0, 0.0, 0.0)
SKEWED_SPREAD = (16.0, 8.0, 4.0, 2.0, 1.0, 1.0, 0.0)
OVERLOAD_FACTOR = 3.0
DAEMON_LIMIT = 28
DAEMON_LOAD_S = 10.0
WORK_S = 0.1
CALLERS = 56
REFUSED_PAUSE_S = 0.1
EDIT = Edit(
    pools=(Pool("tills", 1),),
    teams=(Team(TEAM, 1.0, DAEMON_LIMIT),),
    classes=(WorkClass("stock", "tills", WorkKind.REQUEST, TARGET_S, idempotent=True),),
    workers=tuple(
        Worker(f"w{i}", "fd-1", "r1", "127.0.0.1:1", "tills") for i in range(3)
    ),
)


def run() -> None:
    """Print the measurements."""
    for name, spread in (("one_node", ONE_NODE_SPREAD), ("skewed", SKEWED_SPREAD)):
        shared = _run_overloaded(spread, baseline=False)
        used = shared.units(TEAM, 2.0, DURATION_S) / LIMIT
        report.at_least(f"limits.{name}.used", used, "of_limit", 0.95)
        report.at_most(f"limits.{name}.whole_after", _reached_s(shared), "s", 2.0)
        report.at_most(f"limits.{name}.over", _samples_over(shared), "samples", 0)
        baseline = _run_overloaded(spread, baseline=True)
        used = baseline.units(TEAM, 2.0, DURATION_S) / LIMIT
        report.figure(f"limits.{name}.baseline.used", used, "of_limit")
    _measure_moving_callers()
    _measure_real_nodes()


def _measure_real_nodes() -> None:
    """Measure real daemons while all callers of a team send to one of seven nodes."""
    with Trial() as trial:
        deployment = Deployment(trial, "limits", EDIT, work_s=WORK_S)
        deployment.start()
        key = deployment.grant_key(TEAM)
        deployment.wait_for_seq(key.seq)
        address = Address.parse(deployment.caller_address(deployment.node_names[2]))
        client = HttpClient(address, CALLERS, TARGET_S)
        headers = (("Authorization", f"Bearer {key.token}"), (TEAM_HEADER, TEAM))
        request = HttpRequest("POST", "/run/stock/x", b"x", headers)
        ends_s: list[float] = []
        started_s = time.monotonic()
        callers = [
            gevent.spawn(
                _send_repeatedly, client, request, started_s + DAEMON_LOAD_S, ends_s
            )
            for _ in range(CALLERS)
        ]
        gevent.joinall(callers)
        backend = Address.parse(deployment.backends["w1"])
        answer = HttpClient(backend, 1, TARGET_S).exchange(
            HttpRequest("GET", "/ledger"), TARGET_S
        )
        peak = decode_json(answer.body, LedgerPage).peaks[TEAM]
    counted = [end_s for end_s in ends_s if end_s >= started_s + 2.0]
    used = len(counted) * WORK_S / (DAEMON_LOAD_S - 2.0) / DAEMON_LIMIT
    report.at_least("limits.daemons.used", used, "of_limit", 0.95)
    report.at_most("limits.daemons.over", max(0, peak - DAEMON_LIMIT), "units", 0)


def _send_repeatedly(client, request, until_s, ends_s) -> None:
    while time.monotonic() < until_s:
        try:
            answer = client.exchange(request, TARGET_S)
        except ExchangeError:
            continue
        if answer.status == 200:
            ends_s.append(time.monotonic())
        else:
            gevent.sleep(REFUSED_PAUSE_S)


def _run_overloaded(spread: tuple[float, ...], baseline: bool) -> Tally:
    fleet = VirtualFleet(
        (Team(TEAM, 1.0, LIMIT),), CAPACITY, SERVICE_S, TARGET_S, baseline
    )
    rate = OVERLOAD_FACTOR * LIMIT / SERVICE_S
    return fleet.run((Load(TEAM, lambda _now: rate, spread),), DURATION_S)


def _measure_moving_callers() -> None:
    """Measure the use of the limit while callers change the node every 4 s."""
    fleet = VirtualFleet((Team(TEAM, 1.0, LIMIT),), CAPACITY, SERVICE_S, TARGET_S)
    rate = OVERLOAD_FACTOR * LIMIT / SERVICE_S
    loads = tuple(
        Load(
            TEAM,
            lambda now, index=index: rate if int(now / 4) % 3 == index else 0.0,
            tuple(float(node == index) for node in range(len(NODES))),
        )
        for index in range(3)
    )
    tally = fleet.run(loads, 3 * DURATION_S)
    used = tally.units(TEAM, 2.0, 3 * DURATION_S) / LIMIT
    report.figure("limits.moving.used", used, "of_limit")
    report.at_most("limits.moving.over", _samples_over(tally), "samples", 0)
    calls = fleet.store.calls / (3 * DURATION_S) / len(NODES)
    report.figure("limits.moving.store_calls", calls, "per_s_per_node")


def _reached_s(tally: Tally) -> float:
    for index, sample in enumerate(tally.samples):
        if sample[TEAM] >= 0.95 * LIMIT:
            return index * SAMPLE_S
    return float("inf")


def _samples_over(tally: Tally) -> int:
    return sum(sample[TEAM] > LIMIT for sample in tally.samples)
