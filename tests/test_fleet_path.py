"""A provider's wave, carried out by three real nodes.

The node that holds the planner's role is killed during the wave. The next holder must
complete the wave without a step that takes the pool below its budget.
"""

import dataclasses
import time

import pytest

from heatherhatch_core.api import AuditPage
from heatherhatch_core.state.changes import Edit, apply_change
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import (
    Pool,
    Wave,
    WorkClass,
    Worker,
    WorkerState,
    WorkKind,
)
from heatherhatch_standins.deployment import Deployment

NODES = 3
PLANNER_TAKEN_EVENT = '"event":1401'
TIMEOUT_S = 30.0
POLL_S = 0.1


@pytest.fixture
def three_nodes(trial):
    edit = Edit(
        pools=(Pool("tills", 2), Pool("spare", 0, spare=True)),
        classes=(WorkClass("stock", "tills", WorkKind.REQUEST, 0.5, idempotent=True),),
        workers=(
            Worker("w1", "fd-1", "r1", "127.0.0.1:1", "tills"),
            Worker("w2", "fd-2", "r2", "127.0.0.1:1", "tills"),
            Worker("w3", "fd-3", "r3", "127.0.0.1:1", "spare"),
        ),
    )
    deployment = Deployment(trial, "fleet", edit, nodes=NODES)
    deployment.start()
    return deployment


def holder_of(deployment):
    for node in deployment.node_names:
        log = deployment.trial.folder / f"{node}.log"
        if PLANNER_TAKEN_EVENT in log.read_text().replace(": ", ":"):
            return node
    return None


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise AssertionError("the condition did not hold in time")


def planner_steps(deployment, node):
    page = deployment.client(node).get("/v1/audit", AuditPage)
    config = Configuration()
    steps = []
    for change in page.changes:
        config = apply_change(config, change)
        if change.actor == "planner":
            assert len(config.serving_workers("tills")) >= 2
            steps += [
                (item.worker_id, item.pool, item.state.value)
                for item in change.edit.assignments
            ]
    return steps


def test_wave_is_carried_out_if_the_planner_is_killed(three_nodes):
    holder = wait_until(lambda: holder_of(three_nodes))
    other = next(node for node in three_nodes.node_names if node != holder)

    def fleet():
        return three_nodes.client(other).get("/v1/config", Configuration)

    start_s = time.time() + 1.0
    wave = Wave("w", start_s, start_s + 3600.0, ("w1",))
    three_nodes.change(Edit(waves=(wave,)), other)
    wait_until(lambda: fleet().state_of("w3") is not WorkerState.SERVING)
    three_nodes.trial.kill(holder)

    wait_until(lambda: fleet().state_of("w1") is WorkerState.MAINTENANCE)
    assert fleet().pool_of("w3") == "tills"
    # The provider ends the wave early, so that the test depends on no duration.
    ended_wave = dataclasses.replace(wave, end_s=max(time.time(), start_s + 0.1))
    three_nodes.change(Edit(waves=(ended_wave,)), other)
    wait_until(lambda: fleet().state_of("w1") is WorkerState.SERVING)
    wait_until(lambda: fleet().pool_of("w3") == "spare")

    steps = planner_steps(three_nodes, other)
    assert [state for name, _, state in steps if name == "w1"] == [
        "draining",
        "drained",
        "maintenance",
        "returning",
        "serving",
    ]
    assert [step[1:] for step in steps if step[0] == "w3"] == [
        ("spare", "draining"),
        ("spare", "drained"),
        ("tills", "serving"),
        ("tills", "draining"),
        ("tills", "drained"),
        ("spare", "serving"),
    ]
