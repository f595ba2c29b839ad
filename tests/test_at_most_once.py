"""Resends of keyed requests through other nodes, with real daemons.

A caller that got no answer resends its request, possibly through another node. The
work must run at most once, and a refusal must not state more than the node knows.
"""

from collections import Counter

import gevent
import pytest

from callers import call
from heatherhatch_core.codec import encode_json
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.faults import Faults
from heatherhatch_standins.load import new_uuid7

pytestmark = pytest.mark.usefixtures("deployment")


@pytest.fixture(scope="module")
def deployment(module_trial, requests_only_edit):
    started = Deployment(module_trial, "once", requests_only_edit, nodes=3)
    started.start()
    return started


@pytest.fixture(scope="module")
def token(deployment):
    key = deployment.grant_key("red")
    deployment.wait_for_seq(key.seq)
    return key.token


def issue_ticket(deployment, node, token):
    address = deployment.caller_address(node)
    return call(address, "POST", "/tickets", token).json()["tickets"][0]


def send_settle(deployment, node, token, key, request_id, body=b"coins", work_s=0.0):
    headers = {
        "Idempotency-Key": key,
        "X-Request-Id": request_id,
        "X-Work-Seconds": str(work_s),
    }
    return call(
        deployment.caller_address(node), "POST", "/run/settle", token, body, headers
    )


def count_executions(deployment, request_id):
    counts = Counter()
    for address in deployment.backends.values():
        counts.update(call(address, "GET", "/executed").json())
    return counts[request_id]


def make_key(kind, deployment, token, node):
    return issue_ticket(deployment, node, token) if kind == "ticket" else new_uuid7()


@pytest.fixture(params=["ticket", "caller"])
def kind(request):
    return request.param


def test_once_requires_a_key_for_work_that_is_not_idempotent(deployment, token):
    first = deployment.node_names[0]
    reply = send_settle(deployment, first, token, "", "keyless")
    assert (reply.status, reply.json()["execution"]) == (400, "not run")
    reply = send_settle(deployment, first, token, "chosen", "keyless")
    assert (reply.status, reply.json()["execution"]) == (400, "not run")
    assert count_executions(deployment, "keyless") == 0


def test_once_joins_and_replays_through_every_node(deployment, token, kind):
    key = make_key(kind, deployment, token, deployment.node_names[0])
    request_id = f"join-{kind}"
    pending = [
        gevent.get_hub().threadpool.spawn(
            send_settle, deployment, node, token, key, request_id, work_s=0.2
        )
        for node in deployment.node_names * 2
    ]
    replies = [send.get() for send in pending]
    replies += [
        send_settle(deployment, node, token, key, request_id)
        for node in deployment.node_names
    ]
    assert {(reply.status, reply.body) for reply in replies} == {(200, b"coins")}
    assert len({reply.headers["x-backend"] for reply in replies}) == 1
    assert count_executions(deployment, request_id) == 1


def test_once_refuses_a_key_reused_for_another_request(deployment, token, kind):
    key = make_key(kind, deployment, token, deployment.node_names[0])
    request_id = f"reuse-{kind}"
    assert (
        send_settle(deployment, deployment.node_names[0], token, key, request_id).status
        == 200
    )
    for node in deployment.node_names:
        reply = send_settle(deployment, node, token, key, request_id, b"other")
        assert (reply.status, reply.json()["code"]) == (422, 303)
    blue = deployment.grant_key("blue")
    deployment.wait_for_seq(blue.seq)
    if kind == "ticket":
        assert (
            send_settle(
                deployment, deployment.node_names[1], blue.token, key, request_id
            ).status
            == 422
        )
    assert count_executions(deployment, request_id) == 1


def test_once_accepts_tickets_and_refuses_caller_keys_without_the_store(
    deployment, token
):
    first, second = deployment.node_names[:2]
    ticket = issue_ticket(deployment, first, token)
    call(deployment.store, "PUT", "/faults", body=encode_json(Faults(down=True)))
    reply = send_settle(deployment, second, token, ticket, "outage")
    refusal = send_settle(deployment, second, token, new_uuid7(), "refused")
    call(deployment.store, "PUT", "/faults", body=encode_json(Faults()))
    assert reply.status == 200
    # This node cannot know of attempts through other nodes, so it must not report
    # that the request did not run.
    assert (refusal.status, refusal.json()["execution"]) == (503, "outcome unknown")
    assert "ticket" in refusal.json()["detail"]
    assert (
        count_executions(deployment, "outage"),
        count_executions(deployment, "refused"),
    ) == (1, 0)


def test_once_reports_an_unknown_outcome_after_the_node_crashed(deployment, token):
    killed_node, other_node = deployment.node_names[2], deployment.node_names[0]
    keys = {
        kind: make_key(kind, deployment, token, killed_node)
        for kind in ("ticket", "caller")
    }
    for kind, key in keys.items():
        assert (
            send_settle(deployment, killed_node, token, key, f"crash-{kind}").status
            == 200
        )
    deployment.trial.kill(killed_node)
    for kind, key in keys.items():
        reply = send_settle(deployment, other_node, token, key, f"crash-{kind}")
        assert (reply.status, reply.json()["execution"]) == (409, "outcome unknown")
    deployment.start_node(killed_node)
    deployment.wait_for_seq(1)
    for kind, key in keys.items():
        for node in (killed_node, other_node):
            reply = send_settle(deployment, node, token, key, f"crash-{kind}")
            assert reply.json()["execution"] == "outcome unknown"
        assert count_executions(deployment, f"crash-{kind}") == 1
