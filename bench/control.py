"""Measures what enforcing team limits costs an idle node at the target size."""

import time

from heatherhatch_core.coordination.membership import Membership, Registry
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_core.state.nodes import NodeEntry
from heatherhatch_daemon.tasks.admission import ADMISSION_PERIOD_S, Admission
from heatherhatch_daemon.tasks.grants import GRANT_PERIOD_S, TeamGrants
from heatherhatch_daemon.transport.memory_store import MemoryStore

from . import report
from .virtual_fleet import NODES, StubFollower, StubRegistrar, VirtualClock

TEAMS = 50
POOLS = 43
WORKERS = 2_600
MEASURED_S = 60


def run() -> None:
    """Print the measurements."""
    clock = VirtualClock()
    store = MemoryStore(clock)
    follower = StubFollower(_configuration())
    entries = tuple(NodeEntry(n, "1", "127.0.0.1:1", "dc-1") for n in NODES)
    all_grants = []
    for entry in entries:
        membership = Membership(entry, Registry(1, entries, NODES))
        registrar = StubRegistrar(entry, membership)
        all_grants.append(TeamGrants(store, follower, registrar, dict, clock))
    for _ in range(40):
        for team_grants in all_grants:
            team_grants.step()
        clock.now_s += GRANT_PERIOD_S
    calls = store.calls
    team_grants = all_grants[0]
    admission = Admission(follower, team_grants.registrar, team_grants, dict, clock)
    grants_share = _core_share(team_grants.step, clock, GRANT_PERIOD_S)
    admission_share = _core_share(admission.step, clock, ADMISSION_PERIOD_S)
    report.figure("control.grants.core", grants_share * 100, "percent")
    report.figure("control.admission.core", admission_share * 100, "percent")
    report.at_most(
        "control.limits.core", (grants_share + admission_share) * 100, "percent", 1.0
    )
    calls = (store.calls - calls) / MEASURED_S
    report.at_most("control.limits.store_calls", calls, "per_s", 2.0)
    size = sum(len(entry.value) for entry in store.range("grants/").entries)
    report.figure("control.limits.records", size / 1e3, "KB")


def _core_share(step, clock, period_s) -> float:
    """Return the fraction of a core that a step uses when run once per period."""
    step()
    started_s = time.process_time()
    for _ in range(round(MEASURED_S / period_s)):
        step()
        clock.now_s += period_s
    return (time.process_time() - started_s) / MEASURED_S


def _configuration() -> Configuration:
    pools = [f"pool-{index}" for index in range(POOLS)]
    workers = (
        Worker(f"w{index}", "fd", "r", "127.0.0.1:1", pools[index % POOLS])
        for index in range(WORKERS)
    )
    return Configuration(
        seq=1,
        pools={name: Pool(name, 0) for name in pools},
        teams={f"team-{i}": Team(f"team-{i}", 1.0, 500) for i in range(TEAMS)},
        classes={
            f"class-{name}": WorkClass(f"class-{name}", name, WorkKind.REQUEST, 2.0)
            for name in pools
        },
        workers={worker.worker_id: worker for worker in workers},
    )
