"""Invariants under each fault and under each pair of faults.

The pairs run only in ``make proof``.
"""

import itertools
import time

import gevent
import pytest

from callers import call
from heatherhatch_core.api import AuditPage
from heatherhatch_core.codec import decode_json
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.injections import INJECTIONS
from heatherhatch_standins.invariants import (
    answer_violations,
    budget_violations,
    duplicate_run_violations,
    limit_violations,
    one_pool_violations,
    refusal_violations,
)
from heatherhatch_standins.ledger import LedgerPage
from heatherhatch_standins.load import Caller, Load

NODES = 4
LOAD_DURATION_S = 2.5
FAULT_START_S = 0.4
FAULT_DURATION_S = 1.4
MEAN_RATE = 20.0
RECOVERY_TIMEOUT_S = 20.0
EDIT = Edit(
    pools=(Pool("tills", 2), Pool("office", 1, spare=True)),
    teams=(Team("red", 2.0, 24), Team("blue", 1.0, 12)),
    classes=(
        WorkClass("stock", "tills", WorkKind.REQUEST, 1.0, idempotent=True),
        WorkClass("settle", "tills", WorkKind.REQUEST, 1.0),
        WorkClass("list", "office", WorkKind.REQUEST, 1.0, idempotent=True),
    ),
    workers=tuple(
        Worker(f"{pool}-{i}", f"fd-{i}", "r1", "127.0.0.1:1", pool)
        for pool in ("tills", "office")
        for i in range(3)
    ),
)


@pytest.fixture(scope="module")
def deployment(module_trial):
    started = Deployment(module_trial, "faults", EDIT, NODES, work_s=0.01, slots=4)
    started.start()
    return started


@pytest.fixture(scope="module")
def callers(deployment):
    keys = [deployment.grant_key(team.name) for team in EDIT.teams]
    deployment.wait_for_seq(keys[-1].seq)
    return tuple(
        Caller(team.name, key.token) for team, key in zip(EDIT.teams, keys, strict=True)
    )


def inject(deployment, injections):
    gevent.sleep(FAULT_START_S)
    for injection in injections:
        injection.begin(deployment)
    gevent.sleep(FAULT_DURATION_S)
    for injection in injections:
        injection.end(deployment)


def wait_for_recovery(deployment, callers):
    """Wait until every node serves again; fail if one does not in time."""
    pending = set(deployment.node_names)
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    while pending and time.monotonic() < deadline:
        for node in sorted(pending):
            try:
                reply = call(
                    deployment.caller_address(node),
                    "POST",
                    "/run/stock/x",
                    callers[0].token,
                )
            except OSError:
                continue
            if reply.status == 200:
                pending.discard(node)
        time.sleep(0.05)
    assert not pending


def check_invariants(deployment, callers, seed, *injections):
    load = Load(deployment, callers, MEAN_RATE, seed)
    faults = gevent.spawn(inject, deployment, injections)
    load.run(LOAD_DURATION_S)
    faults.get()
    wait_for_recovery(deployment, callers)
    backend = next(iter(deployment.backends.values()))
    ledger = decode_json(call(backend, "GET", "/ledger").body, LedgerPage)
    changes = deployment.client().get("/v1/audit", AuditPage).changes
    assert load.statuses[200] > 0
    assert answer_violations(load.sent) == []
    assert refusal_violations(load.sent, ledger.starts) == []
    assert duplicate_run_violations(load.sent, ledger.starts) == []
    assert limit_violations(ledger.peaks, EDIT.teams) == []
    assert budget_violations(changes) == []
    assert one_pool_violations(changes) == []


@pytest.mark.parametrize("injection", INJECTIONS, ids=lambda item: item.name)
def test_faults_keep_invariants_one_at_a_time(deployment, callers, injection):
    check_invariants(deployment, callers, 1, injection)


@pytest.mark.proof
@pytest.mark.parametrize(
    "pair",
    list(itertools.combinations(INJECTIONS, 2)),
    ids=lambda pair: "+".join(item.name for item in pair),
)
def test_faults_keep_invariants_in_pairs(deployment, callers, pair):
    check_invariants(deployment, callers, 2, *pair)
