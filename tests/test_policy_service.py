"""Jobs of queues with rules of the policy service, on a node and over the network."""

import dataclasses

import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.state.fleet_configuration import (
    FleetConfiguration,
    PermitRules,
    Pool,
    Queue,
)
from heatherhatch_daemon.pools.coordinator_rules import CoordinatorRules
from heatherhatch_daemon.pools.keys import job_key
from heatherhatch_daemon.pools.node import Node
from heatherhatch_daemon.pools.ports import DirectoryEntry, ExternalPorts
from heatherhatch_daemon.settings import Address
from heatherhatch_platform.machines import HttpPolicy
from heatherhatch_platform_standin.policy import StandinPolicy
from pool_model import PoolModel, make_job, make_step
from pool_node import RECORDS, AnsweringControl, PoolCluster, wait_for

POOLS = ("till", "wall")
RULES = PermitRules(decision_s=2.1, per_worker_s=0.01, validity_s=9.0)
CONFIG = FleetConfiguration(
    1,
    tuple(
        Queue(f"q-{pool}", "h", f"/{pool}/", pool, permit_rules=RULES) for pool in POOLS
    ),
    tuple(Pool(pool) for pool in POOLS),
)


@pytest.fixture
def policy():
    service = StandinPolicy(RULES)
    yield service
    service.stop()


@pytest.fixture
def cluster():
    pools = PoolCluster()
    yield pools
    pools.stop()


@pytest.fixture
def workers():
    """Return the worker of each pool, which is named like its pool."""
    models = dict(zip(POOLS, PoolModel(workers=2).workers.values(), strict=True))
    for pool, worker in models.items():
        worker.info = dataclasses.replace(worker.info, worker_id=pool, pool=pool)
    return models


@pytest.fixture
def node(cluster, policy, workers) -> Node:
    records = dataclasses.replace(
        RECORDS,
        read_config=lambda _data: CONFIG,
        read_worker=lambda name, _data: DirectoryEntry(
            workers[name].info, Address("127.0.0.1", 1)
        ),
    )
    ports = ExternalPorts(
        lambda entry: AnsweringControl(workers[entry.info.pool]),
        None,
        HttpPolicy(Address.parse(policy.address)),
        records,
    )
    cluster.delete("servers/w0")
    for pool in POOLS:
        cluster.put(f"servers/{pool}", b"1")
    node = Node("n1", "1", cluster.store, ports, Rules(), CoordinatorRules())
    cluster.nodes.append(node)
    return node


def test_jobs_start_if_a_call_for_permits_takes_longer_than_two_seconds(
    cluster, node, policy, workers
):
    """Calls had a fixed limit of 2 s and were sent for all pools at once."""
    node.start()
    for pool in POOLS:
        job = make_job(make_step(), job_id=f"job-{pool}")
        job = dataclasses.replace(job, pool=pool, queue=f"q-{pool}")
        cluster.put(job_key(pool, job.job_id), encode_json(job))
    wait_for(lambda: all(worker.runs for worker in workers.values()))
    assert len(policy.calls) == len(POOLS)
    assert policy.most_waiting == 1
