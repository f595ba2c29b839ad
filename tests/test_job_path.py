"""Long jobs through separate processes.

The dispatcher is paused or killed while jobs run. Its successor must take the jobs over
without starting any of them a second time.
"""

import json
import time

import pytest

from callers import call
from heatherhatch_core.api import JobPage
from heatherhatch_core.codec import encode_json
from heatherhatch_core.state.jobs import JobSpec, JobState
from heatherhatch_standins.deployment import Deployment

JOB_TIMEOUT_S = 40.0
JOBS = {"claim_s": 2, "look_s": 0.5, "lease_s": 8.0}
JOB_COUNT = 12


@pytest.fixture
def three_nodes(trial, small_edit):
    deployment = Deployment(trial, "jobs", small_edit, nodes=3)
    deployment.sections = {"jobs": JOBS}
    deployment.start()
    return deployment


def submit(deployment, node, token, key, run_s):
    spec = encode_json(JobSpec("reconcile", "books", run_s=run_s))
    headers = {"Idempotency-Key": key}
    reply = call(deployment.caller_address(node), "POST", "/jobs", token, spec, headers)
    assert reply.status == 201, reply.body
    return reply.json()["job_id"]


def jobs_of(deployment, node):
    client = deployment.client(node)
    return {job.job_id: job for job in client.get("/v1/jobs", JobPage).jobs}


def wait_for(deployment, node, ids, states):
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline:
        jobs = jobs_of(deployment, node)
        if all(jobs[job_id].state in states for job_id in ids):
            return jobs
        time.sleep(0.1)
    raise AssertionError(jobs)


def started_jobs(deployment):
    started = []
    for address in deployment.workers.values():
        started += json.loads(call(address, "GET", "/started").body)
    return sorted(job_id for job_id, _ in started)


def nodes_with_claim(deployment):
    """Return the nodes whose logs show that they took the dispatcher's claim."""
    folder = deployment.trial.folder
    return {
        node
        for node in deployment.node_names
        if "heatherhatch:claim_taken" in (folder / f"{node}.log").read_text()
    }


def wait_for_dispatcher(deployment, known):
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline:
        new_nodes = nodes_with_claim(deployment) - known
        if new_nodes:
            return new_nodes.pop()
        time.sleep(0.05)
    raise AssertionError("no other node took the dispatcher's claim")


def test_job_path_runs_each_job_once_if_dispatchers_fail(three_nodes):
    key = three_nodes.grant_key("red")
    three_nodes.wait_for_seq(key.seq)
    first = wait_for_dispatcher(three_nodes, set())
    other = next(node for node in three_nodes.node_names if node != first)
    ids = [
        submit(three_nodes, other, key.token, f"key-{i}", 5.0) for i in range(JOB_COUNT)
    ]
    assert submit(three_nodes, other, key.token, "key-0", 5.0) == ids[0]
    wait_for(three_nodes, other, ids, [JobState.RUNNING])

    three_nodes.trial.pause(first)
    second = wait_for_dispatcher(three_nodes, {first})
    three_nodes.trial.kill(second)
    (third,) = set(three_nodes.node_names) - {first, second}
    three_nodes.trial.resume(first)
    jobs = wait_for(three_nodes, third, ids, [JobState.DONE])

    assert started_jobs(three_nodes) == sorted(ids)
    assert {job.attempt for job in jobs.values()} == {1}
    address = three_nodes.caller_address(third)
    ended = call(address, "DELETE", f"/jobs/{ids[0]}", key.token)
    assert ended.json() == {"count": 0}
