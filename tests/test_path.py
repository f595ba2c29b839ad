"""End-to-end test of requests, jobs, the plan and key withdrawal, with processes."""

import time

from callers import call
from heatherhatch_core.api import JobPage, PlanAnswer
from heatherhatch_core.codec import encode_json
from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import Wave
from heatherhatch_core.state.jobs import JobSpec, JobState

JOB_TIMEOUT_S = 15.0


def wait_for_job(deployment, job_id):
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline:
        page = deployment.client().get("/v1/jobs", JobPage)
        job = next(job for job in page.jobs if job.job_id == job_id)
        if job.state is JobState.DONE:
            return job
        time.sleep(0.1)
    raise AssertionError(f"job is {job.state}")


def test_path_serves_requests_jobs_plan_and_key_withdrawal(seven_nodes):
    key = seven_nodes.grant_key("red")
    seven_nodes.wait_for_seq(key.seq)

    for node in seven_nodes.node_names:
        address = seven_nodes.caller_address(node)
        reply = call(address, "POST", "/run/stock/x", key.token, b"whole body")
        assert (reply.status, reply.body) == (200, b"whole body")

    spec = encode_json(JobSpec("reconcile", "books", run_s=0.2))
    headers = {"Idempotency-Key": "books-1"}
    reply = call(seven_nodes.balancer, "POST", "/jobs", key.token, spec, headers)
    assert reply.status == 201
    job = wait_for_job(seven_nodes, reply.json()["job_id"])
    assert job.attempt == 1

    seven_nodes.change(Edit(waves=(Wave("w", 4e9, 4e9 + 60, ("w1", "w2")),)))
    plan = seven_nodes.client().get("/v1/plan", PlanAnswer).plan
    moves = [(move.worker_id, move.to_pool) for move in plan.moves]
    assert moves == [("w3", "tills"), ("w3", "spare")]

    withdrawal = Edit(removals=(Removal("team-key", key.key_id),))
    seven_nodes.wait_for_seq(seven_nodes.change(withdrawal))
    for node in seven_nodes.node_names:
        address = seven_nodes.caller_address(node)
        reply = call(address, "POST", "/run/stock/x", key.token, b"late")
        assert reply.status == 401
        assert reply.json()["execution"] == "not run"


def test_path_node_exits_cleanly_on_graceful_stop(seven_nodes):
    node = seven_nodes.node_names[2]
    assert seven_nodes.trial.stop_process(node) == 0
