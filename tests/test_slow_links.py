"""End-to-end tests of instances that reach the store over a slow link."""

import random
import signal
from collections.abc import Callable
from dataclasses import replace

import gevent
import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.state.work import JobStatus, Phase
from heatherhatch_daemon.pools.keys import job_key, status_key
from heatherhatch_platform.kv_store import CALL_TIMEOUT_S
from heatherhatch_platform_standin.deployment import Deployment
from heatherhatch_platform_standin.load import Callers
from heatherhatch_platform_standin.routes import UNUSED_ROUTE_BYTES
from heatherhatch_platform_standin.store import MAX_PAGE_BYTES
from pool_model import POOL, make_job, make_step

LINK_BYTES_PER_S = 625_000  # 5 Mbit/s
BASE64_FACTOR = 4 / 3  # the store sends values as base64
READ_S = 1.5 * CALL_TIMEOUT_S  # time that the link needs for the configuration
SETTLE_TIMEOUT_S = 30  # limits a test that fails; the link needs a few seconds
COMPLETED = (200, {"state": "completed"})


@pytest.fixture
def deployment():
    with Deployment(count=1) as running:
        yield running


@pytest.fixture
def callers(deployment):
    running_callers = Callers(deployment, random.Random(1))
    with gevent.Timeout(SETTLE_TIMEOUT_S):
        running_callers.wait_until_ready()
        while running_callers.submit() is None:
            gevent.sleep(0.1)
    assert running_callers.wait_until_ended(SETTLE_TIMEOUT_S) == []
    return running_callers


@pytest.fixture
def slow_instance(deployment, callers):
    """An instance that has served callers and is down, with a slow link."""
    instance = deployment.instances[0]
    instance.signal(signal.SIGKILL)
    instance.process.wait()
    instance.proxy.limit(LINK_BYTES_PER_S)
    return instance


def await_answer(ask: Callable[[], object], expected: object) -> object:
    """Ask until the expected answer comes; return the last answer."""
    answer = None
    with gevent.Timeout(SETTLE_TIMEOUT_S, False):
        while answer != expected:
            answer = ask()
            gevent.sleep(0.1)
    return answer


# Guards against an instance that repeats a large read for ever and answers only 503.
def test_an_instance_reads_a_configuration_that_takes_its_link_longer_than_a_call(
    deployment, callers, slow_instance
):
    size = READ_S * LINK_BYTES_PER_S / BASE64_FACTOR
    deployment.configure(unused_routes=round(size / UNUSED_ROUTE_BYTES))
    slow_instance.start()
    path = next(iter(callers.paths.values()))
    assert await_answer(lambda: callers.call("GET", path), COMPLETED) == COMPLETED
    with gevent.Timeout(SETTLE_TIMEOUT_S):
        callers.wait_until_ready()


# Guards against a holder that keeps its pool and never loads or runs the jobs in it.
def test_a_pool_is_run_although_a_page_of_its_jobs_takes_longer_than_a_call(
    deployment, callers, slow_instance
):
    spec = "done 0.05 ".ljust(4000, "x")
    template = replace(make_job(make_step()), payload=spec, queue=f"q-{POOL}")
    size = len(encode_json(template))
    job_ids = [f"{number:016x}" for number in range(MAX_PAGE_BYTES // size)]
    status = encode_json(JobStatus(Phase.QUEUED, POOL, template.queue, ""))
    for job_id in job_ids:
        deployment.store.put(status_key(job_id), status)
        job = replace(template, job_id=job_id)
        deployment.store.put(job_key(POOL, job_id), encode_json(job))
        callers.paths[job_id] = f"/{POOL}/{job_id}"
    deployment.ledger.accepted.update(job_ids)
    slow_instance.start()
    assert callers.wait_until_ended(SETTLE_TIMEOUT_S) == []
    assert deployment.ledger.violations == []
